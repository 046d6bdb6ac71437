package upstream

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/pool"
	"github.com/burdockwood/burdockwood/internal/proxy/watch"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	// reportUnconfirmedAfter is how long a write may wait for its confirmation
	// by a majority before the proxy reports the primary to control.
	reportUnconfirmedAfter = 300 * time.Millisecond

	kindUnconfirmed = "unconfirmed"
)

// ServerUsage is the number of connections to one server that control has granted
// to the proxy (Granted), that the proxy has open, and that it could use at present
// (Usage.Open and Usage.Demand).
type ServerUsage struct {
	Server  clusterview.ServerKey
	Granted int
	pool.Usage
}

// ServerUsages returns the usage of the servers of all active groups, and of all
// other servers with a grant. The latter are included because control grants a
// connection to another proxy only once this proxy has reported that it doesn't
// use it.
func (m *Manager) ServerUsages(snapshot *clusterview.Snapshot) []ServerUsage {
	usages := make([]ServerUsage, 0, len(snapshot.Grants))
	seen := make(map[clusterview.ServerKey]bool, len(snapshot.Grants))
	m.each(func(group *Group) {
		for _, server := range group.Servers() {
			seen[server.Key] = true
			granted := snapshot.Grants[server.Key].Connections
			usages = append(usages, ServerUsage{Server: server.Key, Granted: granted, Usage: server.Pool.Usage()})
		}
	})
	for key, grant := range snapshot.Grants {
		if !seen[key] {
			usages = append(usages, ServerUsage{Server: key, Granted: grant.Connections})
		}
	}
	return usages
}

// Suspicions returns a report for control on each primary that this proxy can't
// use.
func (m *Manager) Suspicions(now time.Time) []*controlpb.Suspicion {
	var suspicions []*controlpb.Suspicion
	m.each(func(group *Group) {
		if suspicion := group.suspicion(now); suspicion != nil {
			suspicions = append(suspicions, suspicion)
		}
	})
	return suspicions
}

// HasSuspicions reports whether there is any primary that this proxy can't use.
func (m *Manager) HasSuspicions(now time.Time) bool {
	found := false
	m.each(func(group *Group) {
		found = found || group.suspicion(now) != nil
	})
	return found
}

// suspicion returns a report on the group's primary if its last poll failed or a
// write waits too long for its confirmation, else nil.
func (g *Group) suspicion(now time.Time) *controlpb.Suspicion {
	state := g.state.Load()
	if state.topology == nil || state.topology.Primary == "" {
		return nil
	}
	primary := findServer(state.servers, state.topology.Primary)
	if primary == nil {
		return nil
	}
	suspicion := &controlpb.Suspicion{Group: string(g.Name), Term: uint64(state.topology.Term)}
	health := primary.Health()
	if health.State != watch.Healthy {
		suspicion.Kind = health.State.String()
		// SilentMs is how long the problem has lasted, whatever its kind.
		suspicion.SilentMs = milliseconds(now.Sub(health.LastResponse))
		return suspicion
	}
	oldestPendingWrite := g.Tracker.OldestPendingWriteStart()
	if !oldestPendingWrite.IsZero() && now.Sub(oldestPendingWrite) > reportUnconfirmedAfter {
		suspicion.Kind = kindUnconfirmed
		suspicion.SilentMs = milliseconds(now.Sub(oldestPendingWrite))
		return suspicion
	}
	return nil
}

// milliseconds returns d in milliseconds, or 0 if d is negative.
func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }
