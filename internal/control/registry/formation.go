package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// InitialVoters returns the voters of a group's first term, in order of name,
// once the declared number of servers is announced, and the highest term that
// any of them has promised.
func InitialVoters(known Servers, declared int, now time.Time) (voters []cluster.ServerName, above cluster.Term, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(known)) {
		server := known[name]
		if server.IsSilent(now) || server.Leaving {
			continue
		}
		voters = append(voters, name)
	}
	if declared < 1 || len(voters) < declared {
		return nil, 0, false
	}
	// Servers with a log come before empty ones, so that no data is left out.
	slices.SortStableFunc(voters, func(a, b cluster.ServerName) int {
		return known[b].Received.Compare(known[a].Received)
	})
	voters = voters[:declared]
	for _, name := range voters {
		above = max(above, known[name].Promised)
	}
	slices.Sort(voters)
	return voters, above, true
}

// NextVoters returns the voters that a formed group should have: the present
// ones, with each that has been silent for ReplaceAfter replaced by a live
// server that is ready, and filled up to the declared number. It never
// replaces or adds more than one server at a time.
func NextVoters(present []cluster.ServerName, known Servers, ready func(cluster.ServerName) bool, declared int, since, now time.Time) []cluster.ServerName {
	candidate, found := spare(present, known, ready, now)
	if !found {
		return present
	}
	if len(present) < declared {
		return sortedWith(present, candidate)
	}
	for _, name := range present {
		heard := since
		if server, ok := known[name]; ok {
			heard = server.LastAnnounced
		}
		if now.Sub(heard) > ReplaceAfter {
			kept := slices.DeleteFunc(slices.Clone(present), func(n cluster.ServerName) bool { return n == name })
			return sortedWith(kept, candidate)
		}
	}
	return present
}

func spare(present []cluster.ServerName, known Servers, ready func(cluster.ServerName) bool, now time.Time) (cluster.ServerName, bool) {
	for _, name := range slices.Sorted(maps.Keys(known)) {
		server := known[name]
		if slices.Contains(present, name) || server.IsSilent(now) || server.Leaving || !ready(name) {
			continue
		}
		return name, true
	}
	return "", false
}

func sortedWith(names []cluster.ServerName, name cluster.ServerName) []cluster.ServerName {
	next := append(slices.Clone(names), name)
	slices.Sort(next)
	return next
}
