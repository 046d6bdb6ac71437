package heartbeat

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

// TestUnusedGrantsAreReported checks that a proxy without traffic reports once
// that it uses none of its granted connections. Control needs this report as the
// acknowledgement of a reduced grant. The field Uses of a request holds the number
// of connections in use for each server.
func TestUnusedGrantsAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	store := clusterview.NewStore()
	client := New(Options{
		Store:      store,
		Upstreams:  upstream.New(upstream.Options{Log: logr.Discard()}, store.Load),
		IsDraining: func() bool { return false },
		Log:        logr.Discard(),
	})
	if got := client.newRequest(time.Second, now).GetUses(); got != nil {
		t.Errorf("usage without grants: got %v, want none", got)
	}
	store.Apply(&controlpb.HeartbeatResponse{
		LeaderEpoch: 1, Revision: 13, GrantsSet: true,
		Grants: []*controlpb.Grant{{Server: "ledger/a", Connections: 24}},
	}, now)
	uses := client.newRequest(time.Second, now).GetUses()
	if len(uses) != 1 || uses[0].GetServer() != "ledger/a" || uses[0].GetOpen() != 0 {
		t.Errorf("usage with a grant: got %v, want ledger/a with no open connection", uses)
	}
	if got := client.newRequest(time.Second, now).GetUses(); got != nil {
		t.Errorf("usage in the next request: got %v, want none, since nothing changed", got)
	}
}
