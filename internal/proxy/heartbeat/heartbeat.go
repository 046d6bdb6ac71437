// Package heartbeat sends a proxy's heartbeats to control, that is to the leader of
// the control nodes, and applies the responses.
//
// # Usage
//
//	client := heartbeat.New(options)
//	group.Go(func() error { return client.RunLongPolls(ctx) })
//	group.Go(func() error { return client.RunUrgentCalls(ctx) })
//	client.RequestUrgentCall() // send a heartbeat now
//
// RunLongPolls keeps one long poll open at control, which answers it when
// something has changed for this proxy. RunUrgentCalls sends a second, short call
// for reports that can't wait, such as that of a failed primary. A request
// carries the usage, the numbers of connections to each backend server that the
// proxy has open and needs, only when it has changed.
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
	// longPollTime is how long control may hold a long poll without a change.
	longPollTime = time.Second
	// longPollMargin is how much longer than longPollTime a long poll may
	// take.
	longPollMargin = 500 * time.Millisecond
	urgentTimeout  = 400 * time.Millisecond
	// urgentDelay is the least time between the end of an urgent call and the
	// start of the next one.
	urgentDelay  = 100 * time.Millisecond
	leaveTimeout = 500 * time.Millisecond
	retryDelay   = 50 * time.Millisecond
	// usageReportInterval is the least time between two usage reports, unless
	// servers were added or removed, or a server has fewer connections open or
	// granted than before.
	usageReportInterval = 900 * time.Millisecond
)

type (
	// Identity identifies the proxy to control.
	Identity struct {
		Proxy string
		// Incarnation identifies this process instance of the proxy.
		Incarnation uint64
		// Address is the IP address and port for RPCs of other proxies.
		Address    string
		DataCentre string
	}

	// Options configures a Client.
	Options struct {
		Identity  Identity
		Leader    *leader.Client
		Store     *clusterview.Store
		Upstreams *upstream.Manager
		// IsDraining reports whether the proxy is shutting down (not whether
		// an operator drains it).
		IsDraining func() bool
		// OnUpdate, if set, is called with the new snapshot after a response
		// was applied.
		OnUpdate func(*clusterview.Snapshot)
		Log      logr.Logger
	}

	// Client sends a proxy's heartbeats.
	Client struct {
		options             Options
		urgentCallRequested chan struct{}

		mu sync.Mutex
		// sentUsages are the usages in the last request that carried them, or
		// nil if its call failed; usagesSentAt is when it was made.
		sentUsages         []upstream.ServerUsage
		usagesSentAt       time.Time
		isControlReachable bool
	}
)

// New returns a client that isn't running yet.
func New(options Options) *Client {
	return &Client{options: options, urgentCallRequested: make(chan struct{}, 1)}
}

// RequestUrgentCall makes RunUrgentCalls send a heartbeat as soon as urgentDelay
// has passed since the last urgent one. It doesn't block.
func (c *Client) RequestUrgentCall() {
	select {
	case c.urgentCallRequested <- struct{}{}:
	default:
	}
}

// RunLongPolls sends long polls, one at a time, until ctx ends. It then returns
// nil.
func (c *Client) RunLongPolls(ctx context.Context) error {
	for ctx.Err() == nil {
		if !c.call(ctx, longPollTime, longPollTime+longPollMargin) {
			pause.For(ctx, retryDelay)
		}
	}
	return nil
}

// RunUrgentCalls sends the requested urgent calls until ctx ends. It then returns
// nil.
func (c *Client) RunUrgentCalls(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-c.urgentCallRequested:
		}
		c.call(ctx, time.Millisecond, urgentTimeout)
		pause.For(ctx, urgentDelay)
	}
	return nil
}

// Leave reports to control that the proxy has closed all connections to backend
// servers and shuts down.
func (c *Client) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	request := c.newRequest(time.Millisecond, time.Now())
	request.Leaving = true
	request.Uses = nil
	return c.options.Leader.Do(ctx, urgentTimeout, func(ctx context.Context, control controlpb.Control) error {
		_, err := control.Heartbeat(ctx, request)
		return err
	})
}

