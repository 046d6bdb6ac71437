package coordinator

import "time"

const (
	// revisionCost is about what the answers to a proxy's renewals cost the leader
	// for one revision. A series of revisions takes half of its time at most.
	revisionCost = 500 * time.Microsecond
	// maxRevisionInterval bounds the delay of a change.
	maxRevisionInterval = 200 * time.Millisecond
)

// revisionPacer decides when a revision that others follow closely is sent.
type revisionPacer struct {
	// last is when the last revision was sent.
	last time.Time
	// pending is true if there are changes since, which are recorded at the next
	// revision.
	pending bool
	// due receives a value when pending becomes true.
	due chan struct{}
}

func newRevisionPacer() revisionPacer { return revisionPacer{due: make(chan struct{}, 1)} }

// interval returns the least time between two revisions.
func (l *leadership) interval() time.Duration {
	return min(time.Duration(l.leaseCount)*revisionCost, maxRevisionInterval)
}

// advanceRevision returns the revision at which the caller has to record its changes.
// The first change starts a new revision at once, which answers all waiting renewals;
// those that follow within the least interval share the next one.
func (l *leadership) advanceRevision(now time.Time) uint64 {
	l.changed.Notify()
	if now.Sub(l.revisions.last) >= l.interval() {
		l.startRevision(now)
		return l.revision
	}
	if !l.revisions.pending {
		l.revisions.pending = true
		select {
		case l.revisions.due <- struct{}{}:
		default:
		}
	}
	return l.revision + 1
}

// startRevision starts a new revision.
func (l *leadership) startRevision(now time.Time) {
	l.revision++
	l.revisions.last, l.revisions.pending = now, false
	select {
	case <-l.revisions.due:
	default:
	}
	l.revised.Notify()
}

// untilNextRevision returns how long the pending revision has to wait.
func (c *Coordinator) untilNextRevision(l *leadership) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return l.interval() - c.options.Now().Sub(l.revisions.last)
}

// publishRevision starts the pending revision, if there is one.
func (c *Coordinator) publishRevision(l *leadership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.revisions.pending {
		l.startRevision(c.options.Now())
	}
}
