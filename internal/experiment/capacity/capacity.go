// Package capacity builds control's state at a chosen size and measures what a
// group, a server, a proxy and a stored change cost.
//
// # Usage
//
//	figures, err := capacity.Measure(capacity.Size{Groups: 2778, Proxies: 2700})
//	fmt.Println(figures)
//
// The parts are the real ones: state machine, coordinator and messages. Only
// the agreement protocol is replaced by a log of one node in memory, whose cost
// internal/control/node measures, and there is no network.
package capacity

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/singlenode"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	serversPerGroup = 3
	slots           = 5
	connections     = 50
	changeCount     = 200
	rounds          = 200
	settleTime      = 20 * time.Second
	divideInterval  = 250 * time.Millisecond
)

// ErrBuild tells that the state couldn't be built.
var ErrBuild = eris.New("the state could not be built")

type (
	// Size is what one control quorum is responsible for.
	Size struct {
		Groups  int
		Proxies int
		// GroupsPerProxy is the number of groups that a proxy has traffic
		// for.
		GroupsPerProxy int
	}

	// Costs are the costs at a size.
	Costs struct {
		Size
		// HeapBytes is the live heap of the state machine and the
		// coordinator.
		HeapBytes uint64
		// SnapshotBytes is the size of a stored snapshot.
		SnapshotBytes int
		// AnnounceTime, HeartbeatTime and NewsTime are processor times of one
		// announcement, one heartbeat's report and one look for news.
		AnnounceTime    time.Duration
		HeartbeatTime   time.Duration
		UpdateCheckTime time.Duration
		// TickTime is the processor time of one decision on all groups.
		TickTime time.Duration
		// AllocateTime is that of a tick which divides all connections anew.
		AllocateTime time.Duration
		// IdleRequestBytes and IdleAnswerBytes are the messages of a
		// heartbeat without news.
		IdleRequestBytes  int
		IdleResponseBytes int
		// GroupResponseBytes is what one changed group adds to an answer.
		GroupResponseBytes int
		// ChangeBytes is the heap of one stored change of the declarations.
		ChangeBytes uint64
		// ParseTime is the processor time to parse the declarations.
		ParseTime time.Duration
	}

	control struct {
		size    Size
		machine *state.Machine
		log     *singlenode.Log
		c       *coordinator.Coordinator
		now     time.Time
	}
)

// String returns the figures as lines of "name value".
func (f Costs) String() string {
	var lines strings.Builder
	fmt.Fprintf(&lines, "groups %d, servers %d, proxies %d, groups a proxy %d\n", f.Groups, f.Groups*serversPerGroup, f.Proxies, f.GroupsPerProxy)
	fmt.Fprintf(&lines, "heap %d KB, snapshot %d KB\n", f.HeapBytes>>10, f.SnapshotBytes>>10)
	fmt.Fprintf(&lines, "announce %v, heartbeat %v, news %v, tick %v, dividing tick %v, parse %v\n", f.AnnounceTime, f.HeartbeatTime, f.UpdateCheckTime, f.TickTime, f.AllocateTime, f.ParseTime)
	fmt.Fprintf(&lines, "idle request %d B, idle answer %d B, changed group %d B, stored change %d B", f.IdleRequestBytes, f.IdleResponseBytes, f.GroupResponseBytes, f.ChangeBytes)
	return lines.String()
}

