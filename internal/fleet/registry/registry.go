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
	// TombstoneTime is how long a server that left stays known as gone: far
	// above the time that a cut-off network holds an announcement back.
	TombstoneTime = 2 * time.Minute
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
		// Born tells starts under one name apart.
		Born time.Time
		// Sequence grows with each announcement of one start.
		Sequence uint64
		// ColdUntil is the end of the time in which it is slow after its
		// start.
		ColdUntil time.Time
		// DrainingSince is when control first heard that it drains.
		DrainingSince time.Time
		// Heard is when the newest announcement came.
		Heard time.Time
	}

	// Roster holds the servers. It isn't safe for concurrent use.
	Roster struct {
		servers map[cluster.ServerName]Server
		gone    map[cluster.ServerName]tombstone
	}

	// tombstone is a start of a server that left.
	tombstone struct {
		born time.Time
		at   time.Time
	}
)

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		servers: map[cluster.ServerName]Server{},
		gone:    map[cluster.ServerName]tombstone{},
	}
}

// Announce takes an announcement and reports whether it tells something that
// matters beyond the time at which it came.
func (r *Roster) Announce(s Server, now time.Time) (changed bool) {
	if t, left := r.gone[s.Name]; left && !s.Born.After(t.born) {
		return false
	}
	delete(r.gone, s.Name)
	old, known := r.servers[s.Name]
	if known && !newer(old, s) {
		return false
	}
	s.Heard = now
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
	case old.Draining && old.Born.Equal(s.Born):
		return old.DrainingSince
	case !s.DrainingSince.IsZero():
		return s.DrainingSince
	default:
		return now
	}
}

// newer reports whether s was said after old.
func newer(old, s Server) bool {
	if c := s.Born.Compare(old.Born); c != 0 {
		return c > 0
	}
	return s.Sequence > old.Sequence
}

func differs(a, b Server) bool {
	return a.Address != b.Address || a.Group != b.Group || a.Slots != b.Slots || a.Draining != b.Draining ||
		a.Role != b.Role || !a.Born.Equal(b.Born) || a.DataCentre != b.DataCentre
}

// Leave takes out the start of a server that began at born (zero: whichever is
// known). It reports whether it was known. A later start of the same name isn't
// affected.
func (r *Roster) Leave(name cluster.ServerName, born, now time.Time) bool {
	s, known := r.servers[name]
	if known && !born.IsZero() && s.Born.After(born) {
		return false
	}
	if s.Born.After(born) {
		born = s.Born
	}
	delete(r.servers, name)
	r.gone[name] = tombstone{born: born, at: now}
	return known
}

// Retain drops the servers that aren't named.
func (r *Roster) Retain(names map[cluster.ServerName]bool) {
	for name := range r.servers {
		if !names[name] {
			delete(r.servers, name)
		}
	}
}

// Expire forgets servers that weren't heard for silence, and old tombstones. It
// returns the names of the servers that it dropped.
func (r *Roster) Expire(silence time.Duration, now time.Time) []cluster.ServerName {
	var dropped []cluster.ServerName
	for name, s := range r.servers {
		if now.Sub(s.Heard) > silence {
			delete(r.servers, name)
			dropped = append(dropped, name)
		}
	}
	for name, t := range r.gone {
		if now.Sub(t.at) > TombstoneTime {
			delete(r.gone, name)
		}
	}
	return dropped
}

// Get returns a server.
func (r *Roster) Get(name cluster.ServerName) (Server, bool) {
	s, ok := r.servers[name]
	return s, ok
}

// List returns all servers, sorted by name.
func (r *Roster) List() []Server {
	list := make([]Server, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Group returns the servers of a group, sorted by name.
func (r *Roster) Group(group cluster.GroupName) []Server {
	return slices.DeleteFunc(r.List(), func(s Server) bool { return s.Group != group })
}

// Groups returns the names of the groups that have servers, sorted.
func (r *Roster) Groups() []cluster.GroupName {
	var names []cluster.GroupName
	for _, s := range r.servers {
		names = append(names, s.Group)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
