package server

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"strconv"
	"sync/atomic"
	"time"

	"almondstand.dev/guard/ledger"
	"almondstand.dev/guard/registration"
	"almondstand.dev/guard/runner"
	"almondstand.dev/guard/slots"
	wirev1 "almondstand.dev/wire/wirev1"
)

// job is an admitted start that is waiting for the runner or running on it.
type job struct {
	task *ledger.Task
	// spec is cleared once the job has run, since the ledger keeps the task for
	// longer.
	spec        *wirev1.Task
	runLimit    time.Duration
	arrived     time.Time
	deadline    time.Time
	budgetTimer atomic.Pointer[time.Timer]
}

type ticket = slots.Ticket[*job]

// newJob builds the ticket of a start before the ledger admits the task.
func (s *Server) newJob(now time.Time, m *wirev1.StartRequest) *ticket {
	runLimit := time.Duration(m.GetRunLimitMs()) * time.Millisecond
	if runLimit <= 0 || runLimit > s.opts.MaxRunLimit {
		runLimit = s.opts.MaxRunLimit
	}
	return &ticket{
		Owner:     m.GetSession(),
		Priority:  m.GetUrgency(),
		TasksLeft: m.GetTasksLeft(),
		Value: &job{
			spec:     m.GetTask(),
			runLimit: runLimit,
			arrived:  now,
			deadline: now.Add(startBudget(m)),
		},
	}
}

func startBudget(m *wirev1.StartRequest) time.Duration {
	return time.Duration(m.GetBudgetMs()) * time.Millisecond
}

// schedule assigns an admitted job to a slot, queues it or refuses it. Every
// refusal is recorded in the ledger, so that a duplicate of the start that
// arrives later is refused too.
func (s *Server) schedule(k *ticket) {
	j := k.Value
	if reason := s.permanentRefusal(j); reason != wirev1.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		s.refuse(k, reason)
		return
	}
	j.budgetTimer.Store(time.AfterFunc(j.deadline.Sub(j.arrived), func() {
		s.refuse(k, wirev1.RefusalReason_REFUSAL_REASON_BUDGET_SPENT)
	}))
	switch s.table.Enqueue(k) {
	case slots.Granted:
		go s.runSlot(k)
	case slots.Queued:
		s.removeIfEnded(k)
	case slots.Full:
		s.refuse(k, wirev1.RefusalReason_REFUSAL_REASON_QUEUE_FULL)
	case slots.Draining:
		s.refuse(k, wirev1.RefusalReason_REFUSAL_REASON_LEAVING)
	case slots.NoRunner:
		s.refuse(k, wirev1.RefusalReason_REFUSAL_REASON_RUNNER_ABSENT)
	}
}

// permanentRefusal returns the reason why a job can't run on this guard at any
// load, or UNSPECIFIED if there is none.
func (s *Server) permanentRefusal(j *job) wirev1.RefusalReason {
	if !j.deadline.After(j.arrived) {
		return wirev1.RefusalReason_REFUSAL_REASON_BUDGET_SPENT
	}
	sum := sha256.Sum256(j.spec.GetPayload())
	if subtle.ConstantTimeCompare(sum[:], j.spec.GetDigest()) != 1 {
		return wirev1.RefusalReason_REFUSAL_REASON_DIGEST_MISMATCH
	}
	r := s.opts.Runners.Current(s.opts.Now())
	if r != nil && r.Service != j.spec.GetService() {
		return wirev1.RefusalReason_REFUSAL_REASON_WRONG_SERVICE
	}
	return wirev1.RefusalReason_REFUSAL_REASON_UNSPECIFIED
}

// refuse ends a job that has not started to run. It has no effect on a job that
// has.
func (s *Server) refuse(k *ticket, reason wirev1.RefusalReason) {
	if s.opts.Ledger.Reject(k.Value.task, reason) {
		s.metrics.countRefusal(reason)
	}
	s.removeIfEnded(k)
}

// removeIfEnded removes a job that has ended from the queue: it may be cancelled
// after its admission and before it is queued.
func (s *Server) removeIfEnded(k *ticket) {
	select {
	case <-k.Value.task.Done():
		s.table.Remove(k)
		k.Value.stopBudgetTimer()
	default:
	}
}

func (j *job) stopBudgetTimer() {
	if t := j.budgetTimer.Load(); t != nil {
		t.Stop()
	}
}

