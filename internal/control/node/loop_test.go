package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/quorum"
)

// TestQueuedMessagesCountBeforeDeadline has a deadline pass at a node that was short of
// processor time while messages of the leader were queued or on their way.
func TestQueuedMessagesCountBeforeDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	message := event{messages: []quorum.Message{{Kind: quorum.MessageAppend}}}
	tests := []struct {
		name           string
		late           time.Duration
		queued, coming bool
		leads          bool
		want           int
	}{
		{"in time, queued", 0, true, false, false, 1},
		{"in time, nothing queued", 0, false, false, false, 0},
		{"late, queued", 300 * time.Millisecond, true, false, false, 1},
		{"late, on its way", 300 * time.Millisecond, false, true, false, 1},
		{"late leader, queued", 300 * time.Millisecond, true, false, true, 1},
		{"late leader, which doesn't wait", 300 * time.Millisecond, false, true, true, 0},
		{"late, nothing comes", 300 * time.Millisecond, false, false, false, 0},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			n := &Node{now: func() time.Time { return now.Add(test.late) }, events: make(chan event, 4)}
			n.leadership.Store(&leadership{leads: test.leads})
			if test.queued {
				n.events <- message
			}
			if test.coming {
				time.AfterFunc(lateGrace/10, func() { n.events <- message })
			}
			if got := len(n.collectLate(t.Context(), now)); got != test.want {
				t.Errorf("%s: got %d events, want %d", test.name, got, test.want)
			}
		})
	}
}
