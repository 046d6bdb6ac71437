// Package leader is a client that finds the leading control node and sends its
// calls there.
//
// # Usage
//
//	client := leader.New(addresses, httpClient)
//	err := client.Do(ctx, 0, func(ctx context.Context, control controlpb.Control) error {
//		response, err = control.Apply(ctx, request)
//		return err
//	})
//
// Do calls the node that accepted the previous call. If that node doesn't lead,
// Do tries the leader that it names, else each node in turn. A call may reach
// several nodes, so a call that changes something must be safe to repeat, for example
// because it carries an identifier.
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
	// MetaLeader is the twirp meta key of the leader's address in the error
	// of a node that doesn't lead.
	MetaLeader = "leader"
	// MetaNotLeader is the twirp meta key that marks the error of a node that
	// doesn't lead. The call had no effect on that node.
	MetaNotLeader = "not-leader"

	// retryInterval is the pause after each node has been tried once.
	retryInterval = 30 * time.Millisecond
)

// ErrNoLeader is returned if no control node accepted the call before the
// context ended.
var ErrNoLeader = eris.New("no control node leads: check that a majority of the control nodes runs and is reachable")

type (
	// Client calls the leading control node. Its methods may be called
	// concurrently.
	Client struct {
		nodes []node
		// lastLeader is the index of the node that accepted the newest call.
		lastLeader atomic.Int64
		http       *http.Client
	}

	// node is a control node and the RPC client for it.
	node struct {
		address netip.AddrPort
		control controlpb.Control
	}
)

// New returns a client of the control nodes at the addresses. There must be at
// least one address.
func New(addresses []netip.AddrPort, httpClient *http.Client) *Client {
	client := &Client{http: httpClient}
	for _, address := range addresses {
		control := controlpb.NewControlProtobufClient(transport.URL(address), httpClient)
		client.nodes = append(client.nodes, node{address: address, control: control})
	}
	return client
}

// NewNotLeaderError returns the twirp error of a node that doesn't lead.
// leaderAddress is empty if the leader isn't known.
func NewNotLeaderError(leaderAddress string) error {
	err := twirp.NewError(twirp.Unavailable, "this control node does not lead").WithMeta(MetaNotLeader, "true")
	return err.WithMeta(MetaLeader, leaderAddress)
}

// Do calls fn with one node after the other until a node accepts the call or
// ctx ends. It tries the next node if a node doesn't lead or can't be reached,
// and returns every other error of fn as it is. attemptTimeout bounds each call
// of fn; 0: only ctx does. Errors: ErrNoLeader and those of fn.
func (c *Client) Do(ctx context.Context, attemptTimeout time.Duration, fn func(context.Context, controlpb.Control) error) error {
	next := int(c.lastLeader.Load())
	var lastErr error
	for attempts := 0; ; attempts++ {
		err := c.callNode(ctx, attemptTimeout, next, fn)
		if err == nil {
			c.lastLeader.Store(int64(next))
			return nil
		}
		if !shouldTryNext(err) {
			return err
		}
		lastErr = err
		next = c.nextNode(next, err)
		if (attempts+1)%len(c.nodes) != 0 {
			continue
		}
		if !pause.For(ctx, retryInterval) {
			return eris.Wrapf(ErrNoLeader, "last error: %v", lastErr)
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

// callNode calls fn once with the node at index.
func (c *Client) callNode(ctx context.Context, attemptTimeout time.Duration, index int, fn func(context.Context, controlpb.Control) error) error {
	if attemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
	}
	return fn(ctx, c.nodes[index].control)
}

// nextNode returns the index of the node to try after the node at index has
// returned err: the leader that err names, else the next one in order.
func (c *Client) nextNode(index int, err error) int {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		leaderAddress := twirpErr.Meta(MetaLeader)
		for i, n := range c.nodes {
			if i != index && n.address.String() == leaderAddress {
				return i
			}
		}
	}
	return (index + 1) % len(c.nodes)
}

// shouldTryNext reports whether another node may accept a call that failed with
// err.
func shouldTryNext(err error) bool {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return true
	}
	switch twirpErr.Code() {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Canceled:
		return true
	case twirp.Internal:
		// Twirp returns this code too if the server couldn't be reached.
		return errors.Unwrap(err) != nil || twirpErr.Meta("cause") != ""
	default:
		return false
	}
}
