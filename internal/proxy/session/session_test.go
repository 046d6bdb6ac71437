package session

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
)

// A token is accepted with any of the current keys. It is rejected if its key
// was removed, its version isn't supported, or any of its bytes is changed.
func TestVerifyTokenAcceptsOnlyGenuineTokens(t *testing.T) {
	keys := []string{"new", "old"}
	// The name "a.b=c" contains separators of the token's format.
	positions := Positions{"ledger-1": {Term: 3, Position: 812}, "a.b=c": {Term: 1, Position: 2}}
	old := EncodeToken(positions, []string{"old"})
	got, err := VerifyToken(old, keys)
	if err != nil || len(got) != 2 || got["ledger-1"] != positions["ledger-1"] || got["a.b=c"] != positions["a.b=c"] {
		t.Fatalf("VerifyToken = %v, %v, want %v", got, err, positions)
	}
	if _, err := VerifyToken(old, []string{"new"}); !errors.Is(err, ErrUnverified) {
		t.Errorf("without the key that signed it: %v, want ErrUnverified", err)
	}
	if _, err := VerifyToken("2.key.payload-of-a-newer-release.signature", keys); !errors.Is(err, ErrUnverified) {
		t.Errorf("newer version: %v, want ErrUnverified", err)
	}
	for i := range old {
		changed := []byte(old)
		changed[i] ^= 1
		if _, err := VerifyToken(string(changed), keys); err == nil {
			t.Errorf("a change of byte %d was accepted", i)
		}
	}
}

func TestRemovedPeerMovesOnlyItsSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []clusterview.Peer
		for i := range rapid.IntRange(1, 9).Draw(t, "peers") {
			peers = append(peers, clusterview.Peer{Name: cluster.ProxyName(fmt.Sprint("p", i))})
		}
		session := rapid.String().Draw(t, "session")
		removed := rapid.IntRange(0, len(peers)-1).Draw(t, "removed")
		before := Owners(session, peers)
		after := Owners(session, append(append([]clusterview.Peer(nil), peers[:removed]...), peers[removed+1:]...))
		for _, owner := range before {
			if owner.Name == peers[removed].Name {
				continue
			}
			kept := false
			for _, o := range after {
				kept = kept || o.Name == owner.Name
			}
			if !kept {
				t.Fatalf("owner %s was dropped when %s left", owner.Name, peers[removed].Name)
			}
		}
	})
}

func FuzzVerifyToken(f *testing.F) {
	f.Add(EncodeToken(Positions{"a": {Term: 1, Position: 2}}, []string{"k"}))
	f.Add("1.x..y")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := VerifyToken(text, []string{"other"}); err == nil {
			t.Errorf("VerifyToken(%q) accepted a token of another key", text)
		}
	})
}
