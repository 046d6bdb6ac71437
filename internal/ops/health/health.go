// Package health serves the admin address of a process: whether it lives,
// whether it is ready for callers and why not, its metrics, and its log
// level.
//
// # Usage
//
//	ready := health.NewReadiness()
//	ready.Block("control", "no answer from control yet")
//	handler := health.New(health.Options{Ready: ready.Reasons, Registry: registry, Level: level})
//	err := transport.Serve(ctx, listener, handler)
//
//	ready.Clear("control")
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
	maxLevelBytes  = 16
	textType       = "text/plain; charset=utf-8"
	prometheusType = "text/plain; version=0.0.4; charset=utf-8"
	jsonType       = "application/json"
)

type (
	// Readiness is the list of reasons for which a process isn't ready.
	// Reading it takes no lock.
	Readiness struct {
		reasons atomic.Pointer[map[string]string]
	}

	// Options are the parts of a process that the admin address shows. A
	// part that is nil is left out.
	Options struct {
		// Ready returns the reasons for which the process isn't ready.
		Ready    func() []string
		Registry metrics.Registry
		Level    *logging.Level
	}

	admin struct {
		Options
	}
)

// NewReadiness returns a readiness without reasons against it.
func NewReadiness() *Readiness {
	var r Readiness
	r.reasons.Store(&map[string]string{})
	return &r
}

// MarkNotReady sets the reason of one part for which the process isn't ready. It
// reports whether that is news.
func (r *Readiness) MarkNotReady(part, reason string) bool {
	return r.change(func(reasons map[string]string) bool {
		if reasons[part] == reason {
			return false
		}
		reasons[part] = reason
		return true
	})
}

// MarkReady removes the reason of one part and reports whether there was one.
func (r *Readiness) MarkReady(part string) bool {
	return r.change(func(reasons map[string]string) bool {
		if _, ok := reasons[part]; !ok {
			return false
		}
		delete(reasons, part)
		return true
	})
}

// Reasons returns the reasons, sorted by part; none if the process is ready.
func (r *Readiness) Reasons() []string {
	reasons := *r.reasons.Load()
	lines := make([]string, 0, len(reasons))
	for _, part := range slices.Sorted(maps.Keys(reasons)) {
		lines = append(lines, part+": "+reasons[part])
	}
	return lines
}

func (r *Readiness) change(edit func(map[string]string) bool) bool {
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
	a := &admin{Options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", a.livez)
	mux.HandleFunc("GET /readyz", a.readyz)
	if a.Registry != nil {
		mux.HandleFunc("GET /metrics", a.prometheus)
		mux.HandleFunc("GET /metrics.json", a.json)
	}
	if a.Level != nil {
		mux.HandleFunc("GET /log-level", a.level)
		mux.HandleFunc("PUT /log-level", a.setLevel)
	}
	return mux
}

func (a *admin) livez(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, "ok")
}

func (a *admin) readyz(w http.ResponseWriter, _ *http.Request) {
	var reasons []string
	if a.Ready != nil {
		reasons = a.Ready()
	}
	if len(reasons) == 0 {
		answer(w, http.StatusOK, "ready")
		return
	}
	answer(w, http.StatusServiceUnavailable, "not ready\n"+strings.Join(reasons, "\n"))
}

func (a *admin) prometheus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", prometheusType)
	// A write error means that the reader has gone.
	_ = metrics.WritePrometheus(w, a.Registry)
}

func (a *admin) json(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", jsonType)
	_ = metrics.WriteJSON(w, a.Registry)
}

func (a *admin) level(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, a.Level.String())
}

func (a *admin) setLevel(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxLevelBytes))
	if err != nil {
		answer(w, http.StatusBadRequest, logging.ErrInvalidLevel.Error())
		return
	}
	if err := a.Level.Set(strings.TrimSpace(string(body))); err != nil {
		answer(w, http.StatusBadRequest, logging.ErrInvalidLevel.Error())
		return
	}
	answer(w, http.StatusOK, a.Level.String())
}

func answer(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", textType)
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, text)
}
