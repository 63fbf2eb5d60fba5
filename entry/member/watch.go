package member

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"almondstand.dev/platform"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

type wireInfo = wirev1.EntryInfo

// watchLoop lists and then watches. It starts after the first registration, so that of two entries
// that start at the same time at least one sees the other.
func (r *Registrar) watchLoop(ctx context.Context, registered <-chan struct{}) error {
	select {
	case <-registered:
	case <-ctx.Done():
		return ctx.Err()
	}
	retry := backoff{jitter: r.opts.Jitter}
	revision := int64(-1)
	for ctx.Err() == nil {
		start := r.opts.Now()
		next, err := r.listAndWatch(ctx, revision)
		if ctx.Err() != nil {
			break
		}
		revision = next
		if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrReverted) {
			revision = -1
		}
		if r.opts.Now().Sub(start) > retryMax {
			retry.reset()
		}
		if err != nil {
			eventStoreFailed.Log(ctx, r.opts.Logger, slog.String("error", err.Error()))
		}
		if !uptime.Sleep(ctx, retry.next()) {
			break
		}
	}
	return ctx.Err()
}

// listAndWatch watches from the given revision, after a list if it is negative, and returns the
// revision reached when the watch ended.
func (r *Registrar) listAndWatch(ctx context.Context, revision int64) (int64, error) {
	if revision < 0 {
		listed, err := r.List(ctx)
		if err != nil {
			return revision, err
		}
		revision = listed
	}
	r.calls.Inc(1)
	err := r.opts.Store.Watch(ctx, Prefix, revision, func(b platform.WatchBatch) {
		revision = max(revision, b.Revision)
		r.opts.Table.ApplyBatch(b)
		r.checkOwnKey(ctx, b)
	})
	return revision, err
}

// checkOwnKey triggers a new registration at once if the store deleted this entry's key, that is,
// if its lease expired there although it is valid by this entry's clock.
func (r *Registrar) checkOwnKey(ctx context.Context, b platform.WatchBatch) {
	own := Prefix + r.opts.Table.Info().ID
	for _, e := range b.Events {
		if !e.Deleted || e.KeyValue.Key != own {
			continue
		}
		r.mu.Lock()
		stale := e.KeyValue.ModRevision <= r.revision
		r.mu.Unlock()
		if !stale {
			r.dropLease(ctx)
			r.RequestUpdate()
		}
	}
}

// List refreshes the table from the store once.
func (r *Registrar) List(ctx context.Context) (int64, error) {
	start := r.opts.Now()
	var keys []platform.KeyValue
	var revision int64
	err := r.callStore(ctx, func(ctx context.Context) (err error) {
		keys, revision, err = r.opts.Store.List(ctx, Prefix)
		return err
	})
	if err != nil {
		return 0, err
	}
	r.opts.Table.ApplyList(keys, start)
	return revision, nil
}

// listLoop lists whenever the table needs it to decide about an absent entry, and periodically to
// repair a view whose watch has stopped delivering events.
func (r *Registrar) listLoop(ctx context.Context) error {
	resync := r.resyncDelay()
	last := r.opts.Now()
	for {
		if !uptime.Sleep(ctx, listCheckInterval) {
			return ctx.Err()
		}
		now := r.opts.Now()
		due := r.opts.Table.NextList()
		listDue := !due.IsZero() && now.After(due)
		if !listDue && now.Sub(last) < resync {
			continue
		}
		if !uptime.Sleep(ctx, time.Duration(r.opts.Jitter()*float64(listJitter))) {
			return ctx.Err()
		}
		last = r.opts.Now()
		resync = r.resyncDelay()
		if _, err := r.List(ctx); err != nil && ctx.Err() == nil {
			eventStoreFailed.Log(ctx, r.opts.Logger, slog.String("error", err.Error()))
		}
	}
}

func (r *Registrar) resyncDelay() time.Duration {
	return r.opts.Resync/2 + time.Duration(r.opts.Jitter()*float64(r.opts.Resync))
}
