// Package engine runs jobs: it queues them with their service's scheduler, starts each assignment
// once through a task.Starter, collects the outcomes, and answers each job as a whole: completed
// or failed, never partially.
package engine

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/task"
)

// Errors of Submit, wrapped in a *Refusal. Errors of the scheduler (scheduler.ErrNoEndpoint,
// ErrBacklog, ErrQueueFull) are wrapped in the same way.
var (
	// ErrDraining means that this entry accepts no new jobs.
	ErrDraining = errors.New("the entry is draining")
	// ErrCancelled means that the job was cancelled before it was accepted.
	ErrCancelled = errors.New("cancelled before it was taken")
)

// Refusal is the only error type of Submit. No task of the job has run or will run.
type Refusal struct {
	Err error
	// RetryAfter is the delay after which to retry.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "not run: " + r.Err.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// Task is one task of a job.
type Task struct {
	Kind    string
	Payload []byte
	// Declared is the run time that the caller declared; zero if none.
	Declared time.Duration
}

// Job is a set of tasks with one answer.
type Job struct {
	// ID identifies the job; it is unique among the open jobs of an engine.
	ID      string
	Client  string
	Service string
	// Priority, AnswerTime and RunLimit come from the client's contract.
	Priority   int
	AnswerTime time.Duration
	RunLimit   time.Duration
	// Idempotent marks a task that may run more than once. It takes effect only for a job of one
	// task.
	Idempotent bool
	Tasks      []Task
	// OnEnd is called once, when the job was accepted and none of its tasks is running any more,
	// which can be after its answer. It may be nil.
	OnEnd func()
}

// Answer is the final answer to an accepted job.
type Answer struct {
	// Code is empty if every task completed; otherwise it is the reason for the failure.
	Code    task.Code
	Message string
	// Outcomes holds the final outcome of each task, by index.
	Outcomes []task.Outcome
}

// Complete reports whether every task completed.
func (a *Answer) Complete() bool { return a.Code == "" }

// Ran reports whether any task ran: RanYes if one did, RanNo if certainly none did.
func (a *Answer) Ran() task.Ran {
	ran := task.RanNo
	for _, o := range a.Outcomes {
		ran = combineRan(ran, o.Ran)
	}
	return ran
}

// combineRan returns the value that gives the weaker guarantee to a caller who considers
// resubmitting.
func combineRan(a, b task.Ran) task.Ran {
	if a == task.RanYes || b == task.RanYes {
		return task.RanYes
	}
	if a == task.RanUnknown || b == task.RanUnknown {
		return task.RanUnknown
	}
	return task.RanNo
}

// Options configure an Engine.
type Options struct {
	Starter task.Starter
	// NewPolicy creates the scheduling policy of one service.
	NewPolicy func(service string) scheduler.Policy
	Logger    *slog.Logger
	Scope     tally.Scope
	// Now defaults to time.Now.
	Now func() time.Time
	// DrainRetry is the RetryAfter of a job rejected while draining.
	DrainRetry time.Duration
}

const defaultDrainRetry = time.Second

// Engine runs the jobs of one entry. It implements task.EndpointSink.
type Engine struct {
	opts    Options
	metrics *metrics
	open    openJobs

	mu       sync.RWMutex
	services map[string]*service
}

var _ task.EndpointSink = (*Engine)(nil)

// New returns an engine without endpoints.
func New(opts Options) *Engine {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.DrainRetry <= 0 {
		opts.DrainRetry = defaultDrainRetry
	}
	return &Engine{
		opts:     opts,
		metrics:  newMetrics(opts.Scope),
		services: map[string]*service{},
	}
}

// HasService reports whether the service has ever had an endpoint.
func (e *Engine) HasService(service string) bool { return e.lookup(service) != nil }

// Submit runs a job and returns its answer. The error is always a *Refusal. When ctx ends the job
// is cancelled and Submit returns at once with an answer that says so.
func (e *Engine) Submit(ctx context.Context, j Job) (*Answer, error) {
	answer, err := e.submit(ctx, j)
	if err != nil {
		e.metrics.refused.Inc(1)
		return nil, err
	}
	return answer, nil
}

func (e *Engine) submit(ctx context.Context, j Job) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, &Refusal{Err: ErrCancelled}
	}
	s := e.lookup(j.Service)
	if s == nil {
		return nil, &Refusal{Err: scheduler.ErrNoEndpoint, RetryAfter: e.opts.DrainRetry}
	}
	if !e.open.add() {
		return nil, &Refusal{Err: ErrDraining, RetryAfter: e.opts.DrainRetry}
	}
	job := newJob(j, e.opts.Now())
	if err := s.admit(job); err != nil {
		e.open.done()
		return nil, refusal(err)
	}
	select {
	case <-job.answered:
	case <-ctx.Done():
		s.cancel(job)
		<-job.answered // closed by cancel, or by an answer shortly before
	}
	e.metrics.answered(job.answer, e.opts.Now().Sub(job.accepted))
	return job.answer, nil
}

