// Package node assembles a guard from its settings. Several nodes can run in one
// process, for tests and measurements.
package node

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"almondstand.dev/guard/announce"
	"almondstand.dev/guard/config"
	"almondstand.dev/guard/ledger"
	"almondstand.dev/guard/local"
	"almondstand.dev/guard/registration"
	"almondstand.dev/guard/runner"
	"almondstand.dev/guard/server"
	"almondstand.dev/settings"
	"almondstand.dev/telemetry"
	wirev1 "almondstand.dev/wire/wirev1"
)

// ErrListen is returned if an address of the settings can't be listened on.
var ErrListen = errors.New("guard: can't listen")

// ErrDrainTimeout is returned if the drain timeout passed before every task's result was
// returned.
var ErrDrainTimeout = errors.New("guard: shutdown cut short")

const (
	// sweepInterval is the interval at which expired leases and TTLs are removed.
	sweepInterval = 500 * time.Millisecond
	// leaveNoticeTimeout bounds how long a leaving guard waits for the entries to
	// confirm the notice.
	leaveNoticeTimeout = 3 * time.Second

	// shutdownTimeout bounds the shutdown of an HTTP server once no task runs.
	shutdownTimeout = 3 * time.Second

	// maxInternalConns leaves room for several connections from every entry.
	maxInternalConns = 1024
	maxLocalConns    = 128

	maxEntrySessions = 8
	// sessionRecordShare limits one session to 1/sessionRecordShare of all
	// records.
	sessionRecordShare = 4

	readHeaderTimeout = 5 * time.Second
	localReadTimeout  = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// A silent connection is checked with an HTTP/2 ping. Otherwise a connection
	// whose peer disappeared without closing it would be kept, and its calls with
	// it.
	pingInterval  = 5 * time.Second
	pingTimeout   = 2 * time.Second
	writeTimeout  = 10 * time.Second
	maxStreams    = 1024
	maxHeaderSize = 16 << 10
	sessionRandom = 12
)

