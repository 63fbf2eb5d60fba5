package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"almondstand.dev/entry/api"
	"almondstand.dev/telemetry"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/httplimit"
)

// ErrDrainTimeout means that the shutdown timed out before every job had ended and every
// answer was written.
var ErrDrainTimeout = errors.New("shutdown timed out with open requests")

const (
	// liveEntriesInterval is how often the fleet is updated with the live entries.
	liveEntriesInterval = 500 * time.Millisecond
	// readinessInterval is how often the readiness is updated.
	readinessInterval = 100 * time.Millisecond
	// minCloseTimeout is the minimum time the servers get to shut down, even
	// without a drain or after drain_limit, since answers may still be being
	// written.
	minCloseTimeout = 3 * time.Second
	// leaveTimeout limits the announcement to the peers that this entry leaves.
	leaveTimeout = 8 * time.Second
)

// Run serves until ctx ends, then shuts down gracefully: it first reports not
// ready and still accepts jobs until the load balancer has noticed, then rejects
// new jobs and completes the open ones.
func (n *Node) Run(ctx context.Context) error {
	var g run.Group
	n.addLoops(&g)
	n.addServers(&g)
	drainDone := make(chan struct{})
	stopped, stop := context.WithCancel(ctx)
	g.Add(func() error {
		defer close(drainDone)
		return n.serveThenDrain(stopped, ctx)
	}, func(error) {
		stop()
	})
	n.logStarted(ctx)
	err := g.Run()
	if err == nil && n.requestsAborted {
		err = ErrDrainTimeout
	}
	n.store.Close()
	_ = n.metrics.Close()
	return n.logStopped(err)
}

// addLoops adds the components that run in the background. They are stopped when
// the first actor returns, which in a graceful shutdown is the drain.
func (n *Node) addLoops(g *run.Group) {
	n.addLoop(g, "stalls", n.stalls.Run)
	n.addLoop(g, "registrar", n.registrar.Run)
	n.addLoop(g, "contracts", n.registry.Run)
	n.addLoop(g, "peers", n.peers.Run)
	n.addLoop(g, "fleet", n.fleet.Run)
	n.addLoop(g, "engine", n.engine.Run)
	n.addLoop(g, "process metrics", telemetry.NewProcess(n.metrics.Scope).Run)
	n.addLoop(g, "shares", n.syncLiveEntries)
}

func (n *Node) addLoop(g *run.Group, name string, loop func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error {
		err := loop(ctx)
		if err != nil && ctx.Err() == nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	}, func(error) {
		stop()
	})
}

