// Package state is the state that the control nodes replicate when primaries are
// fenced by leases: the operators' configuration document, which the control
// nodes don't interpret, the primary of each group, the proxies that may hold a
// lease and the backend servers.
//
// # Usage
//
//	machine := state.New()
//	command, err := state.Encode(state.Command{AddProxies: []cluster.ProxyName{"proxy-1"}})
//	encoded, err := log.Propose(ctx, command)
//	result, err := state.Decode(encoded)
//	current := machine.View() // immutable; each change publishes a new state
//
// A group's term numbers its successive primaries. The proxies release a term by
// reporting that they no longer use its primary.
//
// Machine.Apply is deterministic and reads no clock, so that all control nodes
// compute the same state from the same log.
package state

import (
	"encoding/json"
	"maps"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// Settled is the phase in which no change of primary is pending. The
	// proxies may use Primary, unless the group has no primary yet.
	Settled Phase = iota
	// Releasing is the phase in which the leader waits until each proxy has
	// reported that it no longer uses the old primary (it has released the
	// old term), or its lease has expired.
	Releasing
	// Promoting is the phase in which Target is promoted to primary.
	Promoting
)

const (
	// snapshotFormatVersion is the format of the snapshots that are written;
	// unpackedFormatVersion is that of releases that don't pack documents, which is read,
	// too.
	snapshotFormatVersion = 2
	unpackedFormatVersion = 1
)

// ErrSnapshot is returned for a snapshot that can't be decoded.
var ErrSnapshot = eris.New("the snapshot of the replicated state can't be decoded")

type (
	// Phase is the progress of a change of primary.
	Phase uint8

	// GroupPrimary is a group's primary and its term, or the pending change of
	// primary.
	GroupPrimary struct {
		// Term increases by one with each change of primary.
		Term  cluster.Term `json:"term"`
		Phase Phase        `json:"phase"`
		// Primary is the primary in force or, while a change is pending, the
		// primary that is being replaced.
		Primary cluster.ServerName `json:"primary"`
		// Target is the server that is being promoted. It is empty unless
		// Phase is Promoting.
		Target cluster.ServerName `json:"target,omitempty"`
		// Planned is true if the old primary is alive and is replaced
		// deliberately. Proxies then let open transactions finish, within a
		// time limit, before they release the term.
		Planned bool `json:"planned,omitempty"`
		// LogTerm is the term in which Primary writes its log, as far as it
		// is known; the actual term may be higher. The backend servers count
		// the terms of their logs themselves, independently of Term. A
		// promotion target has been promoted once it reports to be a primary
		// with a log term above LogTerm.
		LogTerm cluster.Term `json:"log-term,omitempty"`
	}

	// Server is a backend server as of its last announcement that changed
	// anything. A new leader uses it until the server announces itself again.
	Server struct {
		Group      cluster.GroupName  `json:"group"`
		Address    netip.AddrPort     `json:"address"`
		DataCentre cluster.DataCentre `json:"data-centre"`
		// Slots is the number of requests that the server executes at once.
		Slots         int   `json:"slots"`
		Draining      bool  `json:"draining,omitempty"`
		Primary       bool  `json:"primary,omitempty"`
		StartedUnixMS int64 `json:"born-unix-ms"`
		// Sequence increases with each announcement of the same process.
		Sequence uint64 `json:"sequence"`
	}

	// ServerChanges adds, replaces and removes servers.
	ServerChanges struct {
		Put  map[cluster.ServerName]Server `json:"put,omitempty"`
		Drop []cluster.ServerName          `json:"drop,omitempty"`
		// Departed are servers that left, with the start time of their last
		// process in Unix milliseconds; Forget are those to remember no longer.
		Departed map[cluster.ServerName]int64 `json:"departed,omitempty"`
		Forget   []cluster.ServerName         `json:"forget,omitempty"`
		// DepartedLogs says where the logs of the servers in Departed are.
		DepartedLogs map[cluster.ServerName]DepartedLog `json:"departed-logs,omitempty"`
	}

	// DepartedLog is the log of a server that left; see registry.DepartedServer.
	DepartedLog struct {
		Group   cluster.GroupName `json:"group"`
		Address netip.AddrPort    `json:"address"`
		Covered bool              `json:"covered,omitempty"`
	}

	// State is the whole replicated state. It is immutable once published.
	State struct {
		Document  Document                           `json:"document"`
		Primaries map[cluster.GroupName]GroupPrimary `json:"primacies"`
		Proxies   map[cluster.ProxyName]struct{}     `json:"proxies"`
		Servers   map[cluster.ServerName]Server      `json:"servers"`
		// Departed are the servers that left; see ServerChanges. A late
		// announcement of such a process doesn't register it again.
		Departed map[cluster.ServerName]int64 `json:"departed,omitempty"`
		// DepartedLogs has an entry for each server in Departed, unless a release
		// before this field wrote that: its log may be that of any group.
		DepartedLogs map[cluster.ServerName]DepartedLog `json:"departed-logs,omitempty"`
		// LimitFloors are lower bounds of what is left of customers' limits; see
		// allowance.Floors. A customer that isn't listed has none.
		LimitFloors map[customer.Name]int `json:"limit-floors,omitempty"`
	}

	// Command is a change of the state. Exactly one of its fields is set.
	Command struct {
		Document      *Document           `json:"document,omitempty"`
		Primary       *PrimaryChange      `json:"primacy,omitempty"`
		Primaries     []PrimaryChange     `json:"primacies,omitempty"`
		Servers       *ServerChanges      `json:"servers,omitempty"`
		AddProxies    []cluster.ProxyName `json:"join,omitempty"`
		RemoveProxies []cluster.ProxyName `json:"leave,omitempty"`
		// LimitFloors replaces the floors of the customers that it lists; 0 removes one.
		LimitFloors map[customer.Name]int `json:"limit-floors,omitempty"`
	}

	// PrimaryChange replaces the record of a group's primary by To if it is
	// still equal to From.
	PrimaryChange struct {
		Group cluster.GroupName `json:"group"`
		From  GroupPrimary      `json:"from"`
		To    GroupPrimary      `json:"to"`
	}

	// Result is the result of a command.
	Result struct {
		// Applied is true if the command changed the state.
		Applied bool `json:"applied"`
		// Version is the document's version after the command.
		Version uint64 `json:"version"`
	}

	// Machine is the replicated state machine; it implements
	// consensus.StateMachine. View and Changed are safe for
	// concurrent use.
	Machine struct {
		current atomic.Pointer[State]
		changed broadcast.Signal
	}

	snapshot struct {
		Format int    `json:"format"`
		State  *State `json:"state"`
	}
)

