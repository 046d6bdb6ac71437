package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// InitialVoters returns the voters of a group's first term, in order of name,
// and the highest term that any of them has promised. declared is the number of
// servers that the operators declare for the group; ok is false until as many live
// servers have announced themselves.
func InitialVoters(servers Servers, declared int, now time.Time) (voters []cluster.ServerName, highestPromised cluster.Term, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		server := servers[name]
		if server.IsSilent(now) || server.Leaving {
			continue
		}
		voters = append(voters, name)
	}
	if declared < 1 || len(voters) < declared {
		return nil, 0, false
	}
	// Servers with longer logs come first, so that no data is lost.
	slices.SortStableFunc(voters, func(a, b cluster.ServerName) int {
		return servers[b].Received.Compare(servers[a].Received)
	})
	voters = voters[:declared]
	for _, name := range voters {
		highestPromised = max(highestPromised, servers[name].Promised)
	}
	slices.Sort(voters)
	return voters, highestPromised, true
}

// NextVoters returns the voters that a group with a first term should have next: the
// current ones, or the current ones with one change. If there are fewer than declared,
// a live server is added for which isReady holds; else it replaces a voter that has
// been silent for ReplaceAfter. leaderSince, when this leader was elected, counts as
// the last announcement of a server that hasn't announced itself to this leader.
func NextVoters(current []cluster.ServerName, servers Servers, isReady func(cluster.ServerName) bool, declared int, leaderSince, now time.Time) []cluster.ServerName {
	candidate, found := findCandidate(current, servers, isReady, now)
	if !found {
		return current
	}
	if len(current) < declared {
		return sortedWith(current, candidate)
	}
	for _, name := range current {
		lastAnnounced := leaderSince
		if server, ok := servers[name]; ok {
			lastAnnounced = server.LastAnnounced
		}
		if now.Sub(lastAnnounced) > ReplaceAfter {
			kept := slices.DeleteFunc(slices.Clone(current), func(n cluster.ServerName) bool { return n == name })
			return sortedWith(kept, candidate)
		}
	}
	return current
}

// findCandidate returns the first live server by name that may become a voter.
func findCandidate(current []cluster.ServerName, servers Servers, isReady func(cluster.ServerName) bool, now time.Time) (cluster.ServerName, bool) {
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		server := servers[name]
		if slices.Contains(current, name) || server.IsSilent(now) || server.Leaving || !isReady(name) {
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
