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

// job is a submission at the entry that owns its id.
type job struct {
	id      submission.ID
	text    string
	client  string
	body    *body
	arrived time.Time
}

// submit runs a job under an id of this entry, or waits for the job already
// running under it. The job continues if its caller disconnects, since a repeated
// request can still wait for it. It returns an error only if ctx ends first.
func (s *Server) submit(ctx context.Context, j job) (submission.Response, error) {
	jobCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	found := s.opts.Table.Begin(j.arrived, j.id, j.client, j.body.digest, cancel)
	switch found.State {
	case submission.Started:
		return s.runFlight(jobCtx, j, found.Flight, true), nil
	case submission.Running:
		s.metrics.joined.Inc(1)
		return await(ctx, found.Flight)
	case submission.Cached:
		s.metrics.joined.Inc(1)
		return found.Response, nil
	}
	return stateFailure(found.State).answer(j.text), nil
}

// submitOnce runs a job under an id that its caller learns only from the answer.
// No request can be repeated under that id, so the job is cancelled with ctx and
// its answer is not kept.
func (s *Server) submitOnce(ctx context.Context, j job) submission.Response {
	jobCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := s.opts.Table.Begin(j.arrived, j.id, j.client, j.body.digest, cancel)
	if found.State != submission.Started {
		return stateFailure(found.State).answer(j.text)
	}
	return s.runFlight(jobCtx, j, found.Flight, false)
}

func await(ctx context.Context, f *submission.Flight) (submission.Response, error) {
	select {
	case <-f.Done():
		return f.Response(), nil
	case <-ctx.Done():
		return submission.Response{}, ctx.Err()
	}
}

// runFlight runs the job of a flight and finishes the flight, also if the job
// panics.
func (s *Server) runFlight(ctx context.Context, j job, f *submission.Flight, keep bool) submission.Response {
	finished := false
	defer func() {
		// Without this, a panic would leave repeated requests waiting forever.
		if !finished {
			a := mayHaveRun(http.StatusInternalServerError, CodeInternal, "a fault of the entry; the job may have run").answer(j.text)
			s.opts.Table.Finish(s.now(), f, a, keep)
			eventFault.Log(context.Background(), s.opts.Logger, slog.String("submission", j.text), slog.String("stack", string(debug.Stack())))
		}
	}()
	a, kind := s.execute(ctx, j)
	finished = true
	if a.Outcome == submission.Rejected && s.opts.Table.Abort(f, a) {
		s.record(j, kind)
		return a
	}
	if a.Outcome == submission.Rejected { // cancelled in the meantime: the id stays used
		a, kind = cancelledAnswer(j.text), notRecorded
	}
	s.opts.Table.Finish(s.now(), f, a, keep)
	s.record(j, kind)
	return a
}

// notRecorded marks an outcome that the system is not responsible for, such as a
// cancellation or an invalid request.
const notRecorded burn.Outcome = -1

func (s *Server) record(j job, kind burn.Outcome) {
	if kind == notRecorded {
		return
	}
	now := s.now()
	s.opts.Recorder.Record(now, burn.Observation{Client: j.client, Outcome: kind, Latency: now.Sub(j.arrived)})
}

// execute checks a job against its contract and the quota, and runs it.
func (s *Server) execute(ctx context.Context, j job) (submission.Response, burn.Outcome) {
	c, known := s.opts.Contracts.ByClient(j.client)
	if !known {
		return retryLater(http.StatusServiceUnavailable, CodeBusy, s.opts.RetryAfter, "the contract is not known here yet").answer(j.text), burn.RejectedWithinContract
	}
	if f := s.checkServing(ctx, c); f != nil {
		return f.answer(j.text), rejectionKind(f)
	}
	request, f := s.decode(c, j.body.bytes)
	if f != nil {
		return f.answer(j.text), notRecorded
	}
	admitted, f := s.admit(c, request)
	if f != nil {
		return f.answer(j.text), burn.RejectedOverContract
	}
	answer, err := s.opts.Engine.Submit(ctx, newEngineJob(c, j, request, admitted.Release))
	if err != nil {
		admitted.Undo()
		return s.rejection(j, err)
	}
	a := s.jobAnswer(j.text, answer)
	return a, answerKind(a, s.now().Sub(j.arrived), time.Duration(c.AnswerTime))
}

func (s *Server) rejection(j job, err error) (submission.Response, burn.Outcome) {
	if errors.Is(err, engine.ErrCancelled) {
		return cancelledAnswer(j.text), notRecorded
	}
	return s.rejectionFailure(err).answer(j.text), burn.RejectedWithinContract
}

