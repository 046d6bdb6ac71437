package upstream

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/pool"
	"github.com/burdockwood/burdockwood/internal/proxy/watch"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	// unconfirmedAfter is how long a write may wait for its majority before
	// control hears of it.
	unconfirmedAfter = 300 * time.Millisecond

	kindUnconfirmed = "unconfirmed"
)

// ServerUsage is what the proxy holds and wants of one server, and what it may hold.
type ServerUsage struct {
	Server  clusterview.ServerKey
	Granted int
	pool.Usage
}

// ServerUsages returns the connections of all groups at work, and of all servers with
// a grant: control hands a connection on only when it is known to be free.
func (r *Manager) ServerUsages(snapshot *clusterview.Snapshot) []ServerUsage {
	uses := make([]ServerUsage, 0, len(snapshot.Grants))
	seen := make(map[clusterview.ServerKey]bool, len(snapshot.Grants))
	r.each(func(group *Group) {
		for _, server := range group.Servers() {
			seen[server.Key] = true
			granted := snapshot.Grants[server.Key].Connections
			uses = append(uses, ServerUsage{Server: server.Key, Granted: granted, Usage: server.Pool.Usage()})
		}
	})
	for key, grant := range snapshot.Grants {
		if !seen[key] {
			uses = append(uses, ServerUsage{Server: key, Granted: grant.Connections})
		}
	}
	return uses
}

// Suspicions returns the evidence about primaries that this proxy can't use.
func (r *Manager) Suspicions(now time.Time) []*controlpb.Suspicion {
	var suspicions []*controlpb.Suspicion
	r.each(func(group *Group) {
		if suspicion := group.suspicion(now); suspicion != nil {
			suspicions = append(suspicions, suspicion)
		}
	})
	return suspicions
}

// HasSuspicions reports whether there is evidence about any primary.
func (r *Manager) HasSuspicions(now time.Time) bool {
	found := false
	r.each(func(group *Group) {
		found = found || group.suspicion(now) != nil
	})
	return found
}

// suspicion returns the evidence about the group's primary, or nil.
func (g *Group) suspicion(now time.Time) *controlpb.Suspicion {
	state := g.state.Load()
	if state.source == nil || state.source.Primary == "" {
		return nil
	}
	primary := find(state.servers, state.source.Primary)
	if primary == nil {
		return nil
	}
	suspicion := &controlpb.Suspicion{Group: string(g.Name), Term: uint64(state.source.Term)}
	health := primary.Health()
	if health.State != watch.Healthy {
		suspicion.Kind = health.State.String()
		suspicion.SilentMs = milliseconds(now.Sub(health.LastResponse))
		return suspicion
	}
	oldest := g.Tracker.OldestWrite()
	if !oldest.IsZero() && now.Sub(oldest) > unconfirmedAfter {
		suspicion.Kind = kindUnconfirmed
		suspicion.SilentMs = milliseconds(now.Sub(oldest))
		return suspicion
	}
	return nil
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }
