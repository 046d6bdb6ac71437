// Package budget bounds the memory that a process uses for long messages in transit.
//
// # Usage
//
//	b := budget.New(32<<20, budget.Options{Name: "answers", Logger: logger, Registry: registry})
//	hold := b.NewHold()
//	defer hold.Release()
//	if !hold.TryReserve(64 << 10) {
//		// use less memory
//	}
//	if err := hold.Reserve(1<<20, time.Now().Add(time.Second)); err != nil {
//		// budget.ErrExhausted: refuse the message
//	}
//
//	p := budget.NewPair(64<<20, budget.Options{Name: "statements", Logger: logger})
//
// Sizes are in bytes. Short messages aren't counted: those who read messages reserve
// memory only for the part above FreeBytes.
package budget

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"

	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

const (
	// FreeBytes is the length up to which a message needs no reservation.
	FreeBytes = 16 << 10
	// exhaustedLogInterval is the shortest time between two log lines about an
	// exhausted budget.
	exhaustedLogInterval = 10 * time.Second
	// StatementWait and RowWait bound the waits for the memory of a long statement and
	// of a long row. RowWait is shorter than the time after which a server that sends
	// nothing is reported.
	StatementWait = time.Second
	RowWait       = 250 * time.Millisecond
	// RetryAfter is the delay that callers are advised to retry after if there was no
	// memory for their statement: about the time in which the others are sent.
	RetryAfter = 500 * time.Millisecond
)

// ErrExhausted is returned if no memory became free in time.
var ErrExhausted = eris.New("the memory for long messages is in use")

type (
	// Options describe a budget.
	Options struct {
		// Name is the budget's name in logs and metrics.
		Name string
		// Logger receives one line each time that the budget is exhausted.
		Logger logr.Logger
		// Registry receives the metrics; nil: there are none.
		Registry metrics.Registry
	}

	// Budget is an amount of memory that messages share. Waiting reservations are
	// served in the order of their arrival. It is safe for concurrent use. A nil
	// Budget has no limit.
	Budget struct {
		name   string
		limit  int64
		memory *semaphore.Weighted
		logger logr.Logger
		held   atomic.Int64
		// waits and refusals count the reservations that waited, and those that
		// failed.
		waits, refusals gometrics.Counter
		// loggedAt is when the last line about the exhausted budget was logged, in
		// Unix nanoseconds.
		loggedAt atomic.Int64
	}

	// Pair are two budgets, for messages of a medium length and for long ones.
	Pair struct{ Medium, Long *Budget }

	// Hold is the part of a budget that one message uses. It isn't safe for concurrent
	// use.
	Hold struct {
		budget *Budget
		bytes  int64
	}
)

// New returns a budget of limit bytes.
func New(limit int64, options Options) *Budget {
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	metrics.Gauge(options.Registry, "message-memory-limit-bytes", "kind", options.Name).Update(limit)
	b := &Budget{
		name: options.Name, limit: limit, memory: semaphore.NewWeighted(limit), logger: options.Logger,
		waits:    metrics.Counter(options.Registry, "message-memory-waits", "kind", options.Name),
		refusals: metrics.Counter(options.Registry, "message-memory-refusals", "kind", options.Name),
	}
	metrics.GaugeFunc(options.Registry, metrics.Name("message-memory-held-bytes", "kind", options.Name), b.Held)
	return b
}

// NewPair returns two budgets that share limit bytes equally.
func NewPair(limit int64, options Options) Pair {
	long := options
	long.Name = "long-" + options.Name
	return Pair{Medium: New(limit/2, options), Long: New(limit/2, long)}
}

// NewHold returns a hold without memory.
func (b *Budget) NewHold() *Hold { return &Hold{budget: b} }

// Held returns the number of bytes in use.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Reserved reports whether the hold has memory.
func (h *Hold) Reserved() bool { return h.bytes > 0 }

// TryReserve adds n bytes to the hold if they are free, and reports whether it did.
func (h *Hold) TryReserve(n int64) bool {
	if b := h.budget; b != nil && !b.memory.TryAcquire(n) {
		b.refusals.Inc(1)
		b.logExhausted(n)
		return false
	}
	h.add(n)
	return true
}

// Reserve adds n bytes to the hold, and waits until they are free. Errors: ErrExhausted
// at the deadline, or at once if n exceeds the budget.
func (h *Hold) Reserve(n int64, deadline time.Time) error {
	b := h.budget
	if b != nil && !b.memory.TryAcquire(n) {
		b.waits.Inc(1)
		b.logExhausted(n)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		if n > b.limit || b.memory.Acquire(ctx, n) != nil {
			b.refusals.Inc(1)
			return eris.Wrapf(ErrExhausted, "%d bytes of %s, of %d in all", n, b.name, b.limit)
		}
	}
	h.add(n)
	return nil
}

// Release returns the memory of the hold.
func (h *Hold) Release() {
	if b := h.budget; b != nil && h.bytes > 0 {
		b.memory.Release(h.bytes)
		b.held.Add(-h.bytes)
	}
	h.bytes = 0
}

func (h *Hold) add(n int64) {
	h.bytes += n
	if b := h.budget; b != nil {
		b.held.Add(n)
	}
}

// logExhausted logs that the budget is exhausted, unless that was logged lately.
func (b *Budget) logExhausted(n int64) {
	now, last := time.Now().UnixNano(), b.loggedAt.Load()
	if last != 0 && now-last < int64(exhaustedLogInterval) || !b.loggedAt.CompareAndSwap(last, now) {
		return
	}
	b.logger.Info("the memory for long messages is exhausted; they wait or are refused", "kind", b.name,
		"wanted-bytes", n, "held-bytes", b.held.Load(), "limit-bytes", b.limit)
}
