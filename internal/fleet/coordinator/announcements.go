package coordinator

import (
	"context"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// maxLoggedChanges bounds the changed servers of one batch that are logged one by one.
const maxLoggedChanges = 16

type (
	// Announcement is what a backend server says of itself.
	Announcement struct {
		Server registry.Server
		// Leaving is true if the server shuts down. Only its name and start
		// time count then.
		Leaving bool
	}

	// Confirmation says that a server sent an announcement that repeats what the
	// sender of the batch knows of it; see registry.Registry.Confirm.
	Confirmation struct {
		Name     cluster.ServerName
		Sequence uint64
		Digest   uint64
		// Age is the time since the announcement was received.
		Age time.Duration
	}
)

// Announce records the announcement of a backend server. Errors: those of
// AnnounceBatch.
func (c *Coordinator) Announce(ctx context.Context, server registry.Server, leaving bool) error {
	_, err := c.AnnounceBatch(ctx, []Announcement{{Server: server, Leaving: leaving}}, nil)
	return err
}

// AnnounceBatch records announcements of backend servers. It returns the confirmed
// servers whose whole announcement is needed. If servers drain or leave, or change anything
// in a group with synchronous replication, it returns once that is in the replicated state:
// the next leader has to know which servers may have acknowledged commits. Errors:
// ErrNotLeader, and the error of ctx.
func (c *Coordinator) AnnounceBatch(ctx context.Context, announcements []Announcement, confirmations []Confirmation) (needed []cluster.ServerName, err error) {
	l, err := c.currentLeadership()
	if err != nil {
		return nil, err
	}
	synchronous := c.synchronousGroups(announcements)
	c.mu.Lock()
	changed, durable := l.recordAnnouncements(announcements, synchronous, c.options.Now())
	for _, f := range confirmations {
		if !l.registry.Confirm(f.Name, f.Sequence, f.Digest, f.Age, c.options.Now()) {
			needed = append(needed, f.Name)
		}
	}
	c.mu.Unlock()
	c.logChanges(changed)
	if durable == 0 {
		return needed, nil
	}
	return needed, c.awaitSaved(ctx, l, durable)
}

// synchronousGroups returns those of the announcements' groups that replicate
// synchronously.
func (c *Coordinator) synchronousGroups(announcements []Announcement) map[cluster.GroupName]bool {
	synchronous := map[cluster.GroupName]bool{}
	for _, a := range announcements {
		if syncReplication, _ := c.options.Group(a.Server.Group); syncReplication {
			synchronous[a.Server.Group] = true
		}
	}
	return synchronous
}

// recordAnnouncements applies announcements to the registry and returns those that
// changed it. durable is the number of the last change that has to be saved before the
// batch is answered; zero: none. Each change of a synchronous group has to be.
func (l *leadership) recordAnnouncements(announcements []Announcement, synchronous map[cluster.GroupName]bool, now time.Time) (changed []Announcement, durable uint64) {
	for _, a := range announcements {
		old, known := l.registry.Get(a.Server.Name)
		if a.Leaving && !l.registry.Deregister(a.Server.Name, a.Server.StartedAt, now) || !a.Leaving && !l.registry.Register(a.Server, now) {
			continue
		}
		changed = append(changed, a)
		l.unsaved.add(a.Server.Name)
		if known {
			l.dirty[old.Group] = struct{}{}
		}
		if a.Leaving {
			l.watched[old.Group] = now
		} else {
			l.dirty[a.Server.Group] = struct{}{}
		}
		if a.Leaving || a.Server.Draining || synchronous[a.Server.Group] {
			durable = l.unsaved.changes
		}
	}
	if len(changed) == 0 {
		return nil, 0
	}
	revision := l.advanceRevision(now)
	for _, a := range changed {
		if a.Leaving {
			l.serverLog.Remove(a.Server.Name, revision)
		} else {
			l.serverLog.Put(a.Server.Name, revision)
		}
	}
	return changed, durable
}

// logChanges logs changed servers: one by one, or their number if there are many.
func (c *Coordinator) logChanges(changed []Announcement) {
	if len(changed) > maxLoggedChanges {
		c.options.Logger.Info("servers changed", "servers", len(changed))
		return
	}
	for _, a := range changed {
		s := a.Server
		c.options.Logger.Info("server changed", "server", s.Name, "group", s.Group, "address", s.Address.String(),
			"role", s.Role.String(), "draining", s.Draining, "left", a.Leaving, "sequence", s.Sequence)
	}
}
