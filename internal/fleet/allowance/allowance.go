// Package allowance is the ledger with which the leading control node holds customers
// to their limits over all proxies. Operations are tokens. The ledger keeps a bucket of
// tokens for each customer and moves them to the proxies that need them; a proxy admits
// an operation only for a token that it holds. It does no input or output.
//
// # Usage
//
//	l := allowance.New(settings, epoch, proxies, floors, now)
//	l.SetCustomers(customers, now)
//	allotments, err := l.Exchange(request, now)
//	if floors := l.NextFloors(now); floors != nil {
//		... // replicate them
//		l.CommitFloors(floors)
//	}
//
// # Bound
//
// What a bucket contains and what proxies hold of it is together never more than its
// capacity, and grows by the rate only. So at most the capacity and what the rate adds in
// a window reach servers in that window, whatever is lost, delayed or restarted. The
// capacity is the burst and half of what the operators allow above the limit.
//
// A proxy reports how many tokens it has spent since it began, so that a lost response
// changes nothing: the next request tells the ledger how many are left. The ledger takes
// back only tokens that a proxy offers, because the proxy goes on spending while its
// request is on its way. Tokens of a proxy that is silent for longer than they are valid
// count as spent: it may have spent them all.
//
// A new leader doesn't know how full the buckets are. It begins with their floors, which
// the leader before replicated (see Floors), and adds what the rate gives. Until each proxy
// that may hold tokens of an earlier leader has reported or its tokens have expired, a bucket
// and what this leader gave out of it is at most its floor or, if that is more, the part of
// the capacity that leaders never give out (see maxHeld). A report names
// this leader's epoch: it was certainly sent after the election. If all have
// reported, what they spent in the last seconds shows how much a bucket contains at least
// (see bucket.estimate).
//
// # Load pattern
//
// A customer's operations arrive at 70 proxies, 15 a second each for a large customer,
// less than one a second for most. One customer sends eight times its usual through all
// proxies from one moment to the next, while clients move between data centres. A proxy
// that uses a customer holds about a second of its own demand, but all proxies together
// hold at most a third of the bucket in advance, so that the rest serves those that ask.
// When less is left than is asked for, proxies get it in proportion to what waits at them.
package allowance

import (
	"container/list"
	"maps"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// defaultWindow is used if the settings name none.
	defaultWindow = 5 * time.Second
	// advanceTime is the demand that a proxy holds in advance.
	advanceTime = time.Second
	// advanceShare is the part of a bucket that proxies hold in advance.
	advanceShare = 0.33
	// heldShare is the part of the capacity that all proxies together may hold.
	heldShare = 0.85
	// maxRetryAfter bounds the advice to callers when a limit is used up.
	maxRetryAfter = 2 * time.Second
	// RecentStep is the resolution of Holding.Recent, and RecentSteps its length.
	RecentStep  = 500 * time.Millisecond
	RecentSteps = 8
	// goldenRatio spreads its multiples' fractions evenly.
	goldenRatio = math.Phi - 1
	// unknownRetryAfter is the advice for a customer that the ledger doesn't know: its
	// configuration may be older than the proxy's.
	unknownRetryAfter = 300 * time.Millisecond
)

var (
	// ErrLate is returned for a request that a later one of the same proxy has overtaken.
	ErrLate = eris.New("a later exchange of the proxy was served before this one")
	// ErrResync is returned for a request that lists only changes, or names another epoch,
	// if the ledger doesn't know what the proxy holds.
	ErrResync = eris.New("the ledger doesn't know what the proxy holds")
)

