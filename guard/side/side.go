package side

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
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
)

// Shares of the time after which a caller submits its job again: an entry that
// is silent for the first has its runs stopped, and by the second they are over
// also when the runner answers nothing. The rest is for the caller's way to
// another entry being shorter than ours to learn of the break.
const (
	silenceShare  = 0.40
	endBoundShare = 0.88
	// leaseShare of the longest lease is asked for: five renewals' time, and
	// short enough to fit between silence and the end bound.
	leaseShare = 0.60
)

// drainReserve of the grace is left for the end of the process.
const drainReserve = time.Second

// linger lets the last reports reach the entries.
const linger = 150 * time.Millisecond

// Options of a guard.
type Options struct {
	// Path of the settings file, read again on Reload.
	Path    string
	Logger  *slog.Logger
	Metrics *telemetry.Metrics
}

// Guard is one process beside a runner.
type Guard struct {
	opt      Options
	settings atomic.Pointer[Settings]
	host     *host.Host
	up       *uplink.Uplink
}

// New returns a guard that does not listen yet.
func New(s Settings, o Options) *Guard {
	g := &Guard{opt: o}
	g.settings.Store(&s)
	resend := s.Bounds.Resend.Std()
	g.host = host.New(host.Options{
		Runs: runs.Options{
			Silence:  share(resend, silenceShare),
			EndBound: share(resend, endBoundShare),
			Hold:     share(s.Bounds.MaxLease.Std(), leaseShare),
		},
		MaxLease: s.Bounds.MaxLease.Std(),
		Dial:     func(t runner.Target) host.Runner { return runner.New(t) },
		Logger:   o.Logger,
		Metrics:  host.NewMetrics(o.Metrics.Scope),
	})
	g.up = uplink.New(uplink.Options{
		Guard:       s.ID,
		Incarnation: uint64(time.Now().UnixNano()),
		Zone:        s.Zone,
		Seeds:       func() []string { return g.settings.Load().entries() },
		Entries:     registered(s, o),
		Logger:      o.Logger,
	}, g.host)
	return g
}

// registered reads the entries that the store names; nil without a store.
func registered(s Settings, o Options) func(context.Context) ([]string, error) {
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
			foreignEntries.Log(ctx, o.Logger, slog.Int("values", len(malformed)))
		}
		return addresses, nil
	}
}

func share(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}

// Reload reads the settings file again; only the seeds may change while the
// guard runs. A file that can't be read changes nothing.
func (g *Guard) Reload(ctx context.Context) {
	s, err := Load(g.opt.Path)
	if err != nil {
		reloadFailed.Log(ctx, g.opt.Logger, slog.String("error", err.Error()))
		return
	}
	g.settings.Store(&s)
	reloaded.Log(ctx, g.opt.Logger, slog.Int("seeds", len(s.Seeds)))
}

// Run serves until the context ends, then lets what runs end.
func (g *Guard) Run(ctx context.Context) error {
	s := *g.settings.Load()
	started.Log(ctx, g.opt.Logger, slog.String("reports", s.Listen.Reports.String()), slog.Int("seeds", len(s.Seeds)))
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	actor := func(f func(context.Context) error) {
		group.Add(func() error { return f(inner) }, func(error) { stop() })
	}
	actor(func(c context.Context) error { return g.host.Run(c, g.up) })
	actor(g.up.Run)
	actor(func(c context.Context) error { return serve(c, s.Listen.Reports.String(), runner.Handler(g.host)) })
	if s.Listen.Metrics.IsValid() {
		mux := http.NewServeMux()
		ready := &telemetry.Ready{}
		ready.Set(true)
		telemetry.Handle(mux, g.opt.Metrics, ready)
		actor(func(c context.Context) error { return serve(c, s.Listen.Metrics.String(), mux) })
	}
	actor(func(c context.Context) error { return g.drain(ctx, c) })
	err := group.Run()
	stopped.Log(ctx, g.opt.Logger)
	return err
}

// drain waits for the end of the outer context, and then of what runs.
func (g *Guard) drain(outer, inner context.Context) error {
	select {
	case <-outer.Done():
	case <-inner.Done():
		return nil
	}
	draining.Log(inner, g.opt.Logger)
	g.host.Leave()
	limit := time.After(g.settings.Load().Bounds.Grace.Std() - drainReserve)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !g.host.Idle() {
		select {
		case <-limit:
			drainCut.Log(inner, g.opt.Logger)
			return nil
		case <-inner.Done():
			return nil
		case <-tick.C:
		}
	}
	time.Sleep(linger)
	return nil
}

// serve serves a handler until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := fleetwire.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
