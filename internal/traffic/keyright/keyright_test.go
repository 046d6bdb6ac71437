package keyright

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	withdrawalTime = 5 * time.Second
	// renewTimeout, longPoll and maxFetch are the times of a proxy's calls.
	renewTimeout = 1100 * time.Millisecond
	longPoll     = 400 * time.Millisecond
	maxFetch     = 300 * time.Millisecond
	// electionTime is how long no leader answers after a change of leader.
	electionTime = 1500 * time.Millisecond
	// recoveryTime is how long after a restart or a long cut a proxy may refuse keys
	// that stand.
	recoveryTime = 3 * time.Second
)

var (
	start = time.Unix(1000, 0)
	key   = customer.DigestOf("a-key")
	// request is a statement under the key.
	request = statement.Request{Customer: "a", Key: key, ConfigVersion: 1}
)

type (
	// history is what operators submitted, in order of version. Version i+1 is element i.
	history []submission

	// submission is a configuration that proxies may see from visibleAt and whose
	// sender was told so at ackedAt.
	submission struct {
		visibleAt, ackedAt time.Time
		holdsKey           bool
	}

	// world is one proxy, its link to the control plane, and what operators submit.
	world struct {
		random  *rand.Rand
		history history
		now     time.Time
		// unreachableUntil is the end of a cut or of an election, frozenUntil of a
		// suspension. refusalsUntil is until when keys that stand may be refused.
		unreachableUntil, frozenUntil, refusalsUntil time.Time
		right                                        *Right
		config                                       *routing.Config
		// sentAt, answerAt and answer are the renewal under way; an answer of zero
		// won't come. fetchedAt and fetched are the configuration under way.
		sentAt, answerAt time.Time
		answer           uint64
		fetchedAt        time.Time
		fetched          uint64
		// inHand is a statement that was taken and not sent yet.
		inHand bool
	}
)

