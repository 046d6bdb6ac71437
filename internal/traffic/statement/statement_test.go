package statement

import (
	"maps"
	"testing"
)

// FuzzFingerprint guards against two sessions that are taken to have the same settings:
// callers choose names and values freely, so no byte can separate them.
func FuzzFingerprint(f *testing.F) {
	f.Add("a", "x\x01b\x00y", "a", "x\x01b\x00y", "a", "x", "b", "y")
	f.Add("a", "1", "b", "2", "b", "2", "a", "1")
	f.Add("a", "", "", "a", "", "", "a", "a")
	f.Fuzz(func(t *testing.T, n1, v1, n2, v2, n3, v3, n4, v4 string) {
		first, second := map[string]string{n1: v1, n2: v2}, map[string]string{n3: v3, n4: v4}
		got, want := Fingerprint(first) == Fingerprint(second), maps.Equal(first, second)
		if got != want {
			t.Errorf("got equal fingerprints %v for %q and %q, want %v", got, first, second, want)
		}
	})
}

// FuzzDigest is the same for statements, whose digests recognize a caller that comes back.
func FuzzDigest(f *testing.F) {
	f.Add("q", "x\x00y", "q\x00x", "y")
	f.Add("", "READ 1", "READ 1", "")
	f.Fuzz(func(t *testing.T, query1, text1, query2, text2 string) {
		first, second := Statement{Verb: Execute, Query: query1, Text: text1}, Statement{Verb: Execute, Query: query2, Text: text2}
		if got, want := first.Digest() == second.Digest(), first == second; got != want {
			t.Errorf("got equal digests %v for %q %q and %q %q, want %v", got, query1, text1, query2, text2, want)
		}
	})
}
