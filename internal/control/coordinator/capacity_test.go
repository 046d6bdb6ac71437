package coordinator_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/failover"
	"github.com/burdockwood/burdockwood/internal/control/singlenode"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	serversPerGroup = 3
	proxyCount      = 9
)

// loadFixture is a coordinator with many groups, each with its first term in
// force, and with proxies.
type loadFixture struct {
	c             *coordinator.Coordinator
	log           *singlenode.Log
	now           time.Time
	groups        int
	lastResponse  coordinator.HeartbeatResponse
	announce      func(group, server int)
	sendHeartbeat func(proxy int)
}

func newLoadFixture(b testing.TB, groups int) *loadFixture {
	b.Helper()
	stateMachine := state.New()
	log := singlenode.New(stateMachine, "control-1", netip.MustParseAddrPort("127.0.0.1:1"))
	declared := coordinator.ParsedDeclarations{Groups: map[cluster.GroupName]coordinator.DeclaredGroup{}}
	for i := range groups {
		declared.Groups[groupName(i)] = coordinator.DeclaredGroup{Servers: serversPerGroup}
	}
	c := coordinator.New(log, stateMachine, func(string) (coordinator.ParsedDeclarations, error) { return declared, nil })
	f := &loadFixture{c: c, log: log, now: time.Unix(1_000_000, 0), groups: groups}
	for i := range groups {
		commitGroup(b, log, i)
	}
	f.announce = func(group, server int) {
		if err := c.Announce(announcementOf(group, server), f.now); err != nil {
			b.Fatalf("Announce: %v", err)
		}
	}
	f.sendHeartbeat = func(proxy int) {
		heartbeat := coordinator.Heartbeat{
			Proxy: cluster.ProxyName(fmt.Sprintf("p%d", proxy)), Incarnation: 1, Address: serverAddress(0, 100+proxy),
			Revision: f.lastResponse.Revision, Epoch: f.lastResponse.Epoch, Version: f.lastResponse.Version,
		}
		if err := c.Heartbeat(heartbeat, f.now); err != nil {
			b.Fatalf("Heartbeat: %v", err)
		}
		response, err := c.Respond(heartbeat, f.now)
		if err != nil {
			b.Fatalf("Respond: %v", err)
		}
		f.lastResponse = response
	}
	for i := range proxyCount {
		proxy := state.Proxy{Name: cluster.ProxyName(fmt.Sprintf("p%d", i)), Incarnation: 1}
		propose(b, log, state.Command{Proxy: &state.SetProxy{Proxy: proxy}})
		f.sendHeartbeat(i)
	}
	f.announceAll()
	f.now = f.now.Add(2 * time.Second)
	f.announceAll()
	return f
}

// announceAll lets every server announce itself and completes the actions to
// which that leads.
func (f *loadFixture) announceAll() {
	for i := range f.groups {
		for s := range serversPerGroup {
			f.announce(i, s)
		}
		f.completeActions()
	}
}

// completeActions reports success for all queued failover actions.
func (f *loadFixture) completeActions() {
	for {
		select {
		case action := <-f.c.Actions():
			if action.Failover != nil {
				f.c.HandleEvent(failover.Event{Action: *action.Failover, Outcome: failover.OutcomeDone}, f.now)
			}
		default:
			return
		}
	}
}

func groupName(i int) cluster.GroupName { return cluster.GroupName(fmt.Sprintf("group-%05d", i)) }

func serverName(i int) cluster.ServerName { return cluster.ServerName(fmt.Sprintf("server-%d", i)) }

func serverAddress(group, server int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{10, byte(group >> 8), byte(group), byte(server + 1)})
	return netip.AddrPortFrom(ip, 5432)
}

func announcementOf(group, server int) cluster.Announcement {
	role := cluster.RoleReplica
	if server == 0 {
		role = cluster.RolePrimary
	}
	position := cluster.LogPosition{Term: 1, Position: 9}
	return cluster.Announcement{
		ServerStatus: cluster.ServerStatus{
			Server: serverName(server), Group: groupName(group), DataCentre: "dc", Role: role,
			Promised: 1, Received: position, Applied: position,
		},
		Address: serverAddress(group, server), Slots: 2, Connections: 16, Incarnation: 1,
	}
}

// commitGroup commits the servers of a group and puts its first term in force,
// with server 0 as the primary.
func commitGroup(b testing.TB, log *singlenode.Log, i int) {
	var members []state.Member
	var voters []cluster.ServerName
	for s := range serversPerGroup {
		a := announcementOf(i, s)
		members = append(members, state.Member{
			Name: a.Server, Address: a.Address, DataCentre: a.DataCentre, Slots: a.Slots, Connections: a.Connections, Incarnation: 1,
		})
		voters = append(voters, a.Server)
	}
	propose(b, log, state.Command{Members: &state.SetMembers{Group: groupName(i), Set: members}})
	propose(b, log, state.Command{Begin: &state.BeginTerm{Group: groupName(i), Voters: voters}})
	propose(b, log, state.Command{Commit: &state.CommitTerm{Group: groupName(i), Term: 1, Primary: voters[0]}})
}

func propose(b testing.TB, log *singlenode.Log, command state.Command) {
	b.Helper()
	if _, err := state.Propose(b.Context(), log, command); err != nil {
		b.Fatalf("Propose: %v", err)
	}
}

// BenchmarkCapacity measures the time and memory that a leader needs, by number
// of groups.
func BenchmarkCapacity(b *testing.B) {
	for _, groups := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("tick/groups=%d", groups), func(b *testing.B) {
			f := newLoadFixture(b, groups)
			for n := 0; b.Loop(); n++ {
				f.now = f.now.Add(coordinator.TickInterval)
				if n%10 == 0 {
					b.StopTimer()
					f.announceAll()
					b.StartTimer()
				}
				f.c.Tick(f.now)
			}
		})
		b.Run(fmt.Sprintf("announce/groups=%d", groups), func(b *testing.B) {
			f := newLoadFixture(b, groups)
			for n := 0; b.Loop(); n++ {
				f.announce(n%groups, n%serversPerGroup)
			}
		})
		b.Run(fmt.Sprintf("heartbeat/groups=%d", groups), func(b *testing.B) {
			f := newLoadFixture(b, groups)
			for n := 0; b.Loop(); n++ {
				f.sendHeartbeat(n % proxyCount)
			}
		})
		b.Run(fmt.Sprintf("memory/groups=%d", groups), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := newLoadFixture(b, groups)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(groups), "B/group")
			runtime.KeepAlive(f)
		})
	}
}
