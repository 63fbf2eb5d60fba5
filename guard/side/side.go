package side

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"almondstand.dev/guard/host"
	"almondstand.dev/guard/runs"
	"almondstand.dev/guard/uplink"
	"almondstand.dev/platform/runner"
	"almondstand.dev/platform/store"
	"almondstand.dev/telemetry"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/httplimit"
)

// Shares of the time after which a caller submits its job again. If an entry has
// been silent for the first share, its runs are stopped; by the second they have
// ended even if the runner doesn't respond. The rest allows for a caller that
// detects the broken connection and reaches another entry sooner than this guard
// detects it.
const (
	entryTimeoutShare = 0.40
	endBoundShare     = 0.88
	// leaseShare is the part of the longest lease that is requested: it covers
	// five renewals and is short enough to fit between the entry timeout and the
	// end bound.
	leaseShare = 0.60
)

// drainReserve is the part of the grace period that is reserved for the exit of
// the process.
const drainReserve = time.Second

// linger is the wait before exit in which the last reports reach the entries.
const linger = 150 * time.Millisecond

// Options configure a Guard.
type Options struct {
	// Path is the settings file, which Reload reads again.
	Path    string
	Logger  *slog.Logger
	Metrics *telemetry.Metrics
}

// Guard is the guard process beside one runner.
type Guard struct {
	opts     Options
	settings atomic.Pointer[Settings]
	host     *host.Host
	uplink   *uplink.Uplink
}

// New returns a guard that does not listen until Run is called.
func New(s Settings, o Options) *Guard {
	g := &Guard{opts: o}
	g.settings.Store(&s)
	resubmitDelay := s.Bounds.ResubmitDelay.Std()
	g.host = host.New(host.Options{
		Runs: runs.Options{
			EntryTimeout:   fraction(resubmitDelay, entryTimeoutShare),
			EndTimeout:     fraction(resubmitDelay, endBoundShare),
			LeaseExtension: fraction(s.Bounds.MaxLease.Std(), leaseShare),

			DisableRunProgress:    !s.Scheduling.RunProgress,
			DisableEndpointSpeeds: !s.Scheduling.EndpointSpeeds,
			DisableSharedDemand:   !s.Scheduling.SharedDemand,
		},
		MaxLease: s.Bounds.MaxLease.Std(),
		Dial:     func(t runner.Target) host.Runner { return runner.New(t) },
		Logger:   o.Logger,
		Metrics:  host.NewMetrics(o.Metrics.Scope),
	})
	g.uplink = uplink.New(uplink.Options{
		Guard:       s.ID,
		Incarnation: uint64(time.Now().UnixNano()),
		DataCentre:  s.DataCentre,
		Seeds:       func() []string { return g.settings.Load().entries() },
		Entries:     storeEntries(s, o),

		SharedDemand: s.Scheduling.SharedDemand,
		Logger:       o.Logger,
		Scope:        o.Metrics.Scope,
	}, g.host)
	return g
}

// storeEntries returns a function that reads the entries registered in the store,
// or nil if no store is configured.
func storeEntries(s Settings, o Options) func(context.Context) ([]string, error) {
	if !s.Store.IsValid() {
		return nil
	}
	client := store.New(s.Store.AddrPort, store.Metrics(o.Metrics.Scope))
	return func(ctx context.Context) ([]string, error) {
		items, err := client.List(ctx, fleetwire.EntriesPrefix)
		if err != nil {
			return nil, err
		}
		var values []string
		for _, i := range items {
			values = append(values, string(i.Value))
		}
		addresses, malformed := fleetwire.EntryAddresses(values)
		if len(malformed) > 0 {
			eventMalformedEntries.Log(ctx, o.Logger, slog.Int("values", len(malformed)))
		}
		return addresses, nil
	}
}

func fraction(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Reload reads the settings file again. Only a change of the seeds takes effect
// while the guard runs. If the file can't be loaded, nothing changes.
func (g *Guard) Reload(ctx context.Context) {
	s, err := Load(g.opts.Path)
	if err != nil {
		eventReloadFailed.Log(ctx, g.opts.Logger, slog.String("error", err.Error()))
		return
	}
	g.settings.Store(&s)
	eventReloaded.Log(ctx, g.opts.Logger, slog.Int("seeds", len(s.Seeds)))
}

// Run serves until the context ends, then waits for running tasks to end.
func (g *Guard) Run(ctx context.Context) error {
	s := *g.settings.Load()
	debug.SetMemoryLimit(int64(softMemoryShare * float64(s.Host.memory())))
	eventStarted.Log(ctx, g.opts.Logger, slog.String("reports", s.Listen.Reports.String()), slog.Int("seeds", len(s.Seeds)))
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	actor := func(f func(context.Context) error) {
		group.Add(func() error { return f(runCtx) }, func(error) { stop() })
	}
	actor(func(c context.Context) error { return g.host.Run(c, g.uplink) })
	actor(g.uplink.Run)
	actor(func(c context.Context) error {
		return serve(c, s.Listen.Reports.String(), runner.Handler(g.host), s.Host.limits("reports", reportsShare, g.opts.Metrics.Scope))
	})
	if s.Listen.Metrics.IsValid() {
		mux := http.NewServeMux()
		ready := &telemetry.Ready{}
		ready.Set(true)
		telemetry.Handle(mux, g.opts.Metrics, ready)
		actor(func(c context.Context) error {
			return serve(c, s.Listen.Metrics.String(), mux, s.Host.limits("metrics", metricsShare, g.opts.Metrics.Scope))
		})
	}
	actor(func(c context.Context) error { return g.drain(ctx, c) })
	err := group.Run()
	eventStopped.Log(ctx, g.opts.Logger)
	return err
}

// drain waits for the end of serveCtx and then for running tasks to end, for at
// most the grace period less drainReserve.
func (g *Guard) drain(serveCtx, runCtx context.Context) error {
	select {
	case <-serveCtx.Done():
	case <-runCtx.Done():
		return nil
	}
	eventDraining.Log(runCtx, g.opts.Logger)
	g.host.ShutDown()
	limit := time.After(g.settings.Load().Bounds.GracePeriod.Std() - drainReserve)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !g.host.Idle() {
		select {
		case <-limit:
			eventDrainTimeout.Log(runCtx, g.opts.Logger)
			return nil
		case <-runCtx.Done():
			return nil
		case <-tick.C:
		}
	}
	time.Sleep(linger)
	return nil
}

// serve runs an HTTP server until the context ends.
func serve(ctx context.Context, address string, handler http.Handler, limits httplimit.Options) error {
	listener, err := fleetwire.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := httplimit.NewServer(handler)
	listener = httplimit.New(limits).Apply(server, listener)
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
