package node

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"almondstand.dev/dispatch/admission"
	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/api"
	"almondstand.dev/entry/burn"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/entry/engine"
	"almondstand.dev/entry/fleet"
	"almondstand.dev/entry/fleet/attach"
	"almondstand.dev/entry/member"
	"almondstand.dev/entry/operator"
	"almondstand.dev/entry/peer"
	"almondstand.dev/entry/quota"
	"almondstand.dev/entry/submission"
	"almondstand.dev/platform/etcd"
	"almondstand.dev/telemetry"
	"almondstand.dev/telemetry/stall"
)

// ErrStart means that the entry could not start. It wraps the cause.
var ErrStart = errors.New("entry could not start")

// Options configures a Node, in addition to its settings.
type Options struct {
	Logger *slog.Logger
	// NewPolicy returns the scheduling policy of a service, so that benchmarks
	// can compare policies; nil selects the default policy.
	NewPolicy func(Settings) scheduler.Policy
}

// Node is one entry: its components and its listeners.
type Node struct {
	settings    Settings
	logger      *slog.Logger
	incarnation uint64

	metrics *telemetry.Metrics
	control *telemetry.ControlTraffic
	ready   telemetry.Ready
	stalls  *stall.Meter

	store     *etcd.Client
	members   *member.Table
	registrar *member.Registrar
	registry  *contracts.Registry
	writer    *contracts.Writer
	quota     *quota.Table
	fleet     *fleet.Fleet
	engine    *engine.Engine
	peers     *peer.Peers
	recorder  *burn.Recorder
	api       *api.Server
	operator  *operator.Server

	listeners listeners

	// drainDeadline is when the drain must have ended.
	drainDeadline time.Time
	// requestsAborted is true if the servers were closed while requests were open.
	requestsAborted bool
}

