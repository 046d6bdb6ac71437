package controlclient

// This file holds the exchange of the operations that this proxy may admit under
// customers' limits (see package quota).

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/protoconv"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/traffic/quota"
)

const (
	// exchangeInterval is the interval of exchanges while no operation waits for one.
	exchangeInterval = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange. It is many times its usual time, and leaves
	// time for another one before tokens expire.
	exchangeTimeout = 300 * time.Millisecond
	// silentTime is how long a control node that didn't answer isn't asked: the time in
	// which the others elect another leader.
	silentTime = 500 * time.Millisecond
)

var (
	errNoLeader         = eris.New("no leader of control is known")
	errExchangeRejected = eris.New("the control node didn't serve the exchange")
)

// exchangeState is what exchangeLoop keeps. Only its goroutine uses it, except for
// newLeader and cancel.
type exchangeState struct {
	// newLeader receives a value when a leader has been elected. cancel ends the call
	// in flight; nil: there is none.
	newLeader chan struct{}
	cancel    atomic.Pointer[context.CancelFunc]
	// customers are those of the configuration that limited was computed for.
	customers *customer.Directory
	limited   bool
	failing   bool
	// pace decides when the next exchange may begin.
	pace quota.Pace
	// askAround is true if the last exchange wasn't served: the leader that renewLoop
	// knows may be frozen, which a renewal notices later. nextMember is the control
	// node to ask next, and named the leader that such a node named; invalid: none.
	askAround  bool
	nextMember int
	named      netip.AddrPort
	// silent is the node that didn't answer last, which isn't asked until silentUntil
	// although the others may still take it for the leader.
	silent      netip.AddrPort
	silentUntil time.Time
}

// noteLeader wakes exchangeLoop if a renewal's revision is that of another leader than the
// one before, so that the leader soon knows what all proxies hold. Only the goroutine of
// renewLoop calls it, before it stores the revision.
func (c *Client) noteLeader(revision string) {
	before, _, _ := strings.Cut(c.revision, ".")
	if leader, _, _ := strings.Cut(revision, "."); leader == before {
		return
	}
	select {
	case c.exchanges.newLeader <- struct{}{}:
	default:
	}
	if cancel := c.exchanges.cancel.Load(); cancel != nil {
		(*cancel)() // the call to the leader before
	}
}

// exchangeLoop exchanges tokens with the leader until ctx ends: at once when an operation
// waits or a leader was elected, else at intervals while any customer is in use. Without
// customers that have a limit it calls nothing.
func (c *Client) exchangeLoop(ctx context.Context) error {
	holder := c.options.Quota
	if holder == nil {
		<-ctx.Done()
		return nil
	}
	isNew := false
	for c.awaitExchange(ctx, &isNew) {
		if !c.hasLimits() || !isNew && !holder.IsActive() {
			continue
		}
		err := c.exchange(ctx)
		c.recordExchange(err)
		isNew = isNew && (err != nil || holder.HasToReport())
		if gap := c.exchanges.pace.Delay(c.options.Now()); gap > 0 {
			pause.For(ctx, gap/2+rand.N(gap))
		}
	}
	return nil
}

// exchangeTarget returns the control node for the next exchange: the leader, or after an
// exchange that wasn't served the node that was named as the leader, or the next one of all.
func (c *Client) exchangeTarget() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.exchanges
	switch {
	case s.named.IsValid():
		return s.named
	case !s.askAround && c.leader.IsValid() || len(c.members) == 0:
		return c.leader
	}
	s.nextMember++
	if s.isSilent(c.members[s.nextMember%len(c.members)], c.options.Now()) {
		s.nextMember++
	}
	return c.members[s.nextMember%len(c.members)]
}

// isSilent reports whether a control node didn't answer a moment ago.
func (s *exchangeState) isSilent(node netip.AddrPort, now time.Time) bool {
	return node == s.silent && now.Before(s.silentUntil)
}

