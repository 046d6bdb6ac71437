// Package state is the replicated state of control where primaries are fenced
// by leases: the newest document (the operators' configuration, opaque here),
// the primary of each group and the proxies that may hold a lease.
//
// # Usage
//
//	machine := state.New()
//	command, err := state.Encode(state.Command{Join: []cluster.ProxyName{"proxy-1"}})
//	result, err := log.Propose(ctx, command)
//	view := machine.View() // never changes; a new one after each command
//
// The package implements replica.Machine: Apply is deterministic and reads no
// clock.
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
)

const (
	// Settled is the phase of a group whose primary may be used.
	Settled Phase = iota
	// Releasing is the phase in which proxies give up the old primary.
	Releasing
	// Promoting is the phase in which Target is being made the primary.
	Promoting
)

const snapshotFormat = 1

// ErrSnapshot tells that a snapshot can't be read.
var ErrSnapshot = eris.New("the snapshot of the fleet's state can't be read")

type (
	// Phase tells how far a change of primary has come.
	Phase uint8

	// Document is the operators' configuration as it was sent.
	Document struct {
		// Version is 0 as long as none was stored.
		Version uint64 `json:"version"`
		Body    []byte `json:"body"`
	}

	// GroupPrimary is the primary of a group, or the change that is under way.
	GroupPrimary struct {
		// Term grows by one with each change.
		Term  cluster.Term `json:"term"`
		Phase Phase        `json:"phase"`
		// Primary is the primary in force; while a change is under way, the
		// one that is replaced.
		Primary cluster.ServerName `json:"primary"`
		// Target is the server that is being promoted.
		Target cluster.ServerName `json:"target,omitempty"`
		// Planned tells that the old primary is alive and is replaced on
		// purpose.
		Planned bool `json:"planned,omitempty"`
		// LogTerm is the term of the log that Primary leads, as far as it
		// is known. A server that still takes itself for the primary of a
		// lower one isn't the next primary yet.
		LogTerm cluster.Term `json:"log-term,omitempty"`
	}

	// Server is a backend server as it last announced a change, so that a
	// new leader knows it before it announces itself again.
	Server struct {
		Group         cluster.GroupName  `json:"group"`
		Address       netip.AddrPort     `json:"address"`
		DataCentre    cluster.DataCentre `json:"data-centre"`
		Slots         int                `json:"slots"`
		Draining      bool               `json:"draining,omitempty"`
		Primary       bool               `json:"primary,omitempty"`
		StartedUnixMS int64              `json:"born-unix-ms"`
		Sequence      uint64             `json:"sequence"`
	}

	// ServerChanges replaces and drops servers.
	ServerChanges struct {
		Put  map[cluster.ServerName]Server `json:"put,omitempty"`
		Drop []cluster.ServerName          `json:"drop,omitempty"`
	}

	// State is the whole replicated state. It never changes once published.
	State struct {
		Document  Document                           `json:"document"`
		Primaries map[cluster.GroupName]GroupPrimary `json:"primacies"`
		Proxies   map[cluster.ProxyName]struct{}     `json:"proxies"`
		Servers   map[cluster.ServerName]Server      `json:"servers"`
	}

	// Command is one change; one of its fields is set.
	Command struct {
		Document      *Document           `json:"document,omitempty"`
		Primary       *PrimaryChange      `json:"primacy,omitempty"`
		Servers       *ServerChanges      `json:"servers,omitempty"`
		AddProxies    []cluster.ProxyName `json:"join,omitempty"`
		RemoveProxies []cluster.ProxyName `json:"leave,omitempty"`
	}

	// PrimaryChange replaces a group's primacy if it is still From.
	PrimaryChange struct {
		Group cluster.GroupName `json:"group"`
		From  GroupPrimary      `json:"from"`
		To    GroupPrimary      `json:"to"`
	}

	// Result answers a command.
	Result struct {
		// Applied tells that the command changed the state.
		Applied bool `json:"applied"`
		// Version is the document's version after the command.
		Version uint64 `json:"version"`
	}

	// Machine holds the state; it implements replica.Machine.
	Machine struct {
		view    atomic.Pointer[State]
		changed broadcast.Signal
	}

	snapshot struct {
		Format int    `json:"format"`
		State  *State `json:"state"`
	}
)

