package api

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"almondstand.dev/contract"
	"almondstand.dev/entry/burn"
	"almondstand.dev/entry/engine"
	"almondstand.dev/entry/quota"
	"almondstand.dev/entry/submission"
	"almondstand.dev/entry/task"
)

// job is one submission at its owner.
type job struct {
	id       submission.ID
	text     string
	customer string
	body     *body
	arrived  time.Time
}

// submit runs a job under an id of this entry, or joins the one that runs. The
// job outlives a caller that goes away: a repeat joins it. The error is ctx's.
func (s *Server) submit(ctx context.Context, j job) (submission.Answer, error) {
	jobCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	found := s.opts.Table.Begin(j.arrived, j.id, j.customer, j.body.digest, cancel)
	switch found.State {
	case submission.Begun:
		return s.lead(jobCtx, j, found.Flight, true), nil
	case submission.Running:
		s.metrics.joined.Inc(1)
		return await(ctx, found.Flight)
	case submission.Kept:
		s.metrics.joined.Inc(1)
		return found.Answer, nil
	}
	return fromState(found.State).answer(j.text), nil
}

// submitOnce runs a job under an id that its caller does not know before the
// answer. Nobody can ask for it again, so it ends with ctx, and its answer is
// not kept.
func (s *Server) submitOnce(ctx context.Context, j job) submission.Answer {
	jobCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := s.opts.Table.Begin(j.arrived, j.id, j.customer, j.body.digest, cancel)
	if found.State != submission.Begun {
		return fromState(found.State).answer(j.text)
	}
	return s.lead(jobCtx, j, found.Flight, false)
}

func await(ctx context.Context, f *submission.Flight) (submission.Answer, error) {
	select {
	case <-f.Done():
		return f.Answer(), nil
	case <-ctx.Done():
		return submission.Answer{}, ctx.Err()
	}
}

// lead runs the job of a flight and ends the flight, whatever happens.
func (s *Server) lead(ctx context.Context, j job, f *submission.Flight, keep bool) submission.Answer {
	ended := false
	defer func() {
		// A panic on the way would leave every repeat waiting for good.
		if !ended {
			a := unknown(http.StatusInternalServerError, CodeInternal, "a fault of the entry; the job may have run").answer(j.text)
			s.opts.Table.Finish(s.now(), f, a, keep)
			eventFault.Log(context.Background(), s.opts.Logger, slog.String("submission", j.text), slog.String("stack", string(debug.Stack())))
		}
	}()
	a, kind := s.execute(ctx, j)
	ended = true
	if a.Outcome == submission.Refused && s.opts.Table.Abort(f, a) {
		s.record(j, kind)
		return a
	}
	if a.Outcome == submission.Refused { // cancelled meanwhile: the id stays used
		a, kind = cancelledAnswer(j.text), unrecorded
	}
	s.opts.Table.Finish(s.now(), f, a, keep)
	s.record(j, kind)
	return a
}

// unrecorded marks an end that is not the system's doing.
const unrecorded burn.Kind = -1

func (s *Server) record(j job, kind burn.Kind) {
	if kind == unrecorded {
		return
	}
	now := s.now()
	s.opts.Recorder.Record(now, burn.Observation{Customer: j.customer, Kind: kind, Latency: now.Sub(j.arrived)})
}

// execute checks a job against its contract and runs it.
func (s *Server) execute(ctx context.Context, j job) (submission.Answer, burn.Kind) {
	c, known := s.opts.Contracts.ByCustomer(j.customer)
	if !known {
		return notNow(http.StatusServiceUnavailable, CodeBusy, s.opts.RetryAfter, "the contract is not known here yet").answer(j.text), burn.RefusedWithin
	}
	if f := s.checkServing(ctx, c); f != nil {
		return f.answer(j.text), refusedKind(f)
	}
	request, f := s.decode(c, j.body.bytes)
	if f != nil {
		return f.answer(j.text), unrecorded
	}
	taken, f := s.admit(c, request)
	if f != nil {
		return f.answer(j.text), burn.RefusedOver
	}
	answer, err := s.opts.Engine.Submit(ctx, newEngineJob(c, j, request, taken.Release))
	if err != nil {
		taken.Undo()
		return s.refused(j, err)
	}
	a := s.jobAnswer(j.text, answer)
	return a, endKind(a, s.now().Sub(j.arrived), time.Duration(c.AnswerTime))
}

