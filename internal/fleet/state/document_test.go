package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// longBody returns the body of a document of 1,700 routes.
func longBody() []byte {
	var body bytes.Buffer
	for i := range 1700 {
		fmt.Fprintf(&body, `{"name":"route-%d","host":"database-%d","timeout-ms":%d,"group":"group-%d"}`, i, i*7919%100000, 800+i%3, i%8)
	}
	return body.Bytes()
}

func TestDocumentEncoding(t *testing.T) {
	cases := []struct {
		name    string
		body    []byte
		maxSize int
	}{
		{"none", nil, 100},
		{"short", []byte("body"), 100},
		{"long", longBody(), len(longBody()) / 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			command, err := Encode(Command{Document: &Document{Version: 3, Body: c.body}})
			if err != nil {
				t.Fatal(err)
			}
			if len(command) > c.maxSize {
				t.Errorf("got a command of %d bytes for a body of %d, want at most %d", len(command), len(c.body), c.maxSize)
			}
			m.Apply(1, command)
			snapshot, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored := New()
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			for _, got := range []Document{m.View().Document, restored.View().Document} {
				if got.Version != 3 || !bytes.Equal(got.Body, c.body) {
					t.Errorf("got version %d and %d bytes, want version 3 and the %d bytes", got.Version, len(got.Body), len(c.body))
				}
			}
		})
	}
}

// TestDocumentsOfOtherReleases reads what a release wrote that didn't pack documents, and
// bytes that no release wrote.
func TestDocumentsOfOtherReleases(t *testing.T) {
	m := New()
	if err := m.Restore([]byte(`{"format":1,"state":{"document":{"version":5,"body":"Ym9keQ=="},"primacies":{},"proxies":{},"servers":{}}}`)); err != nil {
		t.Fatal(err)
	}
	if got := m.View().Document; got.Version != 5 || string(got.Body) != "body" {
		t.Errorf("got %+v, want version 5 and its body", got)
	}
	for _, text := range []string{`{"version":6,"packed":"Ym9keQ=="}`, `{"version":6,"packed":7}`} {
		var d Document
		if err := json.Unmarshal([]byte(text), &d); err == nil {
			t.Errorf("%s: got no error, want one", text)
		}
		if m.Apply(2, []byte(`{"document":`+text+`}`)); m.View().Document.Version != 5 {
			t.Errorf("%s: got it applied, want no change", text)
		}
	}
	if err := New().Restore([]byte(strings.Repeat("[", 20))); err == nil {
		t.Error("got no error for a snapshot that isn't one, want one")
	}
}
