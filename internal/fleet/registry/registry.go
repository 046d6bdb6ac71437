// Package roster keeps the backend servers that announce themselves. It is
// used by the leading control node, which hears the announcements, and by the
// proxies, which are told; both go only forward.
//
// # Usage
//
//	r := roster.New()
//	changed := r.Announce(server, now)
//	r.Leave("server-1", born, now)
//	r.Expire(now)
//	servers := r.List()
//
// A late announcement (of an earlier start, or with a lower sequence) changes
// nothing. A server that left stays known as gone for TombstoneTime, so that a
// late announcement doesn't bring it back; a new start under its name does.
package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// TombstoneTTL is how long a server that left stays known as gone: far
	// above the time that a cut-off network holds an announcement back.
	TombstoneTTL = 2 * time.Minute
)

type (
	// Server is a backend server as it announced itself.
	Server struct {
		Name       cluster.ServerName
		Group      cluster.GroupName
		Address    netip.AddrPort
		DataCentre cluster.DataCentre
		Slots      int
		Draining   bool
		// Role is the server's own view.
		Role cluster.Role
		// StartedAt tells starts under one name apart.
		StartedAt time.Time
		// Sequence grows with each announcement of one start.
		Sequence uint64
		// ColdUntil is the end of the time in which it is slow after its
		// start.
		ColdUntil time.Time
		// DrainingSince is when control first heard that it drains.
		DrainingSince time.Time
		// LastAnnounced is when the newest announcement came.
		LastAnnounced time.Time
	}

	// Registry holds the servers. It isn't safe for concurrent use.
	Registry struct {
		servers    map[cluster.ServerName]Server
		tombstones map[cluster.ServerName]tombstone
	}

	// tombstone is a start of a server that left.
	tombstone struct {
		startedAt time.Time
		leftAt    time.Time
	}
)

// New returns an empty roster.
func New() *Registry {
	return &Registry{
		servers:    map[cluster.ServerName]Server{},
		tombstones: map[cluster.ServerName]tombstone{},
	}
}

// Register takes an announcement and reports whether it tells something that
// matters beyond the time at which it came.
func (r *Registry) Register(s Server, now time.Time) (changed bool) {
	if t, left := r.tombstones[s.Name]; left && !s.StartedAt.After(t.startedAt) {
		return false
	}
	delete(r.tombstones, s.Name)
	old, known := r.servers[s.Name]
	if known && !newer(old, s) {
		return false
	}
	s.LastAnnounced = now
	s.DrainingSince = drainingSince(old, s, now)
	r.servers[s.Name] = s
	return !known || differs(old, s)
}

// drainingSince keeps the first time at which a start was known to drain. A
// server that says that it drains doesn't take it back.
func drainingSince(old, s Server, now time.Time) time.Time {
	switch {
	case !s.Draining:
		return time.Time{}
	case old.Draining && old.StartedAt.Equal(s.StartedAt):
		return old.DrainingSince
	case !s.DrainingSince.IsZero():
		return s.DrainingSince
	default:
		return now
	}
}

// newer reports whether s was said after old.
func newer(old, s Server) bool {
	if c := s.StartedAt.Compare(old.StartedAt); c != 0 {
		return c > 0
	}
	return s.Sequence > old.Sequence
}

func differs(a, b Server) bool {
	return a.Address != b.Address || a.Group != b.Group || a.Slots != b.Slots || a.Draining != b.Draining ||
		a.Role != b.Role || !a.StartedAt.Equal(b.StartedAt) || a.DataCentre != b.DataCentre
}

// Deregister takes out the start of a server that began at born (zero: whichever is
// known). It reports whether it was known. A later start of the same name isn't
// affected.
func (r *Registry) Deregister(name cluster.ServerName, born, now time.Time) bool {
	s, known := r.servers[name]
	if known && !born.IsZero() && s.StartedAt.After(born) {
		return false
	}
	if s.StartedAt.After(born) {
		born = s.StartedAt
	}
	delete(r.servers, name)
	r.tombstones[name] = tombstone{startedAt: born, leftAt: now}
	return known
}

// Retain drops the servers that aren't named.
func (r *Registry) Retain(names map[cluster.ServerName]bool) {
	for name := range r.servers {
		if !names[name] {
			delete(r.servers, name)
		}
	}
}

// Expire forgets servers that weren't heard for silence, and old tombstones. It
// returns the names of the servers that it dropped.
func (r *Registry) Expire(silence time.Duration, now time.Time) []cluster.ServerName {
	var dropped []cluster.ServerName
	for name, s := range r.servers {
		if now.Sub(s.LastAnnounced) > silence {
			delete(r.servers, name)
			dropped = append(dropped, name)
		}
	}
	for name, t := range r.tombstones {
		if now.Sub(t.leftAt) > TombstoneTTL {
			delete(r.tombstones, name)
		}
	}
	return dropped
}

// Get returns a server.
func (r *Registry) Get(name cluster.ServerName) (Server, bool) {
	s, ok := r.servers[name]
	return s, ok
}

// List returns all servers, sorted by name.
func (r *Registry) List() []Server {
	list := make([]Server, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Group returns the servers of a group, sorted by name.
func (r *Registry) Group(group cluster.GroupName) []Server {
	return slices.DeleteFunc(r.List(), func(s Server) bool { return s.Group != group })
}

// Groups returns the names of the groups that have servers, sorted.
func (r *Registry) Groups() []cluster.GroupName {
	var names []cluster.GroupName
	for _, s := range r.servers {
		names = append(names, s.Group)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
