// Package fleet manages an entry's connections to all endpoints. It discovers endpoints
// from their announcements, holds a session with each guard, starts each task at most
// once, resolves starts whose replies were lost, and reports to the job engine which
// endpoints exist and how loaded they are. docs/design/starting.md describes the
// protocol.
package fleet

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/fleet/attach"
	"almondstand.dev/entry/fleet/limit"
	"almondstand.dev/entry/task"
	"almondstand.dev/telemetry"
	"almondstand.dev/telemetry/stall"
	"almondstand.dev/wire/wirev1"
)

// ErrClosed means that the fleet has been closed and accepts no announcements.
var ErrClosed = errors.New("fleet is closed")

// Special values of Options.SpareSlots.
const (
	DefaultSpareSlots = 4
	NoSpareSlots      = -1
)

// Options configures a Fleet. EntryID, Incarnation and Sink are required; zero values
// of the other fields select defaults.
type Options struct {
	// EntryID and Incarnation identify this entry to guards.
	EntryID     string
	Incarnation uint64
	DataCentre  string
	// Secret is the cluster secret; empty if the cluster uses none.
	Secret string
	// Sink is notified when endpoints are added, removed or report their load.
	Sink task.EndpointSink
	// SpareSlots is the number of slots that this entry leaves free on a bare endpoint
	// when it exceeds its allocation there. Zero selects DefaultSpareSlots;
	// NoSpareSlots leaves none free.
	SpareSlots int
	// PendingTasks returns the number of tasks of a service that wait at this entry.
	PendingTasks func(service string) int
	// OnChange is called when the results of BareEndpoints and BareUsage should be sent to peers
	// soon. urgent is set when an endpoint was added or is leaving.
	OnChange func(urgent bool)
	// LiveEntries returns the live entries, including this one.
	LiveEntries func() []*wirev1.EntryInfo
	// AttachPolicy and AnnounceIntervals must be the same at every entry.
	AttachPolicy      attach.Policy
	AnnounceIntervals attach.IntervalPolicy
	Timing            Timing
	// MaxMessage is the maximum size of a response in bytes.
	MaxMessage int
	Logger     *slog.Logger
	Scope      tally.Scope
	// Control counts the bytes of calls that carry no task.
	Control *telemetry.ControlTraffic
	// Now returns the wall-clock time that stamps and expires bare endpoint records.
	Now func() time.Time
	// StalledTime returns the total time during which this process did not run. If nil, the
	// fleet measures it.
	StalledTime func() time.Duration
	// Rand returns a random number in [0,1), used to jitter retries and pings.
	Rand func() float64
}