func (s *Server) refused(j job, err error) (submission.Answer, burn.Kind) {
	if errors.Is(err, engine.ErrCancelled) {
		return cancelledAnswer(j.text), unrecorded
	}
	return s.fromRefusal(err).answer(j.text), burn.RefusedWithin
}

// checkServing refuses new work that this entry may not take now.
func (s *Server) checkServing(ctx context.Context, c contract.Contract) *failure {
	if f := checkActive(c); f != nil {
		return f
	}
	if s.opts.Engine.Draining() {
		return s.draining()
	}
	return s.checkGate(ctx)
}

// checkGate refuses while this entry may have missed a change of configuration.
func (s *Server) checkGate(ctx context.Context) *failure {
	if ok, retryAfter := s.opts.Gate.AwaitServe(ctx); !ok {
		return notNow(http.StatusServiceUnavailable, CodeIsolated, max(retryAfter, time.Millisecond),
			"this entry hears neither the store nor another entry")
	}
	return nil
}

func refusedKind(f *failure) burn.Kind {
	if f.retryAfter == 0 {
		return unrecorded
	}
	return burn.RefusedWithin
}

func (s *Server) decode(c contract.Contract, body []byte) (*jobRequest, *failure) {
	request, err := decodeJob(body)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, CodeBadRequest, "%s", err)
	}
	s.metrics.misdeclared.Inc(int64(request.misdeclared))
	if slices.Contains(c.Services, request.service) {
		return request, nil
	}
	if s.opts.Engine.Knows(request.service) {
		return nil, notRun(http.StatusForbidden, CodeServiceForbidden, "the contract does not allow service %s", request.service)
	}
	return nil, notRun(http.StatusNotFound, CodeServiceUnknown, "no service %s", request.service)
}

func (s *Server) admit(c contract.Contract, request *jobRequest) (taken quota.Decision, f *failure) {
	d := s.opts.Quota.Admit(s.now(), c.Customer, len(request.tasks))
	switch {
	case d.OK:
		return d, nil
	case d.Permanent:
		return d, notRun(http.StatusUnprocessableEntity, CodeJobTooLarge,
			"%d tasks are more than the contract's burst or tasks in flight", len(request.tasks))
	}
	return d, notNow(http.StatusTooManyRequests, CodeOverQuota, max(d.RetryAfter, time.Millisecond),
		"more than the contract's rate or tasks in flight")
}

func newEngineJob(c contract.Contract, j job, request *jobRequest, release func()) engine.Job {
	return engine.Job{
		ID:         j.text,
		Customer:   c.Customer,
		Service:    request.service,
		Urgency:    c.Urgency,
		AnswerTime: time.Duration(c.AnswerTime),
		RunLimit:   time.Duration(c.RunLimit),
		Idempotent: request.idempotent,
		Tasks:      request.tasks,
		OnEnd:      release,
	}
}

func endKind(a submission.Answer, latency, answerTime time.Duration) burn.Kind {
	switch {
	case a.Outcome == submission.Cancelled:
		return unrecorded
	case a.Outcome == submission.Refused:
		return burn.RefusedWithin
	case a.Outcome != submission.Complete:
		return burn.Failed
	case latency > answerTime:
		return burn.Late
	}
	return burn.OnTime
}

// lookUp answers a fetch at the owner.
func (s *Server) lookUp(id submission.ID, text, customer string) submission.Answer {
	found := s.opts.Table.Find(s.now(), id, customer)
	switch found.State {
	case submission.Kept:
		return found.Answer
	case submission.Running:
		return s.runningAnswer(text)
	}
	return fromState(found.State).answer(text)
}

func (s *Server) runningAnswer(text string) submission.Answer {
	a := newAnswer(http.StatusAccepted, stateBody{Submission: text, Outcome: outcomeRunning, Ran: task.RanUnknown})
	a.RetryAfter = s.opts.RetryAfter
	return a
}

// cancel cancels a submission at the owner and tells how it ended.
func (s *Server) cancel(ctx context.Context, id submission.ID, text, customer string) (submission.Answer, error) {
	found := s.opts.Table.Cancel(s.now(), id, customer, cancelledAnswer(text))
	switch found.State {
	case submission.Kept:
		return endedAnswer(text, found.Answer), nil
	case submission.Running:
		a, err := await(ctx, found.Flight)
		if err != nil {
			return a, err
		}
		return endedAnswer(text, a), nil
	}
	return fromState(found.State).answer(text), nil
}

func endedAnswer(text string, a submission.Answer) submission.Answer {
	return newAnswer(http.StatusOK, stateBody{Submission: text, Outcome: a.Outcome, Ran: a.Ran})
}
