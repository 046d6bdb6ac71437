package coordinator

import (
	"context"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// assumedDrainingTime is how long a new leader assumes that a restored server has
// been draining. The actual time isn't stored; a long one is assumed because the
// server may end at any moment.
const assumedDrainingTime = time.Hour

// restoreServers registers the servers that earlier leaders stored in the
// replicated state.
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

// saveServers stores changed servers in the replicated state until ctx ends. It
// combines changes that accumulate while a command is being committed.
func (c *Coordinator) saveServers(ctx context.Context, l *leadership) error {
	for {
		c.mu.Lock()
		changed := l.changed.Next()
		unsaved := l.takeUnsavedServers()
		c.mu.Unlock()
		if unsaved == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
			continue
		}
		if _, err := c.propose(ctx, state.Command{Servers: unsaved}); err != nil && ctx.Err() == nil {
			c.options.Logger.Info("saving changed servers failed; the next leader gets them from their announcements", "error", err.Error())
		}
	}
}

// takeUnsavedServers returns the changes of servers that aren't saved yet and
// marks them as saved. It returns nil if there are none.
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
