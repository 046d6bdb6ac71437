// Package watch polls the status of one backend server on behalf of the whole
// proxy, and passes the responses to the confirm.Tracker of the server's group,
// which confirms the primary's answers by them.
//
// # Usage
//
//	w := watch.New(watch.Options{Dial: dial, Tracker: tracker, Server: name}, now)
//	group.Go(func() error { return w.RunPolls(ctx) })
//	group.Go(func() error { return w.RunPositionWaits(ctx) })
//
// RunPolls has at most one poll in flight and sends the next one as soon as the
// tracker needs a newer answer, or after the interval. RunPositionWaits sends a
// PLATFORM WAIT statement for a pending write, which the server answers as soon as
// it has received the write's log position. It uses a connection of its own, so
// that such a statement doesn't delay the polls.
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
	// DefaultInterval is the time between polls while the tracker needs none.
	DefaultInterval = 50 * time.Millisecond
	// PollTimeout bounds one poll on an open connection; a server that takes
	// longer has the health Timeout.
	PollTimeout = 300 * time.Millisecond

	// idleIntervalFactor multiplies the interval while Options.IsIdle returns
	// true.
	idleIntervalFactor = 10

	dialTimeout = 300 * time.Millisecond
	// positionWaitTime is how long the server may hold a PLATFORM WAIT statement
	// before it answers with its status, positionWaitTimeout how long the
	// watcher waits for the response.
	positionWaitTime    = 100 * time.Millisecond
	positionWaitTimeout = 400 * time.Millisecond
	retryDelay          = 20 * time.Millisecond
)

const (
	// Healthy is a server whose last poll was answered.
	Healthy HealthState = iota
	// Refused is a server that refuses connections.
	Refused
	// Reset is a server that closes connections without an answer, or whose
	// last poll failed in a way that no other state describes.
	Reset
	// Timeout is a server that doesn't answer in time.
	Timeout
)

type (
	// HealthState is the state of a server according to its last poll.
	HealthState uint8

	// Dial opens a connection for PLATFORM statements (package adapter) to the
	// server.
	Dial func(ctx context.Context) (adapter.Server, error)

	// Options configures a Watcher.
	Options struct {
		Dial    Dial
		Tracker *confirm.Tracker
		Server  cluster.ServerName
		// Interval is the time between polls while the tracker needs none;
		// zero means DefaultInterval.
		Interval time.Duration
		// IsIdle, if set, reports whether the server's group has had no request
		// lately. The server is then polled less often.
		IsIdle func() bool
		// OnFailure, if set, is called after each failed poll.
		OnFailure func()
	}

	// Health is the health of a server as its polls show it.
	Health struct {
		State HealthState
		// LastResponse is when the newest poll that the server answered was
		// sent, or when the watcher was created if there is none.
		LastResponse time.Time
	}

	// Watcher polls one server.
	Watcher struct {
		options          Options
		pollWake         chan struct{}
		positionWaitWake chan struct{}
		health           atomic.Pointer[Health]
	}
)

// String returns the name of the state in reports to control.
func (s HealthState) String() string {
	switch s {
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

// New returns a watcher that isn't running yet.
func New(options Options, now time.Time) *Watcher {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	w := &Watcher{
		options:          options,
		pollWake:         make(chan struct{}, 1),
		positionWaitWake: make(chan struct{}, 1),
	}
	w.health.Store(&Health{State: Healthy, LastResponse: now})
	return w
}

// WakePoll makes RunPolls check whether a poll is needed before the interval has
// passed. It doesn't block.
func (w *Watcher) WakePoll() { notify(w.pollWake) }

// WakePositionWait makes RunPositionWaits check whether a write waits until the
// server has received its log position. It doesn't block.
func (w *Watcher) WakePositionWait() { notify(w.positionWaitWake) }

// Health returns the server's health.
func (w *Watcher) Health() Health { return *w.health.Load() }

// RunPolls polls the server's status until ctx ends, and then returns nil.
func (w *Watcher) RunPolls(ctx context.Context) error {
	var server adapter.Server
	defer func() { closeServer(server) }()
	for ctx.Err() == nil {
		sent := time.Now()
		status, err := w.call(ctx, &server, PollTimeout, func(ctx context.Context) (cluster.ServerStatus, error) {
			return server.Status(ctx)
		})
		w.recordHealth(ctx, err, sent)
		if err != nil {
			pause.For(ctx, retryDelay)
			continue
		}
		w.options.Tracker.Observe(w.options.Server, sent, status)
		w.waitUntilNextPoll(ctx)
	}
	return nil
}

// waitUntilNextPoll returns when the next poll is due: when the tracker needs a
// newer answer, the interval has passed, or an idle server has received a request.
func (w *Watcher) waitUntilNextPoll(ctx context.Context) {
	idle := w.isIdle()
	interval := w.options.Interval
	if idle {
		interval = idleIntervalFactor * interval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for !w.options.Tracker.NeedsPoll(w.options.Server) {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-w.pollWake:
		}
		if idle && !w.isIdle() {
			return
		}
	}
}

func (w *Watcher) isIdle() bool { return w.options.IsIdle != nil && w.options.IsIdle() }

// RunPositionWaits asks the server to answer as soon as it has received the lowest
// log position that a pending write needs confirmed, and repeats this until ctx
// ends. It then returns nil.
func (w *Watcher) RunPositionWaits(ctx context.Context) error {
	var server adapter.Server
	defer func() { closeServer(server) }()
	for ctx.Err() == nil {
		position, found := w.options.Tracker.PendingPosition(w.options.Server)
		if !found {
			select {
			case <-ctx.Done():
			case <-w.positionWaitWake:
			}
			continue
		}
		sent := time.Now()
		status, err := w.call(ctx, &server, positionWaitTimeout, func(ctx context.Context) (cluster.ServerStatus, error) {
			return server.Wait(ctx, position, positionWaitTime)
		})
		if err != nil {
			pause.For(ctx, retryDelay)
			continue
		}
		w.options.Tracker.Observe(w.options.Server, sent, status)
	}
	return nil
}

// call sends a request to the server, after opening the connection if there is
// none. It closes the connection if the request fails.
func (w *Watcher) call(ctx context.Context, server *adapter.Server, timeout time.Duration, request func(context.Context) (cluster.ServerStatus, error)) (cluster.ServerStatus, error) {
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
	status, err := request(callCtx)
	if err != nil {
		closeServer(*server)
		*server = nil
	}
	return status, err
}

// recordHealth updates the health with err, the result of a poll that was sent at
// the time sent, unless ctx has ended.
func (w *Watcher) recordHealth(ctx context.Context, err error, sent time.Time) {
	if ctx.Err() != nil {
		return
	}
	old := w.health.Load()
	if err == nil {
		w.health.Store(&Health{State: Healthy, LastResponse: sent})
		return
	}
	state := healthStateOf(err)
	w.health.Store(&Health{State: state, LastResponse: old.LastResponse})
	if w.options.OnFailure != nil {
		w.options.OnFailure()
	}
}

// healthStateOf returns the state of a server whose poll failed with err.
func healthStateOf(err error) HealthState {
	var netError net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netError) && netError.Timeout():
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

// notify makes the goroutine that receives from c run once more. It doesn't block:
// c has a buffer of one, and a second notification adds nothing.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
