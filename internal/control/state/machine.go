package state

import (
	"encoding/json"
	"errors"
	"maps"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/broadcast"
)

// snapshotFormat is the version of the encoding of snapshots. A newer release
// reads every older format.
const snapshotFormat = 1

type (
	// Machine is the replicated state machine of control; see
	// internal/control/consensus.
	Machine struct {
		view    atomic.Pointer[State]
		changed broadcast.Signal
	}

	snapshot struct {
		Format int    `json:"format"`
		State  *State `json:"state"`
	}
)

// New returns a state machine with an empty state.
func New() *Machine {
	m := &Machine{}
	m.view.Store(emptyState())
	return m
}

// View returns the current state, which is immutable.
func (m *Machine) View() *State { return m.view.Load() }

// Changed returns a channel that is closed at the next change of the state.
// Call it before View, so that no change is missed.
func (m *Machine) Changed() <-chan struct{} { return m.changed.Next() }

// Apply executes a committed command and returns its encoded result. A command
// that this release doesn't know changes nothing but the index.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	next := *m.view.Load()
	next.Index = index
	result := next.execute(command)
	m.publish(&next)
	encoded, err := json.Marshal(result)
	if err != nil {
		// A Result holds only types that can be encoded.
		panic(err)
	}
	return encoded
}

// Snapshot returns the whole state in its versioned encoding.
func (m *Machine) Snapshot() ([]byte, error) {
	encoded, err := json.Marshal(snapshot{Format: snapshotFormat, State: m.view.Load()})
	if err != nil {
		return nil, eris.Wrap(errors.Join(ErrBadSnapshot, err), "encode")
	}
	return encoded, nil
}

// Restore replaces the whole state by that of a snapshot. Errors:
// ErrBadSnapshot.
func (m *Machine) Restore(encoded []byte) error {
	decoded := snapshot{State: emptyState()}
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		return eris.Wrap(errors.Join(ErrBadSnapshot, err), "decode")
	}
	if decoded.Format > snapshotFormat || decoded.State == nil {
		return eris.Wrapf(ErrBadSnapshot, "format %d, this release reads up to %d", decoded.Format, snapshotFormat)
	}
	m.publish(decoded.State)
	return nil
}

func (m *Machine) publish(next *State) {
	m.view.Store(next)
	m.changed.Notify()
}

func emptyState() *State {
	return &State{
		ApplyResults: ApplyResults{ByID: map[string]ApplyResult{}},
	}
}

// execute executes a command on s. s is a copy that shares its maps and slices
// with the previous state, so each handler replaces those that it changes.
func (s *State) execute(encoded []byte) Result {
	var command Command
	if err := json.Unmarshal(encoded, &command); err != nil {
		return Result{Reason: "the command can't be read"}
	}
	if command.Format > commandFormat {
		return Result{Reason: "the command is of a newer release"}
	}
	switch {
	case command.Apply != nil:
		return s.apply(*command.Apply, command.UnixMS)
	case command.Members != nil:
		return s.setMembers(*command.Members)
	case command.Begin != nil:
		return s.beginTerm(*command.Begin)
	case command.Commit != nil:
		return s.commitTerm(*command.Commit)
	case command.Drain != nil:
		return s.setDrain(*command.Drain)
	case command.Keys != nil:
		return s.addMarkKey(*command.Keys, command.UnixMS)
	case command.Proxy != nil:
		return s.setProxy(*command.Proxy)
	default:
		return Result{Reason: "the command is unknown to this release"}
	}
}

func (s *State) setDrain(command SetDrain) Result {
	drains := withEntry(s.Drains, command.Key, true)
	if command.Undo {
		delete(drains, command.Key)
	}
	s.Drains = drains
	return Result{Done: true}
}

func (s *State) addMarkKey(command AddMarkKey, unixMS int64) Result {
	if len(s.MarkKeys) > 0 && s.MarkKeys[0] != command.Newest {
		return Result{Reason: "another key was added first"}
	}
	keys := append([]string{command.Key}, s.MarkKeys...)
	s.MarkKeys = keys[:min(len(keys), MaxMarkKeys)]
	s.KeyUnixMS = unixMS
	return Result{Done: true}
}

func (s *State) setProxy(command SetProxy) Result {
	previous, registered := s.Proxies[command.Proxy.Name]
	if registered && previous.Incarnation > command.Proxy.Incarnation {
		return Result{Reason: "a newer incarnation is registered"}
	}
	command.Proxy.Sequence = s.Index
	if registered {
		command.Proxy.Sequence = previous.Sequence
	}
	proxies := withEntry(s.Proxies, command.Proxy.Name, command.Proxy)
	if command.Remove {
		delete(proxies, command.Proxy.Name)
	}
	s.Proxies = proxies
	return Result{Done: true}
}

// withEntry returns a copy of a map with one entry set.
func withEntry[K comparable, V any](original map[K]V, key K, value V) map[K]V {
	next := maps.Clone(original)
	if next == nil {
		next = map[K]V{}
	}
	next[key] = value
	return next
}
