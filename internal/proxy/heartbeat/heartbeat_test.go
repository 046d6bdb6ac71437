package heartbeat

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

// TestUnusedGrantsAreReported checks that a proxy without traffic tells once
// that it uses nothing of its grants, which acknowledges smaller ones.
func TestUnusedGrantsAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	store := clusterview.NewStore()
	beat := New(Options{
		Store:      store,
		Upstreams:  upstream.New(upstream.Options{Log: logr.Discard()}, store.Load),
		IsDraining: func() bool { return false },
		Log:        logr.Discard(),
	})
	if got := beat.request(time.Second, now).GetUses(); got != nil {
		t.Errorf("uses without grants: got %v, want none", got)
	}
	store.Apply(&controlpb.HeartbeatResponse{
		LeaderEpoch: 1, Revision: 13, GrantsSet: true,
		Grants: []*controlpb.Grant{{Server: "ledger/a", Connections: 24}},
	}, now)
	uses := beat.request(time.Second, now).GetUses()
	if len(uses) != 1 || uses[0].GetServer() != "ledger/a" || uses[0].GetOpen() != 0 {
		t.Errorf("uses with a grant: got %v, want ledger/a with nothing open", uses)
	}
	if got := beat.request(time.Second, now).GetUses(); got != nil {
		t.Errorf("uses again: got %v, want none, since nothing changed", got)
	}
}
