package jobs

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"almondstand.dev/telemetry/uptime"
)

// callersCheckInterval is the minimum interval between two checks of the callers' connections.
// Guards end the runs of an entry 1150 ms after its last message at the latest. A caller submits
// its job again 1.3 s after its connection broke, and no message is sent later than this interval
// after that without the order to stop its runs.
const callersCheckInterval = 25 * time.Millisecond

// caller is one caller of a job. Its context ends when it disconnects.
type caller struct{ ctx context.Context }

// removeCaller removes one caller of a job. A job without callers is cancelled.
func (e *Engine) removeCaller(id string, w *jobWaiters, c *caller) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := uptime.Now()
	if e.dropCaller(now, id, w, c) {
		e.applyActions(now)
	}
}

// dropCaller removes one caller of a job, and cancels the job if it was the last. It reports
// whether the job was cancelled in the planner. The caller of the method holds the lock.
func (e *Engine) dropCaller(now time.Duration, id string, w *jobWaiters, c *caller) bool {
	i := slices.Index(w.callers, c)
	if i < 0 {
		return false
	}
	w.callers = slices.Delete(w.callers, i, i+1)
	callerGone.Log(context.Background(), e.logger, slog.String("job", id), millis("waited_ms", now-w.arrived), slog.Int("callers_left", len(w.callers)))
	if len(w.callers) > 0 || e.waiters[id] != w {
		return false
	}
	if w.handover != nil {
		e.cancelHandover(now, id, w)
		return false
	}
	e.plan.Cancel(now, id)
	return true
}

// isDisconnected reports whether the caller with the given context has disconnected.
func (e *Engine) isDisconnected(ctx context.Context) bool {
	return ctx.Err() != nil || e.disconnected != nil && e.disconnected(ctx)
}

// CheckCallers cancels the jobs whose callers have disconnected, unless the callers were checked
// less than callersCheckInterval before now. An entry that is short of processor time may read
// the ends of its callers' connections much later than it sends messages to guards, and these
// let the runs go on.
func (e *Engine) CheckCallers(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.callersChecked < callersCheckInterval {
		return
	}
	e.callersChecked = uptime.Now()
	cancelled := false
	for id, w := range e.waiters {
		for i := len(w.callers) - 1; i >= 0; i-- {
			if c := w.callers[i]; e.isDisconnected(c.ctx) {
				cancelled = e.dropCaller(e.callersChecked, id, w, c) || cancelled
			}
		}
	}
	if cancelled {
		e.applyActions(e.callersChecked)
	}
}
