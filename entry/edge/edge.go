package edge

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/oklog/run"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/entry/follower"
	"almondstand.dev/entry/front"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/entry/lag"
	"almondstand.dev/entry/registry"
	"almondstand.dev/entry/sessions"
	"almondstand.dev/platform/store"
	"almondstand.dev/telemetry"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// Bounds of callers' connections.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 16 << 10
)

// drainTick paces the check whether every request is answered.
const drainTick = 20 * time.Millisecond

// Options of an Entry.
type Options struct {
	// Path of the settings file, read again on Reload.
	Path    string
	Logger  *slog.Logger
	Metrics *telemetry.Metrics
}

// Entry is one process behind the balancer.
type Entry struct {
	opt      Options
	settings atomic.Pointer[Settings]
	config   *follower.Follower
	members  *registry.Registry
	jobs     *jobs.Engine
	sessions *sessions.Server
	lag      *lag.Meter
	front    *front.Front
	draining atomic.Bool
	// reached is true once some runner could be reached; an entry without any
	// would turn away what others can serve.
	reached atomic.Bool
}

// New returns an entry that does not listen yet.
func New(s Settings, o Options) *Entry {
	e := &Entry{opt: o}
	e.settings.Store(&s)
	client := store.New(s.Store.AddrPort, store.Metrics(o.Metrics.Scope))
	incarnation := uint64(time.Now().UnixNano())
	e.config = follower.New(client, o.Logger)
	e.members = registry.New(registry.Options{
		Entry:   s.ID,
		Address: s.advertised().String(),
		Seeds:   func() []string { return e.settings.Load().peers() },
		Logger:  o.Logger,
	}, client, e.config)
	e.jobs = jobs.New(jobs.Options{
		Planner: planner.Options{Zone: s.Zone, Seed: incarnation},
		Logger:  o.Logger,
		Scope:   o.Metrics.Scope,
	})
	e.lag = lag.New(o.Metrics.Scope, o.Logger)
	e.sessions = sessions.New(sessions.Options{Entry: s.ID, Incarnation: incarnation, Logger: o.Logger, Lag: e.lag}, e.jobs, e.members)
	e.front = front.New(e.config, e.jobs, o.Logger)
	return e
}

// Reload reads the settings file again; only the seeds may change while the
// entry runs. A file that can't be read changes nothing.
func (e *Entry) Reload(ctx context.Context) {
	s, err := Load(e.opt.Path)
	if err != nil {
		reloadFailed.Log(ctx, e.opt.Logger, slog.String("error", err.Error()))
		return
	}
	e.settings.Store(&s)
	reloaded.Log(ctx, e.opt.Logger, slog.Int("seeds", len(s.Seeds)))
}

// fleet serves guards and other entries.
type fleet struct {
	*sessions.Server
	members *registry.Registry
}

// Meet answers another entry.
func (f fleet) Meet(ctx context.Context, req *connect.Request[wirev1.MeetRequest]) (*connect.Response[wirev1.MeetResponse], error) {
	return f.members.Meet(ctx, req)
}

// Run serves until the context ends, then answers what is open.
func (e *Entry) Run(ctx context.Context) error {
	s := *e.settings.Load()
	started.Log(ctx, e.opt.Logger, slog.String("callers", s.Listen.Callers.String()), slog.String("guards", s.Listen.Guards.String()), slog.Int("seeds", len(s.Seeds)))
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	actor := func(f func(context.Context) error) {
		group.Add(func() error { return f(inner) }, func(error) { stop() })
	}
	actor(e.config.Run)
	actor(e.members.Run)
	actor(e.jobs.Run)
	actor(e.sessions.Run)
	actor(e.gauges)
	actor(e.lag.Run)
	actor(func(c context.Context) error {
		mux := http.NewServeMux()
		mux.Handle(fleetwire.NewHandler(fleet{e.sessions, e.members}))
		return serve(c, s.Listen.Guards.String(), fleetwire.NewServer(mux))
	})
	actor(func(c context.Context) error {
		return serve(c, s.Listen.Ready.String(), &http.Server{Handler: http.HandlerFunc(e.ready), ReadHeaderTimeout: headerTimeout})
	})
	actor(func(c context.Context) error {
		return serve(c, s.Listen.Callers.String(), &http.Server{
			Handler:           e.front,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
		})
	})
	if s.Listen.Metrics.IsValid() {
		mux := http.NewServeMux()
		telemetry.Handle(mux, e.opt.Metrics, &telemetry.Ready{})
		actor(func(c context.Context) error {
			return serve(c, s.Listen.Metrics.String(), &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout})
		})
	}
	actor(func(c context.Context) error { return e.drain(ctx, c) })
	err := group.Run()
	stopped.Log(ctx, e.opt.Logger)
	return err
}

// ready answers the balancer.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || e.config.Table() == nil || !e.reaches() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (e *Entry) reaches() bool {
	if e.reached.Load() {
		return true
	}
	if e.jobs.Reachable() == 0 {
		return false
	}
	e.reached.Store(true)
	return true
}

// drain waits for the end of the outer context. Then the balancer is told
// first; work that still comes is taken until it has noticed, and after that
// refused; and every open request is answered before the process ends.
func (e *Entry) drain(outer, inner context.Context) error {
	select {
	case <-outer.Done():
	case <-inner.Done():
		return nil
	}
	began := time.Now()
	bounds := e.settings.Load().Bounds
	draining.Log(inner, e.opt.Logger, slog.Int("open", e.front.Open()))
	e.draining.Store(true)
	e.front.Closing()
	time.Sleep(bounds.BalancerNotice.Std())
	e.front.Close()
	limit := bounds.Grace.Std() - drainReserve
	for e.front.Open() > 0 && time.Since(began) < limit {
		time.Sleep(drainTick)
	}
	if n := e.front.Open(); n > 0 {
		drainCut.Log(inner, e.opt.Logger, slog.Int("open", n))
	}
	return nil
}

// serve serves until the context ends. Open connections are closed only then.
func serve(ctx context.Context, address string, server *http.Server) error {
	listener, err := fleetwire.Listen(ctx, address)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
