package controlclient

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

const (
	// firstFetch bounds the first try, so that a frozen node costs little of
	// the time in which a configuration must be in force. It doubles up to
	// lastFetch, which is for a large configuration on a slow and busy link.
	firstFetch = 500 * time.Millisecond
	lastFetch  = 4 * time.Second
	// fetchPause is the pause before another control node is asked.
	fetchPause = 50 * time.Millisecond
	// maxDocument bounds an unpacked configuration: several times what
	// operators may send.
	maxDocument = 16 << 20
)

// want has a newer configuration fetched, beside the renewals: a large one takes
// longer than a lease may wait.
func (l *Client) want(version uint64) {
	if version <= l.wanted.Load() {
		return
	}
	l.wanted.Store(version)
	select {
	case l.nudge <- struct{}{}:
	default:
	}
}

// fetchAll fetches configurations until ctx ends.
func (l *Client) fetchAll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.nudge:
			l.fetchWanted(ctx)
		}
	}
}

// fetchWanted asks control nodes, one after the other, until the version that is
// wanted is in force.
func (l *Client) fetchWanted(ctx context.Context) {
	timeout := firstFetch
	for try := 0; ctx.Err() == nil && l.version.Load() < l.wanted.Load(); try++ {
		target := l.source(try)
		err := l.fetch(ctx, target, timeout)
		if err == nil {
			continue
		}
		l.options.Logger.Info("no configuration fetched", "node", target.String(), "version", l.wanted.Load(), "error", err.Error())
		timeout = min(2*timeout, lastFetch)
		pause.For(ctx, fetchPause)
	}
}

// source returns the control node for a try: the leader, which has just answered
// and has the version, then the others in turn.
func (l *Client) source(try int) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	if try == 0 && l.leader.IsValid() || len(l.members) == 0 {
		return l.leader
	}
	return l.members[try%len(l.members)]
}

// fetch gets a configuration and puts it in force.
func (l *Client) fetch(ctx context.Context, target netip.AddrPort, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := l.client(target).Fetch(ctx, &fleetpb.FetchRequest{Version: l.wanted.Load()})
	if err != nil {
		return err
	}
	body, err := unpack(response.GetDocument())
	if err != nil {
		return err
	}
	next, err := l.options.DecodeConfig(body)
	if err != nil {
		// Control stores only what it could read.
		l.options.Logger.Error(err, "the configuration can't be read; the one in force stays", "version", response.GetVersion())
		l.version.Store(response.GetVersion())
		return nil
	}
	l.options.Sessions.SetConfig(next)
	l.version.Store(response.GetVersion())
	l.servers.Lock()
	l.useServers()
	l.servers.Unlock()
	l.options.Logger.Info("configuration in force", "version", response.GetVersion(), "bytes", len(body))
	return nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "unpack a configuration")
	}
	body, err := io.ReadAll(io.LimitReader(r, maxDocument))
	return body, eris.Wrap(err, "unpack a configuration")
}
