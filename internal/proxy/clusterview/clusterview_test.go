package clusterview

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
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

// An edit that doesn't fit changes nothing, and the next declarations are taken whole.
func TestEditThatDoesNotFitIsNotTaken(t *testing.T) {
	checksum := xxhash.Sum64String("abXd")
	tests := []struct {
		name string
		edit *controlpb.DeclarationsEdit
		want string
	}{
		{"fits", &controlpb.DeclarationsEdit{FromVersion: 1, Head: 2, Tail: 1, Middle: "X", Checksum: checksum}, "abXd"},
		{"of another version", &controlpb.DeclarationsEdit{FromVersion: 2, Head: 2, Tail: 1, Middle: "X", Checksum: checksum}, "abcd"},
		{"of another text", &controlpb.DeclarationsEdit{FromVersion: 1, Head: 2, Tail: 1, Middle: "Y", Checksum: checksum}, "abcd"},
		{"beyond the text", &controlpb.DeclarationsEdit{FromVersion: 1, Head: 1 << 31, Tail: 1 << 31, Middle: "X", Checksum: checksum}, "abcd"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := NewStore()
			now := time.Unix(0, 0)
			store.Apply(&controlpb.HeartbeatResponse{Version: 1, Declarations: "abcd"}, now)
			store.Apply(&controlpb.HeartbeatResponse{Version: 3, Edit: test.edit}, now)
			got, taken := store.Load(), test.want == "abXd"
			if got.Declarations != test.want || (got.Version == 3) != taken || got.WantsWhole == taken {
				t.Errorf("after the edit: got %+v, want %q", got, test.want)
			}
			store.Apply(&controlpb.HeartbeatResponse{Version: 4, Declarations: "new"}, now)
			if got := store.Load(); got.Declarations != "new" || got.WantsWhole {
				t.Errorf("whole: got %+v, want the new declarations", got)
			}
		})
	}
}

// termOf returns the term of the group "a", or 0 if the snapshot lacks the group.
func termOf(snapshot *Snapshot) cluster.Term {
	if group := snapshot.Groups["a"]; group != nil {
		return group.Term
	}
	return 0
}