type (
	// Settings are what operators allow above the limits, and how long tokens are valid.
	Settings struct {
		// Window, Overage and Slack bound the operations in any window: (rate x Window
		// + burst) x (1 + Overage) + Slack.
		Window  time.Duration
		Overage float64
		Slack   int
		// ValidFor is how long tokens are valid after the proxy sent the request that
		// returned them; Margin is what proxies' clocks may be slower.
		ValidFor, Margin time.Duration
	}

	// Request is one exchange of a proxy.
	Request struct {
		Proxy       cluster.ProxyName
		Incarnation cluster.Incarnation
		// Sequence increases with each request of the incarnation.
		Sequence uint64
		// Epoch is that of the last response; zero: none.
		Epoch uint64
		// Holdings are those that changed. If Full is true, they are all, and Uptime is
		// the time since the proxy's process began.
		Holdings []Holding
		Full     bool
		Uptime   time.Duration
	}

	// Holding is what a proxy holds and wants of one customer.
	Holding struct {
		Customer customer.Name
		// Held are the tokens that the proxy holds, Offered the part of them that it
		// doesn't spend unless the response returns it.
		Held, Offered int
		// Spent is the number of tokens spent since the proxy first listed the customer.
		Spent uint64
		// Waiting operations wait for the exchange; Missed ones were refused since the
		// last request.
		Waiting, Missed int
		// Demand is in operations a second.
		Demand float64
		// Returned are tokens counted in Spent whose operations reached no server. They
		// count only if Generation is still the bucket's.
		Returned   int
		Generation uint64
		// Recent are the operations admitted in the last RecentStep, in the last two and
		// so on, if Request.Full is true.
		Recent []uint32
	}

	// Allotment is the answer to a Holding.
	Allotment struct {
		// Held replaces Holding.Held.
		Held int
		// Target is what the proxy should hold; it offers the rest.
		Target int
		// RetryAfter is when the next token is due for the proxy; zero: the limit isn't
		// used up.
		RetryAfter time.Duration
		// Uncertain is true if the limit may not be used up after all: the leader is new
		// and doesn't know yet how full the bucket is.
		Uncertain bool
		// Generation changes whenever the bucket becomes full.
		Generation uint64
	}

	// Ledger is the ledger of one leader. It isn't safe for concurrent use.
	Ledger struct {
		settings  Settings
		epoch     uint64
		startedAt time.Time
		buckets   map[customer.Name]*bucket
		members   map[memberKey]*member
		// joined counts the members that there have been.
		joined int
		// order lists the members by their last exchange, the oldest first.
		order *list.List
		// unreported are the proxies that may hold tokens of an earlier leader.
		unreported map[cluster.ProxyName]struct{}
		// uptime is the shortest of those that have reported.
		uptime time.Duration
		// floors are the replicated floors, or higher ones that may have been. floorsDue is
		// true if NextFloors has to be called soon.
		floors    Floors
		floorsDue bool
	}

	memberKey struct {
		proxy       cluster.ProxyName
		incarnation cluster.Incarnation
	}

	// member is one process of a proxy.
	member struct {
		key       memberKey
		sequence  uint64
		expiresAt time.Time
		rounding  float64
		holdings  map[customer.Name]*holding
		place     *list.Element
	}

	// holding is what a member holds of a bucket, as of its last exchange.
	holding struct {
		bucket *bucket
		held   int
		// rounding is in [0, 1). It differs between proxies, so that their shares of few
		// tokens, rounded down with it, add up to about what there is.
		rounding float64
		// carried is the part of held that an earlier leader gave.
		carried int
		spent   uint64
		// advance is what the proxy would hold if there were enough, asked what it
		// lacked.
		advance, asked int
	}

	// Usage is the state of one customer's bucket.
	Usage struct {
		Customer        customer.Name
		Limit           customer.Limit
		Capacity, Level float64
		Held, Proxies   int
	}
)

// New returns the ledger of a leader that was just elected. The proxies may hold tokens
// of earlier leaders, and floors are those that were replicated.
func New(settings Settings, epoch uint64, proxies []cluster.ProxyName, floors Floors, now time.Time) *Ledger {
	if settings.Window <= 0 {
		settings.Window = defaultWindow
	}
	l := &Ledger{
		settings: settings, epoch: epoch, startedAt: now, buckets: map[customer.Name]*bucket{},
		members: map[memberKey]*member{}, order: list.New(), unreported: map[cluster.ProxyName]struct{}{},
		uptime: RecentSteps * RecentStep, floors: Floors{},
	}
	for _, name := range proxies {
		l.unreported[name] = struct{}{}
	}
	maps.Copy(l.floors, floors)
	return l
}

// Epoch identifies the election of the ledger's leader.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// SetCustomers replaces the limits. A customer that is added is taken to have sent
// nothing before, unless an earlier leader may have served it.
func (l *Ledger) SetCustomers(customers []customer.Customer, now time.Time) {
	listed := make(map[customer.Name]struct{}, len(customers))
	for i := range customers {
		c := &customers[i]
		if !c.IsLimited() {
			continue
		}
		listed[c.Name] = struct{}{}
		if b, known := l.buckets[c.Name]; known {
			b.refill(l.isRecovering(now), now)
			b.setLimit(c.Limit, l.settings)
			continue
		}
		l.buckets[c.Name] = l.newBucket(c, now)
	}
	for name, b := range l.buckets {
		_, isListed := listed[name]
		b.removed = !isListed
		if b.removed {
			b.refill(l.isRecovering(now), now)
			if b.isFull && b.holders == 0 {
				delete(l.buckets, name)
			}
		}
	}
}

