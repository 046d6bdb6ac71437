package coordinator

// This file holds the exchange of the operations that proxies may admit under customers'
// limits.

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

// limitsClockMargin is by how much the clocks of two VMs may differ in the time for which
// a proxy's tokens are valid: 2%, far more than clocks drift.
const limitsClockMargin = 70 * time.Millisecond

// ErrNoLease is returned for an exchange of a proxy without a lease. The replicated state
// might not name the proxy, and the next leader wouldn't wait for its tokens.
var ErrNoLease = eris.New("the proxy has no lease")

type (
	// limits are the limits of a leadership. Coordinator.mu guards them.
	limits struct {
		ledger *allowance.Ledger
		// customers are those that the ledger was given last.
		customers *customer.Directory
	}

	// Exchanged is the response to an allowance.Request.
	Exchanged struct {
		Allotments []allowance.Allotment
		// Resync is true if the proxy has to list all that it holds. Nothing else has
		// changed.
		Resync bool
		// Epoch identifies the election of the leader.
		Epoch uint64
		// ValidFor is how long the allotments are valid from the moment at which the
		// proxy sent the request.
		ValidFor time.Duration
	}
)

// newLimits returns the limits of a new leadership. Its epoch differs from those of
// earlier leaderships of this node in the same consensus term.
func (c *Coordinator) newLimits(proxies []cluster.ProxyName, now time.Time) *limits {
	return &limits{ledger: allowance.New(c.options.Limits, uint64(rand.Uint32())|1, proxies, now)}
}

// Exchange records what a proxy holds of customers' limits and returns what it holds from
// now on. A quorum confirms, after the call began, that this node leads. Errors:
// ErrNotLeader, ErrNoLease, allowance.ErrLate.
func (c *Coordinator) Exchange(ctx context.Context, r allowance.Request) (Exchanged, error) {
	l, err := c.currentLeadership()
	if err != nil {
		return Exchanged{}, err
	}
	if err := c.confirmLeadership(ctx); err != nil {
		return Exchanged{}, err
	}
	var customers *customer.Directory
	if c.options.Customers != nil {
		customers = c.options.Customers()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	if c.current != l {
		return Exchanged{}, ErrNotLeader
	}
	if !l.leases.HasLease(r.Proxy, now) {
		return Exchanged{}, ErrNoLease
	}
	if l.limits.customers != customers {
		l.limits.customers = customers
		l.limits.ledger.SetCustomers(customers.All(), now)
	}
	allotments, err := l.limits.ledger.Exchange(r, now)
	isResync := errors.Is(err, allowance.ErrResync)
	if err != nil && !isResync {
		return Exchanged{}, err
	}
	return Exchanged{Allotments: allotments, Resync: isResync, Epoch: l.limits.ledger.Epoch(), ValidFor: c.options.Limits.ValidFor}, nil
}
