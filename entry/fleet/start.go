package fleet

import (
	"context"
	"crypto/sha256"
	"errors"
	"log/slog"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/entry/fleet/link"
	"almondstand.dev/entry/task"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

// Errors of one exchange with a guard.
var (
	// errNotSent means that no byte of the Start left this process.
	errNotSent = errors.New("start was not sent")
	// errMismatch means that a reply belongs to no open start or is damaged.
	errMismatch = errors.New("reply does not match the start")
)

// start is one open start.
type start struct {
	g    *guard
	s    *session
	call task.Call
	seq  uint64
	low  uint64
	// lateAt is when the rest of the budget is needed to bar the task.
	lateAt time.Time
	margin time.Duration
	// ran is what is known so far, for the outcome at the deadline.
	ran task.Ran
	// refusing is when the guard's address began to refuse connections.
	refusing time.Time
	// damaged is true when a reply reached this entry with a result that is not
	// whole: the task ran, whatever else is learnt.
	damaged bool
}

func (g *guard) start(ctx context.Context, c task.Call) task.Outcome {
	s := g.session.Load()
	if g.asleep(s) {
		s = g.awaken(ctx, c.Deadline)
	}
	if s == nil || g.suspect.Load() {
		return failure(task.CodeRefused, task.RanNo, "no session with the guard")
	}
	if !s.fresh() && !g.refresh(ctx, s, c.Deadline) {
		return failure(task.CodeRefused, task.RanNo, "the session's lease may have lapsed")
	}
	budget := time.Until(c.Deadline)
	t := &start{g: g, s: s, call: c, ran: task.RanUnknown}
	t.margin = min(g.f.o.Timing.Margin, budget/10)
	t.lateAt = c.Deadline.Add(-t.margin)
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	t.seq, t.low = s.window.Open()
	defer s.window.Close(t.seq)
	if g.session.Load() != s {
		// The keeper has given the session up since; see rested.
		return failure(task.CodeRefused, task.RanNo, "the session has just ended")
	}
	if g.dozing.Load() {
		g.nudge()
	}
	return t.run(ctx)
}

// refreshTick is how often a start looks whether a doubtful session was renewed.
const refreshTick = 2 * time.Millisecond

// refresh waits until the keeper has renewed a session whose lease is in doubt.
// After a pause of this process that is every session: refused at once, the
// waiting tasks would burn the retry budget within the time of one ping.
func (g *guard) refresh(ctx context.Context, s *session, deadline time.Time) bool {
	g.alarm()
	until := time.Now().Add(g.f.o.Timing.PingTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	for g.session.Load() == s && time.Now().Before(until) && uptime.Sleep(ctx, refreshTick) {
		if s.fresh() {
			return true
		}
	}
	return false
}

func (t *start) run(ctx context.Context) task.Outcome {
	report, err := t.send(ctx)
	switch {
	case errors.Is(err, errNotSent) && ctx.Err() != nil:
		return failure(task.CodeCancelled, task.RanNo, "cancelled before it was sent")
	case errors.Is(err, errNotSent):
		t.g.alarm()
		return failure(task.CodeRefused, task.RanNo, err.Error())
	case err == nil:
		if o, final := t.settle(report); final {
			return o
		}
	}
	return t.follow(ctx)
}

// patienceRuns is how many times its expected run time a task is waited for at
// least. A silent connection is found by pings; to ask sooner after each task
// that runs for some seconds would only cost messages.
const patienceRuns = 4

// patience is how long the reply is waited for before the guard is asked.
func (t *start) patience() time.Duration {
	wait := max(t.g.f.o.Timing.Patience, patienceRuns*t.call.Assignment.Expected)
	return min(wait, time.Until(t.lateAt))
}

// send sends the Start once and waits for its reply.
func (t *start) send(ctx context.Context) (*wirev1.TaskReport, error) {
	// A timer in place of a deadline: connect would send a deadline along, and the
	// guard would take it for the task's.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(t.patience(), cancel).Stop()
	var out link.Sent
	t.g.f.meter.count(kindStart)
	sent := monotonic()
	resp, err := t.g.main.Load().Start(link.Follow(ctx, &out), connect.NewRequest(t.request()))
	if err != nil {
		if out.Seal() {
			return nil, errors.Join(errNotSent, err)
		}
		if ctx.Err() == nil {
			t.g.alarm()
		}
		return nil, err
	}
	t.g.f.meter.count(kindReply)
	t.s.answered(sent)
	m := resp.Msg
	t.g.loadFromSession(m.GetLoad())
	return t.checked(m.GetSession(), m.GetSeq(), m.GetReport())
}

func (t *start) request() *wirev1.StartRequest {
	c := &t.call
	digest := sha256.Sum256(c.Payload)
	return &wirev1.StartRequest{
		Session:          t.s.id,
		Seq:              t.seq,
		GuardIncarnation: t.g.incarnation,
		LowWatermark:     t.low,
		Task: &wirev1.Task{
			Submission: c.Submission,
			Index:      uint32(c.Assignment.Task.Index),
			Customer:   c.Customer,
			Service:    c.Service,
			Kind:       c.Kind,
			Payload:    c.Payload,
			Digest:     digest[:],
		},
		// A little less, so that the guard's own refusal of a task that waited too
		// long arrives before this side asks.
		BudgetMs:   uint32(max((time.Until(t.lateAt) - t.margin/4).Milliseconds(), 1)),
		RunLimitMs: uint32(max(c.RunLimit.Milliseconds(), 0)),
		Urgency:    uint32(max(c.Urgency, 0)),
		TasksLeft:  uint32(max(c.Assignment.TasksLeft, 0)),
	}
}

// checked drops a reply that belongs to another start or whose result is damaged.
func (t *start) checked(session string, seq uint64, r *wirev1.TaskReport) (*wirev1.TaskReport, error) {
	if session != t.s.id || seq != t.seq {
		t.dropped("session or number")
		return nil, errMismatch
	}
	if t.isDamaged(r) {
		t.damaged = true
		if r.GetResult().GetOk() {
			// The guard had the runner's whole answer. Without a result in it the
			// report may be of a call that the guard gave up on.
			t.ran = task.RanYes
		}
		t.dropped("length or digest")
		return nil, errMismatch
	}
	return r, nil
}

func (t *start) isDamaged(r *wirev1.TaskReport) bool {
	if r.GetState() != wirev1.TaskState_TASK_STATE_FINISHED {
		return false
	}
	result := r.GetResult()
	return result == nil || (result.GetOk() && !whole(result))
}

func (t *start) dropped(what string) {
	t.g.f.meter.dropped.Inc(1)
	eventReplyDropped.Log(t.g.f.ctx, t.g.f.logger, append(t.g.attrs(),
		slog.Uint64("seq", t.seq), slog.String("mismatch", what))...)
}

// settle turns a report into the outcome and tells the keeper when the session
// or the incarnation is gone.
func (t *start) settle(r *wirev1.TaskReport) (task.Outcome, bool) {
	switch r.GetState() {
	case wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION, wirev1.TaskState_TASK_STATE_WRONG_INCARNATION:
		t.s.lose()
	}
	o, final := settled(r)
	if final && o.Ran != task.RanYes && t.ran == task.RanYes {
		// A result was there before: no later word takes that back.
		o = failure(task.CodeLost, task.RanYes, o.Message)
	}
	return o, final
}
