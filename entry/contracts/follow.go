package contracts

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"almondstand.dev/eventlog"
	"almondstand.dev/platform"
)

// Run reads the contracts from the store and watches their changes until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.watchLoop(ctx) })
	group.Go(func() error { return r.runRepairs(ctx) })
	return group.Wait()
}

// watchPosition is the store revision up to which changes have been applied.
type watchPosition struct {
	revision int64
	listedAt time.Time
	// valid is false when all contracts have to be listed again.
	valid bool
}

func (r *Registry) watchLoop(ctx context.Context) error {
	var at watchPosition
	pause := r.opts.MinPause
	for ctx.Err() == nil {
		if !at.valid {
			at = r.listAll(ctx)
		}
		if at.valid && r.watch(ctx, &at) {
			pause = r.opts.MinPause
			continue
		}
		r.sleep(ctx, pause)
		pause = min(2*pause, r.opts.MaxPause)
	}
	return nil
}

// listAll reads all contracts. The returned position is not valid if that failed.
func (r *Registry) listAll(ctx context.Context) watchPosition {
	r.metrics.lists.Inc(1)
	startedAt := r.opts.Now()
	kvs, revision, err := r.opts.Store.List(ctx, Prefix)
	if err != nil {
		r.logFailure(ctx, eventListFailed, err)
		return watchPosition{}
	}
	r.recordContact()
	r.applyList(ctx, kvs)
	r.listed.Store(true)
	eventListed.Log(ctx, r.opts.Logger, slog.Int("contracts", len(kvs)), slog.Int64("store_revision", revision))
	return watchPosition{revision: revision, listedAt: startedAt, valid: true}
}

// applyList applies the complete list of keys, and marks the contracts that the store
// lacks for repair.
func (r *Registry) applyList(ctx context.Context, kvs []platform.KeyValue) {
	present := make(map[string]bool, len(kvs))
	for _, kv := range kvs {
		present[kv.Key] = true
	}
	r.applyStored(ctx, kvs)
	for key := range r.HeldRevisions() {
		if !present[key] {
			r.handleDeleted(ctx, key)
		}
	}
}

// applyStored applies keys with the values that the store holds.
func (r *Registry) applyStored(ctx context.Context, kvs []platform.KeyValue) {
	candidates := make([]candidate, 0, len(kvs))
	for _, kv := range kvs {
		candidates = append(candidates, candidate{key: kv.Key, value: kv.Value, from: "store"})
	}
	for i, v := range r.applyCandidates(ctx, candidates) {
		// An unreadable value may come from a newer release, so it is not overwritten.
		if v == resultOlder {
			r.repairs.add(kvs[i].Key, kvs[i].ModRevision)
			continue
		}
		r.repairs.remove(kvs[i].Key)
	}
}

// handleDeleted keeps the contract of a deleted key in force. Contracts are retired and
// never deleted, so the key was removed by mistake, or the store was restored from a
// backup made before the contract; the two cases look the same. Dropping the contract
// would revert an accepted change.
func (r *Registry) handleDeleted(ctx context.Context, key string) {
	if _, held := r.HeldRevisions()[key]; !held {
		return
	}
	r.metrics.rejected.Inc(1)
	eventDeletedRefused.Log(ctx, r.opts.Logger, slog.String("key", key))
	r.repairs.add(key, 0)
}

// steadyWatchTime is how long a watch has to work to be reopened without a pause.
const steadyWatchTime = time.Second

// watch applies changes from the position on, and advances it. It returns true if the
// watch worked for a while.
func (r *Registry) watch(ctx context.Context, at *watchPosition) (steady bool) {
	r.metrics.watches.Inc(1)
	startedAt := r.opts.Now()
	untilRelist := r.opts.Relist - startedAt.Sub(at.listedAt)
	watchCtx, cancel := context.WithTimeout(ctx, untilRelist)
	defer cancel()
	received := false
	err := r.opts.Store.Watch(watchCtx, Prefix, at.revision, func(batch platform.WatchBatch) {
		received = true
		r.recordContact()
		r.applyEvents(ctx, batch.Events)
		at.revision = max(at.revision, batch.Revision)
	})
	historyLost := errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrReverted)
	relistDue := watchCtx.Err() != nil
	at.valid = !historyLost && !relistDue
	if historyLost || !received && !relistDue {
		r.logFailure(ctx, eventWatchLost, err)
	}
	return received && r.opts.Now().Sub(startedAt) >= steadyWatchTime
}

// failureLogInterval is the minimum time between two log records of the same kind while
// the store is down.
const failureLogInterval = 30 * time.Second

// logFailure logs a failed store operation, but not each one of a long outage.
func (r *Registry) logFailure(ctx context.Context, event eventlog.Event, cause error) {
	now := r.opts.Now()
	last, logged := r.failureLogged[event.Number]
	if ctx.Err() != nil || logged && now.Sub(last) < failureLogInterval {
		return
	}
	r.failureLogged[event.Number] = now
	event.Log(ctx, r.opts.Logger, slog.Any("cause", cause))
}

func (r *Registry) applyEvents(ctx context.Context, events []platform.Event) {
	for _, e := range events {
		if e.Deleted {
			r.handleDeleted(ctx, e.KeyValue.Key)
			continue
		}
		r.applyStored(ctx, []platform.KeyValue{e.KeyValue})
	}
}

// sleep waits for between half and all of the pause.
func (r *Registry) sleep(ctx context.Context, pause time.Duration) {
	pause = pause/2 + time.Duration(r.opts.Jitter()*float64(pause/2))
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