var _ consensus.StateMachine = (*Machine)(nil)

// New returns a state machine with an empty state.
func New() *Machine {
	m := &Machine{}
	m.current.Store(newState())
	return m
}

func newState() *State {
	return &State{
		Primaries: map[cluster.GroupName]GroupPrimary{},
		Proxies:   map[cluster.ProxyName]struct{}{},
		Servers:   map[cluster.ServerName]Server{},
		Departed:  map[cluster.ServerName]int64{},
	}
}

// Reset empties the state. It is called before a log is replayed from its
// beginning.
func (m *Machine) Reset() { m.publish(newState()) }

// View returns the current state.
func (m *Machine) View() *State { return m.current.Load() }

// Changed returns a channel that is closed by the next change. Call it before
// View, so that no change is missed.
func (m *Machine) Changed() <-chan struct{} { return m.changed.Next() }

// Encode returns a command in the encoding that Apply expects.
func Encode(c Command) ([]byte, error) {
	encoded, err := json.Marshal(c)
	return encoded, eris.Wrap(err, "encode a command")
}

// Decode decodes the result of a command, as Apply returned it.
func Decode(encoded []byte) (Result, error) {
	var r Result
	err := json.Unmarshal(encoded, &r)
	return r, eris.Wrap(err, "decode the result of a command")
}

// Apply applies a committed command and returns its encoded Result. A command
// that this release can't decode changes nothing.
func (m *Machine) Apply(_ uint64, encoded []byte) []byte {
	next := *m.current.Load()
	var command Command
	var applied bool
	if json.Unmarshal(encoded, &command) == nil {
		applied = next.apply(command)
	}
	if applied {
		m.publish(&next)
	}
	result, err := json.Marshal(Result{Applied: applied, Version: next.Document.Version})
	if err != nil {
		// Encoding can't fail: all fields of Result have encodable types.
		panic(err)
	}
	return result
}

