package coordinator

import (
	"context"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
)

// assumedDrainingTime is how long a new leader assumes that a restored server has
// been draining. The actual time isn't stored; a long one is assumed because the
// server may end at any moment.
const assumedDrainingTime = time.Hour

// maxLeaveTime is how long a server may go on after its Leave was received: it waits a second
// for the acknowledgement and then calls another control node. Until it ends, it may be the
// only replica that receives a commit.
const maxLeaveTime = 1500 * time.Millisecond

// saveRetryDelay is the pause after changed servers couldn't be saved.
const saveRetryDelay = 50 * time.Millisecond

// unsavedServers are the servers whose changes aren't in the replicated state yet. Each
// change has a number; callers wait until that is saved.
type unsavedServers struct {
	names map[cluster.ServerName]struct{}
	// forgotten are servers that left and needn't be remembered any more.
	forgotten []cluster.ServerName
	// changes and saved number the last change and the last saved one.
	changes, saved uint64
	// progress wakes those that wait for a change to be saved.
	progress broadcast.Signal
}

func newUnsavedServers() unsavedServers {
	return unsavedServers{names: map[cluster.ServerName]struct{}{}}
}

// add adds a changed server.
func (u *unsavedServers) add(name cluster.ServerName) {
	u.names[name] = struct{}{}
	u.changes++
}

// restoreServers registers the servers that earlier leaders stored in the replicated
// state, and remembers those that left.
func (l *leadership) restoreServers(view *state.State, now time.Time) {
	for name, startedUnixMS := range view.Departed {
		log := view.DepartedLogs[name]
		l.registry.RestoreDeparted(registry.DepartedServer{
			Name: name, Group: log.Group, Address: log.Address, StartedAt: time.UnixMilli(startedUnixMS), DeregisteredAt: now, LogCovered: log.Covered,
		})
	}
	for name, s := range view.Servers {
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
		l.dirty[s.Group] = struct{}{}
	}
}

// missingLogs returns the servers that left a group and whose logs are waited for. A log
// that doesn't come is given up when a silent server would be removed.
func (l *leadership) missingLogs(group cluster.GroupName, now time.Time) []cluster.ServerName {
	var names []cluster.ServerName
	for _, s := range l.registry.MissingLogs(group, now.Add(-announcementTimeout)) {
		names = append(names, s.Name)
	}
	return names
}

// hasUncoveredLogs reports whether a server that left a group has ended and its log is
// missing, so that a check of the replicas may cover it.
func (l *leadership) hasUncoveredLogs(group cluster.GroupName, now time.Time) bool {
	for _, s := range l.registry.MissingLogs(group, now.Add(-announcementTimeout)) {
		if now.Sub(s.DeregisteredAt) >= maxLeaveTime {
			return true
		}
	}
	return false
}

// coverLogs records which of the servers that left a group have logs that aren't needed any
// more, because a replica has all that the primary had when they had ended. It returns
// their names, and has the next leader know of them.
func (l *leadership) coverLogs(group cluster.GroupName, check failover.ReplicaCheck) []cluster.ServerName {
	if !check.Follows {
		return nil
	}
	covered := l.registry.CoverLogs(group, check.FollowsSince.Add(-maxLeaveTime))
	for _, name := range covered {
		l.unsaved.add(name)
	}
	if len(covered) > 0 {
		l.changed.Notify()
	}
	return covered
}

// forgetDeparted removes from the replicated state the servers that left and that the
// registry doesn't remember any more.
func (l *leadership) forgetDeparted() {
	if len(l.view.Departed) == 0 || len(l.unsaved.forgotten) > 0 {
		return
	}
	for name := range l.view.Departed {
		if _, remembered := l.registry.Departed(name); !remembered {
			l.unsaved.forgotten = append(l.unsaved.forgotten, name)
		}
	}
	if len(l.unsaved.forgotten) > 0 {
		l.changed.Notify()
	}
}

// saveServers stores changed servers in the replicated state until ctx ends. It
// combines changes that accumulate while a command is being committed.
func (c *Coordinator) saveServers(ctx context.Context, l *leadership) error {
	for ctx.Err() == nil {
		c.mu.Lock()
		changed := l.changed.Next()
		unsaved, through := l.takeUnsavedServers()
		c.mu.Unlock()
		if unsaved == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
			continue
		}
		_, err := c.propose(ctx, state.Command{Servers: unsaved})
		c.mu.Lock()
		if err == nil {
			l.unsaved.saved = through
			l.unsaved.progress.Notify()
		} else {
			l.returnUnsaved(unsaved)
		}
		c.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			c.options.Logger.Info("saving changed servers failed; trying again", "error", err.Error())
			pause.For(ctx, saveRetryDelay)
		}
	}
	return nil
}

// takeUnsavedServers returns the changes of servers that aren't saved yet, and the
// number of the last one. It returns nil if there are none.
func (l *leadership) takeUnsavedServers() (change *state.ServerChanges, through uint64) {
	if len(l.unsaved.names)+len(l.unsaved.forgotten) == 0 {
		return nil, 0
	}
	change = &state.ServerChanges{
		Put: map[cluster.ServerName]state.Server{}, Forget: l.unsaved.forgotten,
		Departed: map[cluster.ServerName]int64{}, DepartedLogs: map[cluster.ServerName]state.DepartedLog{},
	}
	for name := range l.unsaved.names {
		s, known := l.registry.Get(name)
		if !known {
			change.Drop = append(change.Drop, name)
			if departed, remembered := l.registry.Departed(name); remembered {
				change.Departed[name] = departed.StartedAt.UnixMilli()
				change.DepartedLogs[name] = state.DepartedLog{Group: departed.Group, Address: departed.Address, Covered: departed.LogCovered}
			}
			continue
		}
		change.Put[name] = state.Server{
			Group: s.Group, Address: s.Address, DataCentre: s.DataCentre, Slots: s.Slots, Draining: s.Draining,
			Primary: s.Role == cluster.RolePrimary, StartedUnixMS: s.StartedAt.UnixMilli(), Sequence: s.Sequence,
		}
	}
	clear(l.unsaved.names)
	l.unsaved.forgotten = nil
	return change, l.unsaved.changes
}

// returnUnsaved marks servers as unsaved again after their change couldn't be saved.
func (l *leadership) returnUnsaved(change *state.ServerChanges) {
	for name := range change.Put {
		l.unsaved.names[name] = struct{}{}
	}
	for _, name := range change.Drop {
		l.unsaved.names[name] = struct{}{}
	}
}

// awaitSaved waits until the change with the given number is in the replicated state.
// Errors: ErrNotLeader, and the error of ctx.
func (c *Coordinator) awaitSaved(ctx context.Context, l *leadership, change uint64) error {
	for {
		c.mu.Lock()
		progress, saved := l.unsaved.progress.Next(), l.unsaved.saved
		c.mu.Unlock()
		if saved >= change {
			return nil
		}
		select {
		case <-progress:
		case <-l.ended:
			return ErrNotLeader
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
