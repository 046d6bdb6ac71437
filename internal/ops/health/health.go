// Package health serves the admin address of a process: liveness, readiness with the
// reasons why it isn't ready, metrics, and the log level.
//
// # Usage
//
//	ready := health.NewReadiness()
//	ready.MarkNotReady("control", "no response from control yet")
//	handler := health.NewHandler(health.Options{Ready: ready.Reasons, Registry: registry, Level: level})
//	err := transport.Serve(ctx, listener, handler)
//
//	ready.MarkReady("control")
//
// The paths are /livez, /readyz, /metrics (Prometheus text), /metrics.json
// and /log-level (GET and PUT).
package health

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/burdockwood/burdockwood/internal/ops/logging"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

const (
	maxLevelBytes         = 16
	contentTypeText       = "text/plain; charset=utf-8"
	contentTypePrometheus = "text/plain; version=0.0.4; charset=utf-8"
	contentTypeJSON       = "application/json"
)

type (
	// Readiness holds, by component, the reasons why a process isn't ready. It
	// is safe for concurrent use, and reading it takes no lock.
	Readiness struct {
		// reasons points to a map that is replaced, never modified.
		reasons atomic.Pointer[map[string]string]
	}

	// Options are what the admin address serves.
	Options struct {
		// Ready returns the reasons why the process isn't ready. If it is nil,
		// the process is always ready.
		Ready func() []string
		// Registry holds the metrics. If it is nil, there are no metrics paths.
		Registry metrics.Registry
		// Level is the log level. If it is nil, there is no log level path.
		Level *logging.Level
	}

	adminHandler struct {
		Options
	}
)

// NewReadiness returns the readiness of a process that is ready.
func NewReadiness() *Readiness {
	var r Readiness
	r.reasons.Store(&map[string]string{})
	return &r
}

// MarkNotReady sets the reason why a component isn't ready, and reports whether the
// reason changed.
func (r *Readiness) MarkNotReady(component, reason string) bool {
	return r.update(func(reasons map[string]string) bool {
		if reasons[component] == reason {
			return false
		}
		reasons[component] = reason
		return true
	})
}

// MarkReady removes the reason of a component and reports whether there was one.
func (r *Readiness) MarkReady(component string) bool {
	return r.update(func(reasons map[string]string) bool {
		if _, ok := reasons[component]; !ok {
			return false
		}
		delete(reasons, component)
		return true
	})
}

// Reasons returns the reasons why the process isn't ready, sorted by component; none if
// it is ready.
func (r *Readiness) Reasons() []string {
	reasons := *r.reasons.Load()
	lines := make([]string, 0, len(reasons))
	for _, component := range slices.Sorted(maps.Keys(reasons)) {
		lines = append(lines, component+": "+reasons[component])
	}
	return lines
}

// update replaces the reasons with a copy that edit has changed, and reports whether
// edit changed it. It retries if another update came first.
func (r *Readiness) update(edit func(map[string]string) bool) bool {
	for {
		old := r.reasons.Load()
		next := maps.Clone(*old)
		if !edit(next) {
			return false
		}
		if r.reasons.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// NewHandler returns the handler of the admin address.
func NewHandler(options Options) http.Handler {
	a := &adminHandler{Options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", a.livez)
	mux.HandleFunc("GET /readyz", a.readyz)
	if a.Registry != nil {
		mux.HandleFunc("GET /metrics", a.metricsText)
		mux.HandleFunc("GET /metrics.json", a.metricsJSON)
	}
	if a.Level != nil {
		mux.HandleFunc("GET /log-level", a.getLevel)
		mux.HandleFunc("PUT /log-level", a.setLevel)
	}
	return mux
}

func (a *adminHandler) livez(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

func (a *adminHandler) readyz(w http.ResponseWriter, _ *http.Request) {
	var reasons []string
	if a.Ready != nil {
		reasons = a.Ready()
	}
	if len(reasons) == 0 {
		writeText(w, http.StatusOK, "ready")
		return
	}
	writeText(w, http.StatusServiceUnavailable, "not ready\n"+strings.Join(reasons, "\n"))
}

func (a *adminHandler) metricsText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentTypePrometheus)
	// A write error means that the client has disconnected.
	_ = metrics.WritePrometheus(w, a.Registry)
}

func (a *adminHandler) metricsJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentTypeJSON)
	_ = metrics.WriteJSON(w, a.Registry)
}

func (a *adminHandler) getLevel(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, a.Level.String())
}

func (a *adminHandler) setLevel(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxLevelBytes))
	if err != nil {
		writeText(w, http.StatusBadRequest, logging.ErrInvalidLevel.Error())
		return
	}
	if err := a.Level.Set(strings.TrimSpace(string(body))); err != nil {
		writeText(w, http.StatusBadRequest, logging.ErrInvalidLevel.Error())
		return
	}
	writeText(w, http.StatusOK, a.Level.String())
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", contentTypeText)
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, text)
}
