// Package runner is a stand-in for a service's runner: an HTTP server whose run
// times, failures and rejections are determined by each request. It records the
// tasks it started, so that tests can check whether a task ran twice.
package runner

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the protocol between a guard or an entry and a runner.
const (
	headerTask   = "Almond-Task"
	headerRan    = "Almond-Ran"
	headerDigest = "Content-Digest"
	ranNo        = "no"
)

// Defaults of Options.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultTTL         = 10 * time.Second
	maxPayload         = 8 << 20 // bytes
)

// ErrOptions is returned for invalid Options.
var ErrOptions = errors.New("runner stand-in: invalid options")

// Options of a Runner.
type Options struct {
	Service    string
	DataCentre string
	// Slots is the maximum number of concurrent tasks; tasks above it are rejected as not run.
	Slots int
	// Connections is the maximum number of open connections; connections above it are closed.
	Connections int
	// AnnounceTo lists the base URLs that announcements are sent to, of one guard or of
	// entries.
	AnnounceTo []string
	// Secret is the bearer token sent with announcements; empty for none.
	Secret string
	// TTL is how long an announcement remains valid.
	TTL    time.Duration
	Logger *slog.Logger
}

// Switches are faults that apply to every request.
type Switches struct {
	// FailAll makes every task fail immediately, as on a broken host.
	FailAll bool `json:"fail_all"`
	// RunTimeFactor is a factor for every run time; 0 and 1 leave it unchanged.
	RunTimeFactor float64 `json:"straggle"`
	// RejectAll rejects every task as not run.
	RejectAll bool `json:"refuse_all"`
}

// Runner is a stand-in runner.
type Runner struct {
	options         Options
	slots           chan struct{}
	switches        atomic.Pointer[Switches]
	record          record
	draining        atomic.Bool
	drainCh         chan struct{}
	drainOnce       sync.Once
	openConnections atomic.Int64
}

// New returns a runner. Its Handler serves tasks, and Announce announces it.
func New(o Options) (*Runner, error) {
	if o.Service == "" {
		return nil, errors.Join(ErrOptions, errors.New("service is missing"))
	}
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	if o.TTL == 0 {
		o.TTL = DefaultTTL
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	r := &Runner{options: o, slots: make(chan struct{}, o.Slots), drainCh: make(chan struct{})}
	r.switches.Store(&Switches{})
	r.record.startCounts = map[string]int{}
	return r, nil
}

// SetSwitches replaces the switches.
func (r *Runner) SetSwitches(s Switches) { r.switches.Store(&s) }

// StartRecord returns the record of started tasks.
func (r *Runner) Starts() StartRecord { return r.record.snapshot(false) }

// Drain makes the runner announce that it is draining. It still serves tasks, and records
// how long after the start of draining they came.
func (r *Runner) Drain() {
	r.drainOnce.Do(func() {
		r.record.setDrainingSince(time.Now())
		r.draining.Store(true)
		close(r.drainCh)
	})
}

// Idle reports whether no task is running.
func (r *Runner) Idle() bool { return len(r.slots) == 0 }

// Listener returns a listener that limits l to Options.Connections open connections.
func (r *Runner) Listener(l net.Listener) net.Listener {
	return &limitedListener{Listener: l, runner: r}
}

// Handler returns the handler for tasks on /v1/run, and for the switches and the record
// of starts under /standin.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", r.serveRun)
	mux.HandleFunc("GET /standin/starts", r.serveStarts)
	mux.HandleFunc("DELETE /standin/starts", r.serveReset)
	mux.HandleFunc("PUT /standin/switches", r.serveSwitches)
	mux.HandleFunc("POST /standin/leave", r.serveLeave)
	return mux
}

func (r *Runner) serveStarts(w http.ResponseWriter, req *http.Request) {
	writeJSON(w, r.record.snapshot(req.URL.Query().Has("doubles")))
}

func (r *Runner) serveReset(w http.ResponseWriter, _ *http.Request) {
	r.record.reset()
	w.WriteHeader(http.StatusNoContent)
}

func (r *Runner) serveSwitches(w http.ResponseWriter, req *http.Request) {
	var s Switches
	dec := json.NewDecoder(io.LimitReader(req.Body, maxPayload))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetSwitches(s)
	w.WriteHeader(http.StatusNoContent)
}

func (r *Runner) serveLeave(w http.ResponseWriter, _ *http.Request) {
	r.Drain()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// limitedListener closes connections above the limit, like a runner that has run out of
// file descriptors.
type limitedListener struct {
	net.Listener
	runner *Runner
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.runner.openConnections.Add(1) <= int64(l.runner.options.Connections) {
			return &limitedConn{Conn: conn, runner: l.runner}, nil
		}
		l.runner.openConnections.Add(-1)
		l.runner.record.connectionRejected()
		_ = conn.Close()
	}
}

type limitedConn struct {
	net.Conn
	runner *Runner
	once   sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.runner.openConnections.Add(-1) })
	return c.Conn.Close()
}
