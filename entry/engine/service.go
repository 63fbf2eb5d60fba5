package engine

import (
	"bytes"
	"context"
	"crypto/sha256"
	"log/slog"
	"sync"
	"time"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/task"
)

// service runs the jobs of one service. Its lock guards the policy and every job; no blocking
// call is made while it is held.
type service struct {
	engine *Engine
	name   string

	mu     sync.Mutex
	policy scheduler.Policy
	jobs   map[scheduler.JobID]*job
	timer  *time.Timer
	// timerAt is when the timer fires; zero if it is not set.
	timerAt    time.Time
	stopped    bool
	rejections rejections
	// endedJobs holds jobs whose OnEnd is called once the lock is released.
	endedJobs []*job
}

func newService(e *Engine, name string) *service {
	return &service{
		engine: e,
		name:   name,
		policy: e.opts.NewPolicy(name),
		jobs:   map[scheduler.JobID]*job{},
	}
}

// unlock releases the lock and then reports the jobs that ended while it was held, because OnEnd
// may call back into the engine.
func (s *service) unlock() {
	ended := s.endedJobs
	s.endedJobs = nil
	s.mu.Unlock()
	for _, j := range ended {
		s.engine.jobEnded(j)
	}
}

func (s *service) now() time.Time { return s.engine.opts.Now() }

// admit queues a job, or rejects it as a whole.
func (s *service) admit(j *job) error {
	s.mu.Lock()
	defer s.unlock()
	if s.jobs[j.id] != nil {
		return &scheduler.AdmissionError{Err: scheduler.ErrDuplicateJob, RetryAfter: s.engine.opts.DrainRetry}
	}
	if err := s.policy.Admit(j.accepted, j.schedulerJob()); err != nil {
		s.logRejection(j, err)
		return err
	}
	s.jobs[j.id] = j
	s.dispatch(j.accepted)
	return nil
}

// cancel answers a job as cancelled, unless it is already answered.
func (s *service) cancel(j *job) {
	s.mu.Lock()
	defer s.unlock()
	s.failJob(j, task.CodeCancelled, "cancelled by the caller")
	s.dispatch(s.now())
}

// update changes the policy's state and starts the tasks that can start as a result.
func (s *service) update(change func(scheduler.Policy, time.Time)) {
	s.mu.Lock()
	defer s.unlock()
	now := s.now()
	change(s.policy, now)
	s.dispatch(now)
}

func (s *service) backlog() scheduler.QueueStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Stats()
}

// tick answers the jobs whose answer time has passed.
func (s *service) tick() {
	s.mu.Lock()
	defer s.unlock()
	if s.stopped {
		return
	}
	s.timerAt = time.Time{}
	now := s.now()
	for _, id := range s.policy.Expired(now) {
		if j := s.jobs[id]; j != nil {
			s.failJob(j, task.CodeDeadline, "the answer time of the contract passed")
		}
	}
	s.dispatch(now)
}

// dispatch starts every task that can start now. The caller holds the lock.
func (s *service) dispatch(now time.Time) {
	for {
		a, ok := s.policy.Next(now)
		if !ok {
			break
		}
		j := s.jobs[a.Task.Job]
		if j == nil || !j.start(a.Task.Index) {
			// The policy assigned a task that is not pending. Starting it could run
			// the task twice, so the assignment ends here.
			s.policy.Done(now, a, scheduler.Result{Outcome: scheduler.Cancelled})
			eventBadAssignment.Log(context.Background(), s.engine.opts.Logger,
				slog.String("service", s.name), slog.String("job", string(a.Task.Job)), slog.Int("task", a.Task.Index))
			continue
		}
		go s.run(j, a)
	}
	s.armTimer(now)
}

// armTimer sets the timer for the next time at which the policy must run without an event. A
// timer that fires too early only causes an extra check, so the timer is moved to an earlier time
// but never to a later one.
func (s *service) armTimer(now time.Time) {
	nextWake := s.policy.NextWakeup(now)
	if s.stopped || nextWake.IsZero() {
		return
	}
	if !s.timerAt.IsZero() && !nextWake.Before(s.timerAt) {
		return
	}
	s.timerAt = nextWake
	wait := max(nextWake.Sub(now), minTimerDelay)
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.tick)
		return
	}
	s.timer.Reset(wait)
}

// minTimerDelay prevents a busy loop with a policy that always requests the current time.
const minTimerDelay = time.Millisecond

