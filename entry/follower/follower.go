// Package follower keeps the operator's newest configuration at this entry.
package follower

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/contract/route"
	"almondstand.dev/platform/operator"
	"almondstand.dev/platform/store"
)

// Timing of the reads. The platform wants a version in force 2 s after the
// store has acknowledged it.
const (
	// readEvery is the pause between two reads. A watch that hears nothing proves
	// nothing: the store may have dropped it, or its history, without a word. A
	// plain read of the one key is answered from the newest revision.
	readEvery = 900 * time.Millisecond
	// slowAfter is how long a read is waited for before another is sent beside it;
	// the store answers in 4 ms, and in 0.3 s when slow. The first goes on: at an
	// entry that is short of processor time each answer waits its turn, and reads
	// that are broken off then never tell of a new version.
	slowAfter = 500 * time.Millisecond
	// readTimeout bounds a read: what is older than the platform's bound for a new
	// version, 3 s, can't help to keep it.
	readTimeout = 3 * time.Second
	// maxReads bounds the reads that are under way: one for each slowAfter and
	// retryEvery within readTimeout.
	maxReads = 4
	// retryEvery is the pause after a read that failed or is slow.
	retryEvery = 250 * time.Millisecond
	// FreshFor is how long after a read was sent what it said is taken as the
	// newest there is.
	FreshFor = 1900 * time.Millisecond
)

// Store reads a key; see platform/store.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, bool, error)
}

// Follower holds the newest configuration. Readers take it by Table.
type Follower struct {
	store  Store
	logger *slog.Logger
	table  atomic.Pointer[route.Table]
	// checked is when the read was sent that last showed the newest revision, in
	// nanoseconds since began.
	checked atomic.Int64
	began   time.Time

	mu       sync.Mutex
	revision int64
	raw      []byte
	// unreadable is the revision of a value that can't be read and was logged.
	unreadable int64
	reachable  bool
}

// New returns a follower without a configuration.
func New(s Store, logger *slog.Logger) *Follower {
	f := &Follower{store: s, logger: logger, began: time.Now(), reachable: true}
	f.checked.Store(int64(-FreshFor))
	return f
}

// Table returns the newest configuration, nil when there is none yet.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Fresh reports whether the store has lately shown that there is no newer one.
func (f *Follower) Fresh() bool { return f.Age() < FreshFor }

// Age is the time since the store has last shown that there is no newer one.
func (f *Follower) Age() time.Duration {
	return time.Since(f.began) - time.Duration(f.checked.Load())
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	var reads sync.WaitGroup
	defer reads.Wait()
	underWay := make(chan struct{}, maxReads)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case underWay <- struct{}{}:
		}
		done := make(chan bool, 1)
		reads.Go(func() {
			done <- f.read(ctx)
			<-underWay
		})
		pause := readEvery
		if !answered(done) {
			pause = retryEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// answered waits for a read as long as one may take that is not slow.
func answered(done <-chan bool) bool {
	slow := time.NewTimer(slowAfter)
	defer slow.Stop()
	select {
	case ok := <-done:
		return ok
	case <-slow.C:
		return false
	}
}

func (f *Follower) read(ctx context.Context) bool {
	sent := time.Since(f.began)
	called, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	item, found, err := f.store.Get(called, operator.Key)
	if err != nil {
		f.note(ctx, err)
		return false
	}
	f.note(ctx, nil)
	f.check(int64(sent))
	if found {
		f.Take(ctx, item.Revision, item.Value)
	}
	return found
}

// check takes the time of a read that was answered; answers can come out of turn.
func (f *Follower) check(sent int64) {
	for {
		known := f.checked.Load()
		if sent <= known || f.checked.CompareAndSwap(known, sent) {
			return
		}
	}
}

// note logs when the store is lost and when it is back.
func (f *Follower) note(ctx context.Context, err error) {
	f.mu.Lock()
	changed := f.reachable != (err == nil)
	f.reachable = err == nil
	f.mu.Unlock()
	switch {
	case changed && err != nil:
		storeLost.Log(ctx, f.logger, slog.String("error", err.Error()))
	case changed:
		storeBack.Log(ctx, f.logger)
	}
}

// Take takes a configuration of a revision, from the store or from another
// entry. An older one than is in force is left: what callers have seen of a
// version must not be undone by an answer that comes late.
func (f *Follower) Take(ctx context.Context, revision int64, raw []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision || revision == f.unreadable {
		return
	}
	table, err := operator.Decode(raw)
	if err != nil {
		f.unreadable = revision
		unreadable.Log(ctx, f.logger, slog.Int64("revision", revision), slog.String("error", err.Error()))
		return
	}
	older := f.table.Load()
	if older != nil && table.Version < older.Version {
		f.unreadable = revision
		unreadable.Log(ctx, f.logger, slog.Int64("revision", revision), slog.Int64("version", table.Version), slog.String("error", "version goes back"))
		return
	}
	f.revision, f.raw = revision, raw
	f.table.Store(table)
	applied.Log(ctx, f.logger, slog.Int64("revision", revision), slog.Int64("version", table.Version), slog.Int("contracts", table.Len()))
}

// Held returns the newest configuration's revision and text.
func (f *Follower) Held() (revision int64, raw []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.raw
}
