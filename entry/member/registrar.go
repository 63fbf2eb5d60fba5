package member

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"almondstand.dev/platform"
	"almondstand.dev/telemetry/uptime"
)

// Defaults of RegistrarOptions.
const (
	DefaultTTL         = 10 * time.Second
	DefaultCallTimeout = 2 * time.Second
	DefaultResync      = 5 * time.Minute
)

const (
	// renewalsPerTTL is the number of renewals within a lease's time to live.
	renewalsPerTTL = 3
	// Delays after failed calls double from retryMin to retryMax. They are jittered so that
	// entries do not all call at once when the store recovers.
	retryMin = 250 * time.Millisecond
	retryMax = time.Second
	// processAliveWindow is how recent a failed attempt must be to prove that this process is
	// running and the store is not responding.
	processAliveWindow = 6 * time.Second
	// listJitter spreads the lists that several entries request after the same loss.
	listJitter = 2 * time.Second
	// listCheckInterval is the interval between checks whether a list is needed.
	listCheckInterval = time.Second
	// maxSwapAttempts bounds the compare-and-swap attempts of one registration.
	maxSwapAttempts = 4
)

// RegistrarOptions configure a Registrar. Zero durations select the defaults.
type RegistrarOptions struct {
	Store platform.Store
	Table *Table
	// TTL is the lease's time to live, CallTimeout bounds one call, and Resync is the average
	// interval between lists that repair a view after lost watch events.
	TTL, CallTimeout, Resync time.Duration
	Logger                   *slog.Logger
	Scope                    tally.Scope
	Now                      func() time.Time
	// Jitter returns a random number in [0,1).
	Jitter func() float64
}

// Registrar keeps this entry registered and its table up to date.
type Registrar struct {
	opts   RegistrarOptions
	calls  tally.Counter
	errors tally.Counter
	// changed wakes the lease loop after this entry's own record changed, or after the store
	// reported that the lease or the key is gone.
	changed chan struct{}

	mu    sync.Mutex
	lease platform.LeaseID
	// lastRenewal is when the last successful renewal was started. The lease is counted from that
	// time, because the reply may have been slow.
	lastRenewal time.Time
	// writtenInfo is the registration stored under the lease, and revision its modification
	// revision.
	writtenInfo Info
	revision    int64
	// lastFailure is when the last failed attempt was started.
	lastFailure time.Time
}

// NewRegistrar returns a registrar that is inactive until Run is called.
func NewRegistrar(opts RegistrarOptions) *Registrar {
	opts.TTL = cmp.Or(opts.TTL, DefaultTTL)
	opts.CallTimeout = cmp.Or(opts.CallTimeout, DefaultCallTimeout)
	opts.Resync = cmp.Or(opts.Resync, DefaultResync)
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Jitter == nil {
		opts.Jitter = rand.Float64
	}
	return &Registrar{
		opts:    opts,
		calls:   opts.Scope.Counter("member_store_calls"),
		errors:  opts.Scope.Counter("store_errors"),
		changed: make(chan struct{}, 1),
	}
}

// Run registers the entry, renews its lease, lists and watches until ctx ends. It returns
// ErrSuperseded if this process must exit.
func (r *Registrar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	registered := make(chan struct{})
	var g run.Group
	for _, loop := range []func(context.Context) error{
		func(ctx context.Context) error { return r.leaseLoop(ctx, registered) },
		func(ctx context.Context) error { return r.watchLoop(ctx, registered) },
		r.listLoop,
	} {
		g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
	}
	return g.Run()
}

// RequestUpdate requests that the registration be rewritten after the table's own entry changed.
func (r *Registrar) RequestUpdate() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// MayAdmit reports whether the state of its lease allows this entry to admit new work. If the
// lease has expired by this entry's own clock, the process may have been paused and the others may
// consider it gone, so it must register again first. While the store is not responding, recent
// failed attempts prove that this process is running, and it continues to admit work.
func (r *Registrar) MayAdmit(now time.Time) bool {
	if r.opts.Table.Superseded() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaseValid(now) || !r.lastFailure.IsZero() && Elapsed(r.lastFailure, now) <= processAliveWindow
}

// Registered reports whether the lease is valid by this entry's own clock.
func (r *Registrar) Registered(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaseValid(now)
}

func (r *Registrar) leaseValid(now time.Time) bool {
	return r.lease != 0 && Elapsed(r.lastRenewal, now) < r.opts.TTL
}

// leaseLoop keeps the lease alive. It closes registered after the first registration, or after the
// first failure, so that the watch does not wait for the end of an outage.
func (r *Registrar) leaseLoop(ctx context.Context, registered chan struct{}) error {
	var once sync.Once
	retry := backoff{jitter: r.opts.Jitter}
	for {
		err := r.Step(ctx)
		once.Do(func() { close(registered) })
		if errors.Is(err, ErrSuperseded) || r.opts.Table.Superseded() {
			return ErrSuperseded
		}
		delay := r.renewDelay()
		if err != nil {
			delay = retry.next()
		} else {
			retry.reset()
		}
		if !uptime.SleepUntilEvent(ctx, delay, r.changed) {
			return ctx.Err()
		}
	}
}

func (r *Registrar) renewDelay() time.Duration {
	base := r.opts.TTL / renewalsPerTTL
	return base - time.Duration(r.opts.Jitter()*float64(base)/4)
}