// New returns an entry with open listeners. It serves once Run is called.
func New(s Settings, o Options) (*Node, error) {
	now := time.Now()
	n := &Node{
		settings:    s,
		logger:      o.Logger,
		incarnation: uint64(now.UnixNano()),
		metrics:     telemetry.NewMetrics("almondstand"),
		stalls:      stall.New(),
		recorder:    burn.NewRecorder(now),
	}
	n.control = telemetry.NewControlTraffic(n.metrics.Scope)
	if err := n.listeners.open(s.Listen); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	if err := n.buildParts(o); err != nil {
		n.listeners.close()
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	return n, nil
}

// buildParts creates the components, each after those it depends on.
func (n *Node) buildParts(o Options) error {
	if err := n.buildStore(); err != nil {
		return err
	}
	n.buildMembers()
	n.buildContracts()
	n.buildDispatch(o)
	n.buildPeers()
	n.buildAPI()
	return n.buildOperator()
}

func (n *Node) buildStore() error {
	s := n.settings.Platform
	store, err := etcd.New(etcd.Options{
		Addresses: addresses(s.Addresses),
		Timeout:   s.Timeout.Std(),
		Scope:     n.metrics.Scope,
		Logger:    n.logger,
		Jitter:    rand.Float64,
		Transport: n.control.Transport(etcd.NewTransport(), func(*http.Request) string { return kindStore }),
	})
	n.store = store
	return err
}

func (n *Node) buildMembers() {
	n.members = member.New(member.Options{
		Self:   n.self(),
		Logger: n.logger,
		Now:    time.Now,
	})
	n.registrar = member.NewRegistrar(member.RegistrarOptions{
		Store:       n.store,
		Table:       n.members,
		TTL:         n.settings.Platform.LeaseTTL.Std(),
		CallTimeout: n.settings.Platform.Timeout.Std(),
		Logger:      n.logger,
		Scope:       n.metrics.Scope,
		Now:         time.Now,
		Jitter:      rand.Float64,
	})
}

func (n *Node) self() member.Info {
	internal := n.listeners.internal.Addr().String()
	if a := n.settings.Advertise.Internal; a.IsValid() {
		internal = a.String()
	}
	operators := n.listeners.operators.Addr().String()
	if a := n.settings.Advertise.Operators; a.IsValid() {
		operators = a.String()
	}
	return member.Info{
		ID:          n.settings.ID,
		Incarnation: n.incarnation,
		Address:     internal,
		Operators:   operators,
		DataCentre:  n.settings.DataCentre,
	}
}

func (n *Node) buildContracts() {
	n.registry = contracts.New(contracts.Options{
		Store:  n.store,
		Logger: n.logger,
		Scope:  n.metrics.Scope,
		Now:    time.Now,
		Jitter: rand.Float64,
	})
	n.writer = contracts.NewWriter(contracts.WriterOptions{
		Store:    n.store,
		Registry: n.registry,
	})
	n.quota = quota.New(quota.Options{
		Self:   quota.PeerID{ID: n.settings.ID, Incarnation: n.incarnation}.String(),
		Logger: n.logger,
		Scope:  n.metrics.Scope,
		Jitter: rand.Float64,
	})
	n.registry.OnChange(n.applyContract)
}

func (n *Node) buildDispatch(o Options) {
	newServicePolicy := o.NewPolicy
	if newServicePolicy == nil {
		newServicePolicy = newPolicy
	}
	starter := &deferredStarter{}
	n.engine = engine.New(engine.Options{
		Starter:   starter,
		NewPolicy: func(string) scheduler.Policy { return newServicePolicy(n.settings) },
		Logger:    n.logger,
		Scope:     n.metrics.Scope,
		Now:       time.Now,
	})
	n.fleet = fleet.New(fleet.Options{
		EntryID:      n.settings.ID,
		Incarnation:  n.incarnation,
		DataCentre:   n.settings.DataCentre,
		Secret:       n.settings.Peers.Secret,
		Sink:         n.engine,
		SpareSlots:   spareSlots(n.settings),
		PendingTasks: n.engine.PendingTasks,
		OnChange:     func(urgent bool) { n.peers.RequestRound(urgent) },
		LiveEntries:  n.members.Live,
		AttachPolicy: attach.Policy{AttachAllLimit: n.settings.Fleet.AttachAllLimit, AttachCount: max(1, n.settings.Fleet.AttachAllLimit/2)},
		AnnounceIntervals: attach.IntervalPolicy{
			Min:            n.settings.Fleet.MinAnnounceInterval.Std(),
			Max:            attach.DefaultIntervalPolicy.Max,
			BytesPerSecond: attach.DefaultIntervalPolicy.BytesPerSecond,
		},
		Timing:      fleet.Timing{PingBytesPerSecond: n.settings.Fleet.PingBytesPerSecond},
		Control:     n.control,
		Logger:      n.logger,
		Scope:       n.metrics.Scope,
		Now:         time.Now,
		Rand:        rand.Float64,
		StalledTime: n.stalls.Total,
	})
	starter.Starter = n.fleet
}

// spareSlots converts the setting to the fleet's option: zero means none in the
// setting, and the default in the option.
func spareSlots(s Settings) int {
	if s.Fleet.SpareSlots == 0 {
		return fleet.NoSpareSlots
	}
	return s.Fleet.SpareSlots
}

// newPolicy returns the default scheduling policy.
func newPolicy(s Settings) scheduler.Policy {
	return scheduler.New(SchedulerOptions(s), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// SchedulerOptions returns the options of the default scheduling policy for s.
func SchedulerOptions(s Settings) scheduler.Options {
	return scheduler.Options{
		DataCentre:  s.DataCentre,
		MinInFlight: s.Dispatch.MinInFlight,
		Admission: admission.Options{
			MaxTasks: s.Dispatch.MaxQueuedTasks,
			MaxBytes: s.Dispatch.MaxQueuedBytes,
		},
	}
}

func (n *Node) buildPeers() {
	n.peers = peer.New(peer.Options{
		Members:     n.members,
		Lease:       n.registrar,
		Contracts:   n.registry,
		Quota:       n.quota,
		Bare:        n.fleet,
		Guards:      n.fleet,
		Forward:     n.handleForward,
		Seeds:       addresses(n.settings.Peers.Seeds),
		Secret:      n.settings.Peers.Secret,
		Interval:    n.settings.Peers.Interval.Std(),
		Isolation:   n.settings.Peers.IsolationTimeout.Std(),
		Control:     n.control,
		Logger:      n.logger,
		Scope:       n.metrics.Scope,
		Now:         time.Now,
		StalledTime: n.stalls.Total,
		Jitter:      rand.Float64,
	})
}

func (n *Node) buildAPI() {
	table := submission.New(submission.Options{
		Entry:       n.settings.ID,
		Incarnation: n.incarnation,
		Key:         submission.NewKey(),
		CacheBytes:  n.settings.Callers.CacheBytes,
		CacheTTL:    n.settings.Callers.CacheTTL.Std(),
	})
	n.api = api.New(api.Options{
		EntryID:   n.settings.ID,
		Table:     table,
		Engine:    n.engine,
		Contracts: n.registry,
		Quota:     n.quota,
		Peers:     n.peers,
		Readiness: n.peers,
		Recorder:  n.recorder,
		MaxBody:   n.settings.Callers.MaxBodyBytes,
		Logger:    n.logger,
		Scope:     n.metrics.Scope,
		Now:       time.Now,
	})
}

func (n *Node) buildOperator() error {
	server, err := operator.New(operator.Options{
		TokenDigest:  n.settings.Operators.TokenDigest,
		Registry:     n.registry,
		Writer:       n.writer,
		Members:      n.members,
		Fleet:        n.fleet,
		BurnRecorder: n.recorder,
		TrafficMeter: n.control,
		Metrics:      n.metrics,
		Ready:        &n.ready,
		Logger:       n.logger,
		Scope:        n.metrics.Scope,
		Now:          time.Now,
	})
	n.operator = server
	return err
}

// Addresses holds the addresses a node listens on.
type Addresses struct {
	Callers   net.Addr
	Internal  net.Addr
	Operators net.Addr
}

// Addresses returns the addresses the node listens on, with the actual port where
// port 0 was configured.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.listeners.callers.Addr(),
		Internal:  n.listeners.internal.Addr(),
		Operators: n.listeners.operators.Addr(),
	}
}