func (o Options) withDefaults() Options {
	if o.LiveEntries == nil {
		o.LiveEntries = func() []*wirev1.EntryInfo { return nil }
	}
	if o.SpareSlots == 0 {
		o.SpareSlots = DefaultSpareSlots
	}
	if o.PendingTasks == nil {
		o.PendingTasks = func(string) int { return 0 }
	}
	if o.OnChange == nil {
		o.OnChange = func(bool) {}
	}
	if o.AttachPolicy == (attach.Policy{}) {
		o.AttachPolicy = attach.DefaultPolicy
	}
	if o.AnnounceIntervals == (attach.IntervalPolicy{}) {
		o.AnnounceIntervals = attach.DefaultIntervalPolicy
	}
	o.Timing = o.Timing.withDefaults()
	if o.MaxMessage == 0 {
		o.MaxMessage = defaultMaxMessage
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Control == nil {
		o.Control = telemetry.NewControlTraffic(o.Scope)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	return o
}

// endpoint runs tasks: a guard or a bare runner.
type endpoint interface {
	start(ctx context.Context, c task.Call) task.Outcome
	status() Status
}

// endpointMap is an immutable snapshot of the endpoints by ID.
type endpointMap map[scheduler.EndpointID]endpoint

// Fleet holds every endpoint that this entry knows. It implements task.Starter.
type Fleet struct {
	opts   Options
	logger *slog.Logger
	meter  *meter

	// ctx is cancelled to end every goroutine and call of the fleet.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// endpoints is read lock-free by every start and replaced while mu is held.
	endpoints atomic.Pointer[endpointMap]
	guards    atomic.Int64
	// handshakes limits the concurrent first handshakes with guards.
	handshakes *limit.Limit
	// stallMeter is nil if Options.StalledTime was set.
	stallMeter *stall.Meter

	mu     sync.Mutex
	closed bool
	// newest maps the name of each known guard to its highest announced incarnation.
	newest map[string]*guard

	bare *bareTable
}

// New returns a fleet without endpoints. Run must be called to release its resources.
func New(o Options) *Fleet {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		opts:   o,
		logger: o.Logger,
		meter:  newMeter(o.Scope, o.Control),
		ctx:    ctx,
		cancel: cancel,
		newest: map[string]*guard{},
	}
	if o.StalledTime == nil {
		f.stallMeter = stall.New()
		f.opts.StalledTime = f.stallMeter.Total
	}
	f.handshakes = newHandshakeLimit(o.Timing.CallTimeout)
	f.endpoints.Store(&endpointMap{})
	f.bare = newBareTable(f)
	return f
}

// Run operates the fleet until ctx ends, then closes every connection. Starts that are
// still open at that point end as lost, so drain them first.
func (f *Fleet) Run(ctx context.Context) error {
	if f.stallMeter != nil {
		f.wg.Go(func() { _ = f.stallMeter.Run(f.ctx) })
	}
	sweep := time.NewTicker(f.opts.Timing.ExpiryInterval)
	defer sweep.Stop()
	rebalance := time.NewTicker(f.opts.Timing.RebalanceInterval)
	defer rebalance.Stop()
	for {
		select {
		case <-ctx.Done():
			f.close()
			return nil
		case <-rebalance.C:
			f.bare.rebalance()
		case <-sweep.C:
			f.bare.expire(f.opts.Now())
			f.meter.guards.Update(float64(f.guards.Load()))
			f.meter.bare.Update(float64(f.bare.count()))
		}
	}
}

func (f *Fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.cancel()
	f.wg.Wait()
	f.bare.close()
}

// Start implements task.Starter.
func (f *Fleet) Start(ctx context.Context, c task.Call) task.Outcome {
	outcome := f.start(ctx, c)
	f.meter.outcome(outcome)
	return outcome
}

func (f *Fleet) start(ctx context.Context, c task.Call) task.Outcome {
	if ctx.Err() != nil {
		return failure(task.CodeCancelled, task.RanNo, "cancelled before it was sent")
	}
	if time.Until(c.Deadline) <= 0 {
		return failure(task.CodeDeadline, task.RanNo, "answer time passed before it was sent")
	}
	e, known := (*f.endpoints.Load())[c.Assignment.Endpoint]
	if !known {
		return failure(task.CodeRefused, task.RanNo, "endpoint is gone")
	}
	return e.start(ctx, c)
}

// addEndpoint and dropEndpoint replace the endpoint snapshot. The caller holds f.mu.
func (f *Fleet) addEndpoint(id scheduler.EndpointID, e endpoint) {
	next := maps.Clone(*f.endpoints.Load())
	next[id] = e
	f.endpoints.Store(&next)
}

func (f *Fleet) dropEndpoint(id scheduler.EndpointID, e endpoint) {
	current := *f.endpoints.Load()
	if current[id] != e {
		return
	}
	next := maps.Clone(current)
	delete(next, id)
	f.endpoints.Store(&next)
}

// Status describes one endpoint for operators.
type Status struct {
	ID         scheduler.EndpointID
	Service    string
	DataCentre string
	Address    string
	// Bare is true for a runner without a guard.
	Bare     bool
	Slots    int
	Draining bool
	// Usable is false while no task may be started on the endpoint.
	Usable bool
	// InFlight is the number of this entry's open starts on the endpoint.
	InFlight int
}

// Endpoints returns the status of every endpoint that this entry knows.
func (f *Fleet) Endpoints() []Status {
	current := *f.endpoints.Load()
	all := make([]Status, 0, len(current))
	for _, e := range current {
		all = append(all, e.status())
	}
	return all
}