// Measure builds the state of the given size and measures its costs. Errors:
// ErrBuild.
func Measure(size Size) (Costs, error) {
	before := heap()
	c, err := build(size)
	if err != nil {
		return Costs{}, err
	}
	figures := Costs{Size: size, HeapBytes: heap() - before}
	snapshot, err := c.machine.Snapshot()
	if err != nil {
		return Costs{}, eris.Wrap(ErrBuild, err.Error())
	}
	figures.SnapshotBytes = len(snapshot)
	figures.AnnounceTime = c.timed(func(i int) { _ = c.c.Announce(c.announcement(i%size.Groups, 0), c.now) })
	figures.HeartbeatTime = c.timed(func(i int) { _ = c.c.Heartbeat(c.beat(i%size.Proxies), c.now) })
	idle := c.beat(0)
	if answer, err := c.c.Respond(idle, c.now); err == nil {
		idle.Revision, idle.Epoch, idle.Version = answer.Revision, answer.Epoch, answer.Version
	}
	figures.UpdateCheckTime = c.timed(func(int) { c.c.HasUpdate(idle, c.now) })
	figures.TickTime = c.timed(func(int) { c.c.Tick(c.now) })
	figures.AllocateTime = c.timedRounds(5, func(int) {
		c.now = c.now.Add(divideInterval)
		c.c.Tick(c.now)
	})
	text := declarationsText(size.Groups)
	figures.ParseTime = c.timedRounds(10, func(int) { _, _ = declaration.Parse(text) })
	figures.IdleRequestBytes = proto.Size(&controlpb.HeartbeatRequest{
		Proxy: "proxy-1234", Incarnation: 1 << 60, Address: "10.1.2.3:6433", DataCentre: "perth-a",
		Version: 8700, Revision: 1 << 20, WaitMs: 1000, LeaderEpoch: 12,
	})
	figures.IdleResponseBytes = proto.Size(&controlpb.HeartbeatResponse{Version: 8700, Revision: 1 << 20, LeaderEpoch: 12})
	figures.GroupResponseBytes = proto.Size(&controlpb.HeartbeatResponse{Groups: []*controlpb.Group{groupMessage()}})
	figures.ChangeBytes = c.changeBytes(text)
	runtime.KeepAlive(c)
	return figures, nil
}

