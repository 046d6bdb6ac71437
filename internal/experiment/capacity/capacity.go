// Package capacity builds the state of a control quorum at a chosen size and
// measures what a group, a server, a proxy and a stored change cost in memory,
// processor time and message bytes.
//
// # Usage
//
//	costs, err := capacity.Measure(capacity.Size{Groups: 2778, Proxies: 2700, GroupsPerProxy: 10})
//	fmt.Println(costs)
//
// State machine, coordinator and messages are the real ones. Only the consensus
// protocol is replaced by a log of one node in memory; internal/control/node
// measures the cost of that protocol. There is no network.
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
	// leaseExpiryTime exceeds allocation.MaxLeaseAge. The leader allocates free
	// connections only once all leases of an earlier leader have expired.
	leaseExpiryTime  = 20 * time.Second
	allocateInterval = 250 * time.Millisecond
)

// ErrBuild is returned if the state couldn't be built.
var ErrBuild = eris.New("the state could not be built")

type (
	// Size is the size of the system that one control quorum manages.
	Size struct {
		Groups  int
		Proxies int
		// GroupsPerProxy is the number of groups whose primaries a proxy holds
		// connections to.
		GroupsPerProxy int
	}

	// Costs are the costs at a size. Each time is the mean wall-clock time of a
	// call on a single goroutine.
	Costs struct {
		Size
		// HeapBytes is the live heap of state machine and coordinator.
		HeapBytes uint64
		// SnapshotBytes is the size of a stored snapshot.
		SnapshotBytes int
		// AnnounceTime is the time to record an announcement, HeartbeatTime that
		// to record a proxy's report and UpdateCheckTime that to check whether
		// there are changes for a proxy.
		AnnounceTime    time.Duration
		HeartbeatTime   time.Duration
		UpdateCheckTime time.Duration
		// TickTime is the time of a tick at which no allocation is due.
		TickTime time.Duration
		// AllocateTime is the time of a tick that allocates the connections of
		// all servers.
		AllocateTime time.Duration
		// IdleRequestBytes and IdleResponseBytes are the sizes of the messages of
		// a heartbeat without changes.
		IdleRequestBytes  int
		IdleResponseBytes int
		// GroupResponseBytes is what one changed group adds to a response.
		GroupResponseBytes int
		// ChangeBytes is the heap that one stored change of the declarations
		// takes.
		ChangeBytes uint64
		// ParseTime is the time to parse the declarations.
		ParseTime time.Duration
	}

	// quorum is the control quorum whose state is built: its leader and a log of
	// one node.
	quorum struct {
		size         Size
		stateMachine *state.Machine
		log          *singlenode.Log
		coord        *coordinator.Coordinator
		now          time.Time
	}
)

// String returns the figures as lines of "name value".
func (c Costs) String() string {
	var lines strings.Builder
	fmt.Fprintf(&lines, "groups %d, servers %d, proxies %d, groups per proxy %d\n", c.Groups, c.Groups*serversPerGroup, c.Proxies, c.GroupsPerProxy)
	fmt.Fprintf(&lines, "heap %d KB, snapshot %d KB\n", c.HeapBytes>>10, c.SnapshotBytes>>10)
	fmt.Fprintf(&lines, "announce %v, heartbeat %v, update check %v, tick %v, allocating tick %v, parse %v\n", c.AnnounceTime, c.HeartbeatTime, c.UpdateCheckTime, c.TickTime, c.AllocateTime, c.ParseTime)
	fmt.Fprintf(&lines, "idle request %d B, idle answer %d B, changed group %d B, stored change %d B", c.IdleRequestBytes, c.IdleResponseBytes, c.GroupResponseBytes, c.ChangeBytes)
	return lines.String()
}

// Measure builds the state of the given size and measures its costs. Other
// allocations of the process meanwhile distort the heap figures. Errors: ErrBuild.
func Measure(size Size) (Costs, error) {
	before := heapBytes()
	q, err := build(size)
	if err != nil {
		return Costs{}, err
	}
	costs := Costs{Size: size, HeapBytes: heapBytes() - before}
	snapshot, err := q.stateMachine.Snapshot()
	if err != nil {
		return Costs{}, eris.Wrap(ErrBuild, err.Error())
	}
	costs.SnapshotBytes = len(snapshot)
	costs.AnnounceTime = q.meanTime(func(i int) { _ = q.coord.Announce(q.announcement(i%size.Groups, 0), q.now) })
	costs.HeartbeatTime = q.meanTime(func(i int) { _ = q.coord.Heartbeat(q.heartbeat(i%size.Proxies), q.now) })
	idle := q.heartbeat(0)
	if response, err := q.coord.Respond(idle, q.now); err == nil {
		idle.Revision, idle.Epoch, idle.Version = response.Revision, response.Epoch, response.Version
	}
	costs.UpdateCheckTime = q.meanTime(func(int) { q.coord.HasUpdate(idle, q.now) })
	costs.TickTime = q.meanTime(func(int) { q.coord.Tick(q.now) })
	costs.AllocateTime = q.meanTimeOf(5, func(int) {
		q.now = q.now.Add(allocateInterval)
		q.coord.Tick(q.now)
	})
	text := declarationsText(size.Groups)
	costs.ParseTime = q.meanTimeOf(10, func(int) { _, _ = declaration.Parse(text) })
	costs.IdleRequestBytes = proto.Size(&controlpb.HeartbeatRequest{
		Proxy: "proxy-1234", Incarnation: 1 << 60, Address: "10.1.2.3:6433", DataCentre: "perth-a",
		Version: 8700, Revision: 1 << 20, WaitMs: 1000, LeaderEpoch: 12,
	})
	costs.IdleResponseBytes = proto.Size(&controlpb.HeartbeatResponse{Version: 8700, Revision: 1 << 20, LeaderEpoch: 12})
	costs.GroupResponseBytes = proto.Size(&controlpb.HeartbeatResponse{Groups: []*controlpb.Group{sampleGroup()}})
	costs.ChangeBytes = q.changeBytes(text)
	runtime.KeepAlive(q)
	return costs, nil
}

