package fleetrpc

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"testing"

	"github.com/burdockwood/burdockwood/internal/fleet/patch"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
)

// body returns a document body that differs a little from version to version.
func body(version uint64) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "route of version %d, ", version), 50)
}

// TestEncodedDocument stores versions 1 to 20 and asks for each from an earlier one.
func TestEncodedDocument(t *testing.T) {
	tests := []struct {
		name          string
		version, held uint64
		wantFrom      uint64
	}{
		{"no version held", 20, 0, 0},
		{"the version before", 20, 19, 19},
		{"the oldest that is kept", 20, 12, 12},
		{"older than what is kept", 20, 11, 0},
		{"a version that this node never had", 20, 100, 0},
		{"the newest itself", 20, 20, 0},
	}
	for _, test := range tests {
		var e encodedDocument
		for version := uint64(1); version <= test.version; version++ {
			if _, _, err := e.get(state.Document{Version: version, Body: body(version)}, 0); err != nil {
				t.Fatal(err)
			}
		}
		for range 2 {
			encoded, from, err := e.get(state.Document{Version: test.version, Body: body(test.version)}, test.held)
			if err != nil {
				t.Fatal(err)
			}
			got := decode(t, encoded, from)
			if from != test.wantFrom || !bytes.Equal(got, body(test.version)) {
				t.Errorf("%s: got a patch of %d with %d bytes, want one of %d with the document", test.name, from, len(got), test.wantFrom)
			}
		}
	}
}

// decode returns the document as a proxy that holds version from decodes it.
func decode(t *testing.T, encoded []byte, from uint64) []byte {
	t.Helper()
	if from > 0 {
		got, err := patch.Decode(body(from), encoded, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	r, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return got
}