var _ consensus.StateMachine = (*Machine)(nil)

// New returns a machine with an empty state.
func New() *Machine {
	m := &Machine{}
	m.view.Store(empty())
	return m
}

func empty() *State {
	return &State{
		Primaries: map[cluster.GroupName]GroupPrimary{},
		Proxies:   map[cluster.ProxyName]struct{}{},
		Servers:   map[cluster.ServerName]Server{},
	}
}

// DiffersOnlyInServers reports whether s differs from an earlier state in the servers
// alone.
func (s *State) DiffersOnlyInServers(earlier *State) bool {
	return s.Document.Version == earlier.Document.Version && maps.Equal(s.Primaries, earlier.Primaries) &&
		maps.Equal(s.Proxies, earlier.Proxies)
}

// Reset empties the state, before a log is replayed from its beginning.
func (m *Machine) Reset() { m.publish(empty()) }

// View returns the present state.
func (m *Machine) View() *State { return m.view.Load() }

// Changed returns a channel that is closed at the next change. Take it before
// View, so that no change is missed.
func (m *Machine) Changed() <-chan struct{} { return m.changed.Next() }

// Encode returns the form of a command that Apply takes.
func Encode(c Command) ([]byte, error) {
	encoded, err := json.Marshal(c)
	return encoded, eris.Wrap(err, "encode a command")
}

// Decode reads the result of a command.
func Decode(encoded []byte) (Result, error) {
	var r Result
	err := json.Unmarshal(encoded, &r)
	return r, eris.Wrap(err, "decode the result of a command")
}

// Apply executes a committed command. One that this release can't read changes
// nothing.
func (m *Machine) Apply(_ uint64, encoded []byte) []byte {
	next := *m.view.Load()
	var command Command
	var applied bool
	if json.Unmarshal(encoded, &command) == nil {
		applied = next.execute(command)
	}
	if applied {
		m.publish(&next)
	}
	result, err := json.Marshal(Result{Applied: applied, Version: next.Document.Version})
	if err != nil {
		// A Result holds no type that can't be encoded.
		panic(err)
	}
	return result
}

func (s *State) execute(c Command) bool {
	switch {
	case c.Document != nil:
		return s.storeDocument(*c.Document)
	case c.Primary != nil:
		return s.changePrimacy(*c.Primary)
	case c.Servers != nil:
		return s.changeServers(*c.Servers)
	case len(c.AddProxies) > 0:
		return s.setProxies(c.AddProxies, true)
	default:
		return s.setProxies(c.RemoveProxies, false)
	}
}

// storeDocument takes a document that is newer than the stored one.
func (s *State) storeDocument(d Document) bool {
	if d.Version <= s.Document.Version {
		return false
	}
	s.Document = d
	return true
}

func (s *State) changePrimacy(c PrimaryChange) bool {
	if s.Primaries[c.Group] != c.From {
		return false
	}
	s.Primaries = maps.Clone(s.Primaries)
	s.Primaries[c.Group] = c.To
	return true
}

func (s *State) changeServers(c ServerChanges) bool {
	s.Servers = maps.Clone(s.Servers)
	maps.Copy(s.Servers, c.Put)
	for _, name := range c.Drop {
		delete(s.Servers, name)
	}
	return true
}

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

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	encoded, err := json.Marshal(snapshot{Format: snapshotFormat, State: m.view.Load()})
	return encoded, eris.Wrap(err, "encode a snapshot")
}

// Restore replaces the whole state. Errors: ErrSnapshot.
func (m *Machine) Restore(encoded []byte) error {
	decoded := snapshot{State: empty()}
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		return eris.Wrapf(ErrSnapshot, "%v", err)
	}
	if decoded.Format != snapshotFormat || decoded.State == nil {
		return eris.Wrapf(ErrSnapshot, "format %d, this release reads %d", decoded.Format, snapshotFormat)
	}
	m.publish(decoded.State)
	return nil
}

func (m *Machine) publish(s *State) {
	m.view.Store(s)
	m.changed.Notify()
}

// String names the phase.
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
