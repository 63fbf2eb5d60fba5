// Package fleet is an entry's side of every endpoint: it learns of endpoints
// from their announcements, holds a session with each guard, starts tasks at
// most once, resolves lost replies, and tells the job engine which endpoints
// there are and what they hold. docs/design/starting.md describes the protocol.
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

// ErrClosed means that the fleet has stopped and takes no announcement.
var ErrClosed = errors.New("fleet is closed")

// Values of Options.SpareSlots.
const (
	DefaultSpareSlots = 4
	NoSpareSlots      = -1
)

// Options of a Fleet. EntryID, Incarnation and Sink are required; zero values of
// the others take defaults.
type Options struct {
	// EntryID and Incarnation name this entry to guards.
	EntryID     string
	Incarnation uint64
	Zone        string
	// Secret is the cluster secret; empty when none is used.
	Secret string
	// Sink is told of endpoints as they come, report and go.
	Sink task.EndpointSink
	// SpareSlots are left free of a bare endpoint's slots where this entry uses more
	// than its part of them; zero for DefaultSpareSlots, NoSpareSlots for none.
	SpareSlots int
	// Waiting returns how many tasks of a service wait at this entry.
	Waiting func(service string) int
	// Changed is called when the peers should soon hear what Bare and Use return;
	// urgent when an endpoint has come or leaves.
	Changed func(urgent bool)
	// Attach returns the live entries, this one included.
	Attach func() []*wirev1.EntryInfo
	// AttachPolicy and Pace are the same at every entry.
	AttachPolicy attach.Policy
	Pace         attach.Pace
	Timing       Timing
	// MaxMessage bounds an answer in bytes.
	MaxMessage int
	Logger     *slog.Logger
	Scope      tally.Scope
	// Control counts the bytes of calls that carry no task.
	Control *telemetry.Control
	// Now is the wall clock that stamps and expires bare endpoints.
	Now func() time.Time
	// Stalled is the time for which this process has not run; nil has the fleet measure it.
	Stalled func() time.Duration
	// Rand returns a number in [0,1) that spreads retries and pings.
	Rand func() float64
}

func (o Options) withDefaults() Options {
	if o.Attach == nil {
		o.Attach = func() []*wirev1.EntryInfo { return nil }
	}
	if o.SpareSlots == 0 {
		o.SpareSlots = DefaultSpareSlots
	}
	if o.Waiting == nil {
		o.Waiting = func(string) int { return 0 }
	}
	if o.Changed == nil {
		o.Changed = func(bool) {}
	}
	if o.AttachPolicy == (attach.Policy{}) {
		o.AttachPolicy = attach.DefaultPolicy
	}
	if o.Pace == (attach.Pace{}) {
		o.Pace = attach.DefaultPace
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
		o.Control = telemetry.NewControl(o.Scope)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	return o
}

// endpoint is one place that runs tasks: a guard or a bare runner.
type endpoint interface {
	start(ctx context.Context, c task.Call) task.Outcome
	status() Status
}

// endpointMap is an immutable snapshot.
type endpointMap map[scheduler.EndpointID]endpoint

// Fleet holds every endpoint this entry knows. It implements task.Starter.
type Fleet struct {
	o      Options
	logger *slog.Logger
	meter  *meter

	// ctx ends every goroutine and call of the fleet.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// endpoints is read on the path of every start and replaced under mu.
	endpoints atomic.Pointer[endpointMap]
	guards    atomic.Int64
	// handshakes bounds the first handshakes with guards that are under way.
	handshakes *limit.Limit
	// stalls is nil when the owner measures them.
	stalls *stall.Meter

	mu     sync.Mutex
	closed bool
	// newest is the highest incarnation announced of each guard that is known.
	newest map[string]*guard

	bare *bareTable
}

// New returns a fleet without endpoints. Run must be called to release it.
func New(o Options) *Fleet {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		o:      o,
		logger: o.Logger,
		meter:  newMeter(o.Scope, o.Control),
		ctx:    ctx,
		cancel: cancel,
		newest: map[string]*guard{},
	}
	if o.Stalled == nil {
		f.stalls = stall.New()
		f.o.Stalled = f.stalls.Total
	}
	f.handshakes = newHandshakeLimit(o.Timing.CallTimeout)
	f.endpoints.Store(&endpointMap{})
	f.bare = newBareTable(f)
	return f
}

// Run keeps the fleet until ctx ends, then closes every connection. Starts that
// are open then end as lost: drain them first.
func (f *Fleet) Run(ctx context.Context) error {
	if f.stalls != nil {
		f.wg.Go(func() { _ = f.stalls.Run(f.ctx) })
	}
	sweep := time.NewTicker(f.o.Timing.Sweep)
	defer sweep.Stop()
	divide := time.NewTicker(f.o.Timing.Divide)
	defer divide.Stop()
	for {
		select {
		case <-ctx.Done():
			f.close()
			return nil
		case <-divide.C:
			f.bare.divide()
		case <-sweep.C:
			f.bare.sweep(f.o.Now())
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

// addEndpoint and dropEndpoint replace the snapshot; f.mu is held.
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
	ID      scheduler.EndpointID
	Service string
	Zone    string
	Address string
	// Bare is true for a runner without a guard.
	Bare    bool
	Slots   int
	Leaving bool
	// Usable is false while no task may start there.
	Usable bool
	// Open counts this entry's own open starts.
	Open int
}

// Endpoints lists every endpoint this entry knows.
func (f *Fleet) Endpoints() []Status {
	current := *f.endpoints.Load()
	all := make([]Status, 0, len(current))
	for _, e := range current {
		all = append(all, e.status())
	}
	return all
}
