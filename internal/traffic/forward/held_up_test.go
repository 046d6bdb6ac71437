package forward

import (
	"context"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
	"github.com/burdockwood/burdockwood/internal/model/boottime"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// TestHeldUpStatementDoesNotRun replays a statement that a cut between two proxies held up
// until its caller had left.
func TestHeldUpStatementDoesNotRun(t *testing.T) {
	cases := []struct {
		name    string
		heldUp  time.Duration
		leader  uint64 // of the request's deadline
		wantRun bool
	}{
		{"in time", 10 * time.Millisecond, 3, true},
		{"held up", 6 * time.Second, 3, false},
		{"deadline of another leadership", 6 * time.Second, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := &fakeServer{}
			service, _, _ := startOwner(t, server, 2)
			now := boottime.Now()
			service.options.LeaderClock.Record(leaderclock.Response{Leader: 3, Clock: time.Minute}, now, now)
			due := time.Minute + 800*time.Millisecond - c.heldUp
			response, err := service.Execute(context.Background(), &fleetpb.ExecuteRequest{
				Server: "s", Id: "id", Verb: uint32(statement.Read), Text: "READ 1", DeadlineMs: 800,
				ClockLeader: c.leader, DeadlineClockUs: uint64(due.Microseconds()),
			})
			if err != nil {
				t.Fatal(err)
			}
			if got := response.GetFault() == fleetpb.ExecuteResponse_FAULT_NONE; got != c.wantRun {
				t.Errorf("statement ran: got %v (%v %s), want %v", got, response.GetFault(), response.GetDetail(), c.wantRun)
			}
		})
	}
}
