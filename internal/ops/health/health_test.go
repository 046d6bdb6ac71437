package health_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/burdockwood/burdockwood/internal/ops/health"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

func TestAdminHandler(t *testing.T) {
	ready := health.NewReadiness()
	level := logging.NewLevel("info")
	registry := metrics.NewRegistry()
	metrics.Counter(registry, "requests").Inc(1)
	handler := health.NewHandler(health.Options{Ready: ready.Reasons, Registry: registry, Level: level})
	ready.MarkNotReady("control", "no answer for 3s")
	if ready.MarkNotReady("control", "no answer for 3s") {
		t.Error("the same reason again: got a change, want none")
	}
	tests := []struct {
		method string
		path   string
		body   string
		status int
		want   string
	}{
		{"GET", "/livez", "", http.StatusOK, "ok"},
		{"GET", "/readyz", "", http.StatusServiceUnavailable, "not ready\ncontrol: no answer for 3s"},
		{"GET", "/metrics", "", http.StatusOK, "burdockwood_requests 1"},
		{"GET", "/metrics.json", "", http.StatusOK, `"requests": 1`},
		{"PUT", "/log-level", "debug\n", http.StatusOK, "debug"},
		{"GET", "/log-level", "", http.StatusOK, "debug"},
		{"PUT", "/log-level", "loud", http.StatusBadRequest, "a level is debug, info or error"},
		{"PUT", "/log-level", strings.Repeat("x", 1000), http.StatusBadRequest, "a level is"},
		{"POST", "/livez", "", http.StatusMethodNotAllowed, ""},
	}
	for _, test := range tests {
		t.Run(test.method+test.path, func(t *testing.T) {
			got := httptest.NewRecorder()
			handler.ServeHTTP(got, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
			if got.Code != test.status || !strings.Contains(got.Body.String(), test.want) {
				t.Errorf("got %d %q, want %d %q", got.Code, got.Body.String(), test.status, test.want)
			}
		})
	}
	ready.MarkReady("control")
	if got := ready.Reasons(); len(got) != 0 {
		t.Errorf("reasons after MarkReady: got %v, want none", got)
	}
}