// checkServing rejects new jobs under a retired contract and while this entry is
// draining or isolated.
func (s *Server) checkServing(ctx context.Context, c contract.Contract) *failure {
	if f := checkContractActive(c); f != nil {
		return f
	}
	if s.opts.Engine.Draining() {
		return s.draining()
	}
	return s.checkReady(ctx)
}

// checkReady rejects requests while this entry may have missed a configuration
// change.
func (s *Server) checkReady(ctx context.Context) *failure {
	if ok, retryAfter := s.opts.Readiness.AwaitServing(ctx); !ok {
		return retryLater(http.StatusServiceUnavailable, CodeIsolated, max(retryAfter, time.Millisecond),
			"this entry hears neither the store nor another entry")
	}
	return nil
}

func rejectionKind(f *failure) burn.Outcome {
	if f.retryAfter == 0 {
		return notRecorded
	}
	return burn.RejectedWithinContract
}

func (s *Server) decode(c contract.Contract, body []byte) (*jobRequest, *failure) {
	request, err := decodeJob(body)
	if err != nil {
		return nil, notStarted(http.StatusBadRequest, CodeBadRequest, "%s", err)
	}
	s.metrics.misdeclared.Inc(int64(request.misdeclared))
	if slices.Contains(c.Services, request.service) {
		return request, nil
	}
	if s.opts.Engine.HasService(request.service) {
		return nil, notStarted(http.StatusForbidden, CodeServiceForbidden, "the contract does not allow service %s", request.service)
	}
	return nil, notStarted(http.StatusNotFound, CodeServiceUnknown, "no service %s", request.service)
}

func (s *Server) admit(c contract.Contract, request *jobRequest) (admitted quota.Decision, f *failure) {
	d := s.opts.Quota.Admit(s.now(), c.Client, len(request.tasks))
	switch {
	case d.OK:
		return d, nil
	case d.Permanent:
		return d, notStarted(http.StatusUnprocessableEntity, CodeJobTooLarge,
			"%d tasks are more than the contract's burst or tasks in flight", len(request.tasks))
	}
	return d, retryLater(http.StatusTooManyRequests, CodeOverQuota, max(d.RetryAfter, time.Millisecond),
		"more than the contract's rate or tasks in flight")
}

func newEngineJob(c contract.Contract, j job, request *jobRequest, release func()) engine.Job {
	return engine.Job{
		ID:         j.text,
		Client:     c.Client,
		Service:    request.service,
		Priority:   c.Priority,
		AnswerTime: time.Duration(c.AnswerTime),
		RunLimit:   time.Duration(c.RunLimit),
		Idempotent: request.idempotent,
		Tasks:      request.tasks,
		OnEnd:      release,
	}
}

func answerKind(a submission.Response, latency, answerTime time.Duration) burn.Outcome {
	switch {
	case a.Outcome == submission.Cancelled:
		return notRecorded
	case a.Outcome == submission.Rejected:
		return burn.RejectedWithinContract
	case a.Outcome != submission.Complete:
		return burn.Failed
	case latency > answerTime:
		return burn.Late
	}
	return burn.OnTime
}

// lookUp answers a GET for a submission that this entry owns.
func (s *Server) lookUp(id submission.ID, text, client string) submission.Response {
	found := s.opts.Table.Find(s.now(), id, client)
	switch found.State {
	case submission.Cached:
		return found.Response
	case submission.Running:
		return s.runningAnswer(text)
	}
	return stateFailure(found.State).answer(text)
}

func (s *Server) runningAnswer(text string) submission.Response {
	a := newAnswer(http.StatusAccepted, stateBody{Submission: text, Outcome: outcomeRunning, Ran: task.RanUnknown})
	a.RetryAfter = s.opts.RetryAfter
	return a
}

// cancel cancels a submission that this entry owns and returns its outcome.
func (s *Server) cancel(ctx context.Context, id submission.ID, text, client string) (submission.Response, error) {
	found := s.opts.Table.Cancel(s.now(), id, client, cancelledAnswer(text))
	switch found.State {
	case submission.Cached:
		return outcomeAnswer(text, found.Response), nil
	case submission.Running:
		a, err := await(ctx, found.Flight)
		if err != nil {
			return a, err
		}
		return outcomeAnswer(text, a), nil
	}
	return stateFailure(found.State).answer(text), nil
}

func outcomeAnswer(text string, a submission.Response) submission.Response {
	return newAnswer(http.StatusOK, stateBody{Submission: text, Outcome: a.Outcome, Ran: a.Ran})
}
