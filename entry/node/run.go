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
)

// ErrCut means that the shutdown's limit passed before every job had ended and
// every answer was written.
var ErrCut = errors.New("shutdown cut short")

const (
	// shareCheck is how often the number of live entries is told to the fleet.
	shareCheck = 500 * time.Millisecond
	// readyCheck is how often the readiness follows the gate.
	readyCheck = 100 * time.Millisecond
	// closeLimit is what the servers have at least to end in, also when no drain
	// came before or drain_limit has passed: answers may be on their way out.
	closeLimit = 3 * time.Second
	// leaveLimit bounds the farewell to the peers.
	leaveLimit = 8 * time.Second
)

// Run serves until ctx ends, then shuts down gracefully: readiness turns false
// first, new work is still taken while the balancer learns of it, then refused,
// and open jobs are finished.
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
	if err == nil && n.cut {
		err = ErrCut
	}
	n.store.Close()
	_ = n.metrics.Close()
	return n.logStopped(err)
}

// addLoops adds the parts that run by themselves. Each is stopped when the
// first actor returns, which in a graceful shutdown is the drain.
func (n *Node) addLoops(g *run.Group) {
	n.addLoop(g, "stalls", n.stalls.Run)
	n.addLoop(g, "registrar", n.registrar.Run)
	n.addLoop(g, "contracts", n.registry.Run)
	n.addLoop(g, "peers", n.peers.Run)
	n.addLoop(g, "fleet", n.fleet.Run)
	n.addLoop(g, "engine", n.engine.Run)
	n.addLoop(g, "process metrics", telemetry.NewProcess(n.metrics.Scope).Run)
	n.addLoop(g, "shares", n.followShares)
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

// followShares tells the fleet which entries share the bare endpoints.
func (n *Node) followShares(ctx context.Context) error {
	tick := time.NewTicker(shareCheck)
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
	listeners := []net.Listener{n.listen.callers, n.listen.internal, n.listen.operators}
	var once sync.Once
	for i, s := range servers {
		g.Add(func() error { return serve(s, listeners[i]) }, func(err error) {
			once.Do(func() { n.cut = !finish(servers, n.finishBy(err)) })
		})
	}
}

// finishBy returns until when the servers may end, by the error that ended the
// group: what is left of drain_limit after a drain.
func (n *Node) finishBy(err error) time.Time {
	soon := time.Now().Add(closeLimit)
	if err == nil && n.drainBy.After(soon) {
		return n.drainBy
	}
	return soon
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// finish ends the servers and waits for the answers being written and for the
// requests that were passed on to other entries: no job is open here for them, so
// nothing but this waits for them, and their callers would see them cut. All at
// once: one after another, the time that one takes would be added to the others'.
// It returns false when some were still open by the given time and were cut.
func finish(servers []*http.Server, by time.Time) bool {
	ctx, stop := context.WithDeadline(context.Background(), by)
	defer stop()
	var all sync.WaitGroup
	var cut atomic.Bool
	for _, s := range servers {
		all.Go(func() {
			if s.Shutdown(ctx) != nil {
				cut.Store(true)
				_ = s.Close()
			}
		})
	}
	all.Wait()
	return !cut.Load()
}

func (n *Node) callersHandler() http.Handler {
	mux := http.NewServeMux()
	telemetry.Handle(mux, nil, &n.ready)
	n.api.Register(mux)
	return mux
}

func (n *Node) internalHandler() http.Handler {
	mux := http.NewServeMux()
	path, announce := n.fleet.Handler()
	mux.Handle(path, n.counted(kindAnnounce, announce))
	mux.Handle(n.peers.Handler())
	mux.Handle("POST /v1/announce", n.counted(kindAnnounceBare, n.fleet.BareHandler()))
	return mux
}

// Kinds of control traffic that this package counts; the exchange counts itself.
const (
	kindAnnounce     = "announce"
	kindAnnounceBare = "announce_bare"
	kindStore        = "store"
)

func (n *Node) counted(kind string, h http.Handler) http.Handler {
	return n.control.Handler(h, func(*http.Request) string { return kind })
}

// serveThenDrain keeps the readiness up to date until stopped ends. It drains
// only when asked to from outside: when another part failed there is no time.
func (n *Node) serveThenDrain(stopped, asked context.Context) error {
	tick := time.NewTicker(readyCheck)
	defer tick.Stop()
	for {
		serve, _ := n.peers.MayServe(time.Now())
		n.ready.Set(serve)
		select {
		case <-stopped.Done():
			if asked.Err() == nil {
				return nil
			}
			return n.drain()
		case <-tick.C:
		}
	}
}

// drain ends this entry without cutting a request.
func (n *Node) drain() error {
	// Read only once this function has returned.
	n.drainBy = time.Now().Add(n.settings.DrainLimit.Std())
	ctx, stop := context.WithDeadline(context.Background(), n.drainBy)
	defer stop()
	eventDraining.Log(ctx, n.logger, slog.Duration("limit", n.settings.DrainLimit.Std()))
	n.ready.Set(false)
	n.peers.Drain()
	// The balancer sends new work until its next check has seen /readyz.
	uptime.Sleep(ctx, n.settings.DrainNotice.Std())
	if err := n.engine.Drain(ctx); err != nil {
		return ErrCut
	}
	farewell, stopFarewell := context.WithTimeout(context.Background(), leaveLimit)
	defer stopFarewell()
	if err := n.peers.Leave(farewell); err != nil {
		eventLeaveFailed.Log(ctx, n.logger, slog.String("error", err.Error()))
	}
	return nil
}

func (n *Node) logStarted(ctx context.Context) {
	a := n.Addresses()
	eventStarted.Log(ctx, n.logger,
		slog.String("id", n.settings.ID),
		slog.String("zone", n.settings.Zone),
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
