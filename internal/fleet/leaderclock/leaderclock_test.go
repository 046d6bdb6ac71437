package leaderclock_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
)

// TestUntilNeverEndsEarly replays a statement that one proxy sends and another receives,
// each with a clock of its own and responses that took their time either way.
func TestUntilNeverEndsEarly(t *testing.T) {
	const leader = 7
	start := time.Unix(1000, 0) // the leader's election
	cases := []struct {
		name string
		// there and back are the times on the network of both proxies' renewals.
		there, back time.Duration
		// delay is the time for which the statement is on its way, of the 800 ms
		// that its caller has.
		delay time.Duration
	}{
		{"near", time.Millisecond, time.Millisecond, 2 * time.Millisecond},
		{"slow request", 40 * time.Millisecond, time.Millisecond, 2 * time.Millisecond},
		{"slow response", time.Millisecond, 40 * time.Millisecond, 2 * time.Millisecond},
		{"held up by a cut", time.Millisecond, time.Millisecond, 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sender, receiver leaderclock.Clock
			skew := 3 * time.Hour // between the clocks of the two VMs
			responded := start.Add(5 * time.Second)
			response := leaderclock.Response{Leader: leader, Clock: responded.Sub(start), Held: 300 * time.Millisecond}
			sentAt, arrivedAt := responded.Add(-response.Held-c.there), responded.Add(c.back)
			sender.Record(response, sentAt, arrivedAt)
			receiver.Record(response, sentAt.Add(skew), arrivedAt.Add(skew))

			sent := responded.Add(100 * time.Millisecond)
			deadline := sent.Add(800 * time.Millisecond)
			due, ok := sender.At(deadline, sent)
			if !ok {
				t.Fatal("At: the leader's clock isn't known")
			}
			got, ok := receiver.Until(due, sent.Add(c.delay+skew))
			if !ok {
				t.Fatal("Until: the leader's clock isn't known")
			}
			want, slack := deadline.Sub(sent.Add(c.delay)), c.there+c.back
			if got < want || got > want+slack {
				t.Errorf("Until: got %v, want %v to %v", got, want, want+slack)
			}
		})
	}
}

func TestUntilKnowsOneLeadershipOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	var c leaderclock.Clock
	if _, ok := c.At(now, now); ok {
		t.Error("At before a response: got a time, want none")
	}
	c.Record(leaderclock.Response{Leader: 2, Clock: time.Second}, now, now)
	if _, ok := c.Until(leaderclock.Time{Leader: 1, Clock: time.Second}, now); ok {
		t.Error("Until a time of another leadership: got a time, want none")
	}
	if _, ok := c.At(now, now.Add(time.Minute)); ok {
		t.Error("At a minute after the last response: got a time, want none")
	}
}
