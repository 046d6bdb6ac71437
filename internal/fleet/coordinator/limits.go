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
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/model/pause"
)

const (
	// limitsClockMargin is by how much the clocks of two VMs may differ in the time for
	// which a proxy's tokens are valid: 2%, far more than clocks drift.
	limitsClockMargin = 70 * time.Millisecond
	// floorsInterval is the interval in which floors of limits are raised.
	floorsInterval = 500 * time.Millisecond
)

// ErrNoLease is returned for an exchange of a proxy without a lease. The replicated state
// might not name the proxy, and the next leader wouldn't wait for its tokens.
var ErrNoLease = eris.New("the proxy has no lease")

type (
	// limits are the limits of a leadership. Coordinator.mu guards them.
	limits struct {
		ledger *allowance.Ledger
		// customers are those that the ledger was given last.
		customers *customer.Directory
		// floorsDue receives a value when floors have to be lowered before more can be
		// given out.
		floorsDue chan struct{}
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
func (c *Coordinator) newLimits(proxies []cluster.ProxyName, floors allowance.Floors, now time.Time) *limits {
	return &limits{
		ledger:    allowance.New(c.options.Limits, uint64(rand.Uint32())|1, proxies, floors, now),
		floorsDue: make(chan struct{}, 1),
	}
}

// saveLimitFloors replicates the floors of the limits until ctx ends: at intervals, and at
// once when one has to be lowered.
func (c *Coordinator) saveLimitFloors(ctx context.Context, l *leadership) error {
	ticker := time.NewTicker(floorsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.limits.floorsDue:
		case <-ticker.C:
		}
		c.mu.Lock()
		floors := l.limits.ledger.NextFloors(c.options.Now())
		c.mu.Unlock()
		if floors == nil {
			continue
		}
		if _, err := c.propose(ctx, state.Command{LimitFloors: floors}); err != nil {
			if ctx.Err() == nil {
				c.options.Logger.Info("saving how much is left of customers' limits failed", "error", err.Error())
				pause.For(ctx, saveRetryDelay)
			}
			continue
		}
		c.mu.Lock()
		l.limits.ledger.CommitFloors(floors)
		c.mu.Unlock()
		pause.For(ctx, entryInterval)
	}
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
	if l.limits.ledger.FloorsDue() {
		select {
		case l.limits.floorsDue <- struct{}{}:
		default:
		}
	}
	isResync := errors.Is(err, allowance.ErrResync)
	if err != nil && !isResync {
		return Exchanged{}, err
	}
	return Exchanged{Allotments: allotments, Resync: isResync, Epoch: l.limits.ledger.Epoch(), ValidFor: c.options.Limits.ValidFor}, nil
}