// recordTarget records whether a control node served an exchange, and the leader that it
// named if it didn't.
func (c *Client) recordTarget(asked netip.AddrPort, served bool, leader string) {
	s := &c.exchanges
	if s.askAround = !served; served {
		return
	}
	named, err := netip.ParseAddrPort(leader)
	if s.named = named; err != nil || named == asked || s.isSilent(named, c.options.Now()) {
		s.named = netip.AddrPort{}
	}
}

// awaitExchange waits until the next exchange is due, and returns false when ctx ends. It
// sets isNew if a leader was elected.
func (c *Client) awaitExchange(ctx context.Context, isNew *bool) bool {
	holder := c.options.Quota
	var due <-chan time.Time
	if *isNew || holder.IsActive() {
		interval := exchangeInterval - rand.N(exchangeInterval/8)
		timer := time.NewTimer(holder.NextTry(interval, c.options.Now()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-holder.Wanted():
	case <-c.exchanges.newLeader:
		*isNew = true
	case <-due:
	}
	return true
}

// hasLimits reports whether any customer of the configuration in force has a limit.
func (c *Client) hasLimits() bool {
	current := c.options.Sessions.Config()
	if current == nil {
		return false
	}
	if s := &c.exchanges; current.Customers != s.customers {
		s.customers, s.limited = current.Customers, false
		for i := range s.customers.All() {
			s.limited = s.limited || s.customers.All()[i].IsLimited()
		}
	}
	return c.exchanges.limited
}

// exchange exchanges tokens with the leader once. Errors: errNoLeader,
// errExchangeRejected and those of the call.
func (c *Client) exchange(ctx context.Context) error {
	holder, target := c.options.Quota, c.exchangeTarget()
	sent := c.options.Now()
	request := holder.Begin(sent)
	if !target.IsValid() {
		holder.Fail(sent)
		c.exchanges.pace.Record(0, true, sent)
		return errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	c.exchanges.cancel.Store(&cancel)
	defer c.exchanges.cancel.Store(nil)
	response, err := c.fleetClient(target).Exchange(ctx, protoconv.ExchangeToProto(request))
	now := c.options.Now()
	served := err == nil && response.GetGranted()
	c.recordTarget(target, served, response.GetLeader())
	if err != nil {
		c.exchanges.silent, c.exchanges.silentUntil = target, now.Add(silentTime)
	}
	// A node that names the leader answers at once, and the leader is asked next.
	c.exchanges.pace.Record(now.Sub(sent), !served && !c.exchanges.named.IsValid(), now)
	if err != nil {
		holder.Fail(now)
		return err
	}
	if !served {
		holder.Heard(now)
		holder.Fail(now)
		return errExchangeRejected
	}
	if response.GetResync() {
		holder.Resync(response.GetEpoch(), now)
		return nil
	}
	validFor := time.Duration(response.GetValidMs()) * time.Millisecond
	holder.Apply(protoconv.AllotmentsFromProto(response.GetAllotments()), validFor, sent, now)
	if c.options.Registry != nil {
		metrics.Histogram(c.options.Registry, "limit-exchange").Update(now.Sub(sent).Microseconds())
	}
	return nil
}

// recordExchange logs when exchanges begin to fail or to succeed, and which customers began
// or ceased to be refused.
func (c *Client) recordExchange(err error) {
	now, holder, logger := c.options.Now(), c.options.Quota, c.options.Logger
	if c.exchanges.failing != (err != nil) {
		c.exchanges.failing = err != nil
		reason := ""
		if err != nil {
			reason = err.Error()
		}
		logger.Info("exchange of customers' limits", "up", err == nil, "error", reason)
	}
	for _, t := range holder.Transitions(now) {
		message := "customer is refused: its limit is used up"
		if !t.Began {
			message = "customer isn't refused any more"
		}
		logger.Info(message, "customer", t.Customer, "rate", t.Limit.Rate, "burst", t.Limit.Burst, "refused-operations", t.Refused, "since-ms", t.Since.Milliseconds(), "demand-per-s", t.Demand,
			"tokens", t.Available, "waiting", t.Waiting, "answer-age-ms", t.AnswerAge.Milliseconds())
	}
}
