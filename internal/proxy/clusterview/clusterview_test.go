package clusterview

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

// No sequence of responses lowers the version, the epoch, the revision within an
// epoch, or the term of a group.
func TestSnapshotNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore()
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 40).Draw(t, "responses") {
			before := store.Load()
			store.Apply(&controlpb.HeartbeatResponse{
				Version:      rapid.Uint64Range(0, 5).Draw(t, "version"),
				Declarations: "format: burdockwood-1",
				LeaderEpoch:  rapid.Uint64Range(0, 4).Draw(t, "epoch"),
				Revision:     rapid.Uint64Range(0, 9).Draw(t, "revision"),
				Groups:       []*controlpb.Group{{Name: "a", Term: rapid.Uint64Range(1, 6).Draw(t, "term")}},
			}, now)
			after := store.Load()
			if after.Version < before.Version || after.Epoch < before.Epoch {
				t.Fatalf("went back from version %d epoch %d to version %d epoch %d", before.Version, before.Epoch, after.Version, after.Epoch)
			}
			if after.Epoch == before.Epoch && after.Revision < before.Revision {
				t.Fatalf("revision went back from %d to %d in epoch %d", before.Revision, after.Revision, after.Epoch)
			}
			if termOf(after) < termOf(before) {
				t.Fatalf("term went back from %d to %d", termOf(before), termOf(after))
			}
		}
	})
}

// termOf returns the term of the group "a", or 0 if the snapshot lacks the group.
func termOf(snapshot *Snapshot) cluster.Term {
	if group := snapshot.Groups["a"]; group != nil {
		return group.Term
	}
	return 0
}
