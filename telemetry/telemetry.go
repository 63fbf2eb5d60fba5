// Package telemetry provides a process's metrics and health endpoints, counts its control
// traffic and creates its logger.
package telemetry

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Ready is the readiness of a process. Draining starts by setting it to false.
type Ready struct{ ready atomic.Bool }

// Set sets the readiness.
func (r *Ready) Set(v bool) { r.ready.Store(v) }

// Get returns the readiness.
func (r *Ready) Get() bool { return r.ready.Load() }

// Handle registers /healthz, /readyz and /metrics on a mux.
func Handle(mux *http.ServeMux, m *Metrics, ready *Ready) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready.Get() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	if m != nil {
		mux.Handle("GET /metrics", m.Handler)
	}
}