// syncLiveEntries keeps the fleet up to date on the live entries, among which the
// slots of bare endpoints are shared.
func (n *Node) syncLiveEntries(ctx context.Context) error {
	tick := time.NewTicker(liveEntriesInterval)
	defer tick.Stop()
	for {
		n.fleet.SetEntries(n.members.Live())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (n *Node) addServers(g *run.Group) {
	servers := []*http.Server{
		api.NewHTTPServer(n.callersHandler(), n.logger),
		newServer(n.internalHandler(), n.logger),
		newServer(n.operator.Handler(), n.logger),
	}
	listeners := []net.Listener{n.listeners.callers, n.listeners.internal, n.listeners.operators}
	for i, limits := range n.connectionLimits() {
		listeners[i] = httplimit.New(limits).Apply(servers[i], listeners[i])
	}
	var once sync.Once
	for i, s := range servers {
		g.Add(func() error { return serve(s, listeners[i]) }, func(err error) {
			once.Do(func() { n.requestsAborted = !shutdownServers(servers, n.closeDeadline(err)) })
		})
	}
}

// connectionLimits returns the limits of the listeners of callers, of other processes and of operators. The
// bodies of requests have limits of their own.
func (n *Node) connectionLimits() []httplimit.Options {
	callers, peers := n.settings.Callers, n.settings.Peers
	limits := []httplimit.Options{
		{Listener: "callers", Connections: callers.Connections, Memory: callers.ConnectionBytes},
		{Listener: "internal", Connections: peers.Connections, Memory: peers.ConnectionBytes},
		{Listener: "operators", Connections: maxOperatorConns, Memory: maxOperatorBytes},
	}
	for i := range limits {
		limits[i].ExcludeBodies, limits[i].Scope = true, n.metrics.Scope
	}
	return limits
}

// closeDeadline returns the deadline for shutting down the servers, given the
// error that ended the group: the end of drain_limit after a drain, but at least
// minCloseTimeout from now.
func (n *Node) closeDeadline(err error) time.Time {
	earliest := time.Now().Add(minCloseTimeout)
	if err == nil && n.drainDeadline.After(earliest) {
		return n.drainDeadline
	}
	return earliest
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdownServers shuts the servers down and waits for answers being written and
// for requests forwarded to other entries. The drain does not wait for forwarded
// requests, since they have no job at this entry, so closing the servers at once
// would abort them. The servers are shut down concurrently, so that the waiting
// times do not add up. It returns false if requests were still open at the deadline
// and were aborted.
func shutdownServers(servers []*http.Server, deadline time.Time) bool {
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	var wg sync.WaitGroup
	var requestsAborted atomic.Bool
	for _, s := range servers {
		wg.Go(func() {
			if s.Shutdown(ctx) != nil {
				requestsAborted.Store(true)
				_ = s.Close()
			}
		})
	}
	wg.Wait()
	return !requestsAborted.Load()
}

func (n *Node) callersHandler() http.Handler {
	mux := http.NewServeMux()
	telemetry.Handle(mux, nil, &n.ready)
	n.api.RegisterHandlers(mux)
	return mux
}

func (n *Node) internalHandler() http.Handler {
	mux := http.NewServeMux()
	path, announce := n.fleet.Handler()
	mux.Handle(path, n.countTraffic(kindAnnounce, announce))
	mux.Handle(n.peers.Handler())
	mux.Handle("POST /v1/announce", n.countTraffic(kindAnnounceBare, n.fleet.BareHandler()))
	return mux
}

// Kinds of control traffic counted by this package. Package peer counts the
// traffic of its gossip rounds itself.
const (
	kindAnnounce     = "announce"
	kindAnnounceBare = "announce_bare"
	kindStore        = "store"
)

func (n *Node) countTraffic(kind string, h http.Handler) http.Handler {
	return n.control.Handler(h, func(*http.Request) string { return kind })
}

// serveThenDrain keeps the readiness up to date until stopped ends. It drains only
// if shutdownCtx has ended, which means that a shutdown was requested; after the
// failure of another component there is no time to drain.
func (n *Node) serveThenDrain(stopped, shutdownCtx context.Context) error {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	for {
		serve, _ := n.peers.MayServe(time.Now())
		n.ready.Set(serve)
		select {
		case <-stopped.Done():
			if shutdownCtx.Err() == nil {
				return nil
			}
			return n.drain()
		case <-tick.C:
		}
	}
}

// drain shuts this entry down without aborting requests.
func (n *Node) drain() error {
	// Other goroutines read drainDeadline only after this function has returned.
	n.drainDeadline = time.Now().Add(n.settings.DrainTimeout.Std())
	ctx, stop := context.WithDeadline(context.Background(), n.drainDeadline)
	defer stop()
	eventDraining.Log(ctx, n.logger, slog.Duration("limit", n.settings.DrainTimeout.Std()))
	n.ready.Set(false)
	n.peers.Drain()
	// The load balancer sends new requests until its next check of /readyz.
	uptime.Sleep(ctx, n.settings.ShutdownDelay.Std())
	if err := n.engine.Drain(ctx); err != nil {
		return ErrDrainTimeout
	}
	leaveCtx, stopLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer stopLeave()
	if err := n.peers.Leave(leaveCtx); err != nil {
		eventLeaveFailed.Log(ctx, n.logger, slog.String("error", err.Error()))
	}
	return nil
}

func (n *Node) logStarted(ctx context.Context) {
	a := n.Addresses()
	eventStarted.Log(ctx, n.logger,
		slog.String("id", n.settings.ID),
		slog.String("zone", n.settings.DataCentre),
		slog.Uint64("incarnation", n.incarnation),
		slog.String("callers", a.Callers.String()),
		slog.String("internal", a.Internal.String()),
		slog.String("operators", a.Operators.String()))
}

func (n *Node) logStopped(err error) error {
	ctx := context.Background()
	if err != nil {
		eventFailed.Log(ctx, n.logger, slog.String("error", err.Error()))
		return err
	}
	eventStopped.Log(ctx, n.logger)
	return nil
}
