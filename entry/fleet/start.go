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
	// errMismatch means that a reply belongs to no open start or is corrupt.
	errMismatch = errors.New("reply does not match the start")
)

// start is one open start.
type start struct {
	g            *guard
	s            *session
	call         task.Call
	seq          uint64
	lowWatermark uint64
	// cancelAt is when the remaining budget is needed to cancel the task.
	cancelAt time.Time
	margin   time.Duration
	// ran is what is known so far about whether the task ran; it goes into the outcome
	// if the deadline passes.
	ran task.Ran
	// refusedSince is when the guard's address began to refuse connections.
	refusedSince time.Time
	// corrupt is true once a reply arrived whose result was incomplete or failed its
	// digest check: the task ran, whatever later replies say.
	corrupt bool
}

func (g *guard) start(ctx context.Context, c task.Call) task.Outcome {
	s := g.session.Load()
	if g.needsNewSession(s) {
		s = g.exitIdle(ctx, c.Deadline)
	}
	if s == nil || g.suspect.Load() {
		return failure(task.CodeRefused, task.RanNo, "no session with the guard")
	}
	if !s.leaseValid() && !g.awaitLeaseRenewal(ctx, s, c.Deadline) {
		return failure(task.CodeRefused, task.RanNo, "the session's lease may have lapsed")
	}
	budget := time.Until(c.Deadline)
	t := &start{g: g, s: s, call: c, ran: task.RanUnknown}
	t.margin = min(g.f.opts.Timing.CancelMargin, budget/10)
	t.cancelAt = c.Deadline.Add(-t.margin)
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	t.seq, t.lowWatermark = s.window.Open()
	defer s.window.Close(t.seq)
	if g.session.Load() != s {
		// The session goroutine has given the session up in the meantime; see
		// enterIdle.
		return failure(task.CodeRefused, task.RanNo, "the session has just ended")
	}
	if g.longWait.Load() {
		g.wakeSessionLoop()
	}
	return t.run(ctx)
}

// sessionPollInterval is how often a waiting start checks whether its session was
// renewed.
const sessionPollInterval = 2 * time.Millisecond

// awaitLeaseRenewal waits until the session goroutine has renewed a session whose lease
// may have lapsed. After a pause of this process that applies to every session: if
// their starts were refused immediately, the waiting tasks would use up their retry
// budget within the time of one ping.
func (g *guard) awaitLeaseRenewal(ctx context.Context, s *session, deadline time.Time) bool {
	g.requestPing()
	until := time.Now().Add(g.f.opts.Timing.PingTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	for g.session.Load() == s && time.Now().Before(until) && uptime.Sleep(ctx, sessionPollInterval) {
		if s.leaseValid() {
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
		t.g.requestPing()
		return failure(task.CodeRefused, task.RanNo, err.Error())
	case err == nil:
		if o, final := t.handleReport(report); final {
			return o
		}
	}
	return t.resolveUntilFinal(ctx)
}

// resolveDelayRuns times the expected run time of a task is the least time to wait for
// its reply before querying the guard. Pings detect an unresponsive connection;
// querying earlier for every task that runs for some seconds would only cost messages.
const resolveDelayRuns = 4

// resolveDelay is how long to wait for the reply before querying the guard.
func (t *start) resolveDelay() time.Duration {
	wait := max(t.g.f.opts.Timing.ResolveAfter, resolveDelayRuns*t.call.Assignment.Expected)
	return min(wait, time.Until(t.cancelAt))
}

// send sends the Start once and waits for its reply.
func (t *start) send(ctx context.Context) (*wirev1.TaskReport, error) {
	// A timer instead of a context deadline: connect would transmit a deadline, and the
	// guard would take it for the task's.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(t.resolveDelay(), cancel).Stop()
	var out link.SendTracker
	t.g.f.meter.count(kindStart)
	sent := monotonic()
	resp, err := t.g.primary.Load().Start(link.WithSendTracker(ctx, &out), connect.NewRequest(t.startRequest()))
	if err != nil {
		if out.AbortIfUnsent() {
			return nil, errors.Join(errNotSent, err)
		}
		if ctx.Err() == nil {
			t.g.requestPing()
		}
		return nil, err
	}
	t.g.f.meter.count(kindReply)
	t.s.recordReply(sent)
	m := resp.Msg
	t.g.applySessionLoad(m.GetLoad())
	return t.validateReply(m.GetSession(), m.GetSeq(), m.GetReport())
}

func (t *start) startRequest() *wirev1.StartRequest {
	c := &t.call
	digest := sha256.Sum256(c.Payload)
	return &wirev1.StartRequest{
		Session:          t.s.id,
		Seq:              t.seq,
		GuardIncarnation: t.g.incarnation,
		LowWatermark:     t.lowWatermark,
		Task: &wirev1.Task{
			Submission: c.Submission,
			Index:      uint32(c.Assignment.Task.Index),
			Customer:   c.Client,
			Service:    c.Service,
			Kind:       c.Kind,
			Payload:    c.Payload,
			Digest:     digest[:],
		},
		// Slightly less than the time until cancelAt, so that the guard's own refusal
		// of a task that waited too long arrives before this side cancels it.
		BudgetMs:   uint32(max((time.Until(t.cancelAt) - t.margin/4).Milliseconds(), 1)),
		RunLimitMs: uint32(max(c.RunLimit.Milliseconds(), 0)),
		Urgency:    uint32(max(c.Priority, 0)),
		TasksLeft:  uint32(max(c.Assignment.TasksLeft, 0)),
	}
}

// validateReply rejects a reply that belongs to another start or carries a corrupt
// result.
func (t *start) validateReply(session string, seq uint64, r *wirev1.TaskReport) (*wirev1.TaskReport, error) {
	if session != t.s.id || seq != t.seq {
		t.logDroppedReply("session or number")
		return nil, errMismatch
	}
	if t.isCorrupt(r) {
		t.corrupt = true
		if r.GetResult().GetOk() {
			// The guard received the runner's complete response. If the report has no
			// result, it may describe a call that the guard gave up on.
			t.ran = task.RanYes
		}
		t.logDroppedReply("length or digest")
		return nil, errMismatch
	}
	return r, nil
}

func (t *start) isCorrupt(r *wirev1.TaskReport) bool {
	if r.GetState() != wirev1.TaskState_TASK_STATE_FINISHED {
		return false
	}
	result := r.GetResult()
	return result == nil || (result.GetOk() && !payloadIntact(result))
}

func (t *start) logDroppedReply(what string) {
	t.g.f.meter.repliesDropped.Inc(1)
	eventReplyDropped.Log(t.g.f.ctx, t.g.f.logger, append(t.g.attrs(),
		slog.Uint64("seq", t.seq), slog.String("mismatch", what))...)
}

// handleReport converts a report into the outcome, and marks the session as lost if the
// guard no longer knows it or the incarnation is gone.
func (t *start) handleReport(r *wirev1.TaskReport) (task.Outcome, bool) {
	switch r.GetState() {
	case wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION, wirev1.TaskState_TASK_STATE_WRONG_INCARNATION:
		t.s.markLost()
	}
	o, final := reportOutcome(r)
	if final && o.Ran != task.RanYes && t.ran == task.RanYes {
		// A result has arrived before, so a later report can't deny that the task ran.
		o = failure(task.CodeLost, task.RanYes, o.Message)
	}
	return o, final
}
