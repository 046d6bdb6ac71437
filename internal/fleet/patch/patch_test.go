package patch

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

const maxBytes = 16 << 20

// newDocument returns a configuration of routes with random names, as operators write it,
// in which route number changed, if there is one, has another timeout.
func newDocument(routes, changed int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	document := []byte(`{"version":7,"routes":[`)
	for i := range routes {
		timeout := 1000
		if i == changed {
			timeout = 1250
		}
		document = fmt.Appendf(document, `{"name":"r-%07x","host":"%08x%d","pathPrefix":"/","routeKind":"read_your_writes","timeoutMs":%d,"targetLatencyMs":400,"priority":2,"service":"%06x","maxAttempts":2,"maxStalenessMs":2500},`,
			random.Uint32()&0xfffffff, random.Uint32(), i, timeout, random.Uint32()&0xffffff)
	}
	return append(document, `{}]}`...)
}

// TestPatchGrowsWithTheChange changes one route of 10, 100, 1,000 and 1,500.
func TestPatchGrowsWithTheChange(t *testing.T) {
	const wantBytes = 400
	for _, routes := range []int{10, 100, 1000, 1500} {
		from, to := newDocument(routes, -1), newDocument(routes, routes/2)
		encoded, err := Encode(from, to)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(from, encoded, maxBytes)
		if err != nil || !bytes.Equal(got, to) {
			t.Errorf("%d routes: got %d bytes, %v, want the document of %d bytes", routes, len(got), err, len(to))
		}
		t.Logf("%d routes: document %d bytes, patch %d bytes", routes, len(to), len(encoded))
		if len(encoded) > wantBytes {
			t.Errorf("%d routes: got a patch of %d bytes, want %d at most", routes, len(encoded), wantBytes)
		}
	}
}

func TestRandomDocuments(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	for range 100 {
		from := newDocument(random.IntN(40), random.IntN(40))
		to := newDocument(random.IntN(80), random.IntN(40))
		encoded, err := Encode(from, to)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(from, encoded, maxBytes); err != nil || !bytes.Equal(got, to) {
			t.Fatalf("got %d bytes, %v, want the document of %d bytes", len(got), err, len(to))
		}
	}
}

func TestInvalidPatches(t *testing.T) {
	from, to := newDocument(100, -1), newDocument(100, 50)
	encoded, err := Encode(from, to)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name          string
		from, encoded []byte
		maxBytes      uint64
	}{
		{"another version", newDocument(100, 7), encoded, maxBytes},
		{"no version", nil, encoded, maxBytes},
		{"cut off", from, encoded[:len(encoded)/2], maxBytes},
		{"not a patch", from, []byte("garbage"), maxBytes},
		{"too large", from, encoded, uint64(len(to) / 2)},
	}
	for _, test := range tests {
		if got, err := Decode(test.from, test.encoded, test.maxBytes); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got %d bytes, %v, want %v", test.name, len(got), err, ErrInvalid)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, routes := range []int{10, 100, 1000} {
		from, to := newDocument(routes, -1), newDocument(routes, routes/2)
		encoded, err := Encode(from, to)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(from, encoded, maxBytes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
