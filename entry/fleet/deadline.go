package fleet

import (
	"context"
	"sync"
	"time"
)

// maxExtension bounds what a deadline is put off for the stalls of this process, as a
// multiple of its time.
const maxExtension = 4

// deadline ends a context some time after it began, without the time for which this
// process did not run: an answer that is there may not have been read.
type deadline struct {
	stalled func() time.Duration
	// before is the stalled time when the deadline was set.
	before time.Duration
	// left is what it may still be put off.
	left time.Duration
	end  context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
}

// withTimeout is context.WithTimeout on the time for which this process runs.
func (f *Fleet) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	t := &deadline{stalled: f.o.Stalled, before: f.o.Stalled(), left: maxExtension * d, end: end}
	t.mu.Lock()
	t.timer = time.AfterFunc(d, t.expire)
	t.mu.Unlock()
	return ctx, func() {
		t.timer.Stop()
		end(context.Canceled)
	}
}

func (t *deadline) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.stalled()
	late := min(now-t.before, t.left)
	if late <= 0 {
		t.end(context.DeadlineExceeded)
		return
	}
	t.before = now
	t.left -= late
	t.timer.Reset(late)
}

// awake is the time for which this process has run since its start.
func (f *Fleet) awake() time.Duration { return monotonic() - f.o.Stalled() }
