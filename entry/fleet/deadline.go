package fleet

import (
	"context"
	"sync"
	"time"
)

// maxExtension bounds how far stalls of this process can extend a timeout, as a
// multiple of its duration.
const maxExtension = 4

// stallTimeout cancels a context after a duration that excludes the time during which
// this process did not run, because a response may have arrived without having been
// read.
type stallTimeout struct {
	stalled func() time.Duration
	// stalledBefore is the total stalled time when the timer was last set.
	stalledBefore time.Duration
	// extensionLeft is by how much the timeout may still be extended.
	extensionLeft time.Duration
	cancel        context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
}

// withTimeout is like context.WithTimeout but counts only the time during which this
// process runs.
func (f *Fleet) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &stallTimeout{stalled: f.opts.StalledTime, stalledBefore: f.opts.StalledTime(), extensionLeft: maxExtension * d, cancel: cancel}
	t.mu.Lock()
	t.timer = time.AfterFunc(d, t.onTimer)
	t.mu.Unlock()
	return ctx, func() {
		t.timer.Stop()
		cancel(context.Canceled)
	}
}

func (t *stallTimeout) onTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.stalled()
	late := min(now-t.stalledBefore, t.extensionLeft)
	if late <= 0 {
		t.cancel(context.DeadlineExceeded)
		return
	}
	t.stalledBefore = now
	t.extensionLeft -= late
	t.timer.Reset(late)
}

// runningTime returns the time during which this process has run since its start.
func (f *Fleet) runningTime() time.Duration { return monotonic() - f.opts.StalledTime() }