// Options configure a Node in addition to its settings.
type Options struct {
	Logger  *slog.Logger
	Metrics *telemetry.Metrics
	// Incarnation of the guard; 0 means the wall clock in nanoseconds.
	Incarnation uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Node is one guard.
type Node struct {
	settings    config.Settings
	opts        Options
	incarnation uint64
	ready       telemetry.Ready
	internal    net.Listener
	local       net.Listener
	ledger      *ledger.Ledger
	registry    *registration.Registry
	server      *server.Server
	announcer   *announce.Announcer
	process     *telemetry.Process
}

// New returns a guard that is already listening; Run serves its connections.
func New(s config.Settings, opts Options) (*Node, error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Incarnation == 0 {
		opts.Incarnation = uint64(opts.Now().UnixNano())
	}
	n := &Node{settings: s, opts: opts, incarnation: opts.Incarnation}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.assemble()
	return n, nil
}

func (n *Node) listen() error {
	var err error
	n.internal, err = net.Listen("tcp", n.settings.Listen.Internal.String())
	if err != nil {
		return eris.Wrap(errors.Join(ErrListen, err), "listen.internal")
	}
	n.internal = limitConns(n.internal, maxInternalConns)
	n.local, err = net.Listen("tcp", n.settings.Listen.Local.String())
	if err != nil {
		_ = n.internal.Close()
		return eris.Wrap(errors.Join(ErrListen, err), "listen.local")
	}
	n.local = limitConns(n.local, maxLocalConns)
	return nil
}

func (n *Node) assemble() {
	s := n.settings
	scope := n.opts.Metrics.Scope
	control := telemetry.NewControlTraffic(scope)
	n.process = telemetry.NewProcess(scope)
	n.ledger = ledger.New(ledger.Options{
		Incarnation:       n.incarnation,
		Lease:             s.SessionLease.Std(),
		MaxSessions:       s.Limits.Sessions,
		MaxEntrySessions:  maxEntrySessions,
		MaxRecords:        s.Limits.Records,
		MaxSessionRecords: s.Limits.Records / sessionRecordShare,
		MaxResultBytes:    s.Limits.ResultBytes,
		NewSessionID:      n.newSessionID,
	})
	n.registry = registration.New(registration.Options{
		Service:    s.Service,
		DataCentre: s.DataCentre,
		NewClient:  n.newClient,
		OnChange:   n.runnerChanged,
	})
	n.server = server.New(server.Options{
		GuardID:         s.ID,
		Incarnation:     n.incarnation,
		DataCentre:      s.DataCentre,
		Lease:           s.SessionLease.Std(),
		Ledger:          n.ledger,
		QueueLen:        s.Queue,
		Runners:         n.registry,
		MaxRunLimit:     s.RunLimit.Std(),
		MaxPayloadBytes: s.Limits.PayloadBytes,
		MaxRequestBytes: s.Limits.RequestBytes,
		Secret:          s.Secret,
		Now:             n.opts.Now,
		Logger:          n.opts.Logger,
		Scope:           scope,
		Control:         control,
	})
	n.announcer = announce.New(announce.Options{
		Balancers:  addresses(s.Balancers),
		NewRequest: n.announcement,
		Secret:     s.Secret,
		Now:        n.opts.Now,
		Rand:       rand.New(rand.NewPCG(n.incarnation, rand.Uint64())),
		Logger:     n.opts.Logger,
		Scope:      scope,
		Control:    control,
	})
}

// newSessionID returns an id that is unique across incarnations of the guard.
func (n *Node) newSessionID() string {
	var random [sessionRandom]byte
	_, _ = crand.Read(random[:])
	return strconv.FormatUint(n.incarnation, 36) + "-" + hex.EncodeToString(random[:])
}

func (n *Node) newClient(address string, connections int) *runner.Client {
	return runner.New(runner.Options{
		Address:          address,
		Connections:      connections,
		MaxResponseBytes: n.settings.Limits.AnswerBytes,
		CancelGrace:      n.settings.CancelGrace.Std(),
	})
}

func (n *Node) runnerChanged(r *registration.Runner) {
	n.server.SetRunner(r.State())
	n.announcer.AnnounceNow()
	ctx := context.Background()
	if r == nil {
		eventRunnerGone.Log(ctx, n.opts.Logger)
		return
	}
	eventRunnerChanged.Log(ctx, n.opts.Logger,
		slog.String("service", r.Service), slog.String("address", r.Address.String()),
		slog.Int("slots", r.Slots), slog.Bool("leaving", r.Leaving))
}

// announcement returns the guard's current state for entries, or nil if no runner
// has ever been registered.
func (n *Node) announcement() *wirev1.AnnounceRequest {
	service := n.registry.Service()
	if service == "" {
		return nil
	}
	load := n.server.Load("")
	return &wirev1.AnnounceRequest{
		GuardId:          n.settings.ID,
		GuardIncarnation: n.incarnation,
		Address:          n.AdvertisedAddr(),
		Zone:             n.settings.DataCentre,
		Service:          service,
		Load:             load,
		Leaving:          load.GetLeaving(),
	}
}

// AdvertisedAddr returns the address that entries are given.
func (n *Node) AdvertisedAddr() string {
	if n.settings.Advertise.IsValid() {
		return n.settings.Advertise.String()
	}
	return n.internal.Addr().String()
}

// InternalAddr returns the address that serves entries.
func (n *Node) InternalAddr() string { return n.internal.Addr().String() }

// LocalAddr returns the address that serves the runner.
func (n *Node) LocalAddr() string { return n.local.Addr().String() }

// Incarnation returns the guard's incarnation.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Run serves until ctx ends, then shuts down gracefully: it refuses new starts,
// notifies the entries, lets running tasks finish and returns their results.
func (n *Node) Run(ctx context.Context) error {
	internal := n.internalServer()
	localServer := n.localServer()
	var g run.Group
	stop := func(cancel context.CancelFunc) func(error) { return func(error) { cancel() } }

	draining, drain := context.WithCancel(ctx)
	g.Add(func() error { return n.drainAfter(draining) }, stop(drain))
	g.Add(func() error { return serve(internal, n.internal) }, func(error) { shutdown(internal) })
	g.Add(func() error { return serve(localServer, n.local) }, func(error) { shutdown(localServer) })
	announcing, stopAnnouncing := context.WithCancel(context.Background())
	g.Add(func() error { return n.announcer.Run(announcing) }, stop(stopAnnouncing))
	sweeping, stopSweeping := context.WithCancel(context.Background())
	g.Add(func() error { return n.sweep(sweeping) }, stop(stopSweeping))
	observing, stopObserving := context.WithCancel(context.Background())
	g.Add(func() error { return n.process.Run(observing) }, stop(stopObserving))

	n.ready.Set(true)
	eventStarted.Log(ctx, n.opts.Logger, slog.String("id", n.settings.ID), slog.Uint64("incarnation", n.incarnation),
		slog.String("internal", n.InternalAddr()), slog.String("local", n.LocalAddr()))
	err := g.Run()
	eventStopped.Log(context.Background(), n.opts.Logger)
	return err
}

// drainAfter waits for the end of ctx and then drains the guard.
func (n *Node) drainAfter(ctx context.Context) error {
	<-ctx.Done()
	n.ready.Set(false)
	limit, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout.Std())
	defer cancel()
	eventDraining.Log(limit, n.opts.Logger)
	n.server.StopAccepting()
	n.notifyLeaving(limit)
	if err := n.server.Drain(limit, n.settings.Linger.Std()); err != nil {
		eventDrainLimitPassed.Log(context.Background(), n.opts.Logger)
		return eris.Wrap(ErrDrainTimeout, err.Error())
	}
	return nil
}

