package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
)

const (
	// sweepParts is the number of ticks in which the scheduler looks at every group
	// once, also without an event. What a group's primary fails to do, such as
	// announcing itself, shows only with time.
	sweepParts = 5
	// watchTime is how long a group is looked at each tick after the last report
	// of a failure or departure of a server. It is longer than reports count and than a
	// server takes to end.
	watchTime = 3 * time.Second
	// controllerCost is a multiple of what a look costs for one group that is worked
	// on, so that looks take a small part of the processor.
	controllerCost = 100 * time.Microsecond
	// maxLookDelay bounds the delay of a look.
	maxLookDelay = 50 * time.Millisecond
)

// scheduler decides which groups need work. A group that needs none costs a look at its
// state in every sweep. One that does has a groupController that runs until nothing is
// left to do.
type scheduler struct {
	coordinator *Coordinator
	leadership  *leadership
	// background runs the controllers.
	background *errgroup.Group
	// controllers are those that run. finished receives the ones that have ended.
	controllers map[cluster.GroupName]*groupController
	finished    chan cluster.GroupName
	// ineligible keeps, for each group, the servers whose promotion failed; see
	// groupController.ineligibleUntil.
	ineligible map[cluster.GroupName]map[cluster.ServerName]time.Time
	// adopting are the groups whose first primary is being committed.
	adopting map[cluster.GroupName]bool
	// part is the part of the next sweep.
	part int
}

// scheduleGroups looks at groups after events and in sweeps, until ctx ends.
func (c *Coordinator) scheduleGroups(ctx context.Context, l *leadership, background *errgroup.Group) error {
	s := &scheduler{
		coordinator: c, leadership: l, background: background,
		controllers: map[cluster.GroupName]*groupController{}, finished: make(chan cluster.GroupName, 64),
		ineligible: map[cluster.GroupName]map[cluster.ServerName]time.Time{},
		adopting:   map[cluster.GroupName]bool{},
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		changed, groups := l.changed.Next(), slices.Sorted(maps.Keys(l.dirty))
		clear(l.dirty)
		c.mu.Unlock()
		s.look(ctx, groups)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			s.restrain(ctx)
		case group := <-s.finished:
			delete(s.controllers, group)
			delete(s.adopting, group)
			s.look(ctx, []cluster.GroupName{group})
		case <-ticker.C:
			s.look(ctx, s.nextPart())
		}
	}
}

// restrain delays the next look after an event while many groups are worked on. Every
// renewal of hundreds of proxies is an event for each group that waits for them.
func (s *scheduler) restrain(ctx context.Context) {
	if n := len(s.controllers); n > 1 {
		pause.For(ctx, min(time.Duration(n)*controllerCost, maxLookDelay))
	}
}

// nextPart returns the groups of the next part of a sweep, and those of which a server was
// reported to be failing or left lately.
func (s *scheduler) nextPart() []cluster.GroupName {
	l := s.leadership
	now := s.coordinator.options.Now()
	s.coordinator.mu.Lock()
	defer s.coordinator.mu.Unlock()
	var groups []cluster.GroupName
	for part, names := range l.partIndex(l.view).groups {
		if part%sweepParts == s.part {
			groups = append(groups, names...)
		}
	}
	for group, at := range l.watched {
		if now.Sub(at) > watchTime {
			delete(l.watched, group)
			continue
		}
		groups = append(groups, group)
	}
	s.part = (s.part + 1) % sweepParts
	return groups
}

// look has those of the groups that need work worked on.
func (s *scheduler) look(ctx context.Context, groups []cluster.GroupName) {
	now := s.coordinator.options.Now()
	view := s.coordinator.options.Machine.View()
	for _, group := range groups {
		if s.adopting[group] {
			continue
		}
		if g := s.controllers[group]; g != nil {
			g.notify()
			continue
		}
		if _, known := s.coordinator.options.Group(group); !known {
			continue
		}
		p := view.Primaries[group]
		if p.Phase != state.Settled {
			s.start(ctx, group)
			continue
		}
		switch d := failover.Decide(s.coordinator.groupState(s.leadership, group, p, now), now); d.Action {
		case failover.KeepPrimary:
		case failover.AdoptPrimary:
			s.adopt(group, p, d)
		default:
			s.start(ctx, group)
		}
	}
}

// start runs a controller for a group until it has nothing left to do.
func (s *scheduler) start(ctx context.Context, group cluster.GroupName) {
	if s.ineligible[group] == nil {
		s.ineligible[group] = map[cluster.ServerName]time.Time{}
	}
	g := newGroupController(s.coordinator, s.leadership, group, s.background, s.ineligible[group])
	s.controllers[group] = g
	s.background.Go(func() error {
		g.run(ctx)
		s.finish(ctx, group)
		return nil
	})
}

// adopt has the first primary of a group committed, together with those of other groups.
func (s *scheduler) adopt(group cluster.GroupName, p state.GroupPrimary, d failover.Decision) {
	s.adopting[group] = true
	change := state.PrimaryChange{Group: group, From: p, To: state.GroupPrimary{Term: p.Term + 1, Primary: d.Server}}
	s.leadership.writer.add(change, func(ctx context.Context, applied bool, err error) {
		logPrimacy(s.coordinator.options.Logger.V(1).WithValues("group", group), change.To, d.Reason, applied, err)
		s.finish(ctx, group)
	})
}

// finish reports to the scheduler that nothing is left to do for a group.
func (s *scheduler) finish(ctx context.Context, group cluster.GroupName) {
	select {
	case s.finished <- group:
	case <-ctx.Done():
	}
}