// build declares the groups, lets all servers announce themselves until each
// group has a primary, and registers the proxies.
func build(size Size) (*control, error) {
	machine := state.New()
	log := singlenode.New(machine, "control-1", netip.MustParseAddrPort("127.0.0.1:7400"))
	parse := func(string) (coordinator.Declared, error) { return declaredGroups(size.Groups), nil }
	c := &control{
		size: size, machine: machine, log: log,
		c:   coordinator.New(log, machine, parse),
		now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	if err := c.propose(state.Command{Apply: &state.ApplyDeclarations{Text: declarationsText(size.Groups), ChangeID: "first"}}); err != nil {
		return nil, err
	}
	c.c.Tick(c.now)
	for group := range size.Groups {
		if err := c.form(group); err != nil {
			return nil, err
		}
	}
	c.now = c.now.Add(settleTime)
	for i := range size.Proxies {
		_ = c.c.Heartbeat(c.beat(i), c.now)
		if err := c.execute(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// form lets the servers of a group announce themselves and commits its term.
func (c *control) form(group int) error {
	for server := range serversPerGroup {
		if err := c.c.Announce(c.announcement(group, server), c.now); err != nil {
			return eris.Wrap(ErrBuild, err.Error())
		}
	}
	if err := c.execute(); err != nil {
		return err
	}
	name := groupName(group)
	voters := make([]cluster.ServerName, 0, serversPerGroup)
	for server := range serversPerGroup {
		voters = append(voters, serverName(server))
	}
	err := c.propose(state.Command{Begin: &state.BeginTerm{Group: name, Reason: state.ReasonFormation, Voters: voters}})
	if err != nil {
		return err
	}
	return c.propose(state.Command{Commit: &state.CommitTerm{Group: name, Term: 1, Primary: voters[0]}})
}

// execute commits the commands that the coordinator asks for.
func (c *control) execute() error {
	for {
		select {
		case action := <-c.c.Actions():
			if action.Command == nil {
				continue
			}
			if err := c.propose(*action.Command); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (c *control) propose(command state.Command) error {
	command.UnixMS = c.now.UnixMilli()
	if _, err := state.Propose(context.Background(), c.log, command); err != nil {
		return eris.Wrap(ErrBuild, err.Error())
	}
	return nil
}

func (c *control) announcement(group, server int) cluster.Announcement {
	role := cluster.RoleReplica
	if server == 0 {
		role = cluster.RolePrimary
	}
	position := cluster.LogPosition{Term: 1, Position: 100}
	return cluster.Announcement{
		ServerStatus: cluster.ServerStatus{
			Server: serverName(server), Group: groupName(group), DataCentre: "perth-a", Role: role,
			Promised: 1, Received: position, Applied: position,
		},
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(group >> 8), byte(group), byte(server + 1)}), 5432),
		Slots:       slots,
		Connections: connections,
		Labels:      cluster.Labels{"tier": "payroll"},
		Incarnation: 1,
	}
}

func (c *control) beat(proxy int) coordinator.Heartbeat {
	uses := map[coordinator.ServerKey]allocation.Usage{}
	for i := range c.size.GroupsPerProxy {
		key := coordinator.ServerKey{Group: groupName((proxy + i) % c.size.Groups), Server: serverName(0)}
		uses[key] = allocation.Usage{Open: 1, Demand: 1}
	}
	return coordinator.Heartbeat{
		Proxy:       cluster.ProxyName(fmt.Sprintf("proxy-%d", proxy)),
		Incarnation: 1,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(proxy >> 8), byte(proxy)}), 6433),
		DataCentre:  "perth-a",
		Version:     1,
		Usage:       uses,
	}
}

// timed returns the mean time of fn.
func (c *control) timed(fn func(i int)) time.Duration { return c.timedRounds(rounds, fn) }

func (c *control) timedRounds(n int, fn func(i int)) time.Duration {
	fn(0)
	begun := time.Now()
	for i := range n {
		fn(i)
	}
	return time.Since(begun) / time.Duration(n)
}

// changeBytes returns the heap that one more stored change takes when the
// changes differ in one line.
func (c *control) changeBytes(text string) uint64 {
	before := heap()
	for i := range changeCount {
		changed := strings.Replace(text, "weight: 1", fmt.Sprintf("weight: %d", 2+i), 1)
		id := fmt.Sprintf("change-%d", i)
		_ = c.propose(state.Command{Apply: &state.ApplyDeclarations{Text: changed, Expect: cluster.Version(1 + i), ChangeID: id, Author: "officer"}})
	}
	after := heap()
	if after < before {
		return 0
	}
	return (after - before) / changeCount
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func groupName(i int) cluster.GroupName { return cluster.GroupName(fmt.Sprintf("ledger-%05d", i)) }

func serverName(i int) cluster.ServerName { return cluster.ServerName(fmt.Sprintf("server-%d", i+1)) }

func declaredGroups(n int) coordinator.Declared {
	declared := coordinator.Declared{Groups: make(map[cluster.GroupName]coordinator.DeclaredGroup, n)}
	for i := range n {
		declared.Groups[groupName(i)] = coordinator.DeclaredGroup{Servers: serversPerGroup}
	}
	return declared
}

// declarationsText declares n groups, one selector for each.
func declarationsText(n int) string {
	var text strings.Builder
	text.WriteString("format: burdockwood-1\ngroups:\n")
	for i := range n {
		fmt.Fprintf(&text, "  - name: %s\n    labels: {ledger: \"%d\"}\n    servers: 3\n", groupName(i), i)
	}
	text.WriteString("selectors:\n")
	for i := range n {
		fmt.Fprintf(&text, "  - name: callers-%d\n    priority: 10\n    callers: {databases: [%s]}\n    groups: {ledger: \"%d\"}\n    tenant: guild\n    weight: 1\n", i, groupName(i), i)
	}
	return text.String()
}

// groupMessage is a group as proxies hear of it after a change of primary.
func groupMessage() *controlpb.Group {
	message := &controlpb.Group{Name: "ledger-00001", Term: 48, Primary: "server-2", Revision: 1 << 20}
	for i := range serversPerGroup {
		message.Voters = append(message.Voters, string(serverName(i)))
		message.Members = append(message.Members, &controlpb.Member{
			Server: string(serverName(i)), Address: "10.1.2.3:5432", DataCentre: "perth-a",
			Slots: slots, Connections: connections, Labels: map[string]string{"tier": "payroll"},
		})
	}
	return message
}