// call sends one heartbeat, applies the response and reports whether control
// answered. waitTime is how long control may hold the call without a change; timeout
// bounds the attempt at one control node, and twice the timeout all attempts.
func (c *Client) call(ctx context.Context, waitTime, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*timeout)
	defer cancel()
	var response *controlpb.HeartbeatResponse
	err := c.options.Leader.Do(ctx, timeout, func(ctx context.Context, control controlpb.Control) error {
		request := c.newRequest(waitTime, time.Now())
		answer, err := control.Heartbeat(ctx, request)
		if err != nil {
			c.resetSentUsages()
			return err
		}
		response = answer
		return nil
	})
	if err != nil {
		c.logReachability(false, err)
		return false
	}
	c.logReachability(true, nil)
	c.apply(response, time.Now())
	return true
}

// apply applies a response to the store and the upstreams, unless it is older
// than the snapshot.
func (c *Client) apply(response *controlpb.HeartbeatResponse, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.options.Store.Apply(response, now) {
		return
	}
	snapshot := c.options.Store.Load()
	if snapshot.WantsWhole {
		c.options.Log.Info("edit of the declarations doesn't fit, they are asked for as a whole", "version", uint64(snapshot.Version), "newest", response.Version)
	}
	c.options.Upstreams.Update(snapshot, now)
	if c.options.OnUpdate != nil {
		c.options.OnUpdate(snapshot)
	}
}

// newRequest returns a request with the current state of the proxy.
func (c *Client) newRequest(waitTime time.Duration, now time.Time) *controlpb.HeartbeatRequest {
	snapshot := c.options.Store.Load()
	return &controlpb.HeartbeatRequest{
		Proxy:       c.options.Identity.Proxy,
		Incarnation: c.options.Identity.Incarnation,
		Address:     c.options.Identity.Address,
		DataCentre:  c.options.Identity.DataCentre,
		Version:     uint64(snapshot.Version),
		Revision:    snapshot.Revision,
		LeaderEpoch: snapshot.Epoch,
		Uses:        c.changedUsages(snapshot, now),
		Suspicions:  c.options.Upstreams.Suspicions(now),
		WaitMs:      uint32(waitTime.Milliseconds()),
		Draining:    c.options.IsDraining(),
		TakesEdits:  !snapshot.WantsWhole,
	}
}

// changedUsages returns the usage of all servers if it has changed since it was
// last sent, else nil. Until usageReportInterval has passed, it also returns nil if
// the servers are the same and none has fewer connections than before.
func (c *Client) changedUsages(snapshot *clusterview.Snapshot, now time.Time) []*controlpb.GrantUse {
	usages := c.options.Upstreams.ServerUsages(snapshot)
	slices.SortFunc(usages, func(a, b upstream.ServerUsage) int { return strings.Compare(a.Server.String(), b.Server.String()) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(usages, c.sentUsages) {
		return nil
	}
	if len(usages) == len(c.sentUsages) && now.Sub(c.usagesSentAt) < usageReportInterval && !hasFewerConnections(usages, c.sentUsages) {
		return nil
	}
	c.sentUsages = usages
	c.usagesSentAt = now
	messages := make([]*controlpb.GrantUse, 0, len(usages))
	for _, usage := range usages {
		messages = append(messages, &controlpb.GrantUse{
			Server: usage.Server.String(), Open: uint32(usage.Open), Wanted: uint32(usage.Demand),
			Granted: uint32(snapshot.Grants[usage.Server].ConnectionsAt(now)),
		})
	}
	return messages
}

// hasFewerConnections reports whether a server has fewer connections open or
// granted than in the last report, or the servers differ. Such a change is reported
// early, since control can grant the connections that became free to other
// proxies. Both lists have the same length.
func hasFewerConnections(usages, sent []upstream.ServerUsage) bool {
	for i := range usages {
		if usages[i].Server != sent[i].Server || usages[i].Open < sent[i].Open || usages[i].Granted < sent[i].Granted {
			return true
		}
	}
	return false
}

// resetSentUsages makes the next request carry the usage again, since the call
// that carried it failed.
func (c *Client) resetSentUsages() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentUsages = nil
	c.usagesSentAt = time.Time{}
}

// logReachability logs when control becomes reachable or unreachable.
func (c *Client) logReachability(isReachable bool, err error) {
	c.mu.Lock()
	changed := isReachable != c.isControlReachable
	c.isControlReachable = isReachable
	c.mu.Unlock()
	switch {
	case !changed:
	case isReachable:
		c.options.Log.Info("control answers")
	default:
		c.options.Log.Info("control does not answer", "error", err.Error())
	}
}

// IsControlReachable reports whether control answered the last heartbeat.
func (c *Client) IsControlReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isControlReachable
}