// runSlot runs jobs on one slot until the queue is empty. It releases the slot
// before it records the end of the task, so that the load in the reply is up to
// date.
func (s *Server) runSlot(k *ticket) {
	s.slotGoroutines.Add(1)
	defer s.slotGoroutines.Add(-1)
	for k != nil {
		end := s.runJob(k)
		next := s.table.Release(k)
		end()
		k = next
	}
}

// runJob calls the runner for one job and returns the function that records its
// end.
func (s *Server) runJob(k *ticket) (end func()) {
	j := k.Value
	j.stopBudgetTimer()
	now := s.opts.Now()
	// After the process was suspended its timers fire late, so the deadline is
	// checked against the clock.
	if now.After(j.deadline) {
		return func() { s.refuse(k, wirev1.RefusalReason_REFUSAL_REASON_BUDGET_SPENT) }
	}
	r := s.opts.Runners.Current(now)
	if r == nil {
		return func() { s.refuse(k, wirev1.RefusalReason_REFUSAL_REASON_RUNNER_ABSENT) }
	}
	if r.Service != j.spec.GetService() {
		return func() { s.refuse(k, wirev1.RefusalReason_REFUSAL_REASON_WRONG_SERVICE) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !s.opts.Ledger.Begin(now, j.task, cancel) {
		return func() {}
	}
	s.metrics.starts.Inc(1)
	call := callRecord{submission: j.spec.GetSubmission(), client: j.spec.GetCustomer(), call: s.calls.begin()}
	out := r.Client.Run(ctx, request(j))
	s.calls.end(call, out.Verdict)
	wait := now.Sub(j.arrived)
	j.spec = nil
	return func() { s.recordEnd(j, r, out, wait) }
}

func request(j *job) runner.Request {
	return runner.Request{
		Task:     j.spec.GetSubmission() + "/" + strconv.FormatUint(uint64(j.spec.GetIndex()), 10),
		Kind:     j.spec.GetKind(),
		Client:   j.spec.GetCustomer(),
		Payload:  j.spec.GetPayload(),
		Digest:   j.spec.GetDigest(),
		RunLimit: j.runLimit,
	}
}

// recordEnd records the outcome of a call in the ledger.
func (s *Server) recordEnd(j *job, r *registration.Runner, out runner.Outcome, wait time.Duration) {
	switch out.Verdict {
	case runner.Rejected, runner.NoConnection:
		s.reportNotStarted(j, wirev1.RefusalReason_REFUSAL_REASON_RUNNER_REFUSED)
	case runner.Unreachable:
		s.runnerUnreachable(r, out.Message)
		s.reportNotStarted(j, wirev1.RefusalReason_REFUSAL_REASON_RUNNER_ABSENT)
	case runner.CancelledBeforeSend:
		s.reportNotStarted(j, wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	default:
		s.metrics.countEnd(out.Verdict)
		s.opts.Ledger.Finish(j.task, result(out, wait))
	}
}

func (s *Server) reportNotStarted(j *job, reason wirev1.RefusalReason) {
	if s.opts.Ledger.MarkNotStarted(j.task, reason) {
		s.metrics.countRefusal(reason)
	}
}

func result(out runner.Outcome, wait time.Duration) *wirev1.Result {
	res := &wirev1.Result{
		Ok:      out.Verdict == runner.Completed,
		Failure: failure(out.Verdict),
		Message: out.Message,
		RunUs:   uint64(max(out.Elapsed.Microseconds(), 0)),
		WaitUs:  uint64(max(wait.Microseconds(), 0)),
	}
	if res.Ok {
		res.Payload = out.Payload
		res.Length = uint64(len(out.Payload))
		res.Digest = out.Digest
	}
	return res
}

func failure(v runner.Verdict) wirev1.FailureCode {
	switch v {
	case runner.Completed:
		return wirev1.FailureCode_FAILURE_CODE_UNSPECIFIED
	case runner.Failed:
		return wirev1.FailureCode_FAILURE_CODE_RUNNER_ERROR
	case runner.Truncated:
		return wirev1.FailureCode_FAILURE_CODE_TRUNCATED
	case runner.RunLimit:
		return wirev1.FailureCode_FAILURE_CODE_RUN_LIMIT
	case runner.Cancelled:
		return wirev1.FailureCode_FAILURE_CODE_CANCELLED
	default:
		return wirev1.FailureCode_FAILURE_CODE_RUNNER_LOST
	}
}
