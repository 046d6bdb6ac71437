package quota

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	validFor = 3500 * time.Millisecond
	giveUp   = 100 * time.Millisecond
)

var (
	start = time.Unix(1000, 0)
	acme  = &customer.Customer{Name: "acme", Limit: customer.Limit{Rate: 10, Burst: 5}}
)

// newHolder returns a holder that the leader gave what an allotment says.
func newHolder(a allowance.Allotment) *Holder {
	h := New("proxy-1", 1, start)
	h.Take(acme, start)
	h.Resume(acme, start, start, start) // it gave up, and the exchange asks for another
	h.Begin(start)
	h.Apply([]allowance.Allotment{a}, validFor, start, start)
	return h
}

func TestTake(t *testing.T) {
	cases := []struct {
		name           string
		customer       *customer.Customer
		allotment      allowance.Allotment
		at             time.Duration
		want           Verdict
		wantRetryAfter time.Duration
	}{
		{"a token", acme, allowance.Allotment{Held: 1}, 0, Admitted, 0},
		{"no token", acme, allowance.Allotment{}, 0, Wait, 0},
		{"before the tokens expire", acme, allowance.Allotment{Held: 1}, validFor - 1, Admitted, 0},
		{"expired tokens", acme, allowance.Allotment{Held: 1}, validFor, Wait, 0},
		{"used up", acme, allowance.Allotment{RetryAfter: time.Second}, 0, Refused, time.Second},
		{"used up, at the time that the leader named", acme, allowance.Allotment{RetryAfter: time.Second}, time.Second, Wait, 0},
		{"no customer", nil, allowance.Allotment{}, 0, Admitted, 0},
		{"no limit", &customer.Customer{Name: "acme"}, allowance.Allotment{}, 0, Admitted, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := newHolder(c.allotment).Take(c.customer, start.Add(c.at))
			if got.Verdict != c.want || got.RetryAfter != c.wantRetryAfter {
				t.Errorf("got %+v, want the verdict %v, retry after %v", got, c.want, c.wantRetryAfter)
			}
		})
	}
}

func TestRefusalsComeBackSpread(t *testing.T) {
	h := newHolder(allowance.Allotment{RetryAfter: time.Second})
	for i, want := range []time.Duration{1000, 1100, 1200} {
		if got := h.Take(acme, start).RetryAfter; got != want*time.Millisecond {
			t.Errorf("refusal %d: got retry after %v, want %d ms", i, got, want)
		}
	}
	if got := h.Transitions(start); len(got) != 1 || !got[0].Began || got[0].Refused != 4 {
		t.Errorf("transitions: got %+v, want that acme began to be refused, 4 times", got)
	}
	if got := h.Transitions(start.Add(calmTime)); len(got) != 1 || got[0].Began {
		t.Errorf("transitions after a calm time: got %+v, want that acme isn't refused any more", got)
	}
}

func TestWaitingOperation(t *testing.T) {
	cases := []struct {
		name          string
		answer        *allowance.Allotment // nil: none yet
		at            time.Duration
		want          Verdict
		wantOverLimit bool
	}{
		{"no answer yet", nil, giveUp - 1, Wait, false},
		{"no answer in time", nil, giveUp, Refused, false},
		{"a token", &allowance.Allotment{Held: 1}, time.Millisecond, Admitted, false},
		{"a token is due in time", &allowance.Allotment{RetryAfter: 50 * time.Millisecond}, time.Millisecond, Wait, false},
		{"a token is due too late", &allowance.Allotment{RetryAfter: giveUp}, time.Millisecond, Refused, true},
		{"used up", &allowance.Allotment{RetryAfter: 50 * time.Millisecond}, giveUp, Refused, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHolder(allowance.Allotment{})
			if got := h.Take(acme, start); got.Verdict != Wait {
				t.Fatalf("Take: got %+v, want Wait", got)
			}
			if c.answer != nil {
				h.Begin(start)
				h.Apply([]allowance.Allotment{*c.answer}, validFor, start, start.Add(time.Millisecond))
			}
			got := h.Resume(acme, start, start.Add(giveUp), start.Add(c.at))
			if got.Verdict != c.want || got.OverLimit != c.wantOverLimit {
				t.Errorf("got %+v, want the verdict %v, over its limit %v", got, c.want, c.wantOverLimit)
			}
		})
	}
}

// TestExchangeReportsWhatLeadersNeed spends, returns and loses tokens between exchanges.
func TestExchangeReportsWhatLeadersNeed(t *testing.T) {
	h := newHolder(allowance.Allotment{Held: 6, Target: 2, Generation: 3})
	first, second := h.Take(acme, start), h.Take(acme, start)
	h.Return(first.Token, start) // no request has reported it
	got := h.Begin(start).Holdings[0]
	if got.Held != 5 || got.Offered != 3 || got.Spent != 1 || got.Returned != 0 {
		t.Errorf("got %+v, want 5 tokens, 3 of them offered, 1 spent", got)
	}
	h.Return(second.Token, start)
	h.Fail(start) // the offered tokens may be gone
	got = h.Begin(start).Holdings[0]
	if got.Held != 2 || got.Offered != 0 || got.Spent != 1 || got.Returned != 1 || got.Generation != 3 {
		t.Errorf("after a lost response: got %+v, want 2 tokens, 1 spent, 1 returned", got)
	}
	third := h.Take(acme, start) // while the request is on its way
	h.Apply([]allowance.Allotment{{Held: 4, Target: 2, Generation: 4}}, validFor, start, start)
	h.Return(second.Token, start) // of an earlier generation: too late
	if got := h.States(start)[0].Available; got != 3 {
		t.Errorf("got %d tokens, want the 4 given less the 1 spent meanwhile", got)
	}
	h.Return(third.Token, start)
	got = h.Begin(start.Add(validFor)).Holdings[0]
	if got.Held != 0 || got.Spent != 1 || got.Returned != 0 {
		t.Errorf("after the tokens expired: got %+v, want none, 1 spent", got)
	}
}

// TestTokenThatArrivedIsKept has an operation that wasn't resumed yet when the next
// exchange began.
func TestTokenThatArrivedIsKept(t *testing.T) {
	h := newHolder(allowance.Allotment{})
	h.Take(acme, start)
	h.Begin(start)
	h.Apply([]allowance.Allotment{{Held: 1}}, validFor, start, start)
	if got := h.NextTry(time.Second, start); got != time.Second {
		t.Errorf("next exchange: got in %v, want it not to be urgent", got)
	}
	h.Begin(start)
	if got := h.Resume(acme, start, start.Add(giveUp), start); got.Verdict != Admitted {
		t.Errorf("got %+v, want Admitted", got)
	}
}

func TestIdleCustomersAreForgotten(t *testing.T) {
	h := newHolder(allowance.Allotment{Held: 1, Target: 1})
	h.Take(acme, start)
	h.Transitions(start)
	later := start.Add(time.Minute)
	h.Transitions(later)
	if got := h.Begin(later).Holdings; len(got) != 1 {
		t.Fatalf("got %+v, want that the leader is told of the token that was spent", got)
	}
	h.Apply([]allowance.Allotment{{}}, validFor, later, later)
	if got := h.Begin(later).Holdings; len(got) != 0 || h.IsActive() {
		t.Errorf("got %+v, want no customer", got)
	}
}

func BenchmarkTake(b *testing.B) {
	h := newHolder(allowance.Allotment{Held: 1 << 40})
	b.ReportAllocs()
	for b.Loop() {
		if h.Take(acme, start).Verdict != Admitted {
			b.Fatal("not admitted")
		}
	}
}
