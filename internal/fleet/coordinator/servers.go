package coordinator

import (
	"context"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// assumedDrainingTime stands in for the time for which a server had been draining when
// an earlier leader heard of it: it may end at any moment.
const assumedDrainingTime = time.Hour

// restoreServers fills the roster with the servers that earlier leaders knew.
func (l *leadership) restoreServers(servers map[cluster.ServerName]state.Server, now time.Time) {
	for name, s := range servers {
		server := registry.Server{
			Name: name, Group: s.Group, Address: s.Address, DataCentre: s.DataCentre, Slots: s.Slots,
			Draining: s.Draining, Role: cluster.RoleReplica, StartedAt: time.UnixMilli(s.StartedUnixMS), Sequence: s.Sequence,
		}
		if s.Primary {
			server.Role = cluster.RolePrimary
		}
		if s.Draining {
			server.DrainingSince = now.Add(-assumedDrainingTime)
		}
		l.registry.Register(server, now)
	}
}

// saveServers brings changes of servers into the replicated state, several at a
// time.
func (c *Coordinator) saveServers(ctx context.Context, l *leadership) error {
	for {
		c.mu.Lock()
		changed := l.changed.Next()
		change := l.takeUnsavedServers()
		c.mu.Unlock()
		if change == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
			continue
		}
		if _, err := c.propose(ctx, state.Command{Servers: change}); err != nil && ctx.Err() == nil {
			c.options.Logger.Info("a change of servers wasn't saved; the next leader hears of it from them", "error", err.Error())
		}
	}
}

// takeUnsavedServers returns the change that isn't saved yet; nil: none.
func (l *leadership) takeUnsavedServers() *state.ServerChanges {
	if len(l.unsavedServers) == 0 {
		return nil
	}
	change := &state.ServerChanges{Put: map[cluster.ServerName]state.Server{}}
	for name := range l.unsavedServers {
		s, known := l.registry.Get(name)
		if !known {
			change.Drop = append(change.Drop, name)
			continue
		}
		change.Put[name] = state.Server{
			Group: s.Group, Address: s.Address, DataCentre: s.DataCentre, Slots: s.Slots, Draining: s.Draining,
			Primary: s.Role == cluster.RolePrimary, StartedUnixMS: s.StartedAt.UnixMilli(), Sequence: s.Sequence,
		}
	}
	clear(l.unsavedServers)
	return change
}
