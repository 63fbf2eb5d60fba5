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

// follow asks the same guard what became of a start that got no reply, until it
// says so or the budget is spent. Only the guard's word ends in "not run".
func (t *start) follow(ctx context.Context) task.Outcome {
	pauses := t.g.f.newBackoff()
	var hold time.Duration
	for {
		switch {
		case ctx.Err() != nil:
			return t.stop(ctx, t.g.f.o.Timing.CancelFor, task.CodeCancelled)
		case time.Until(t.lateAt) <= 0:
			return t.expire(ctx)
		case t.g.f.ctx.Err() != nil:
			return t.lost("entry is closing")
		}
		report, err := t.resolve(ctx, hold)
		if err == nil {
			if o, final := t.settle(report); final {
				return o
			}
			// It waits or runs: the guard may hold the next question.
			hold = t.g.f.o.Timing.ResolveWait
			pauses = t.g.f.newBackoff()
		}
		if errors.Is(err, errMismatch) && t.damaged {
			return failure(task.CodeTruncated, task.RanYes, "the result did not arrive whole")
		}
		if t.hopeless(err) {
			return t.lost("guard's address refuses connections")
		}
		t.pause(ctx, &pauses)
	}
}

func (t *start) lost(message string) task.Outcome {
	return failure(task.CodeLost, t.ran, message)
}

// pause waits for the next attempt, but not beyond lateAt.
func (t *start) pause(ctx context.Context, pauses *backoff) {
	d := min(pauses.pause(), time.Until(t.lateAt))
	if d > 0 {
		uptime.Sleep(ctx, d)
	}
}

// hopeless reports whether nothing has listened at the guard's address for a
// while: the process that held the ledger is dead and nobody can answer any more.
func (t *start) hopeless(err error) bool {
	if !refusesConnections(err) {
		t.refusing = time.Time{}
		return false
	}
	if t.g.superseded.Load() {
		return true
	}
	if t.refusing.IsZero() {
		t.refusing = time.Now()
	}
	return time.Since(t.refusing) >= t.g.f.o.Timing.RefusedFor
}

// resolve asks once, over a connection that carries no starts.
func (t *start) resolve(ctx context.Context, hold time.Duration) (*wirev1.TaskReport, error) {
	timing := &t.g.f.o.Timing
	left := time.Until(t.lateAt)
	hold = max(0, min(hold, left-timing.Margin))
	ctx, cancel := context.WithTimeout(ctx, min(left, hold+timing.CallTimeout))
	defer cancel()
	req := &wirev1.ResolveRequest{
		Session:          t.s.id,
		Seq:              t.seq,
		GuardIncarnation: t.g.incarnation,
		LowWatermark:     t.low,
		WaitMs:           uint32(hold.Milliseconds()),
	}
	rescue := t.g.rescueLink()
	sent := monotonic()
	resp, err := rescue.Resolve(ctx, connect.NewRequest(req))
	if err != nil {
		t.g.f.meter.control(kindResolve, req, nil)
		if !errors.Is(ctx.Err(), context.Canceled) {
			t.g.dropRescue(rescue)
		}
		return nil, err
	}
	m := resp.Msg
	t.g.f.meter.control(kindResolve, req, m)
	t.s.answered(sent)
	t.g.loadFromSession(m.GetLoad())
	return t.checked(m.GetSession(), m.GetSeq(), m.GetReport())
}

// expire uses the rest of the budget to bar a task that would be late, so that
// the caller learns whether it ran.
func (t *start) expire(ctx context.Context) task.Outcome {
	return t.stop(ctx, time.Until(t.call.Deadline), task.CodeDeadline)
}

// stop bars the task or has it stopped, and gives the outcome the guard reports.
// The caller's ctx may have ended already.
func (t *start) stop(ctx context.Context, within time.Duration, code task.Code) task.Outcome {
	within = min(within, time.Until(t.call.Deadline))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(within, 0))
	defer cancel()
	defer context.AfterFunc(t.g.f.ctx, cancel)()
	pauses := t.g.f.newBackoff()
	// The main link first: usually it works, and it is open.
	l := t.g.main.Load()
	for ctx.Err() == nil {
		report, err := t.cancel(ctx, l)
		if err == nil {
			if o, final := t.stopped(report, code); final {
				return o
			}
		}
		if t.hopeless(err) {
			break
		}
		l = t.g.rescueLink()
		uptime.Sleep(ctx, pauses.pause())
	}
	return t.unheard(code)
}

// unheard is the outcome when the guard could not be asked to stop the task.
func (t *start) unheard(code task.Code) task.Outcome {
	if code == task.CodeDeadline && t.ran != task.RanYes {
		code = task.CodeLost
	}
	return failure(code, t.ran, "no contact with the guard within the budget")
}

func (t *start) cancel(ctx context.Context, l *link.Link) (*wirev1.TaskReport, error) {
	ctx, cancel := context.WithTimeout(ctx, t.g.f.o.Timing.CallTimeout/2)
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
		t.failed(l)
		return nil, err
	}
	t.g.f.meter.control(kindCancel, req, resp.Msg)
	t.s.answered(sent)
	m := resp.Msg
	t.g.loadFromSession(m.GetLoad())
	return t.checked(m.GetSession(), m.GetSeq(), m.GetReport())
}

// failed takes note of a link that did not answer a cancel.
func (t *start) failed(l *link.Link) {
	if l == t.g.main.Load() {
		t.g.alarm()
		return
	}
	t.g.dropRescue(l)
}

// stopped turns the report after a cancel into the outcome. A task that runs is
// being stopped. It was handed to the runner, which has not answered yet: the
// guard can't tell whether it had begun.
func (t *start) stopped(r *wirev1.TaskReport, code task.Code) (task.Outcome, bool) {
	if r.GetState() == wirev1.TaskState_TASK_STATE_RUNNING {
		return failure(code, t.ran, "stopped while it ran"), true
	}
	o, final := t.settle(r)
	if final && (o.Ran == task.RanNo || o.Code == task.CodeLost) {
		o.Code = code
	}
	return o, final
}
