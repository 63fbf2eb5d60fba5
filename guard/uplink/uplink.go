// Package uplink keeps a guard connected to its subset of the entries.
package uplink

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/advertise"
	"almondstand.dev/guard/demand"
	"almondstand.dev/guard/load"
	"almondstand.dev/guard/runs"
	"almondstand.dev/guard/subset"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
)

// Timing of connections.
const (
	// minRetry and maxRetry bound the pause between two attempts, and minDial is the shortest
	// connection timeout. The guard reconnects to a restarted entry within the sum of the two,
	// so they are short at first; both grow with the time for which the entry has been
	// unreachable: the retry pause is 1/retryDivisor of it, the timeout 1/dialDivisor. A dial
	// to a host without power hangs, even after the host is back. At the design size, 40
	// entries that are permanently gone cost a guard 40 attempts a second until they are
	// forgotten.
	minRetry     = 25 * time.Millisecond
	maxRetry     = time.Second
	minDial      = 80 * time.Millisecond
	retryDivisor = 8
	dialDivisor  = 4
	// stableAfter is how long a session must last for its entry to count as reachable.
	stableAfter = time.Second
	// forgetAfter is how long an entry must be unreachable to be forgotten, unless the
	// settings or another entry list it.
	forgetAfter = 20 * time.Second
	// listenFor is how long an entry may be silent before its stream is closed: entries send
	// at least once a second.
	listenFor = 3 * time.Second
	// heartbeatInterval is the pause after which a message is sent even without content: it
	// carries the clock by which the age of orders is determined.
	heartbeatInterval = time.Second
	// startsDelay is how long the report that a run has started may wait for another message.
	// Half of all tasks take 60 ms, so that the report on their end is sent instead. An entry
	// considers a start unanswered after 320 ms, of which the runner has 150.
	startsDelay = 80 * time.Millisecond
)

// Timing of reading the list of entries when the guard starts.
const (
	// lookupHeadStart is how long the seeds wait for the list: the store answers within 4 ms,
	// and a data centre is some milliseconds away.
	lookupHeadStart = 60 * time.Millisecond
	// lookupTimeout bounds the reads: by then the seeds have listed the entries.
	lookupTimeout = 500 * time.Millisecond
	// lookupInterval is the pause between two reads while the list is empty: the entries are
	// starting too.
	lookupInterval = 100 * time.Millisecond
)

// Host manages the runner; see guard/host.
type Host interface {
	Capacity() runs.Capacity
	// HasCapacity reports whether another run of the size that was requested last fits.
	HasCapacity() bool
	EntryAlive(o runs.Owner, at time.Duration)
	// LateStarts returns the late starts with a higher sequence number, and the highest one.
	LateStarts(after uint64) ([]runs.LateStart, uint64)
	// SetCordon records whether the data centre is cordoned at a revision of the store.
	SetCordon(revision int64, cordoned bool)
	// HasLateStarts reports whether there are late starts.
	HasLateStarts() bool
	// Progress returns the progress reports for an owner that go with the next message. They count
	// as sent.
	Progress(o runs.Owner) []runs.Progress
	Reconcile(o runs.Owner, open []work.RunID) []runs.Report
	Submit(sent time.Duration, o runs.Owner, orders []runs.Order, cancels []work.RunID)
}

// Options of an Uplink.
type Options struct {
	Guard       string
	Incarnation uint64
	DataCentre  string
	// Seeds returns the entry addresses in the settings; it is called again at each refresh.
	Seeds func() []string
	// Entries reads the list of registered entries; nil if there is no such list. It is called
	// when the guard starts, until the list is not empty.
	Entries func(ctx context.Context) ([]string, error)
	// SharedDemand: the demand of the other entries is sent to each entry, and the most urgent demand
	// is offered free capacity first.
	SharedDemand bool
	Logger       *slog.Logger
	// Scope is where the metrics are published; nil for none.
	Scope tally.Scope
}

// Uplink manages the guard's sessions with entries.
type Uplink struct {
	opt     Options
	host    Host
	logger  *slog.Logger
	metrics metrics

	mu sync.Mutex
	// phase is the phase since startedAt.
	phase     phase
	startedAt time.Time
	// links are the known entries, by address.
	links map[string]*link
	// size is the number of reachable entries to keep sessions with.
	size int
	// allEntries is true while the guard keeps sessions with all known entries: each to which a
	// caller may submit a job again must be sent the late starts.
	allEntries bool
	// current is the newest session of each entry, by the entry's id.
	current map[string]*session
	// receiving is held while a message is handled, and while a session replaces an older one.
	// Otherwise an order of the older session could arrive between the check that the session
	// is current and the report to the entry that the order never arrived.
	receiving sync.Mutex
	attach    sync.WaitGroup
	ctx       context.Context
	// offers is the state of the offers of free capacity; guarded by mu.
	offers advertise.Offers

	// demandMu guards demand. No other lock is taken while it is held.
	demandMu sync.Mutex
	demand   demand.Table

	// loadMu guards loads. No other lock is taken while it is held.
	loadMu sync.Mutex
	loads  load.Table
}

