// Package watch asks one backend server for its status, for everyone in the
// proxy who wants to know.
//
// # Usage
//
//	w := watch.New(watch.Options{Dial: dial, Tracker: tracker, Server: name, ...})
//	group.Go(func() error { return w.Polls(ctx) })
//	group.Go(func() error { return w.Waits(ctx) })
//
// Polls has at most one poll in flight and sends the next as soon as somebody
// needs a newer answer, or after the interval. Waits uses a connection of its
// own, so that a server that waits for a log entry doesn't delay the polls.
package watch

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/proxy/confirm"
)

const (
	// DefaultInterval is the time between polls that nobody asks for.
	DefaultInterval = 50 * time.Millisecond
	// PollTimeout bounds one poll; a server that takes longer is silent.
	PollTimeout = 300 * time.Millisecond

	// idleFactor multiplies the interval while the server is idle.
	idleFactor = 10

	dialTimeout = 300 * time.Millisecond
	waitTime    = 100 * time.Millisecond
	waitTimeout = 400 * time.Millisecond
	retryPause  = 20 * time.Millisecond
)

const (
	// Healthy is a server whose last poll was answered.
	Healthy HealthState = iota
	// Refused is a server that refuses connections.
	Refused
	// Reset is a server that breaks connections.
	Reset
	// Timeout is a server that doesn't answer.
	Timeout
)

type (
	// HealthState is how a server fails.
	HealthState uint8

	// Dial opens the platform interface of a server.
	Dial func(ctx context.Context) (adapter.Server, error)

	// Options of a watcher.
	Options struct {
		Dial    Dial
		Tracker *confirm.Tracker
		Server  cluster.ServerName
		// Interval is the time between polls that nobody asks for; zero:
		// DefaultInterval.
		Interval time.Duration
		// IsIdle, if set, reports that no request has used the server lately:
		// it is polled less often then.
		IsIdle func() bool
		// OnFailure, if set, is called when the health changes.
		OnFailure func()
	}

	// Health is how a server answers the watcher.
	Health struct {
		State HealthState
		// LastResponse is when the server last answered, or when the watcher began
		// to ask.
		LastResponse time.Time
	}

	// Watcher watches one server.
	Watcher struct {
		options Options
		polls   chan struct{}
		waits   chan struct{}
		health  atomic.Pointer[Health]
	}
)

// String returns the word that control knows.
func (k HealthState) String() string {
	switch k {
	case Refused:
		return "refused"
	case Reset:
		return "reset"
	case Timeout:
		return "timeout"
	default:
		return "healthy"
	}
}

// New returns a watcher that doesn't run yet.
func New(options Options, now time.Time) *Watcher {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	w := &Watcher{
		options: options,
		polls:   make(chan struct{}, 1),
		waits:   make(chan struct{}, 1),
	}
	w.health.Store(&Health{State: Healthy, LastResponse: now})
	return w
}

// WakePoll asks for a poll now.
func (w *Watcher) WakePoll() { notify(w.polls) }

// WakeWait tells that a write waits for the server.
func (w *Watcher) WakeWait() { notify(w.waits) }

// Health returns how the server answers.
func (w *Watcher) Health() Health { return *w.health.Load() }

// RunPolls asks the server for its status until ctx ends.
func (w *Watcher) RunPolls(ctx context.Context) error {
	var server adapter.Server
	defer func() { closeServer(server) }()
	for ctx.Err() == nil {
		sent := time.Now()
		status, err := w.ask(ctx, &server, PollTimeout, func(ctx context.Context) (cluster.ServerStatus, error) {
			return server.Status(ctx)
		})
		w.judge(ctx, err, sent)
		if err != nil {
			pause.For(ctx, retryPause)
			continue
		}
		w.options.Tracker.Observe(w.options.Server, sent, status)
		w.rest(ctx)
	}
	return nil
}

// rest waits until the next poll is due: somebody wants a newer answer, the
// interval has passed, or the server is used again after a time without.
func (w *Watcher) rest(ctx context.Context) {
	idle := w.isIdle()
	interval := w.options.Interval
	if idle {
		interval = idleFactor * interval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for !w.options.Tracker.NeedsPoll(w.options.Server) {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-w.polls:
		}
		if idle && !w.isIdle() {
			return
		}
	}
}

func (w *Watcher) isIdle() bool { return w.options.IsIdle != nil && w.options.IsIdle() }

// RunWaits asks the server to tell when it holds the writes that wait, until ctx
// ends.
func (w *Watcher) RunWaits(ctx context.Context) error {
	var server adapter.Server
	defer func() { closeServer(server) }()
	for ctx.Err() == nil {
		mark, found := w.options.Tracker.PendingMark(w.options.Server)
		if !found {
			select {
			case <-ctx.Done():
			case <-w.waits:
			}
			continue
		}
		sent := time.Now()
		status, err := w.ask(ctx, &server, waitTimeout, func(ctx context.Context) (cluster.ServerStatus, error) {
			return server.Wait(ctx, mark, waitTime)
		})
		if err != nil {
			pause.For(ctx, retryPause)
			continue
		}
		w.options.Tracker.Observe(w.options.Server, sent, status)
	}
	return nil
}

// ask calls the server, opening the connection first if there is none. A
// failed connection is closed.
func (w *Watcher) ask(ctx context.Context, server *adapter.Server, timeout time.Duration, call func(context.Context) (cluster.ServerStatus, error)) (cluster.ServerStatus, error) {
	if *server == nil {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		opened, err := w.options.Dial(dialCtx)
		if err != nil {
			return cluster.ServerStatus{}, err
		}
		*server = opened
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := call(callCtx)
	if err != nil {
		closeServer(*server)
		*server = nil
	}
	return status, err
}

// judge updates the health after a poll that was sent at sent.
func (w *Watcher) judge(ctx context.Context, err error, sent time.Time) {
	if ctx.Err() != nil {
		return
	}
	old := w.health.Load()
	if err == nil {
		w.health.Store(&Health{State: Healthy, LastResponse: sent})
		return
	}
	kind := kindOf(err)
	w.health.Store(&Health{State: kind, LastResponse: old.LastResponse})
	if w.options.OnFailure != nil {
		w.options.OnFailure()
	}
}

// kindOf tells how a call failed.
func kindOf(err error) HealthState {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return Timeout
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.EPIPE):
		return Reset
	default:
		return Reset
	}
}

func closeServer(server adapter.Server) {
	if server != nil {
		_ = server.Close()
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
