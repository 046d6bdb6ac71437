package controlclient

import (
	"context"
	"net/netip"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/packing"
	"github.com/burdockwood/burdockwood/internal/fleet/patch"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

const (
	// minFetchTimeout bounds the first attempt, so that a frozen node takes little
	// of the time within which a new configuration must be in force. The timeout
	// doubles with each attempt up to maxFetchTimeout, which suffices for a large
	// configuration over a slow and busy network.
	minFetchTimeout = 500 * time.Millisecond
	maxFetchTimeout = 4 * time.Second
	// fetchTimePerByte is the time for one byte of a document that is sent
	// compressed over a busy network of 2 Mbit/s.
	fetchTimePerByte = time.Microsecond
	// fetchRetryDelay is the delay before the next control node is tried.
	fetchRetryDelay = 50 * time.Millisecond
)

// requestConfig requests that a version of the configuration be fetched if it is
// newer than those requested before. Another goroutine fetches it, because a large
// configuration takes longer than the renewal of the lease may be delayed.
func (c *Client) requestConfig(version uint64) {
	if version <= c.latestVersion.Load() {
		return
	}
	c.latestVersion.Store(version)
	select {
	case c.fetchRequests <- struct{}{}:
	default:
	}
}

// fetchLoop fetches configurations until ctx ends.
func (c *Client) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.fetchRequests:
			c.fetchLatest(ctx)
		}
	}
}

// fetchLatest tries control nodes one after the other until the latest version is in
// force or ctx ends.
func (c *Client) fetchLatest(ctx context.Context) {
	timeout := c.firstFetchTimeout()
	for try := 0; ctx.Err() == nil && c.appliedVersion.Load() < c.latestVersion.Load(); try++ {
		target := c.fetchTarget(try)
		err := c.fetch(ctx, target, timeout)
		if err == nil {
			continue
		}
		c.options.Logger.Info("fetching the configuration failed", "node", target.String(), "version", c.latestVersion.Load(), "error", err.Error())
		timeout = min(2*timeout, max(maxFetchTimeout, c.firstFetchTimeout()))
		pause.For(ctx, fetchRetryDelay)
	}
}

// firstFetchTimeout returns the timeout of a first attempt: minFetchTimeout, and the time
// that a slow network takes for a whole document if this proxy holds none that could be
// patched.
func (c *Client) firstFetchTimeout() time.Duration {
	if c.heldVersion > 0 {
		return minFetchTimeout
	}
	return minFetchTimeout + time.Duration(c.documentBytes.Load())*fetchTimePerByte
}

// fetchTarget returns the control node for an attempt, counted from 0: first the
// leader, which has just answered and has the version, then all members in turn.
func (c *Client) fetchTarget(attempt int) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt == 0 && c.leader.IsValid() || len(c.members) == 0 {
		return c.leader
	}
	return c.members[attempt%len(c.members)]
}

// fetch fetches the latest configuration from a control node and puts it in force.
// A configuration that can't be decoded is logged and not fetched again.
func (c *Client) fetch(ctx context.Context, target netip.AddrPort, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.fleetClient(target).Fetch(ctx, &fleetpb.FetchRequest{Version: c.latestVersion.Load(), HeldVersion: c.heldVersion})
	if err != nil {
		return err
	}
	body, err := c.decodeDocument(response)
	if err != nil {
		return err
	}
	c.heldVersion, c.heldDocument = response.GetVersion(), body
	next, err := c.options.DecodeConfig(body)
	if err != nil {
		// The control plane has decoded the document before it stored it, so
		// another attempt wouldn't help.
		c.options.Logger.Error(err, "the configuration can't be read; the one in force stays", "version", response.GetVersion())
		c.appliedVersion.Store(response.GetVersion())
		return nil
	}
	c.options.Sessions.SetConfig(next)
	c.options.KeyRight.InForce(next.Version)
	c.appliedVersion.Store(response.GetVersion())
	c.serversMu.Lock()
	c.updatePools()
	c.serversMu.Unlock()
	c.options.Logger.Info("configuration in force", "version", response.GetVersion(), "bytes", len(body),
		"bytes-sent", len(response.GetDocument()), "from-version", response.GetFromVersion())
	return nil
}

// decodeDocument returns the document of a response, which is compressed or a patch of
// the document that this proxy holds. If a patch doesn't fit, the whole document is
// fetched next.
func (c *Client) decodeDocument(response *fleetpb.FetchResponse) ([]byte, error) {
	if response.GetFromVersion() == 0 {
		return packing.Unpack(response.GetDocument())
	}
	body, err := patch.Decode(c.heldDocument, response.GetDocument(), packing.MaxBytes)
	if err != nil {
		c.heldVersion, c.heldDocument = 0, nil
	}
	return body, err
}