func (s *State) apply(c Command) bool {
	switch {
	case c.Document != nil:
		return s.storeDocument(*c.Document)
	case c.Primary != nil:
		return s.changePrimaries([]PrimaryChange{*c.Primary})
	case len(c.Primaries) > 0:
		return s.changePrimaries(c.Primaries)
	case c.Servers != nil:
		return s.changeServers(*c.Servers)
	case len(c.AddProxies) > 0:
		return s.setProxies(c.AddProxies, true)
	case len(c.LimitFloors) > 0:
		return s.setLimitFloors(c.LimitFloors)
	default:
		return s.setProxies(c.RemoveProxies, false)
	}
}

// storeDocument stores a configuration document if it is newer than the stored one.
func (s *State) storeDocument(d Document) bool {
	if d.Version <= s.Document.Version {
		return false
	}
	s.Document = d
	return true
}

// changePrimaries applies those of the changes whose From still holds. It reports
// whether there were any.
func (s *State) changePrimaries(changes []PrimaryChange) bool {
	next, changed := s.Primaries, false
	for _, c := range changes {
		if next[c.Group] != c.From {
			continue
		}
		if !changed {
			next, changed = maps.Clone(next), true
		}
		next[c.Group] = c.To
	}
	s.Primaries = next
	return changed
}

func (s *State) changeServers(c ServerChanges) bool {
	s.Servers = maps.Clone(s.Servers)
	maps.Copy(s.Servers, c.Put)
	for _, name := range c.Drop {
		delete(s.Servers, name)
	}
	s.Departed = merge(s.Departed, c.Departed, c.Forget)
	outdated := c.Forget
	for name := range c.Departed {
		// A release before DepartedLogs wrote this; an entry is that of an earlier process.
		if _, located := c.DepartedLogs[name]; !located {
			outdated = append(outdated, name)
		}
	}
	s.DepartedLogs = merge(s.DepartedLogs, c.DepartedLogs, outdated)
	return true
}

// merge returns a copy of current with the entries of put and without those of drop, or
// current itself if nothing changes.
func merge[K comparable, V any](current, put map[K]V, drop []K) map[K]V {
	if len(put)+len(drop) == 0 {
		return current
	}
	next := make(map[K]V, len(current)+len(put))
	maps.Copy(next, current)
	maps.Copy(next, put)
	for _, key := range drop {
		delete(next, key)
	}
	return next
}

// setProxies adds proxies to those that may hold a lease, or removes them, and
// reports whether that changed anything.
func (s *State) setProxies(names []cluster.ProxyName, present bool) bool {
	next := maps.Clone(s.Proxies)
	for _, name := range names {
		if present {
			next[name] = struct{}{}
		} else {
			delete(next, name)
		}
	}
	changed := len(next) != len(s.Proxies)
	s.Proxies = next
	return changed
}

// setLimitFloors replaces the floors of some customers.
func (s *State) setLimitFloors(floors map[customer.Name]int) bool {
	next := make(map[customer.Name]int, len(s.LimitFloors)+len(floors))
	maps.Copy(next, s.LimitFloors)
	maps.Copy(next, floors)
	maps.DeleteFunc(next, func(_ customer.Name, floor int) bool { return floor <= 0 })
	s.LimitFloors = next
	return true
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	encoded, err := json.Marshal(snapshot{Format: snapshotFormatVersion, State: m.current.Load()})
	return encoded, eris.Wrap(err, "encode a snapshot")
}

// Restore replaces the state by that of a snapshot. Errors: ErrSnapshot.
func (m *Machine) Restore(encoded []byte) error {
	decoded := snapshot{State: newState()}
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		return eris.Wrapf(ErrSnapshot, "%v", err)
	}
	if decoded.Format != snapshotFormatVersion && decoded.Format != unpackedFormatVersion || decoded.State == nil {
		return eris.Wrapf(ErrSnapshot, "format %d, this release reads %d and %d", decoded.Format, unpackedFormatVersion, snapshotFormatVersion)
	}
	m.publish(decoded.State)
	return nil
}

func (m *Machine) publish(s *State) {
	m.current.Store(s)
	m.changed.Notify()
}

// Usable returns the server that proxies may use as the primary; empty: none, because a
// change is pending.
func (p GroupPrimary) Usable() cluster.ServerName {
	if p.Phase != Settled {
		return ""
	}
	return p.Primary
}

// String returns "settled", "releasing" or "promoting".
func (p Phase) String() string {
	switch p {
	case Settled:
		return "settled"
	case Releasing:
		return "releasing"
	default:
		return "promoting"
	}
}
