package edge

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/oklog/run"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/entry/follower"
	"almondstand.dev/entry/front"
	"almondstand.dev/entry/handover"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/entry/lag"
	"almondstand.dev/entry/latestart"
	"almondstand.dev/entry/registry"
	"almondstand.dev/entry/sessions"
	"almondstand.dev/platform/ingress"
	"almondstand.dev/platform/store"
	"almondstand.dev/telemetry"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/httplimit"
	"almondstand.dev/wire/wirev1"
)

// Limits of callers' connections.
const (
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// drainPollInterval is how often drain checks whether every request has been
// answered.
const drainPollInterval = 20 * time.Millisecond

// Options configures an Entry.
type Options struct {
	// Path is the settings file, which Reload reads again.
	Path    string
	Logger  *slog.Logger
	Metrics *telemetry.Metrics
}

// Entry is one entry process behind the load balancer.
type Entry struct {
	opts     Options
	settings atomic.Pointer[Settings]
	config   *follower.Follower
	members  *registry.Registry
	jobs     *jobs.Engine
	sessions *sessions.Server
	lag      *lag.Meter
	front    *front.Handler
	// handOver hands jobs over to other entries, and takeOver takes theirs.
	handOver *handover.Client
	takeOver *handover.Server
	// callers is the server of the callers' connections.
	callers *http.Server
	// callerConnections and fleetConnections count the connections of callers, and those of guards
	// and other entries.
	callerConnections, fleetConnections connectionCount

	draining atomic.Bool
	// runnerReached is true once at least one runner was reachable. Until then the
	// entry is not ready: it would reject jobs that other entries can serve.
	runnerReached atomic.Bool
}

// New returns an entry. It listens once Run is called.
func New(s Settings, o Options) *Entry {
	e := &Entry{opts: o}
	e.settings.Store(&s)
	client := store.New(s.Store.AddrPort, store.Metrics(o.Metrics.Scope))
	incarnation := uint64(time.Now().UnixNano())
	e.config = follower.New(client, o.Logger)
	e.members = registry.New(registry.Options{
		Entry:   s.ID,
		Address: s.advertisedAddress().String(),
		Seeds:   func() []string { return e.settings.Load().seedAddresses() },
		Logger:  o.Logger,
	}, client, e.config)
	e.lag = lag.New(o.Metrics.Scope, o.Logger, s.Host.Cores)
	jobOptions := jobs.Options{
		Planner:        planner.Options{DataCentre: s.DataCentre, Seed: incarnation, Disabled: s.Scheduling.disabled()},
		Logger:         o.Logger,
		Scope:          o.Metrics.Scope,
		Disconnected:   disconnected,
		Peers:          latestart.NewClient(s.ID, e.members),
		Contracts:      e.config,
		Lag:            e.lag.Recent,
		Used:           e.lag.UsedPermille,
		SpareMilli:     e.lag.SpareMilli,
		ReceivedBefore: ingress.ReceivedBefore,
	}
	e.handOver = handover.NewClient(handover.ClientOptions{
		Entry: s.ID, Incarnation: incarnation, Logger: o.Logger, Scope: o.Metrics.Scope,
		BeforeSend: func() { e.jobs.CheckCallers(uptime.Now()) },
	})
	if s.Scheduling.HandOver {
		jobOptions.HandOver = e.handOver
	}
	e.jobs = jobs.New(jobOptions)
	e.takeOver = handover.NewServer(e.jobs, handover.ServerOptions{Entry: s.ID, Incarnation: incarnation, Logger: o.Logger, Scope: o.Metrics.Scope})
	e.config.OnCordons(e.jobs.SetCordons)
	e.sessions = sessions.New(sessions.Options{Entry: s.ID, Incarnation: incarnation, Logger: o.Logger, Lag: e.lag}, e.jobs, e.members)
	e.front = front.New(e.config, e.jobs, o.Logger)
	e.front.OnRequest(e.lag.ObserveRequest)
	e.callers = &http.Server{
		Handler:           e.front,
		ConnContext:       ingress.ConnContext,
		ConnState:         e.callerConnections.observe,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return e
}

// disconnected reports whether the caller of a request has closed its connection, or the entry that handed
// a job over has cancelled it or is out of contact.
func disconnected(ctx context.Context) bool {
	return ingress.Disconnected(ctx) || handover.Disconnected(ctx)
}

// Reload reads the settings file again. Only the seeds may change while the entry
// runs. If the file cannot be read, the current settings stay in force.
func (e *Entry) Reload(ctx context.Context) {
	s, err := Load(e.opts.Path)
	if err != nil {
		reloadFailed.Log(ctx, e.opts.Logger, slog.String("error", err.Error()))
		return
	}
	e.settings.Store(&s)
	reloaded.Log(ctx, e.opts.Logger, slog.Int("seeds", len(s.Seeds)))
}

// fleetService implements the service that guards and other entries call.
type fleetService struct {
	*sessions.Server
	members    *registry.Registry
	lateStarts *latestart.Server
	// takeOver is nil if handovers are turned off.
	takeOver *handover.Server
}

// Meet answers a call from another entry.
func (f fleetService) Meet(ctx context.Context, req *connect.Request[wirev1.MeetRequest]) (*connect.Response[wirev1.MeetResponse], error) {
	return f.members.Meet(ctx, req)
}

// LateStarts answers a question of another entry.
func (f fleetService) LateStarts(ctx context.Context, req *connect.Request[wirev1.LateStartsRequest]) (*connect.Response[wirev1.LateStartsResponse], error) {
	return f.lateStarts.LateStarts(ctx, req)
}

// HandOver takes over jobs of another entry.
func (f fleetService) HandOver(ctx context.Context, st *connect.BidiStream[wirev1.HandOverRequest, wirev1.HandOverResponse]) error {
	if f.takeOver == nil {
		return connect.NewError(connect.CodeUnimplemented, nil)
	}
	return f.takeOver.HandOver(ctx, st)
}

func (e *Entry) fleetService(s Settings) fleetService {
	f := fleetService{Server: e.sessions, members: e.members, lateStarts: latestart.NewServer(e.jobs)}
	if s.Scheduling.HandOver {
		f.takeOver = e.takeOver
	}
	return f
}

// Run serves until ctx ends, then waits for open requests to be answered.
func (e *Entry) Run(ctx context.Context) error {
	s := *e.settings.Load()
	debug.SetMemoryLimit(int64(softMemoryShare * float64(s.Host.memory())))
	started.Log(ctx, e.opts.Logger, slog.String("callers", s.Listen.Callers.String()), slog.String("guards", s.Listen.Guards.String()), slog.Int("seeds", len(s.Seeds)))
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	addActor := func(f func(context.Context) error) {
		group.Add(func() error { return f(runCtx) }, func(error) { stop() })
	}
	addActor(e.config.Run)
	addActor(e.members.Run)
	addActor(e.jobs.Run)
	addActor(e.sessions.Run)
	addActor(e.publishGauges)
	addActor(e.lag.Run)
	addActor(e.handOver.Run)
	addActor(func(c context.Context) error {
		mux := http.NewServeMux()
		mux.Handle(fleetwire.NewHandler(e.fleetService(s)))
		server := fleetwire.NewServer(mux)
		server.ConnState = e.fleetConnections.observe
		return serve(c, s.Listen.Guards.String(), server, s.Host.limits("guards", fleetMemoryShare, fleetFilesShare, e.opts.Metrics.Scope))
	})
	addActor(func(c context.Context) error {
		server, limits := s.Host.smallServer("ready", http.HandlerFunc(e.ready), e.opts.Metrics.Scope)
		return serve(c, s.Listen.Ready.String(), server, limits)
	})
	addActor(func(c context.Context) error {
		return serve(c, s.Listen.Callers.String(), e.callers, s.Host.callersLimits(e.opts.Metrics.Scope))
	})
	if s.Listen.Metrics.IsValid() {
		mux := http.NewServeMux()
		telemetry.Handle(mux, e.opts.Metrics, &telemetry.Ready{})
		addActor(func(c context.Context) error {
			server, limits := s.Host.smallServer("metrics", mux, e.opts.Metrics.Scope)
			return serve(c, s.Listen.Metrics.String(), server, limits)
		})
	}
	addActor(func(c context.Context) error { return e.drain(ctx, c) })
	err := group.Run()
	stopped.Log(ctx, e.opts.Logger)
	return err
}

// ready serves the load balancer's readiness check.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || e.config.Table() == nil || !e.hasReachableRunner() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (e *Entry) hasReachableRunner() bool {
	if e.runnerReached.Load() {
		return true
	}
	if e.jobs.Reachable() == 0 {
		return false
	}
	e.runnerReached.Store(true)
	return true
}

// drain waits until shutdownCtx ends. It then reports the entry as not ready and takes no more jobs over,
// still accepts requests until the load balancer has noticed, closes idle connections and starts no more
// jobs after that, and waits until every open request and every job taken over is answered or the grace
// period has almost passed.
func (e *Entry) drain(shutdownCtx, runCtx context.Context) error {
	select {
	case <-shutdownCtx.Done():
	case <-runCtx.Done():
		return nil
	}
	start, bounds := time.Now(), e.settings.Load().Bounds
	limit := bounds.GracePeriod.Std() - exitReserve
	draining.Log(runCtx, e.opts.Logger, slog.Int("open", e.open()))
	e.draining.Store(true)
	e.jobs.Drain(uptime.Now() + limit)
	e.front.DisableKeepAlives()
	time.Sleep(bounds.BalancerNotice.Std())
	// New connections go to other entries by now, so callers whose idle connections are closed
	// reach one that takes their jobs. On a connection that is left open the next job would be
	// handed over or rejected.
	e.callers.SetKeepAlivesEnabled(false)
	e.front.RejectNewJobs()
	for e.open() > 0 && time.Since(start) < limit {
		time.Sleep(drainPollInterval)
	}
	if n := e.open(); n > 0 {
		drainTimedOut.Log(runCtx, e.opts.Logger, slog.Int("open", n))
	}
	// The last answers are being sent.
	time.Sleep(drainPollInterval)
	return nil
}

// open returns the number of callers' requests and of jobs taken over that are not answered.
func (e *Entry) open() int {
	_, takenOver := e.jobs.InFlight()
	return e.front.InFlight() + takenOver
}

// serve serves HTTP on address until ctx ends, and then closes all connections.
func serve(ctx context.Context, address string, server *http.Server, limits httplimit.Options) error {
	listener, err := fleetwire.Listen(ctx, address)
	if err != nil {
		return err
	}
	listener = httplimit.New(limits).Apply(server, listener)
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
