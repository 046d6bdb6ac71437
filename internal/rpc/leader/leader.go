// Package leader calls whichever control node leads.
//
// # Usage
//
//	client := leader.New(addresses, httpClient)
//	err := client.Do(ctx, 0, func(ctx context.Context, control controlpb.Control) error {
//		response, err = control.Apply(ctx, request)
//		return err
//	})
//
// Do asks the node that led last, follows its hint, and else tries each node
// in turn. A call may reach several nodes, so a call that changes something
// carries an identifier.
package leader

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	// MetaLeader is the twirp meta key of the leader's address in an answer
	// of a node that doesn't lead.
	MetaLeader = "leader"
	// MetaNotLeader marks an answer of a node that doesn't lead: nothing
	// happened there.
	MetaNotLeader = "not-leader"

	retryPause = 30 * time.Millisecond
)

// ErrNoLeader tells that no control node led before the context ended.
var ErrNoLeader = eris.New("no control node leads: check that a majority of the control nodes runs and is reachable")

type (
	// Client calls the control node that leads.
	Client struct {
		nodes []node
		last  atomic.Int64
		http  *http.Client
	}

	node struct {
		address netip.AddrPort
		control controlpb.Control
	}
)

// New returns a client of the control nodes at the addresses, of which there
// is at least one.
func New(addresses []netip.AddrPort, httpClient *http.Client) *Client {
	client := &Client{http: httpClient}
	for _, address := range addresses {
		control := controlpb.NewControlProtobufClient(transport.URL(address), httpClient)
		client.nodes = append(client.nodes, node{address: address, control: control})
	}
	return client
}

// NewNotLeaderError returns the answer of a node that doesn't lead. The leader's
// address is empty if it isn't known.
func NewNotLeaderError(leaderAddress string) error {
	err := twirp.NewError(twirp.Unavailable, "this control node does not lead").WithMeta(MetaNotLeader, "true")
	return err.WithMeta(MetaLeader, leaderAddress)
}

// Do calls fn with the leader until a node accepts the call or ctx ends.
// Errors other than "not the leader" and failures to reach a node are
// returned as they are. perTry bounds one try; zero: only ctx does.
func (c *Client) Do(ctx context.Context, attemptTimeout time.Duration, fn func(context.Context, controlpb.Control) error) error {
	next := int(c.last.Load())
	var last error
	for tries := 0; ; tries++ {
		err := c.try(ctx, attemptTimeout, next, fn)
		if err == nil {
			c.last.Store(int64(next))
			return nil
		}
		if !shouldTryNext(err) {
			return err
		}
		last = err
		next = c.after(next, err)
		if (tries+1)%len(c.nodes) != 0 {
			continue
		}
		if !pause.For(ctx, retryPause) {
			return eris.Wrapf(ErrNoLeader, "last answer: %v", last)
		}
	}
}

// Addresses returns the addresses of all control nodes.
func (c *Client) Addresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(c.nodes))
	for _, n := range c.nodes {
		addresses = append(addresses, n.address)
	}
	return addresses
}

func (c *Client) try(ctx context.Context, perTry time.Duration, index int, fn func(context.Context, controlpb.Control) error) error {
	if perTry > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, perTry)
		defer cancel()
	}
	return fn(ctx, c.nodes[index].control)
}

// after returns the index of the node to ask after an answer of node index.
func (c *Client) after(index int, err error) int {
	var twerr twirp.Error
	if errors.As(err, &twerr) {
		hint := twerr.Meta(MetaLeader)
		for i, n := range c.nodes {
			if i != index && n.address.String() == hint {
				return i
			}
		}
	}
	return (index + 1) % len(c.nodes)
}

// shouldTryNext reports whether another node may accept the call.
func shouldTryNext(err error) bool {
	var twerr twirp.Error
	if !errors.As(err, &twerr) {
		return true
	}
	switch twerr.Code() {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Canceled:
		return true
	case twirp.Internal:
		// Twirp reports a failure to reach the server as internal.
		return errors.Unwrap(err) != nil || twerr.Meta("cause") != ""
	default:
		return false
	}
}
