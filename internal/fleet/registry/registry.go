// Package registry keeps the backend servers that announce themselves. The
// leading control node uses it for the announcements that it receives, and each
// proxy for the servers that the leader sends it. In both, an older announcement
// never replaces a newer one.
//
// # Usage
//
//	r := registry.New()
//	changed := r.Register(server, now)
//	r.Deregister("server-1", startedAt, now)
//	expired := r.Expire(timeout, now)
//	servers := r.List()
//	missing := r.MissingLogs("group-1", since)
//
// A server's announcements carry the start time of its process and a sequence
// number. An announcement of an earlier process under the same name, or one of
// the same process whose sequence isn't higher than that of the last one, is
// ignored. The registry remembers a deregistered server for TombstoneTTL, so that
// a delayed announcement doesn't register it again. A later process under the
// same name is registered at once.
package registry

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// TombstoneTTL is how long a deregistered server is remembered. It is
	// far longer than a network partition can delay an announcement.
	TombstoneTTL = 2 * time.Minute
)

type (
	// Server is a backend server as described by its newest announcement.
	Server struct {
		Name       cluster.ServerName
		Group      cluster.GroupName
		Address    netip.AddrPort
		DataCentre cluster.DataCentre
		// Slots is the number of requests that the server executes at once.
		Slots int
		// Draining is true if the server is about to shut down and requests
		// that it gets no new work.
		Draining bool
		// Role is the role that the server itself reports.
		Role cluster.Role
		// StartedAt is the start time of the server's process. It
		// distinguishes successive processes under the same name.
		StartedAt time.Time
		// Sequence increases with each announcement of the same process.
		Sequence uint64
		// ColdUntil is the end of the warm-up time after the start of the
		// process, in which the server responds slowly.
		ColdUntil time.Time
		// DrainingSince is when a control node first received an
		// announcement of this process with Draining set. It is zero if the
		// server doesn't drain.
		DrainingSince time.Time
		// LastAnnounced is when the newest announcement was received.
		LastAnnounced time.Time
	}

	// Registry holds the registered servers. It isn't safe for concurrent
	// use.
	Registry struct {
		servers map[cluster.ServerName]Server
		// groups holds the names of each group's servers.
		groups   map[cluster.GroupName]map[cluster.ServerName]struct{}
		departed departedServers
	}
)

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		servers:  map[cluster.ServerName]Server{},
		groups:   map[cluster.GroupName]map[cluster.ServerName]struct{}{},
		departed: newDepartedServers(),
	}
}

// Register applies an announcement that was received at now. It reports whether
// the announcement registers a new server or changes one; an announcement that
// only confirms a server isn't a change. Older announcements are ignored.
func (r *Registry) Register(s Server, now time.Time) (changed bool) {
	if d, deregistered := r.departed.servers[s.Name]; deregistered && !s.StartedAt.After(d.StartedAt) {
		return false
	}
	r.departed.remove(s.Name)
	old, known := r.servers[s.Name]
	if known && !isNewer(old, s) {
		return false
	}
	s.LastAnnounced = now
	s.DrainingSince = drainingSince(old, s, now)
	if !known || old.Group != s.Group {
		r.remove(s.Name)
		if r.groups[s.Group] == nil {
			r.groups[s.Group] = map[cluster.ServerName]struct{}{}
		}
		r.groups[s.Group][s.Name] = struct{}{}
	}
	r.servers[s.Name] = s
	return !known || hasChanged(old, s)
}

// remove removes a server, if it is registered, and its entry in its group.
func (r *Registry) remove(name cluster.ServerName) {
	s, known := r.servers[name]
	if !known {
		return
	}
	delete(r.servers, name)
	delete(r.groups[s.Group], name)
	if len(r.groups[s.Group]) == 0 {
		delete(r.groups, s.Group)
	}
}

// Confirm records that a server sent, age before now, an announcement with the given
// sequence number that says the same as what is registered (see Server.Digest). It
// returns false if the server isn't registered or if something else is; then the whole
// announcement is needed. A late confirmation changes nothing.
func (r *Registry) Confirm(name cluster.ServerName, sequence, digest uint64, age time.Duration, now time.Time) bool {
	s, known := r.servers[name]
	if !known || s.Digest() != digest {
		return false
	}
	s.Sequence = max(s.Sequence, sequence)
	if heard := now.Add(-age); heard.After(s.LastAnnounced) {
		s.LastAnnounced = heard
	}
	r.servers[name] = s
	return true
}

// drainingSince returns when the server s began to drain: the time recorded in
// old for the same process, else the time in s if it is set, else now. It returns
// the zero time for a server that doesn't drain. A server that has begun to
// drain doesn't stop draining until it ends.
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

// isNewer reports whether s was announced after old.
func isNewer(old, s Server) bool {
	if c := s.StartedAt.Compare(old.StartedAt); c != 0 {
		return c > 0
	}
	return s.Sequence > old.Sequence
}

// hasChanged reports whether two announcements differ. It ignores Sequence,
// ColdUntil, DrainingSince and LastAnnounced.
func hasChanged(a, b Server) bool {
	return a.Address != b.Address || a.Group != b.Group || a.Slots != b.Slots || a.Draining != b.Draining ||
		a.Role != b.Role || !a.StartedAt.Equal(b.StartedAt) || a.DataCentre != b.DataCentre
}

// Deregister removes a server unless the registered process started later than
// startedAt. If startedAt is zero, it removes the server in any case. Deregister
// reports whether it removed a server.
func (r *Registry) Deregister(name cluster.ServerName, startedAt, now time.Time) bool {
	s, known := r.servers[name]
	if known && !startedAt.IsZero() && s.StartedAt.After(startedAt) {
		return false
	}
	if s.StartedAt.After(startedAt) {
		startedAt = s.StartedAt
	}
	r.remove(name)
	if known {
		r.departed.add(DepartedServer{Name: name, Group: s.Group, Address: s.Address, StartedAt: startedAt, DeregisteredAt: now})
	} else {
		r.departed.addUnregistered(name, startedAt, now)
	}
	return known
}

// Remove removes a server without remembering it, so that any announcement of it is
// accepted again.
func (r *Registry) Remove(name cluster.ServerName) { r.remove(name) }

// Retain removes the servers that aren't in names.
func (r *Registry) Retain(names map[cluster.ServerName]bool) {
	for name := range r.servers {
		if !names[name] {
			r.remove(name)
		}
	}
}

// Expire removes the servers whose last announcement is older than timeout, and
// forgets those that were deregistered more than TombstoneTTL ago. It returns the names
// of the removed servers.
func (r *Registry) Expire(timeout time.Duration, now time.Time) []cluster.ServerName {
	var expired []cluster.ServerName
	for name, s := range r.servers {
		if now.Sub(s.LastAnnounced) > timeout {
			r.remove(name)
			expired = append(expired, name)
		}
	}
	r.departed.expire(now)
	return expired
}

// Get returns the server with the given name and whether it is registered.
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

// Len returns the number of servers.
func (r *Registry) Len() int { return len(r.servers) }

// Group returns the servers of a group, sorted by name.
func (r *Registry) Group(group cluster.GroupName) []Server {
	list := make([]Server, 0, len(r.groups[group]))
	for name := range r.groups[group] {
		list = append(list, r.servers[name])
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Groups returns the names of the groups that have servers, sorted.
func (r *Registry) Groups() []cluster.GroupName { return slices.Sorted(maps.Keys(r.groups)) }