// newBucket returns the bucket of a customer that was added. It is full unless an earlier
// leader may have served the customer.
func (l *Ledger) newBucket(c *customer.Customer, now time.Time) *bucket {
	b := &bucket{filledAt: now, floor: l.floors[c.Name], nextDrop: inheritedDrop}
	b.setLimit(c.Limit, l.settings)
	if !now.Before(l.startedAt.Add(l.settings.ValidFor + l.settings.Margin)) {
		b.level = b.capacity
		return b
	}
	b.level = min(float64(b.floor), b.capacity)
	b.knownAt = l.startedAt.Add(l.settings.Window)
	return b
}

// isRecovering reports whether proxies may hold tokens that the ledger doesn't know of.
func (l *Ledger) isRecovering(now time.Time) bool {
	if len(l.unreported) > 0 && !now.Before(l.startedAt.Add(l.settings.ValidFor+l.settings.Margin)) {
		clear(l.unreported)
	}
	return len(l.unreported) > 0
}

// Exchange records what a proxy has spent and needs, and returns what it holds from now
// on, in the order of the request's holdings. After an error nothing has changed. Errors:
// ErrLate, ErrResync.
func (l *Ledger) Exchange(r Request, now time.Time) ([]Allotment, error) {
	l.expire(now)
	m, isReport, err := l.member(r, now)
	if err != nil {
		return nil, err
	}
	recovering := l.isRecovering(now)
	isReport = isReport && recovering
	if isReport {
		delete(l.unreported, r.Proxy)
		l.uptime = min(l.uptime, r.Uptime)
	}
	allotments := make([]Allotment, len(r.Holdings))
	for i, reported := range r.Holdings {
		allotments[i] = l.exchange(m, reported, isReport, recovering, now)
	}
	if isReport && len(l.unreported) == 0 {
		for _, b := range l.buckets {
			b.estimate(l.uptime)
		}
	}
	return allotments, nil
}

// exchange exchanges one holding of a member.
func (l *Ledger) exchange(m *member, reported Holding, isReport, recovering bool, now time.Time) Allotment {
	b, h := l.buckets[reported.Customer], m.holdings[reported.Customer]
	if b == nil || b.removed {
		if h != nil {
			h.bucket.remove(h, recovering, now)
			delete(m.holdings, reported.Customer)
		}
		// The proxy keeps what it doesn't offer until that expires.
		return Allotment{Held: reported.Held - min(reported.Offered, reported.Held), RetryAfter: unknownRetryAfter, Uncertain: true}
	}
	if h == nil {
		h = &holding{bucket: b, rounding: m.rounding, held: reported.Held, carried: reported.Held, spent: reported.Spent}
		m.holdings[reported.Customer] = h
		b.add(h)
	}
	if isReport {
		b.recordRecent(reported.Recent)
	}
	b.refill(recovering, now)
	a := b.exchange(h, reported, now)
	l.floorsDue = l.floorsDue || b.isNearFloor()
	if h.held+h.advance+h.asked == 0 {
		b.remove(h, recovering, now)
		delete(m.holdings, reported.Customer)
	}
	return a
}

// member returns the member that a request is from. isNew is true if the request lists all
// that a member holds that the ledger didn't know. Errors: ErrLate, ErrResync.
func (l *Ledger) member(r Request, now time.Time) (m *member, isNew bool, err error) {
	key := memberKey{r.Proxy, r.Incarnation}
	m = l.members[key]
	switch {
	case r.Epoch != l.epoch || m == nil && !r.Full:
		return nil, false, ErrResync
	case m != nil && r.Sequence <= m.sequence:
		return nil, false, ErrLate
	case m == nil:
		l.joined++
		_, rounding := math.Modf(float64(l.joined) * goldenRatio)
		m, isNew = &member{key: key, rounding: rounding, holdings: map[customer.Name]*holding{}}, true
		m.place = l.order.PushBack(m)
		l.members[key] = m
	}
	m.sequence = r.Sequence
	m.expiresAt = now.Add(l.settings.ValidFor + l.settings.Margin)
	l.order.MoveToBack(m.place)
	return m, isNew, nil
}

// expire removes the members whose tokens have expired.
func (l *Ledger) expire(now time.Time) {
	for front := l.order.Front(); front != nil; front = l.order.Front() {
		m, ok := front.Value.(*member)
		if !ok || now.Before(m.expiresAt) {
			return
		}
		for _, h := range m.holdings {
			h.bucket.remove(h, l.isRecovering(now), now)
		}
		delete(l.members, m.key)
		l.order.Remove(front)
	}
}

// Usage returns the state of all buckets.
func (l *Ledger) Usage(now time.Time) []Usage {
	var list []Usage
	for name, b := range l.buckets {
		if b.removed {
			continue
		}
		b.refill(l.isRecovering(now), now)
		list = append(list, Usage{Customer: name, Limit: b.limit, Capacity: b.capacity, Level: b.level, Held: b.held, Proxies: b.holders})
	}
	return list
}