// Step renews the lease or registers again: one iteration of the lease loop.
func (r *Registrar) Step(ctx context.Context) error {
	start := r.opts.Now()
	err := r.step(ctx, start)
	if err == nil || errors.Is(err, ErrSuperseded) || ctx.Err() != nil {
		return err
	}
	r.mu.Lock()
	r.lastFailure = start
	r.mu.Unlock()
	eventStoreFailed.Log(ctx, r.opts.Logger, slog.String("error", err.Error()))
	return err
}

func (r *Registrar) step(ctx context.Context, start time.Time) error {
	if !r.Registered(start) {
		return r.register(ctx)
	}
	err := r.renew(ctx, start)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		r.dropLease(ctx)
		return r.register(ctx)
	}
	if err != nil {
		return err
	}
	return r.rewrite(ctx)
}

func (r *Registrar) renew(ctx context.Context, start time.Time) error {
	lease := r.currentLease()
	err := r.callStore(ctx, func(ctx context.Context) error { return r.opts.Store.KeepAlive(ctx, lease) })
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.lastRenewal = start
	r.mu.Unlock()
	r.opts.Table.RecordStoreContact(start)
	return nil
}

func (r *Registrar) dropLease(ctx context.Context) {
	r.mu.Lock()
	r.lease = 0
	r.mu.Unlock()
	eventLapsed.Log(ctx, r.opts.Logger)
}

func (r *Registrar) currentLease() platform.LeaseID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// register obtains a lease, writes the key with it, and lists the other registrations.
func (r *Registrar) register(ctx context.Context) error {
	start := r.opts.Now()
	r.opts.Table.clearSelfListed()
	var lease platform.LeaseID
	err := r.callStore(ctx, func(ctx context.Context) (err error) {
		lease, err = r.opts.Store.Grant(ctx, r.opts.TTL)
		return err
	})
	if err != nil {
		return err
	}
	if err := r.writeKey(ctx, lease); err != nil {
		return err
	}
	r.mu.Lock()
	r.lease, r.lastRenewal = lease, start
	r.mu.Unlock()
	r.opts.Table.RecordStoreContact(start)
	eventRegistered.Log(ctx, r.opts.Logger, slog.Int64("lease", int64(lease)))
	_, err = r.List(ctx)
	return err
}

// rewrite writes the key again if this entry's record has changed.
func (r *Registrar) rewrite(ctx context.Context) error {
	r.mu.Lock()
	lease, same := r.lease, r.writtenInfo == r.opts.Table.Info()
	r.mu.Unlock()
	if same {
		return nil
	}
	return r.writeKey(ctx, lease)
}

// writeKey sets the key to this incarnation with the given lease. It replaces the key of an older
// incarnation of the id, or of an earlier lease of this one, but never that of a newer
// incarnation.
func (r *Registrar) writeKey(ctx context.Context, lease platform.LeaseID) error {
	info := r.opts.Table.Info()
	value, err := info.Encode()
	if err != nil {
		return eris.Wrap(err, "member: encode registration")
	}
	key := Prefix + info.ID
	for range maxSwapAttempts {
		current, err := r.get(ctx, key)
		if err != nil {
			return err
		}
		revision, err := r.swapRevision(current, info)
		if err != nil {
			return err
		}
		if current != nil && current.Lease == lease && string(current.Value) == string(value) {
			// An earlier swap by this process took effect, but its reply was lost.
			r.recordWritten(info, revision)
			return nil
		}
		swapped, err := r.swap(ctx, key, revision, value, lease)
		if errors.Is(err, platform.ErrOutcomeUnknown) {
			continue
		}
		if err != nil {
			return err
		}
		if swapped.Swapped {
			r.recordWritten(info, swapped.Revision)
			return nil
		}
	}
	return eris.Wrap(platform.ErrOutcomeUnknown, "member: the outcome of the registration is unknown")
}

// swapRevision returns the revision that the compare-and-swap expects, or ErrSuperseded if the key
// belongs to a newer incarnation.
func (r *Registrar) swapRevision(current *platform.KeyValue, info Info) (int64, error) {
	if current == nil {
		return 0, nil
	}
	holder, err := Decode(current.Value)
	if err == nil && holder.Incarnation > info.Incarnation {
		r.opts.Table.MergeGossip([]*wireInfo{holder.Wire()})
		return 0, ErrSuperseded
	}
	return current.ModRevision, nil
}

func (r *Registrar) recordWritten(info Info, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writtenInfo, r.revision = info, revision
}

func (r *Registrar) get(ctx context.Context, key string) (kv *platform.KeyValue, err error) {
	err = r.callStore(ctx, func(ctx context.Context) (err error) {
		kv, _, err = r.opts.Store.Get(ctx, key)
		return err
	})
	return kv, err
}

func (r *Registrar) swap(ctx context.Context, key string, revision int64, value []byte, lease platform.LeaseID) (res platform.SwapResult, err error) {
	err = r.callStore(ctx, func(ctx context.Context) (err error) {
		res, err = r.opts.Store.CompareAndSwap(ctx, key, revision, value, lease)
		return err
	})
	return res, err
}

// callStore makes one call to the store with a timeout, and counts it.
func (r *Registrar) callStore(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	r.calls.Inc(1)
	err := do(ctx)
	if err != nil {
		r.errors.Inc(1)
	}
	return err
}

// backoff is an exponential delay from retryMin to retryMax with jitter: each delay is random
// between half of the current value and all of it.
type backoff struct {
	jitter func() float64
	delay  time.Duration
}

func (b *backoff) next() time.Duration {
	b.delay = min(max(2*b.delay, retryMin), retryMax)
	return b.delay/2 + time.Duration(b.jitter()*float64(b.delay)/2)
}

func (b *backoff) reset() { b.delay = 0 }
