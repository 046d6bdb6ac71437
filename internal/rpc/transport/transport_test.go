package transport

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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

// TestOverOneConnectionReachesOneProcess stops a server between two calls and starts
// another one at its address, which must not get the second call.
func TestOverOneConnectionReachesOneProcess(t *testing.T) {
	var calls atomic.Int32
	start := func(listener net.Listener) *httptest.Server {
		server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: RequireKey("secret", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
		}))}}
		server.Start()
		return server
	}
	listen := func(address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		return listener
	}
	tests := []struct {
		name      string
		client    *http.Client
		wantCalls int32
	}{
		{"all connections", NewClient("secret", Options{}), 2},
		{"one connection", OverOneConnection(NewClient("secret", Options{})), 1},
	}
	for _, test := range tests {
		calls.Store(0)
		listener := listen("127.0.0.1:0")
		server := start(listener)
		call := func() error {
			response, err := test.client.Post(server.URL, "text/plain", strings.NewReader("body"))
			if err != nil {
				return err
			}
			if response.StatusCode != http.StatusOK {
				t.Errorf("%s: got status %d, want the key to be sent", test.name, response.StatusCode)
			}
			return response.Body.Close()
		}
		if err := call(); err != nil {
			t.Fatal(err)
		}
		server.CloseClientConnections()
		server.Close()
		next := start(listen(listener.Addr().String()))
		// The first client may find its old connection closed only when it calls.
		for range 2 {
			if err := call(); err == nil && test.wantCalls == 1 {
				t.Errorf("%s: got a call after the restart that succeeded, want it to fail", test.name)
			} else if err == nil {
				break
			}
		}
		if got := calls.Load(); got != test.wantCalls {
			t.Errorf("%s: got %d calls at the servers, want %d", test.name, got, test.wantCalls)
		}
		test.client.CloseIdleConnections()
		next.Close()
	}
}
