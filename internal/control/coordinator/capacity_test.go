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
	serversOfAGroup = 3
	benchProxies    = 9
)

// crowd is a coordinator with many groups in force and their proxies.
type crowd struct {
	c        *coordinator.Coordinator
	log      *singlenode.Log
	now      time.Time
	groups   int
	last     coordinator.HeartbeatResponse
	announce func(group, server int)
	beat     func(proxy int)
}

func newCrowd(b testing.TB, groups int) *crowd {
	b.Helper()
	machine := state.New()
	log := singlenode.New(machine, "control-1", netip.MustParseAddrPort("127.0.0.1:1"))
	declared := coordinator.Declared{Groups: map[cluster.GroupName]coordinator.DeclaredGroup{}}
	for i := range groups {
		declared.Groups[groupName(i)] = coordinator.DeclaredGroup{Servers: serversOfAGroup}
	}
	c := coordinator.New(log, machine, func(string) (coordinator.Declared, error) { return declared, nil })
	w := &crowd{c: c, log: log, now: time.Unix(1_000_000, 0), groups: groups}
	for i := range groups {
		commitGroup(b, log, i)
	}
	w.announce = func(group, server int) {
		if err := c.Announce(announcementOf(group, server), w.now); err != nil {
			b.Fatalf("Announce: %v", err)
		}
	}
	w.beat = func(proxy int) {
		beat := coordinator.Heartbeat{
			Proxy: cluster.ProxyName(fmt.Sprintf("p%d", proxy)), Incarnation: 1, Address: serverAddress(0, 100+proxy),
			Revision: w.last.Revision, Epoch: w.last.Epoch, Version: w.last.Version,
		}
		if err := c.Heartbeat(beat, w.now); err != nil {
			b.Fatalf("Heartbeat: %v", err)
		}
		answer, err := c.Respond(beat, w.now)
		if err != nil {
			b.Fatalf("Answer: %v", err)
		}
		w.last = answer
	}
	for i := range benchProxies {
		proxy := state.Proxy{Name: cluster.ProxyName(fmt.Sprintf("p%d", i)), Incarnation: 1}
		propose(b, log, state.Command{Proxy: &state.SetProxy{Proxy: proxy}})
		w.beat(i)
	}
	w.announceAll()
	w.now = w.now.Add(2 * time.Second)
	w.announceAll()
	return w
}

// announceAll lets every server announce itself, and ends what that began.
func (w *crowd) announceAll() {
	for i := range w.groups {
		for s := range serversOfAGroup {
			w.announce(i, s)
		}
		w.finish()
	}
}

// finish ends all actions well.
func (w *crowd) finish() {
	for {
		select {
		case action := <-w.c.Actions():
			if action.Failover != nil {
				w.c.HandleEvent(failover.Event{Action: *action.Failover, Outcome: failover.OutcomeDone}, w.now)
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
	mark := cluster.Mark{Term: 1, Position: 9}
	return cluster.Announcement{
		ServerStatus: cluster.ServerStatus{
			Server: serverName(server), Group: groupName(group), DataCentre: "dc", Role: role,
			Promised: 1, Received: mark, Applied: mark,
		},
		Address: serverAddress(group, server), Slots: 2, Connections: 16, Incarnation: 1,
	}
}

func commitGroup(b testing.TB, log *singlenode.Log, i int) {
	var members []state.Member
	var voters []cluster.ServerName
	for s := range serversOfAGroup {
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

// BenchmarkCapacity measures what a leader spends by number of groups.
func BenchmarkCapacity(b *testing.B) {
	for _, groups := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("tick/groups=%d", groups), func(b *testing.B) {
			w := newCrowd(b, groups)
			for n := 0; b.Loop(); n++ {
				w.now = w.now.Add(coordinator.TickInterval)
				if n%10 == 0 {
					b.StopTimer()
					w.announceAll()
					b.StartTimer()
				}
				w.c.Tick(w.now)
			}
		})
		b.Run(fmt.Sprintf("announce/groups=%d", groups), func(b *testing.B) {
			w := newCrowd(b, groups)
			for n := 0; b.Loop(); n++ {
				w.announce(n%groups, n%serversOfAGroup)
			}
		})
		b.Run(fmt.Sprintf("heartbeat/groups=%d", groups), func(b *testing.B) {
			w := newCrowd(b, groups)
			for n := 0; b.Loop(); n++ {
				w.beat(n % benchProxies)
			}
		})
		b.Run(fmt.Sprintf("memory/groups=%d", groups), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w := newCrowd(b, groups)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(groups), "B/group")
			runtime.KeepAlive(w)
		})
	}
}
