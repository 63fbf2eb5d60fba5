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

// watchLoop lists and then watches. It begins after the first registration, so
// that of two entries that start together one at least sees the other.
func (r *Registrar) watchLoop(ctx context.Context, registered <-chan struct{}) error {
	select {
	case <-registered:
	case <-ctx.Done():
		return ctx.Err()
	}
	retry := backoff{jitter: r.opts.Jitter}
	revision := int64(-1)
	for ctx.Err() == nil {
		began := r.opts.Now()
		next, err := r.follow(ctx, revision)
		if ctx.Err() != nil {
			break
		}
		revision = next
		if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrReverted) {
			revision = -1
		}
		if r.opts.Now().Sub(began) > retryMax {
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

// follow watches from the revision, after a list when it is negative, and returns
// the revision reached when the watch broke.
func (r *Registrar) follow(ctx context.Context, revision int64) (int64, error) {
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

// checkOwnKey registers again at once when the store dropped this entry's key: its
// lease lapsed there although this entry's clock says otherwise.
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
			r.lapse(ctx)
			r.Touch()
		}
	}
}

// List refreshes the table from the store once.
func (r *Registrar) List(ctx context.Context) (int64, error) {
	began := r.opts.Now()
	var keys []platform.KeyValue
	var revision int64
	err := r.call(ctx, func(ctx context.Context) (err error) {
		keys, revision, err = r.opts.Store.List(ctx, Prefix)
		return err
	})
	if err != nil {
		return 0, err
	}
	r.opts.Table.ApplyList(keys, began)
	return revision, nil
}

// listLoop lists when the table needs it to settle an absence, and now and then
// to repair a view whose watch has gone silent.
func (r *Registrar) listLoop(ctx context.Context) error {
	resync := r.resyncPause()
	last := r.opts.Now()
	for {
		if !uptime.Sleep(ctx, listPoll) {
			return ctx.Err()
		}
		now := r.opts.Now()
		due := r.opts.Table.NextList()
		settle := !due.IsZero() && now.After(due)
		if !settle && now.Sub(last) < resync {
			continue
		}
		if !uptime.Sleep(ctx, time.Duration(r.opts.Jitter()*float64(listJitter))) {
			return ctx.Err()
		}
		last = r.opts.Now()
		resync = r.resyncPause()
		if _, err := r.List(ctx); err != nil && ctx.Err() == nil {
			eventStoreFailed.Log(ctx, r.opts.Logger, slog.String("error", err.Error()))
		}
	}
}

func (r *Registrar) resyncPause() time.Duration {
	return r.opts.Resync/2 + time.Duration(r.opts.Jitter()*float64(r.opts.Resync))
}