// upTo returns a random duration below d.
func upTo(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

// newest returns the newest version that control confirms at a time.
func (h history) newest(at time.Time) uint64 {
	version := uint64(0)
	for i, s := range h {
		if !s.visibleAt.After(at) {
			version = uint64(i + 1)
		}
	}
	return version
}

// withdrawnFor returns for how long the key has been withdrawn; zero: it isn't.
func (h history) withdrawnFor(now time.Time) time.Duration {
	since := time.Time{}
	for _, s := range h {
		switch {
		case s.holdsKey && !s.visibleAt.After(now):
			since = time.Time{}
		case !s.holdsKey && since.IsZero() && !s.ackedAt.After(now):
			since = s.ackedAt
		}
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// newHistory submits a configuration every few hundred milliseconds, or in storms. The
// key is withdrawn and added again, unless stands is true.
func newHistory(random *rand.Rand, stands bool) history {
	h := history{{visibleAt: start, ackedAt: start, holdsKey: true}}
	for at := start; at.Before(start.Add(60 * time.Second)); {
		gap := []time.Duration{100 * time.Millisecond, time.Second, 15 * time.Second}[random.IntN(3)]
		at = at.Add(gap/2 + upTo(random, gap))
		holds := stands || h[len(h)-1].holdsKey != (random.IntN(4) == 0)
		h = append(h, submission{visibleAt: at, ackedAt: at.Add(upTo(random, 200*time.Millisecond)), holdsKey: holds})
	}
	return h
}

// reachable reports whether the proxy and a leader reach each other.
func (w *world) reachable() bool { return !w.now.Before(w.unreachableUntil) }

// trouble begins a cut, a suspension, a restart or an election now and then.
func (w *world) trouble() {
	long := w.now.Add(upTo(w.random, 12*time.Second))
	switch w.random.IntN(4) {
	case 0:
		w.unreachableUntil, w.refusalsUntil = long, long.Add(recoveryTime)
	case 1:
		w.frozenUntil, w.refusalsUntil = long, long.Add(recoveryTime)
	case 2:
		w.right, w.config, w.inHand = New(withdrawalTime), nil, false
		w.sentAt, w.fetched, w.refusalsUntil = time.Time{}, 0, w.now.Add(recoveryTime)
	case 3:
		// Short enough that nobody is refused.
		w.unreachableUntil = w.now.Add(upTo(w.random, electionTime))
	}
}

// renew sends renewals and handles their answers, also those that arrived during a
// suspension.
func (w *world) renew() {
	if w.sentAt.IsZero() {
		w.sentAt, w.answer = w.now, 0
		if w.reachable() {
			confirmed := w.now.Add(upTo(w.random, 50*time.Millisecond))
			w.answer, w.answerAt = w.history.newest(confirmed), confirmed.Add(upTo(w.random, longPoll))
		}
	}
	if w.answer != 0 && !w.now.Before(w.answerAt) && w.reachable() {
		w.right.Confirm(w.answer, w.sentAt)
		if w.fetched == 0 && (w.config == nil || w.answer > w.config.Version) {
			w.fetched, w.fetchedAt = w.answer, w.now.Add(upTo(w.random, maxFetch))
		}
		w.sentAt = time.Time{}
	} else if w.now.Sub(w.sentAt) > renewTimeout {
		w.sentAt = time.Time{}
	}
}

// apply puts a fetched configuration in force.
func (w *world) apply(t *testing.T) {
	if w.fetched == 0 || w.now.Before(w.fetchedAt) || !w.reachable() {
		return
	}
	config := routing.New(w.fetched, nil, nil, routing.Limits{})
	list := []customer.Customer{{Name: "a"}}
	if w.history[w.fetched-1].holdsKey {
		list[0].Keys = []customer.Digest{key}
	}
	var err error
	if config.Customers, err = customer.New(list); err != nil {
		t.Fatal(err)
	}
	w.config, w.fetched = config, 0
	w.right.InForce(config.Version)
}

// send takes a statement, or sends the one in hand, and checks the decision.
func (w *world) send(t *testing.T, seed uint64, stands bool) {
	err := Check(request, w.right, func() *routing.Config { return w.config }, w.now)
	if after := w.history.withdrawnFor(w.now); err == nil && after > withdrawalTime {
		t.Fatalf("seed %d: a key ran %v after it was withdrawn, %v after the start", seed, after, w.now.Sub(start))
	}
	if err != nil && stands && w.now.After(w.refusalsUntil) {
		t.Fatalf("seed %d: got %v for a key that stands, %v after the start", seed, err, w.now.Sub(start))
	}
	w.inHand = err == nil && !w.inHand
}

// TestRightUnderTrouble plays 500 orders of renewals, configurations, cuts, suspensions,
// restarts and changes of leader, half of them without a withdrawal. Nothing runs later
// than the withdrawal time after the acknowledgement, and nobody is refused whose key
// stands.
func TestRightUnderTrouble(t *testing.T) {
	for seed := range uint64(500) {
		stands := seed%2 == 0
		w := &world{random: rand.New(rand.NewPCG(seed, 1)), now: start, right: New(withdrawalTime), refusalsUntil: start.Add(recoveryTime)}
		w.history = newHistory(w.random, stands)
		nextTrouble := start.Add(8 * time.Second)
		for w.now.Before(start.Add(60 * time.Second)) {
			w.now = w.now.Add(5*time.Millisecond + upTo(w.random, 10*time.Millisecond))
			if w.now.After(nextTrouble) {
				w.trouble()
				nextTrouble = later(later(w.unreachableUntil, w.frozenUntil), w.now).Add(4*time.Second + upTo(w.random, 4*time.Second))
			}
			if w.now.Before(w.frozenUntil) {
				w.now = w.frozenUntil // a suspended proxy goes on where it was
			}
			// What is done first after a suspension is up to the scheduler.
			steps := []func(){w.renew, func() { w.apply(t) }, func() { w.send(t, seed, stands) }}
			w.random.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
			for _, step := range steps {
				step()
			}
		}
	}
}

func TestCheck(t *testing.T) {
	config := func(version uint64, keys ...customer.Digest) *routing.Config {
		c := routing.New(version, nil, nil, routing.Limits{})
		var err error
		if c.Customers, err = customer.New([]customer.Customer{{Name: "a", Keys: keys}, {Name: "b"}}); err != nil {
			t.Fatal(err)
		}
		return c
	}
	right := New(withdrawalTime)
	right.Confirm(5, start)
	right.InForce(5)
	forB := request
	forB.Customer = "b"
	tests := []struct {
		name    string
		request statement.Request
		right   *Right
		config  *routing.Config
		after   time.Duration
		want    error
	}{
		{"key stands", request, right, config(5, key), time.Second, nil},
		{"no key needed", statement.Request{}, New(withdrawalTime), nil, 0, nil},
		{"just before the end", request, right, config(5, key), withdrawalTime*7/8 - 1, nil},
		{"at the end", request, right, config(5, key), withdrawalTime * 7 / 8, ErrNoRight},
		{"just started", request, New(withdrawalTime), config(5, key), 0, ErrNoRight},
		{"no bound", request, New(0), config(5, key), time.Hour, nil},
		{"withdrawn", request, right, config(5), time.Second, ErrUnknownKey},
		{"another customer's", forB, right, config(5, key), time.Second, ErrUnknownKey},
		{"accepted by a newer version", statement.Request{Customer: "a", Key: key, ConfigVersion: 6}, right, config(5), time.Second, ErrOlderConfig},
		{"accepted by a newer version, key in both", statement.Request{Customer: "a", Key: key, ConfigVersion: 6}, right, config(5, key), time.Second, nil},
		{"callers need no key any more", request, right, routing.New(5, nil, nil, routing.Limits{}), time.Second, nil},
		{"callers needed no key yet", statement.Request{Customer: "a", Key: key, ConfigVersion: 6}, right, routing.New(5, nil, nil, routing.Limits{}), time.Second, ErrOlderConfig},
		{"no configuration", request, New(0), nil, 0, ErrOlderConfig},
	}
	for _, test := range tests {
		got := Check(test.request, test.right, func() *routing.Config { return test.config }, start.Add(test.after))
		if !errors.Is(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestRightFollowsTheConfigurationInForce checks that a version that was confirmed counts
// only once it is in force.
func TestRightFollowsTheConfigurationInForce(t *testing.T) {
	right := New(withdrawalTime)
	right.Confirm(1, start)
	right.InForce(1)
	first := right.Remaining(start)
	right.Confirm(2, start.Add(time.Second))
	right.Confirm(2, start.Add(2*time.Second))
	right.Confirm(1, start.Add(3*time.Second)) // of a leader that was replaced
	right.Confirm(3, start.Add(4*time.Second))
	if got := right.Remaining(start); got != first {
		t.Errorf("got %v left while the newest version isn't in force, want %v", got, first)
	}
	right.InForce(2)
	if got, want := right.Remaining(start), first+2*time.Second; got != want {
		t.Errorf("got %v left with version 2, want %v", got, want)
	}
	right.InForce(3)
	if got, want := right.Remaining(start), first+4*time.Second; got != want {
		t.Errorf("got %v left with version 3, want %v", got, want)
	}
}

func BenchmarkCheck(b *testing.B) {
	right := New(withdrawalTime)
	right.Confirm(1, start)
	right.InForce(1)
	config := routing.New(1, nil, nil, routing.Limits{})
	var err error
	if config.Customers, err = customer.New([]customer.Customer{{Name: "a", Keys: []customer.Digest{key}}}); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := Check(request, right, func() *routing.Config { return config }, start); err != nil {
			b.Fatal(err)
		}
	}
}
