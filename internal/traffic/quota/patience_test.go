package quota

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
)

// TestPatience has an operation arrive for which no token is there, while exchanges have
// failed for some time.
func TestPatience(t *testing.T) {
	waits := Waits{Usual: 75 * time.Millisecond, Hold: 300 * time.Millisecond}
	cases := []struct {
		name string
		// failing is for how long exchanges have failed; 0: not yet. heard is when
		// another control node answered, before the operation arrived; 0: none did.
		failing, heard time.Duration
		answered       bool
		want           time.Duration
		wantRetryAfter time.Duration
	}{
		{"the leader has answered", 0, 0, true, waits.Usual, 100 * time.Millisecond},
		{"an exchange is on its way", 0, 0, false, waits.Hold, 600 * time.Millisecond},
		{"the leader is silent", 400 * time.Millisecond, 0, false, waits.Hold, 600 * time.Millisecond},
		{"no node leads for a long time", 3 * time.Second, 100 * time.Millisecond, false, waits.Usual / silentWaitDivisor, 600 * time.Millisecond},
		{"cut off from all of control", 3 * time.Second, 0, false, 0, elsewhereRetryAfter},
		{"cut off for a second", 3 * time.Second, time.Second, false, 0, elsewhereRetryAfter},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHolder(allowance.Allotment{})
			arrived := start.Add(time.Minute)
			h.heardAt = time.Time{}
			if c.failing > 0 {
				h.Fail(arrived.Add(-c.failing))
				h.Fail(arrived)
			}
			if c.heard > 0 {
				h.Heard(arrived.Add(-c.heard))
			}
			h.Take(acme, arrived)
			now := arrived.Add(time.Millisecond)
			if c.answered {
				h.Begin(arrived)
				h.Apply([]allowance.Allotment{{}}, validFor, arrived, now)
			}
			got := h.GiveUpAt(acme, waits, arrived, now)
			if want := arrived.Add(c.want); !got.Equal(want) {
				t.Errorf("got until %v after it arrived, want %v", got.Sub(arrived), c.want)
			}
			if d := h.Resume(acme, arrived, arrived, now); d.Verdict != Refused || d.RetryAfter != c.wantRetryAfter || d.OverLimit != c.answered {
				t.Errorf("when it gives up: got %+v, want it refused, retry after %v", d, c.wantRetryAfter)
			}
		})
	}
}

// TestUncertainRefusal has a new leader lack tokens that it doesn't know to be used up.
func TestUncertainRefusal(t *testing.T) {
	h := newHolder(allowance.Allotment{RetryAfter: time.Second, Uncertain: true})
	if got := h.Take(acme, start); got.Verdict != Refused || got.OverLimit || got.RetryAfter < time.Second {
		t.Errorf("got %+v, want it refused for a second, not for the limit", got)
	}
}
