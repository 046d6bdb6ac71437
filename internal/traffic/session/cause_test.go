package session

import (
	"errors"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// TestCauseOfCallerThatLeft tells callers that left from connections that broke. What is
// known of the request is the same.
func TestCauseOfCallerThatLeft(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		want   cause
		mayRun bool
	}{
		{"waiting for a connection", upstream.ErrCallerGone, causeCallerGone, false},
		{"waiting for an owner's answer", backend.ErrCallerClosed, causeCallerGone, true},
		{"the same, wrapped", eris.Wrap(backend.ErrCallerClosed, "last"), causeCallerGone, true},
		{"a connection that broke", eris.Wrap(backend.ErrConnectionLost, "read"), causeConnectionLost, true},
	}
	for _, c := range cases {
		if got := causeOf(c.err); got != c.want {
			t.Errorf("%s: got the cause %q, want %q", c.name, got, c.want)
		}
		if got := errors.Is(c.err, backend.ErrConnectionLost); got != c.mayRun {
			t.Errorf("%s: got %v for whether it may have run, want %v", c.name, got, c.mayRun)
		}
	}
}