// build declares the groups, announces their servers, commits the first term of each
// group and reports the proxies' usage.
func build(size Size) (*quorum, error) {
	machine := state.New()
	log := singlenode.New(machine, "control-1", netip.MustParseAddrPort("127.0.0.1:7400"))
	parse := func(string) (coordinator.ParsedDeclarations, error) { return parsedDeclarations(size.Groups), nil }
	q := &quorum{
		size: size, stateMachine: machine, log: log,
		coord: coordinator.New(log, machine, parse),
		now:   time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	if err := q.propose(state.Command{Apply: &state.ApplyDeclarations{Text: declarationsText(size.Groups), ChangeID: "first"}}); err != nil {
		return nil, err
	}
	q.coord.Tick(q.now)
	for group := range size.Groups {
		if err := q.formGroup(group); err != nil {
			return nil, err
		}
	}
	q.now = q.now.Add(leaseExpiryTime)
	for i := range size.Proxies {
		_ = q.coord.Heartbeat(q.heartbeat(i), q.now)
		if err := q.execute(); err != nil {
			return nil, err
		}
	}
	return q, nil
}

// formGroup announces the servers of a group and commits its first term.
func (q *quorum) formGroup(group int) error {
	for server := range serversPerGroup {
		if err := q.coord.Announce(q.announcement(group, server), q.now); err != nil {
			return eris.Wrap(ErrBuild, err.Error())
		}
	}
	if err := q.execute(); err != nil {
		return err
	}
	name := groupName(group)
	voters := make([]cluster.ServerName, 0, serversPerGroup)
	for server := range serversPerGroup {
		voters = append(voters, serverName(server))
	}
	err := q.propose(state.Command{Begin: &state.BeginTerm{Group: name, Reason: state.ReasonFormation, Voters: voters}})
	if err != nil {
		return err
	}
	return q.propose(state.Command{Commit: &state.CommitTerm{Group: name, Term: 1, Primary: voters[0]}})
}

// execute commits the commands among the coordinator's actions and drops the other
// actions.
func (q *quorum) execute() error {
	for {
		select {
		case action := <-q.coord.Actions():
			if action.Command == nil {
				continue
			}
			if err := q.propose(*action.Command); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (q *quorum) propose(command state.Command) error {
	command.UnixMS = q.now.UnixMilli()
	if _, err := state.Propose(context.Background(), q.log, command); err != nil {
		return eris.Wrap(ErrBuild, err.Error())
	}
	return nil
}

// announcement returns the announcement of a server; the first server of a group is
// primary.
func (q *quorum) announcement(group, server int) cluster.Announcement {
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

// heartbeat returns a heartbeat of a proxy that uses the primaries of its groups.
func (q *quorum) heartbeat(proxy int) coordinator.Heartbeat {
	uses := map[coordinator.ServerKey]allocation.Usage{}
	for i := range q.size.GroupsPerProxy {
		key := coordinator.ServerKey{Group: groupName((proxy + i) % q.size.Groups), Server: serverName(0)}
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

// meanTime returns the mean time of a call of fn over 200 calls.
func (q *quorum) meanTime(fn func(i int)) time.Duration { return q.meanTimeOf(rounds, fn) }

// meanTimeOf returns the mean time of a call of fn over n calls, after one call that
// isn't counted.
func (q *quorum) meanTimeOf(n int, fn func(i int)) time.Duration {
	fn(0)
	start := time.Now()
	for i := range n {
		fn(i)
	}
	return time.Since(start) / time.Duration(n)
}

// changeBytes returns the heap that one more stored change takes if the changes
// differ in one line.
func (q *quorum) changeBytes(text string) uint64 {
	before := heapBytes()
	for i := range changeCount {
		changed := strings.Replace(text, "weight: 1", fmt.Sprintf("weight: %d", 2+i), 1)
		id := fmt.Sprintf("change-%d", i)
		_ = q.propose(state.Command{Apply: &state.ApplyDeclarations{Text: changed, Expect: cluster.Version(1 + i), ChangeID: id, Author: "officer"}})
	}
	after := heapBytes()
	if after < before {
		return 0
	}
	return (after - before) / changeCount
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func groupName(i int) cluster.GroupName { return cluster.GroupName(fmt.Sprintf("ledger-%05d", i)) }

func serverName(i int) cluster.ServerName { return cluster.ServerName(fmt.Sprintf("server-%d", i+1)) }

// parsedDeclarations returns n declared groups without parsing their text.
func parsedDeclarations(n int) coordinator.ParsedDeclarations {
	declared := coordinator.ParsedDeclarations{Groups: make(map[cluster.GroupName]coordinator.DeclaredGroup, n)}
	for i := range n {
		declared.Groups[groupName(i)] = coordinator.DeclaredGroup{Servers: serversPerGroup}
	}
	return declared
}

// declarationsText returns declarations of n groups with one selector for each.
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

// sampleGroup returns a group as proxies receive it after a change of primary.
func sampleGroup() *controlpb.Group {
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
