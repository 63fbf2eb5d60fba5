package fleet

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/entry/fleet/link"
	"almondstand.dev/entry/task"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

// resolveUntilFinal queries the same guard for the state of a start that got no reply,
// until the state is final or the budget is spent. Only the guard's response can lead
// to "not run".
func (t *start) resolveUntilFinal(ctx context.Context) task.Outcome {
	retry := t.g.f.newBackoff()
	var hold time.Duration
	for {
		switch {
		case ctx.Err() != nil:
			return t.cancelWithRetry(ctx, t.g.f.opts.Timing.CancelTimeout, task.CodeCancelled)
		case time.Until(t.cancelAt) <= 0:
			return t.cancelAtDeadline(ctx)
		case t.g.f.ctx.Err() != nil:
			return t.lostOutcome("entry is closing")
		}
		report, err := t.resolveOnce(ctx, hold)
		if err == nil {
			if o, final := t.handleReport(report); final {
				return o
			}
			// The task waits or runs, so the guard may delay its response to the next
			// query.
			hold = t.g.f.opts.Timing.ResolveWait
			retry = t.g.f.newBackoff()
		}
		if errors.Is(err, errMismatch) && t.corrupt {
			return failure(task.CodeTruncated, task.RanYes, "the result did not arrive whole")
		}
		if t.guardGone(err) {
			return t.lostOutcome("guard's address refuses connections")
		}
		t.waitRetry(ctx, &retry)
	}
}

func (t *start) lostOutcome(message string) task.Outcome {
	return failure(task.CodeLost, t.ran, message)
}

// waitRetry waits until the next attempt, but not beyond cancelAt.
func (t *start) waitRetry(ctx context.Context, retry *backoff) {
	d := min(retry.nextDelay(), time.Until(t.cancelAt))
	if d > 0 {
		uptime.Sleep(ctx, d)
	}
}

// guardGone reports whether nothing has listened at the guard's address for some time:
// the process that held the ledger is dead, so nobody can answer any more.
func (t *start) guardGone(err error) bool {
	if !isConnRefused(err) {
		t.refusedSince = time.Time{}
		return false
	}
	if t.g.superseded.Load() {
		return true
	}
	if t.refusedSince.IsZero() {
		t.refusedSince = time.Now()
	}
	return time.Since(t.refusedSince) >= t.g.f.opts.Timing.RefusedTimeout
}

// resolveOnce sends one Resolve over a connection that carries no starts.
func (t *start) resolveOnce(ctx context.Context, hold time.Duration) (*wirev1.TaskReport, error) {
	timing := &t.g.f.opts.Timing
	left := time.Until(t.cancelAt)
	hold = max(0, min(hold, left-timing.CancelMargin))
	ctx, cancel := context.WithTimeout(ctx, min(left, hold+timing.CallTimeout))
	defer cancel()
	req := &wirev1.ResolveRequest{
		Session:          t.s.id,
		Seq:              t.seq,
		GuardIncarnation: t.g.incarnation,
		LowWatermark:     t.lowWatermark,
		WaitMs:           uint32(hold.Milliseconds()),
	}
	fallback := t.g.fallbackLink()
	sent := monotonic()
	resp, err := fallback.Resolve(ctx, connect.NewRequest(req))
	if err != nil {
		t.g.f.meter.control(kindResolve, req, nil)
		if !errors.Is(ctx.Err(), context.Canceled) {
			t.g.discardFallback(fallback)
		}
		return nil, err
	}
	m := resp.Msg
	t.g.f.meter.control(kindResolve, req, m)
	t.s.recordReply(sent)
	t.g.applySessionLoad(m.GetLoad())
	return t.validateReply(m.GetSession(), m.GetSeq(), m.GetReport())
}

// cancelAtDeadline uses the remaining budget to cancel a task that would be late, so
// that the caller learns whether it ran.
func (t *start) cancelAtDeadline(ctx context.Context) task.Outcome {
	return t.cancelWithRetry(ctx, time.Until(t.call.Deadline), task.CodeDeadline)
}

// cancelWithRetry prevents the task from starting or has it stopped, and returns the
// outcome that the guard reports. The caller's ctx may have ended already.
func (t *start) cancelWithRetry(ctx context.Context, within time.Duration, code task.Code) task.Outcome {
	within = min(within, time.Until(t.call.Deadline))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(within, 0))
	defer cancel()
	defer context.AfterFunc(t.g.f.ctx, cancel)()
	retry := t.g.f.newBackoff()
	// Try the primary link first: it usually works and is already connected.
	l := t.g.primary.Load()
	for ctx.Err() == nil {
		report, err := t.cancelOnce(ctx, l)
		if err == nil {
			if o, final := t.cancelOutcome(report, code); final {
				return o
			}
		}
		if t.guardGone(err) {
			break
		}
		l = t.g.fallbackLink()
		uptime.Sleep(ctx, retry.nextDelay())
	}
	return t.noContactOutcome(code)
}

// noContactOutcome is the outcome if the guard could not be asked to stop the task.
func (t *start) noContactOutcome(code task.Code) task.Outcome {
	if code == task.CodeDeadline && t.ran != task.RanYes {
		code = task.CodeLost
	}
	return failure(code, t.ran, "no contact with the guard within the budget")
}

func (t *start) cancelOnce(ctx context.Context, l *link.Link) (*wirev1.TaskReport, error) {
	ctx, cancel := context.WithTimeout(ctx, t.g.f.opts.Timing.CallTimeout/2)
	defer cancel()
	req := &wirev1.CancelRequest{
		Session:          t.s.id,
		Seq:              t.seq,
		GuardIncarnation: t.g.incarnation,
	}
	sent := monotonic()
	resp, err := l.Cancel(ctx, connect.NewRequest(req))
	if err != nil {
		t.g.f.meter.control(kindCancel, req, nil)
		t.linkFailed(l)
		return nil, err
	}
	t.g.f.meter.control(kindCancel, req, resp.Msg)
	t.s.recordReply(sent)
	m := resp.Msg
	t.g.applySessionLoad(m.GetLoad())
	return t.validateReply(m.GetSession(), m.GetSeq(), m.GetReport())
}

// linkFailed handles a link on which a Cancel got no response.
func (t *start) linkFailed(l *link.Link) {
	if l == t.g.primary.Load() {
		t.g.requestPing()
		return
	}
	t.g.discardFallback(l)
}

// cancelOutcome converts the report of a Cancel into the outcome. A running task is
// being stopped: it was handed to the runner, which has not answered yet, so the guard
// can't tell whether execution had started.
func (t *start) cancelOutcome(r *wirev1.TaskReport, code task.Code) (task.Outcome, bool) {
	if r.GetState() == wirev1.TaskState_TASK_STATE_RUNNING {
		return failure(code, t.ran, "stopped while it ran"), true
	}
	o, final := t.handleReport(r)
	if final && (o.Ran == task.RanNo || o.Code == task.CodeLost) {
		o.Code = code
	}
	return o, final
}
