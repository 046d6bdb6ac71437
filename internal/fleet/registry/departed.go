package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// DepartedServer is the last process of a deregistered server. Its log moves to a
	// new server at its address.
	DepartedServer struct {
		Name cluster.ServerName
		// Group and Address are those of its last announcement. An empty group stands
		// for any, if the log isn't covered.
		Group          cluster.GroupName
		Address        netip.AddrPort
		StartedAt      time.Time
		DeregisteredAt time.Time
		// LogCovered is true if no commit that callers may have had acknowledged is
		// only in its log.
		LogCovered bool
	}

	// departedServers are the deregistered servers that are remembered.
	departedServers struct {
		servers map[cluster.ServerName]DepartedServer
		// groups holds the names of each group's servers whose logs aren't covered.
		groups map[cluster.GroupName]map[cluster.ServerName]struct{}
		// coveredUntil is the last CoverLogs of each group. It counts for servers of
		// which the group isn't known.
		coveredUntil map[cluster.GroupName]time.Time
	}
)

func newDepartedServers() departedServers {
	return departedServers{
		servers:      map[cluster.ServerName]DepartedServer{},
		groups:       map[cluster.GroupName]map[cluster.ServerName]struct{}{},
		coveredUntil: map[cluster.GroupName]time.Time{},
	}
}

// addUnregistered adds a process that wasn't registered. It has no log that is known of
// but that of an earlier process under its name.
func (d *departedServers) addUnregistered(name cluster.ServerName, startedAt, now time.Time) {
	s, known := d.servers[name]
	switch {
	case !known:
		s = DepartedServer{Name: name, StartedAt: startedAt, DeregisteredAt: now, LogCovered: true}
	case !startedAt.After(s.StartedAt):
		return
	default:
		s.StartedAt = startedAt
	}
	d.add(s)
}

func (d *departedServers) add(s DepartedServer) {
	d.remove(s.Name)
	d.servers[s.Name] = s
	if s.LogCovered {
		return
	}
	if d.groups[s.Group] == nil {
		d.groups[s.Group] = map[cluster.ServerName]struct{}{}
	}
	d.groups[s.Group][s.Name] = struct{}{}
}

func (d *departedServers) remove(name cluster.ServerName) {
	s, known := d.servers[name]
	if !known {
		return
	}
	delete(d.servers, name)
	delete(d.groups[s.Group], name)
	if len(d.groups[s.Group]) == 0 {
		delete(d.groups, s.Group)
	}
}

func (d *departedServers) expire(now time.Time) {
	for name, s := range d.servers {
		if now.Sub(s.DeregisteredAt) > TombstoneTTL {
			d.remove(name)
		}
	}
}

// RestoreDeparted remembers a server that an earlier leader deregistered.
func (r *Registry) RestoreDeparted(s DepartedServer) { r.departed.add(s) }

// Departed returns the last process of a deregistered server, as far as that is
// remembered.
func (r *Registry) Departed(name cluster.ServerName) (DepartedServer, bool) {
	s, known := r.departed.servers[name]
	return s, known
}

// MissingLogs returns the servers of a group that were deregistered after since and
// whose logs may hold acknowledged commits that no registered server has received: no
// later server of the group is registered at their address, and CoverLogs wasn't called
// for them. They are sorted by name.
func (r *Registry) MissingLogs(group cluster.GroupName, since time.Time) []DepartedServer {
	var missing []DepartedServer
	for name := range r.departed.groups[group] {
		if s := r.departed.servers[name]; s.DeregisteredAt.After(since) && !r.hasSuccessor(s) {
			missing = append(missing, s)
		}
	}
	for name := range r.departed.groups[""] {
		if s := r.departed.servers[name]; s.DeregisteredAt.After(since) && s.DeregisteredAt.After(r.departed.coveredUntil[group]) {
			missing = append(missing, s)
		}
	}
	slices.SortFunc(missing, func(a, b DepartedServer) int { return cmp.Compare(a.Name, b.Name) })
	return missing
}

// hasSuccessor reports whether a server that has the log of s is registered.
func (r *Registry) hasSuccessor(s DepartedServer) bool {
	_, found := r.startedLaterAt(s.Address, s.Group, s.StartedAt)
	return found
}

// Successor returns the server that has the log of one that crashed or left: a later server
// of its group that is registered at its address.
func (r *Registry) Successor(name cluster.ServerName) (cluster.ServerName, bool) {
	if s, registered := r.servers[name]; registered {
		return r.startedLaterAt(s.Address, s.Group, s.StartedAt)
	}
	s, departed := r.departed.servers[name]
	if !departed {
		return "", false
	}
	return r.startedLaterAt(s.Address, s.Group, s.StartedAt)
}

// startedLaterAt returns the newest server of a group that is registered at an address and
// started after startedAt.
func (r *Registry) startedLaterAt(address netip.AddrPort, group cluster.GroupName, startedAt time.Time) (name cluster.ServerName, found bool) {
	if !address.IsValid() {
		return "", false
	}
	for _, s := range r.Group(group) {
		if s.Address == address && s.StartedAt.After(startedAt) {
			name, startedAt, found = s.Name, s.StartedAt, true
		}
	}
	return name, found
}

// CoverLogs records that a registered server has all commits that were acknowledged
// before the servers of a group that were deregistered until then had ended. It returns
// the names of those whose logs weren't covered before, sorted.
func (r *Registry) CoverLogs(group cluster.GroupName, until time.Time) []cluster.ServerName {
	r.departed.coveredUntil[group] = until
	var covered []cluster.ServerName
	for name := range r.departed.groups[group] {
		if s := r.departed.servers[name]; !s.DeregisteredAt.After(until) {
			covered = append(covered, name)
		}
	}
	for _, name := range covered {
		s := r.departed.servers[name]
		s.LogCovered = true
		r.departed.add(s)
	}
	slices.Sort(covered)
	return covered
}