// notifyLeaving announces to every known entry that this guard is leaving.
func (n *Node) notifyLeaving(ctx context.Context) {
	if n.announcement() == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveNoticeTimeout)
	defer cancel()
	if err := n.announcer.AnnounceToAll(ctx); err != nil {
		eventLeaveNotConfirmed.Log(ctx, n.opts.Logger, slog.String("cause", err.Error()))
	}
}

// sweep periodically removes expired leases and TTLs and updates the gauges.
func (n *Node) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := n.opts.Now()
		n.ledger.Expire(now)
		n.registry.RemoveExpired(now)
		n.server.UpdateGauges()
	}
}

func (n *Node) internalServer() *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           n.server.Handler(),
		Protocols:         &protocols,
		ConnContext:       telemetry.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderSize,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingInterval,
			PingTimeout:          pingTimeout,
			WriteByteTimeout:     writeTimeout,
		},
		ErrorLog: slog.NewLogLogger(n.opts.Logger.Handler(), slog.LevelDebug),
	}
}

func (n *Node) localServer() *http.Server {
	return &http.Server{
		Handler: local.Handler(local.Options{
			Registry: n.registry,
			Metrics:  n.opts.Metrics,
			Ready:    &n.ready,
			Now:      n.opts.Now,
			Logger:   n.opts.Logger,
		}),
		ReadTimeout:       localReadTimeout,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderSize,
		ErrorLog:          slog.NewLogLogger(n.opts.Logger.Handler(), slog.LevelDebug),
	}
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown stops a server without cutting off responses that are being sent. It
// must be called in the actor's interrupt function: Serve returns as soon as
// Shutdown is called, which ends the whole group, so a Close there would cut off
// the responses that a Shutdown elsewhere is still waiting for.
func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

func addresses(all []settings.Address) []string {
	out := make([]string, len(all))
	for i, a := range all {
		out[i] = a.String()
	}
	return out
}