func refusal(err error) *Refusal {
	var r *scheduler.AdmissionError
	if errors.As(err, &r) {
		return &Refusal{Err: r.Err, RetryAfter: r.RetryAfter}
	}
	return &Refusal{Err: err}
}

// SetEndpoint implements task.EndpointSink.
func (e *Engine) SetEndpoint(name string, ep scheduler.Endpoint) {
	e.lookupOrAdd(name).update(func(d scheduler.Policy, now time.Time) {
		d.SetEndpoint(now, ep)
	})
}

// RemoveEndpoint implements task.EndpointSink.
func (e *Engine) RemoveEndpoint(name string, id scheduler.EndpointID) {
	s := e.lookup(name)
	if s == nil {
		return
	}
	s.update(func(d scheduler.Policy, _ time.Time) { d.RemoveEndpoint(id) })
}

// ApplyReport implements task.EndpointSink.
func (e *Engine) ApplyReport(name string, id scheduler.EndpointID, r scheduler.Report) {
	s := e.lookup(name)
	if s == nil {
		return
	}
	s.update(func(d scheduler.Policy, now time.Time) { d.ApplyReport(now, id, r) })
}

// Backlogs returns the state of each service's queue.
func (e *Engine) Backlogs() map[string]scheduler.QueueStats {
	e.mu.RLock()
	defer e.mu.RUnlock()
	all := make(map[string]scheduler.QueueStats, len(e.services))
	for name, s := range e.services {
		all[name] = s.backlog()
	}
	return all
}

// PendingTasks returns the number of queued tasks of a service.
func (e *Engine) PendingTasks(name string) int {
	if s := e.lookup(name); s != nil {
		return s.backlog().Queued
	}
	return 0
}

const metricsPeriod = time.Second

// Run publishes the queue metrics until ctx ends, then stops the timers of the schedulers. Call
// Drain first: without timers no deadline is enforced.
func (e *Engine) Run(ctx context.Context) error {
	ticker := time.NewTicker(metricsPeriod)
	defer ticker.Stop()
	defer e.stopTimers()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			for name, b := range e.Backlogs() {
				e.metrics.backlog(name, b)
			}
		}
	}
}

// Drain rejects new jobs and waits until all tasks of the open jobs have ended, or until ctx ends.
func (e *Engine) Drain(ctx context.Context) error {
	idle := e.open.close()
	eventDraining.Log(ctx, e.opts.Logger, slog.Int("open_jobs", e.open.count()))
	select {
	case <-idle:
		eventDrained.Log(ctx, e.opts.Logger)
		return nil
	case <-ctx.Done():
		eventDrainCut.Log(context.WithoutCancel(ctx), e.opts.Logger, slog.Int("open_jobs", e.open.count()))
		return ctx.Err()
	}
}

// Draining reports whether Drain was called.
func (e *Engine) Draining() bool { return e.open.closed.Load() }

func (e *Engine) stopTimers() {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, s := range e.services {
		s.stop()
	}
}

func (e *Engine) lookup(name string) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[name]
}

func (e *Engine) lookupOrAdd(name string) *service {
	if s := e.lookup(name); s != nil {
		return s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[name]
	if s == nil {
		s = newService(e, name)
		e.services[name] = s
	}
	return s
}

// openJobs counts open jobs and rejects new ones once it is closed.
type openJobs struct {
	mu     sync.Mutex
	n      int
	closed atomic.Bool // written under mu
	idle   chan struct{}
}

func (o *openJobs) add() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed.Load() {
		return false
	}
	o.n++
	return true
}

func (o *openJobs) done() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.n--
	if o.closed.Load() && o.n == 0 {
		close(o.idle)
	}
}

// close rejects further jobs. The channel it returns is closed when no job is open.
func (o *openJobs) close() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed.Swap(true) {
		return o.idle
	}
	o.idle = make(chan struct{})
	if o.n == 0 {
		close(o.idle)
	}
	return o.idle
}

func (o *openJobs) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.n
}
