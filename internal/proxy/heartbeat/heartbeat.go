// Package heartbeat keeps a proxy in touch with control.
//
// # Usage
//
//	beat := heartbeat.New(options)
//	group.Go(func() error { return beat.Hold(ctx) })
//	group.Go(func() error { return beat.Hurry(ctx) })
//	beat.Urgent() // tell control now
//
// Hold keeps one call open at control, which answers when something changed
// for this proxy. Hurry sends a second, short call when something can't wait,
// such as evidence that a primary has failed. A request carries the uses of
// connections only when they changed.
package heartbeat

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/leader"
)

const (
	holdTime = time.Second
	// holdMargin is what a held call may take beyond its hold time.
	holdMargin   = 500 * time.Millisecond
	hurryTimeout = 400 * time.Millisecond
	// hurryPause is the least time between two urgent calls.
	hurryPause   = 100 * time.Millisecond
	leaveTimeout = 500 * time.Millisecond
	retryPause   = 50 * time.Millisecond
	// usesInterval is the least time between two reports of uses that only
	// changed a little.
	usesInterval = 900 * time.Millisecond
)

type (
	// Identity is who the proxy is.
	Identity struct {
		Proxy       string
		Incarnation uint64
		Address     string
		DataCentre  string
	}

	// Options of a heartbeat.
	Options struct {
		Identity  Identity
		Leader    *leader.Client
		Store     *clusterview.Store
		Upstreams *upstream.Manager
		// IsDraining tells whether the proxy shuts down.
		IsDraining func() bool
		// OnUpdate is called after an answer was taken.
		OnUpdate func(*clusterview.Snapshot)
		Log      logr.Logger
	}

	// Client is a proxy's heartbeat.
	Client struct {
		options Options
		urgent  chan struct{}

		mu       sync.Mutex
		sentUses []upstream.ServerUsage
		sentAt   time.Time
		reached  bool
	}
)

// New returns a heartbeat that doesn't run yet.
func New(options Options) *Client {
	return &Client{options: options, urgent: make(chan struct{}, 1)}
}

// RequestUrgentCall asks Hurry to tell control now. It doesn't block.
func (b *Client) RequestUrgentCall() {
	select {
	case b.urgent <- struct{}{}:
	default:
	}
}

// RunLongPolls keeps a call open until ctx ends.
func (b *Client) RunLongPolls(ctx context.Context) error {
	for ctx.Err() == nil {
		if !b.call(ctx, holdTime, holdTime+holdMargin) {
			pause.For(ctx, retryPause)
		}
	}
	return nil
}

// RunUrgentCalls sends urgent calls until ctx ends.
func (b *Client) RunUrgentCalls(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-b.urgent:
		}
		b.call(ctx, time.Millisecond, hurryTimeout)
		pause.For(ctx, hurryPause)
	}
	return nil
}

// Leave tells control that the proxy has closed everything.
func (b *Client) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	request := b.request(time.Millisecond, time.Now())
	request.Leaving = true
	request.Uses = nil
	return b.options.Leader.Do(ctx, hurryTimeout, func(ctx context.Context, control controlpb.Control) error {
		_, err := control.Heartbeat(ctx, request)
		return err
	})
}

// call makes one call and takes its answer in.
func (b *Client) call(ctx context.Context, hold, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*timeout)
	defer cancel()
	var response *controlpb.HeartbeatResponse
	err := b.options.Leader.Do(ctx, timeout, func(ctx context.Context, control controlpb.Control) error {
		request := b.request(hold, time.Now())
		answer, err := control.Heartbeat(ctx, request)
		if err != nil {
			b.unsend()
			return err
		}
		response = answer
		return nil
	})
	if err != nil {
		b.report(false, err)
		return false
	}
	b.report(true, nil)
	b.take(response, time.Now())
	return true
}

// take applies an answer.
func (b *Client) take(response *controlpb.HeartbeatResponse, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.options.Store.Apply(response, now) {
		return
	}
	snapshot := b.options.Store.Load()
	b.options.Upstreams.Update(snapshot, now)
	if b.options.OnUpdate != nil {
		b.options.OnUpdate(snapshot)
	}
}

// request builds a call from the present state.
func (b *Client) request(hold time.Duration, now time.Time) *controlpb.HeartbeatRequest {
	snapshot := b.options.Store.Load()
	return &controlpb.HeartbeatRequest{
		Proxy:       b.options.Identity.Proxy,
		Incarnation: b.options.Identity.Incarnation,
		Address:     b.options.Identity.Address,
		DataCentre:  b.options.Identity.DataCentre,
		Version:     uint64(snapshot.Version),
		Revision:    snapshot.Revision,
		LeaderEpoch: snapshot.Epoch,
		Uses:        b.changedUses(snapshot, now),
		Suspicions:  b.options.Upstreams.Suspicions(now),
		WaitMs:      uint32(hold.Milliseconds()),
		Draining:    b.options.IsDraining(),
	}
}

// changedUses returns the uses of connections if they changed since they were
// sent last.
func (b *Client) changedUses(snapshot *clusterview.Snapshot, now time.Time) []*controlpb.GrantUse {
	uses := b.options.Upstreams.ServerUsages(snapshot)
	slices.SortFunc(uses, func(a, c upstream.ServerUsage) int { return strings.Compare(a.Server.String(), c.Server.String()) })
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(uses, b.sentUses) {
		return nil
	}
	if len(uses) == len(b.sentUses) && now.Sub(b.sentAt) < usesInterval && !shrunk(uses, b.sentUses) {
		return nil
	}
	b.sentUses = uses
	b.sentAt = now
	messages := make([]*controlpb.GrantUse, 0, len(uses))
	for _, use := range uses {
		messages = append(messages, &controlpb.GrantUse{
			Server: use.Server.String(), Open: uint32(use.Open), Wanted: uint32(use.Demand),
			Granted: uint32(snapshot.Grants[use.Server].ConnectionsAt(now)),
		})
	}
	return messages
}

// shrunk reports whether a server has fewer connections open or granted than
// before, which lets control grant them to others.
func shrunk(uses, sent []upstream.ServerUsage) bool {
	for i := range uses {
		if uses[i].Server != sent[i].Server || uses[i].Open < sent[i].Open || uses[i].Granted < sent[i].Granted {
			return true
		}
	}
	return false
}

// unsend forgets that uses were sent, since the call failed.
func (b *Client) unsend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sentUses = nil
	b.sentAt = time.Time{}
}

// report logs when control is lost or found again.
func (b *Client) report(reached bool, err error) {
	b.mu.Lock()
	changed := reached != b.reached
	b.reached = reached
	b.mu.Unlock()
	switch {
	case !changed:
	case reached:
		b.options.Log.Info("control answers")
	default:
		b.options.Log.Info("control does not answer", "error", err.Error())
	}
}

// IsControlReachable reports whether control answered the last call.
func (b *Client) IsControlReachable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reached
}
