package transport

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestHeaders sends a request as twirp's clients do, and checks what is left of its
// headers on the wire. Headers that a server may read stay.
func TestHeaders(t *testing.T) {
	var got http.Header
	server := httptest.NewServer(withoutDate(RequireKey("secret", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		_, _ = io.WriteString(w, "ok")
	}))))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"Content-Type": "application/protobuf", "Accept": "application/protobuf", "Twirp-Version": "v8.1.3", "Kept": "core-1"} {
		request.Header.Set(name, value)
	}
	response, err := NewClient("secret", Options{}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	tests := []struct{ name, want string }{
		{"Content-Type", "application/protobuf"},
		{"Kept", "core-1"},
		{"Authorization", "Bearer secret"},
		{"Accept", ""},
		{"Twirp-Version", ""},
		{"User-Agent", ""},
	}
	for _, test := range tests {
		if got := got.Get(test.name); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
	if got := response.Header.Get("Date"); got != "" {
		t.Errorf("got date %q in the response, want none", got)
	}
	if request.Header.Get("Accept") == "" {
		t.Error("got a changed request of the caller, want it as it was")
	}
}
