package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/pause"
)

const (
	// maxChangesPerEntry bounds the changes of primaries in one entry of the log.
	maxChangesPerEntry = 256
	// entryInterval is the least time between two entries. It is a few syncs, and
	// small beside a change of primary.
	entryInterval = 5 * time.Millisecond
)

type (
	// primaryWriter collects changes of primaries, so that those that are due at
	// the same time share an entry of the log. It is safe for concurrent use.
	primaryWriter struct {
		mu      sync.Mutex
		pending []primaryWrite
		// added receives a value when pending becomes non-empty.
		added chan struct{}
	}

	// primaryWrite is a change and the function that receives its outcome.
	primaryWrite struct {
		change state.PrimaryChange
		done   func(ctx context.Context, applied bool, err error)
	}
)

func newPrimaryWriter() *primaryWriter { return &primaryWriter{added: make(chan struct{}, 1)} }

// add adds a change. done is called with the outcome, or not at all if the leadership
// ends before.
func (w *primaryWriter) add(change state.PrimaryChange, done func(ctx context.Context, applied bool, err error)) {
	w.mu.Lock()
	w.pending = append(w.pending, primaryWrite{change: change, done: done})
	w.mu.Unlock()
	select {
	case w.added <- struct{}{}:
	default:
	}
}

// take removes and returns the changes for the next entry.
func (w *primaryWriter) take() []primaryWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.pending), maxChangesPerEntry)
	batch := w.pending[:n:n]
	w.pending = w.pending[n:]
	return batch
}

// writePrimaries commits the changes of primaries until ctx ends. Those that are added
// while an entry is being committed share the next one.
func (c *Coordinator) writePrimaries(ctx context.Context, l *leadership) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.writer.added:
		}
		for batch := l.writer.take(); len(batch) > 0 && ctx.Err() == nil; batch = l.writer.take() {
			c.writeBatch(ctx, batch)
			pause.For(ctx, entryInterval)
		}
	}
}

// writeBatch commits changes of primaries in one entry. Only the leader changes
// primaries, and one group's changes follow each other, so a change was applied if the
// state holds it after the commit.
func (c *Coordinator) writeBatch(ctx context.Context, batch []primaryWrite) {
	command := state.Command{Primary: &batch[0].change}
	if len(batch) > 1 {
		command = state.Command{}
		for _, w := range batch {
			command.Primaries = append(command.Primaries, w.change)
		}
	}
	_, err := c.propose(ctx, command)
	primaries := c.options.Machine.View().Primaries
	for _, w := range batch {
		w.done(ctx, err == nil && primaries[w.change.Group] == w.change.To, err)
	}
}