func (s *service) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// run starts one assignment and processes its outcome.
func (s *service) run(j *job, a scheduler.Assignment) {
	if j.ctx.Err() != nil { // cancelled or failed since the decision
		s.handleOutcome(j, a, task.Outcome{Code: task.CodeCancelled, Ran: task.RanNo})
		return
	}
	startedAt := s.now()
	outcome := s.validate(j, a, s.engine.opts.Starter.Start(j.ctx, j.newCall(a)))
	took := s.now().Sub(startedAt)
	s.engine.metrics.startEnded(outcome, a.DecidedAt.Sub(j.accepted), took)
	s.handleOutcome(j, a, outcome)
}

// validate enforces the guarantees of an outcome: a payload that does not match its digest was
// truncated or corrupted in transit and must not reach the caller as an answer; an outcome that
// does not say whether the task ran counts as unknown.
func (s *service) validate(j *job, a scheduler.Assignment, o task.Outcome) task.Outcome {
	if !o.OK() {
		if o.Ran != task.RanNo && o.Ran != task.RanYes {
			o.Ran = task.RanUnknown
		}
		o.Payload, o.Digest = nil, nil
		return o
	}
	digest := sha256.Sum256(o.Payload)
	if bytes.Equal(digest[:], o.Digest) {
		o.Ran = task.RanYes
		return o
	}
	eventBadDigest.Log(context.Background(), s.engine.opts.Logger, slog.String("service", s.name),
		slog.String("job", string(j.id)), slog.Int("task", a.Task.Index), slog.String("endpoint", string(a.Endpoint)))
	return task.Outcome{
		Code:    task.CodeTruncated,
		Message: "the answer does not match its digest",
		Ran:     task.RanYes,
		RunTime: o.RunTime,
	}
}

// handleOutcome records an outcome and starts the tasks that can start as a result.
func (s *service) handleOutcome(j *job, a scheduler.Assignment, o task.Outcome) {
	s.mu.Lock()
	defer s.unlock()
	now := s.now()
	requeued := s.policy.Done(now, a, scheduler.Result{Outcome: outcomeOf(j, o), RunTime: o.RunTime})
	s.recordOutcome(j, a.Task.Index, o, requeued)
	s.dispatch(now)
}

func (s *service) recordOutcome(j *job, index int, o task.Outcome, requeued bool) {
	if requeued && j.requeue(index, o.Ran) {
		return
	}
	j.finish(index, o)
	if j.answer != nil {
		s.reportEnd(j)
		return
	}
	if !o.OK() {
		s.failJob(j, o.Code, o.Message)
		return
	}
	if j.remaining == 0 {
		s.answerJob(j, "", "")
	}
}

// failJob answers a job at once: its pending tasks are dropped and did not run; its running tasks
// are cancelled in the background and may have run. Waiting for the cancellations would give the
// caller a more precise answer, but later. The caller holds the lock.
func (s *service) failJob(j *job, code task.Code, message string) {
	if j.answer != nil {
		return
	}
	s.policy.Drop(j.id)
	j.resolveUnfinished(code)
	s.answerJob(j, code, message)
	j.cancel()
}

func (s *service) answerJob(j *job, code task.Code, message string) {
	delete(s.jobs, j.id)
	j.answer = &Answer{Code: code, Message: message, Outcomes: j.outcomes}
	close(j.answered)
	s.reportEnd(j)
}

// reportEnd schedules the OnEnd call of an answered job once none of its tasks is running.
func (s *service) reportEnd(j *job) {
	if j.inFlight > 0 {
		return
	}
	j.cancel() // releases the context's resources
	s.endedJobs = append(s.endedJobs, j)
}

// jobEnded is called once for each accepted job, when none of its tasks is running any more.
func (e *Engine) jobEnded(j *job) {
	if j.OnEnd != nil {
		j.OnEnd()
	}
	e.open.done()
}

// outcomeOf translates an outcome for the scheduler. A task of a cancelled or failed job says
// nothing about the endpoint.
func outcomeOf(j *job, o task.Outcome) scheduler.Outcome {
	switch {
	case o.OK():
		return scheduler.Completed
	case o.Code == task.CodeCancelled, o.Code == task.CodeDeadline, j.ctx.Err() != nil:
		return scheduler.Cancelled
	case o.Ran == task.RanNo:
		return scheduler.Rejected
	case o.Ran == task.RanYes, o.Code == task.CodeRunLimit:
		// A task that exceeded its run limit would mostly exceed it on any endpoint, so it is
		// retried less often than one whose endpoint was lost.
		return scheduler.Failed
	}
	return scheduler.Lost
}
