// Package follower keeps the operator's newest configuration and the cordoned data centres at
// this entry.
package follower

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/contract/cordon"
	"almondstand.dev/contract/route"
	"almondstand.dev/platform/operator"
	"almondstand.dev/platform/store"
)

// Timing of the reads. The platform requires a version to be in force 2 s after the
// store has acknowledged it.
const (
	// readInterval is the pause between two reads. Polling is used instead of a watch,
	// because a watch without events proves nothing: the store may have dropped it, or
	// compacted its history, without notice. A plain read of the operator's keys returns their
	// newest revisions, and shows which keys do not exist.
	readInterval = 900 * time.Millisecond
	// hedgeDelay is how long to wait for a read before sending a hedged second one; the
	// store answers in 4 ms, and in 0.3 s when slow. The first read continues: at an entry
	// short of CPU time every response is delayed, and if slow reads were cancelled none
	// would ever deliver a new version.
	hedgeDelay = 500 * time.Millisecond
	// readTimeout bounds a read: a response older than the platform's limit for a new
	// version, 3 s, can't help to meet that limit.
	readTimeout = 3 * time.Second
	// maxInFlightReads bounds the concurrent reads: one for each hedgeDelay and
	// retryInterval within readTimeout.
	maxInFlightReads = 4
	// retryInterval is the pause after a read that failed or is slow.
	retryInterval = 250 * time.Millisecond
	// FreshnessPeriod is how long after a read was sent its result counts as the newest
	// configuration.
	FreshnessPeriod = 1900 * time.Millisecond
	// firstTableTimeout is how long after its start an entry waits for its first configuration.
	// The read takes some milliseconds, and longer while all processes of a deployment start.
	firstTableTimeout = time.Second
)

// Store reads keys; see platform/store.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, bool, error)
	Range(ctx context.Context, prefix string) (store.Page, error)
}

// Follower holds the newest configuration and the newest set of cordoned data centres. Readers get
// them from Table and Cordons.
type Follower struct {
	store   Store
	logger  *slog.Logger
	table   atomic.Pointer[route.Table]
	cordons atomic.Pointer[cordon.Set]
	// cordonsChanged is called with each newer set; nil if nobody is interested.
	cordonsChanged func(*cordon.Set)
	// lastReadAt is when the latest answered read was sent, in nanoseconds since startedAt.
	lastReadAt atomic.Int64
	startedAt  time.Time
	// tableKnown is closed once there is a configuration.
	tableKnown chan struct{}

	mu       sync.Mutex
	revision int64
	raw      []byte
	// unreadable is the revision of a value that was rejected and logged.
	unreadable int64
	reachable  bool
}

// New returns a follower without a configuration.
func New(s Store, logger *slog.Logger) *Follower {
	f := &Follower{store: s, logger: logger, startedAt: time.Now(), tableKnown: make(chan struct{}), reachable: true}
	f.lastReadAt.Store(int64(-FreshnessPeriod))
	return f
}

// Table returns the newest configuration, or nil when there is none yet. There is none before the
// cordoned data centres are known: no task may start at their endpoints.
func (f *Follower) Table() *route.Table {
	if f.cordons.Load() == nil {
		return nil
	}
	return f.table.Load()
}

// AwaitTable returns the newest configuration. Shortly after its start an entry that has none waits
// for the first one. It returns nil if there is still none then, or ctx ends.
func (f *Follower) AwaitTable(ctx context.Context) *route.Table {
	if table := f.Table(); table != nil {
		return table
	}
	timeout := time.NewTimer(firstTableTimeout - time.Since(f.startedAt))
	defer timeout.Stop()
	select {
	case <-f.tableKnown:
	case <-timeout.C:
	case <-ctx.Done():
	}
	return f.Table()
}

// signalTable closes tableKnown once there is a configuration. The caller holds the lock.
func (f *Follower) signalTable() {
	if f.Table() == nil {
		return
	}
	select {
	case <-f.tableKnown:
	default:
		close(f.tableKnown)
	}
}

// Fresh reports whether the store has recently confirmed that there is no newer
// configuration.
func (f *Follower) Fresh() bool { return f.Age() < FreshnessPeriod }

// Age is the time since the store last confirmed that there is no newer configuration.
func (f *Follower) Age() time.Duration {
	return time.Since(f.startedAt) - time.Duration(f.lastReadAt.Load())
}

// Run polls the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var reads sync.WaitGroup
	defer reads.Wait()
	inFlight := make(chan struct{}, maxInFlightReads)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case inFlight <- struct{}{}:
		}
		done := make(chan bool, 1)
		reads.Go(func() {
			done <- f.read(ctx)
			<-inFlight
		})
		pause := readInterval
		if !succeededInTime(done) {
			pause = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// succeededInTime waits for a read for at most hedgeDelay and reports whether it
// succeeded.
func succeededInTime(done <-chan bool) bool {
	slow := time.NewTimer(hedgeDelay)
	defer slow.Stop()
	select {
	case ok := <-done:
		return ok
	case <-slow.C:
		return false
	}
}

func (f *Follower) read(ctx context.Context) bool {
	sent := time.Since(f.startedAt)
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	keys, err := f.readOperatorKeys(readCtx)
	f.recordReachable(ctx, err)
	if err != nil {
		return false
	}
	f.recordRead(int64(sent))
	f.ApplyCordons(ctx, keys.cordons)
	if keys.configFound {
		f.Apply(ctx, keys.config.Revision, keys.config.Value)
	}
	return keys.configFound
}

// recordRead records when an answered read was sent; responses can arrive out of order.
func (f *Follower) recordRead(sent int64) {
	for {
		known := f.lastReadAt.Load()
		if sent <= known || f.lastReadAt.CompareAndSwap(known, sent) {
			return
		}
	}
}

// recordReachable logs when the store becomes unreachable and when it answers again.
func (f *Follower) recordReachable(ctx context.Context, err error) {
	f.mu.Lock()
	changed := f.reachable != (err == nil)
	f.reachable = err == nil
	f.mu.Unlock()
	switch {
	case changed && err != nil:
		eventStoreLost.Log(ctx, f.logger, slog.String("error", err.Error()))
	case changed:
		eventStoreBack.Log(ctx, f.logger)
	}
}

// Apply applies a configuration with its revision, from the store or from another entry.
// One older than that in force is ignored: a late response must not undo a version whose
// effect callers have already seen.
func (f *Follower) Apply(ctx context.Context, revision int64, raw []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision || revision == f.unreadable {
		return
	}
	table, err := operator.Decode(raw)
	if err != nil {
		f.unreadable = revision
		eventUnreadable.Log(ctx, f.logger, slog.Int64("revision", revision), slog.String("error", err.Error()))
		return
	}
	previous := f.table.Load()
	if previous != nil && table.Version < previous.Version {
		f.unreadable = revision
		eventUnreadable.Log(ctx, f.logger, slog.Int64("revision", revision), slog.Int64("version", table.Version), slog.String("error", "version goes back"))
		return
	}
	f.revision, f.raw = revision, raw
	f.table.Store(table)
	f.signalTable()
	eventApplied.Log(ctx, f.logger, slog.Int64("revision", revision), slog.Int64("version", table.Version), slog.Int("contracts", table.Len()))
}

// Current returns the newest configuration's revision and its encoded text.
func (f *Follower) Current() (revision int64, raw []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.raw
}