// New returns an uplink without sessions.
func New(o Options, h Host) *Uplink {
	return &Uplink{opt: o, host: h, logger: o.Logger, metrics: newMetrics(o.Scope), links: map[string]*link{}, size: subset.DefaultSize, current: map[string]*session{}}
}

// Run keeps the guard connected until the context ends.
func (u *Uplink) Run(ctx context.Context) error {
	u.mu.Lock()
	u.ctx, u.startedAt = ctx, time.Now()
	u.mu.Unlock()
	u.discover(ctx)
	u.refresh()
	ticker := time.NewTicker(chooseInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			u.refresh()
		}
	}
	u.attach.Wait()
	return nil
}

// discover reads the registered entries before the settings' seeds are used. Otherwise, after
// a power loss every guard would connect to the same three seeds first, and the other entries
// would have no runners until those three, busy with all guards, could list them. If the list
// does not arrive in time, this costs lookupHeadStart.
func (u *Uplink) discover(ctx context.Context) {
	if u.opt.Entries == nil {
		return
	}
	done, empty := make(chan struct{}), make(chan struct{}, 1)
	u.attach.Go(func() {
		defer close(done)
		u.lookup(ctx, empty)
	})
	timeout := time.NewTimer(lookupHeadStart)
	defer timeout.Stop()
	for {
		select {
		case <-empty:
			timeout.Reset(lookupTimeout)
		case <-done:
			return
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// lookup reads the registered entries until there are any. It signals on empty if there are none
// yet.
func (u *Uplink) lookup(ctx context.Context, empty chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for ctx.Err() == nil {
		entries, err := u.opt.Entries(ctx)
		if err != nil {
			lookupFailed.Log(ctx, u.logger, slog.String("error", err.Error()))
			return
		}
		if len(entries) > 0 {
			u.addEntries(entries)
			return
		}
		notify(empty)
		// The pause is random, so that guards that start together do not read together.
		uptime.Sleep(ctx, lookupInterval/2+rand.N(lookupInterval))
	}
}

// backoff returns the connection timeout and the pause after a failed attempt for an entry
// that has been unreachable for the given time.
func backoff(unreachableFor time.Duration) (dial, retry time.Duration) {
	dial = min(max(unreachableFor/dialDivisor, minDial), fleetwire.DialTimeout)
	retry = min(max(unreachableFor/retryDivisor, minRetry), maxRetry)
	return dial, retry
}

// admit makes a session the current one of its entry. Messages that arrive on the older
// session are ignored from then on: an order that was delayed in the network could otherwise
// arrive there after the entry has been informed that it never arrived.
func (u *Uplink) admit(s *session) {
	u.mu.Lock()
	older := u.current[s.owner.Entry]
	u.current[s.owner.Entry] = s
	u.metrics.opened.Inc(1)
	l := s.link
	l.lastReached, l.session = time.Now(), s
	if l.down {
		l.down = false
		u.choose()
	}
	u.mu.Unlock()
	if older != nil && older != s {
		older.end()
	}
}

// isCurrent reports whether a session is the current one of its entry, and marks the entry as
// reached.
func (u *Uplink) isCurrent(s *session) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s.link.lastReached = time.Now()
	return u.current[s.owner.Entry] == s
}

// serves reports whether a session is the current one of its entry.
func (u *Uplink) serves(s *session) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current[s.owner.Entry] == s
}

func (u *Uplink) remove(s *session) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current[s.owner.Entry] == s {
		delete(u.current, s.owner.Entry)
		u.removeDemand(s.owner.Entry)
		u.removeLoad(s.owner.Entry)
	}
}

// Deliver implements host.Sink. Reports to an owner that is not attached are discarded: it
// asks for them when it reconnects.
func (u *Uplink) Deliver(reports []runs.Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range reports {
		if s := u.current[r.Owner.Entry]; s != nil && s.owner == r.Owner {
			s.push(r)
		}
	}
}

// LateStartsChanged implements host.Sink.
func (u *Uplink) LateStartsChanged() {
	hasLateStarts := u.host.HasLateStarts()
	u.mu.Lock()
	defer u.mu.Unlock()
	if hasLateStarts && !u.allEntries {
		u.allEntries = true
		u.choose()
	}
	for _, s := range u.current {
		notify(s.wake)
	}
}

// ProgressDue implements host.Sink.
func (u *Uplink) ProgressDue(owner runs.Owner) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s := u.current[owner.Entry]; s != nil && s.owner == owner {
		s.sendProgress()
	}
}

// CapacityChanged implements host.Sink.
func (u *Uplink) CapacityChanged() {
	free := u.host.HasCapacity()
	capacity := u.host.Capacity()
	u.mu.Lock()
	defer u.mu.Unlock()
	advertise.Schedule(time.Now(), capacity, free, slices.Collect(maps.Values(u.current)), &u.offers)
}
