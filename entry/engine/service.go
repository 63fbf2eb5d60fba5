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

// service runs the jobs of one service. Its lock guards the decider and every
// job in it; nothing that blocks happens under it.
type service struct {
	engine *Engine
	name   string

	mu      sync.Mutex
	decider scheduler.Decider
	jobs    map[scheduler.JobID]*job
	timer   *time.Timer
	// armed is when the timer fires; zero when it is not set.
	armed      time.Time
	stopped    bool
	rejections rejections
	// ended holds jobs whose end is reported once the lock is released.
	ended []*job
}

func newService(e *Engine, name string) *service {
	return &service{
		engine:  e,
		name:    name,
		decider: e.opts.NewDecider(name),
		jobs:    map[scheduler.JobID]*job{},
	}
}

// unlock releases the lock and reports the jobs that ended under it: their
// owners' code may call back.
func (s *service) unlock() {
	ended := s.ended
	s.ended = nil
	s.mu.Unlock()
	for _, j := range ended {
		s.engine.end(j)
	}
}

func (s *service) now() time.Time { return s.engine.opts.Now() }

// admit queues a job, or refuses it whole.
func (s *service) admit(j *job) error {
	s.mu.Lock()
	defer s.unlock()
	if s.jobs[j.id] != nil {
		return &scheduler.Refusal{Err: scheduler.ErrDuplicateJob, RetryAfter: s.engine.opts.DrainRetry}
	}
	if err := s.decider.Admit(j.accepted, j.forScheduler()); err != nil {
		s.logRejection(j, err)
		return err
	}
	s.jobs[j.id] = j
	s.dispatch(j.accepted)
	return nil
}

// cancel answers a job as cancelled, unless it was answered before.
func (s *service) cancel(j *job) {
	s.mu.Lock()
	defer s.unlock()
	s.fail(j, task.CodeCancelled, "cancelled by the caller")
	s.dispatch(s.now())
}

// update changes the decider and starts what can start since.
func (s *service) update(change func(scheduler.Decider, time.Time)) {
	s.mu.Lock()
	defer s.unlock()
	now := s.now()
	change(s.decider, now)
	s.dispatch(now)
}

func (s *service) backlog() scheduler.Backlog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decider.Backlog()
}

// tick answers the jobs whose answer time has passed.
func (s *service) tick() {
	s.mu.Lock()
	defer s.unlock()
	if s.stopped {
		return
	}
	s.armed = time.Time{}
	now := s.now()
	for _, id := range s.decider.Expired(now) {
		if j := s.jobs[id]; j != nil {
			s.fail(j, task.CodeDeadline, "the answer time of the contract passed")
		}
	}
	s.dispatch(now)
}

// dispatch starts every task that can start now. Called with the lock held.
func (s *service) dispatch(now time.Time) {
	for {
		a, ok := s.decider.Next(now)
		if !ok {
			break
		}
		j := s.jobs[a.Task.Job]
		if j == nil || !j.start(a.Task.Index) {
			// The decider named a task that does not wait. Starting it could run
			// a task twice, so the assignment ends here.
			s.decider.Done(now, a, scheduler.Result{Verdict: scheduler.Cancelled})
			eventBadAssignment.Log(context.Background(), s.engine.opts.Logger,
				slog.String("service", s.name), slog.String("job", string(a.Task.Job)), slog.Int("task", a.Task.Index))
			continue
		}
		go s.run(j, a)
	}
	s.arm(now)
}

// arm sets the timer for the next moment at which time alone matters. A timer
// that fires too early only looks again, so it is moved forward but never back.
func (s *service) arm(now time.Time) {
	wake := s.decider.Wake(now)
	if s.stopped || wake.IsZero() {
		return
	}
	if !s.armed.IsZero() && !wake.Before(s.armed) {
		return
	}
	s.armed = wake
	wait := max(wake.Sub(now), minWake)
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.tick)
		return
	}
	s.timer.Reset(wait)
}

// minWake keeps a decider that always asks for "now" from a busy loop.
const minWake = time.Millisecond

func (s *service) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// run starts one assignment and takes its outcome.
func (s *service) run(j *job, a scheduler.Assignment) {
	if j.ctx.Err() != nil { // given up since the decision
		s.take(j, a, task.Outcome{Code: task.CodeCancelled, Ran: task.RanNo})
		return
	}
	began := s.now()
	outcome := s.check(j, a, s.engine.opts.Starter.Start(j.ctx, j.call(a)))
	took := s.now().Sub(began)
	s.engine.metrics.started(outcome, a.At.Sub(j.accepted), took)
	s.take(j, a, outcome)
}

// check holds an outcome to its promises: a payload that does not match its
// digest was cut or mixed up on the way and must not reach the caller as an
// answer; an outcome that does not say whether it ran counts as unknown.
func (s *service) check(j *job, a scheduler.Assignment, o task.Outcome) task.Outcome {
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

// take records an outcome, and starts what can start since.
func (s *service) take(j *job, a scheduler.Assignment, o task.Outcome) {
	s.mu.Lock()
	defer s.unlock()
	now := s.now()
	requeued := s.decider.Done(now, a, scheduler.Result{Verdict: verdict(j, o), RunTime: o.RunTime})
	s.record(j, a.Task.Index, o, requeued)
	s.dispatch(now)
}

func (s *service) record(j *job, index int, o task.Outcome, requeued bool) {
	if requeued && j.requeue(index, o.Ran) {
		return
	}
	j.finish(index, o)
	if j.answer != nil {
		s.settle(j)
		return
	}
	if !o.OK() {
		s.fail(j, o.Code, o.Message)
		return
	}
	if j.left == 0 {
		s.answer(j, "", "")
	}
}

// fail answers a job at once: its waiting tasks are dropped and did not run,
// its running ones are cancelled in the background and may have run. Waiting
// for the cancels would tell the caller more, and later. Called with the lock
// held.
func (s *service) fail(j *job, code task.Code, message string) {
	if j.answer != nil {
		return
	}
	s.decider.Drop(j.id)
	j.abandon(code)
	s.answer(j, code, message)
	j.cancel()
}

func (s *service) answer(j *job, code task.Code, message string) {
	delete(s.jobs, j.id)
	j.answer = &Answer{Code: code, Message: message, Outcomes: j.outcomes}
	close(j.answered)
	s.settle(j)
}

// settle reports the end of an answered job once nothing of it is open.
func (s *service) settle(j *job) {
	if j.open > 0 {
		return
	}
	j.cancel() // frees the context
	s.ended = append(s.ended, j)
}

// end is called once for each accepted job, when nothing of it is open.
func (e *Engine) end(j *job) {
	if j.OnEnd != nil {
		j.OnEnd()
	}
	e.open.done()
}

// verdict translates an outcome for the scheduler. A task that its job gave up
// on tells nothing about the endpoint.
func verdict(j *job, o task.Outcome) scheduler.Verdict {
	switch {
	case o.OK():
		return scheduler.Completed
	case o.Code == task.CodeCancelled, o.Code == task.CodeDeadline, j.ctx.Err() != nil:
		return scheduler.Cancelled
	case o.Ran == task.RanNo:
		return scheduler.Refused
	case o.Ran == task.RanYes, o.Code == task.CodeRunLimit:
		// A task past its run limit would mostly pass it anywhere: it is not repeated
		// as often as one whose endpoint was lost.
		return scheduler.Failed
	}
	return scheduler.Lost
}
