// Package scheduler decides, for one service at one entry, which waiting task
// starts next and on which endpoint. It is pure: the clock and the randomness
// are passed in, and it does no input or output. A Scheduler is not safe for
// concurrent use; its owner holds a lock around every call.
package scheduler

import (
	"errors"
	"time"
)

// JobID names a job within one entry.
type JobID string

// EndpointID names an endpoint: a guard with its incarnation, or a bare runner.
type EndpointID string

// Task is what is known of one task of a job before it runs.
type Task struct {
	Kind string
	// Declared is the run time the caller declared; zero when none.
	Declared time.Duration
}

// Job is what the scheduler needs to know of a job.
type Job struct {
	ID       JobID
	Customer string
	// Urgency is the weight of the customer's contract.
	Urgency  int
	Accepted time.Time
	// Deadline is Accepted plus the answer time of the contract.
	Deadline time.Time
	// RunLimit is the longest run the contract allows; it caps estimates.
	RunLimit time.Duration
	// Bytes is the size of the payloads, counted against the queue's bound.
	Bytes int64
	Tasks []Task
	// Idempotent is set only for a job of one task that its caller declared so.
	Idempotent bool
}

// TaskRef names one task of a job.
type TaskRef struct {
	Job   JobID
	Index int
}

// Assignment is a decision to start a task on an endpoint now.
type Assignment struct {
	Task     TaskRef
	Endpoint EndpointID
	// TasksLeft counts the unfinished tasks of the job, this one included.
	TasksLeft int
	// Expected is how long the task is expected to run, no less than the
	// service's mean.
	Expected time.Duration
	// Probe is true when the endpoint is set aside and gets this task as a trial.
	Probe bool
	// At is the moment of the decision.
	At time.Time
}

// Verdict is how an assignment ended.
type Verdict int

// Verdicts of an assignment.
const (
	// Completed: the task ran and gave a whole answer.
	Completed Verdict = iota
	// Failed: the task ran, or may have run, and failed at the endpoint.
	Failed
	// Refused: the endpoint truly refused; the task did not start.
	Refused
	// Lost: no contact within the budget; the task may have run.
	Lost
	// Cancelled: ended by its owner.
	Cancelled
)

// Result tells the scheduler how an assignment ended.
type Result struct {
	Verdict Verdict
	// RunTime is the time at the runner; zero when unknown.
	RunTime time.Duration
}

// Endpoint is one place that can run tasks of the service.
type Endpoint struct {
	ID    EndpointID
	Zone  string
	Slots int
	// OwnLimit caps this entry's own open starts there: a bare endpoint's share
	// of slots and connections. Zero means no cap (a guard).
	OwnLimit int
	// NoQueue is true when a start above the slots would be refused and not wait
	// there (a bare endpoint). Then only its reports say when it may be tried, and
	// whoever sends them sees to it that it is in the end.
	NoQueue bool
	// Leaving is true when no new task may start there.
	Leaving bool
}

// Report is an endpoint's own count of what it holds for others.
type Report struct {
	// Version orders the reports of one endpoint; older ones are dropped.
	Version uint64
	// OthersOpen counts tasks that run or wait there for other entries.
	OthersOpen int
	Slots      int
	Leaving    bool
	Past       Past
}

// Past is how tasks of all entries ended at an endpoint since it began. It is
// zero for an endpoint that doesn't tell.
type Past struct {
	Completed uint64
	Failed    uint64
	// FailedInRow counts jobs that failed there with a task that began after the
	// latest one that completed, two of each customer at most: the tasks of one
	// customer may fail wherever they run.
	FailedInRow int
}

// Errors of admission: the job was not taken and none of its tasks started.
var (
	// ErrNoEndpoint means that no endpoint of the service is known now.
	ErrNoEndpoint = errors.New("no endpoint of the service is known")
	// ErrBacklog means that the job can't be answered within its answer time.
	ErrBacklog = errors.New("backlog too long for the answer time")
	// ErrQueueFull means that the queue's bound in tasks or bytes is reached.
	ErrQueueFull = errors.New("queue full")
	// ErrDuplicateJob means that a job of this id is already held.
	ErrDuplicateJob = errors.New("job id already held")
)

// Refusal is the error type of Admit; it wraps one of the errors above.
type Refusal struct {
	Err error
	// RetryAfter is when to come back, worked out from the backlog.
	RetryAfter time.Duration
	// Assessment is set for ErrBacklog.
	Assessment *Assessment
}

// Assessment is what a rejection for the backlog rests on.
type Assessment struct {
	// Pending counts the tasks that wait, Open those that were started and have not
	// ended.
	Pending, Open int
	// Slots is what this entry can count on, Rate the part of it that serves the
	// customer, SetAside the endpoints that get probes only.
	Slots, Rate float64
	SetAside    int
	// Work is the expected run time of the job's tasks together, Longest that of its
	// longest one, Ahead that of the pending tasks that go first.
	Work, Longest, Ahead time.Duration
	// Learnt is true when these times were learnt from runs.
	Learnt bool
	// Drain is the time until the job is served, Allowed the time there is for that,
	// AnswerTime what its contract gives.
	Drain, Allowed, AnswerTime time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// Decider is the interface between an entry and its decisions for one service.
// Variants to compare implement it too; the product ships one.
type Decider interface {
	// Admit takes a job with all its tasks, or refuses it whole with a *Refusal.
	Admit(now time.Time, job Job) error
	// Next decides one start; false when nothing can start now. The assignment
	// counts as open until Done.
	Next(now time.Time) (Assignment, bool)
	// Done ends an assignment. For Refused it returns true when the task was put
	// back into the queue, false when the retry budget is spent or the job is
	// gone: the owner then fails the task as not run. For Lost and Failed of an
	// idempotent job it may return true likewise.
	Done(now time.Time, a Assignment, r Result) (requeued bool)
	// Drop forgets a job and returns its tasks that wait and so never start.
	// Open assignments of it are still ended by Done.
	Drop(job JobID) []TaskRef
	// Expired drops the jobs that can no longer be answered in time because
	// their deadline has passed, and returns them; the owner answers at once.
	Expired(now time.Time) []JobID
	// SetEndpoint adds or changes an endpoint.
	SetEndpoint(now time.Time, e Endpoint)
	// RemoveEndpoint forgets an endpoint; open assignments are still ended by Done.
	RemoveEndpoint(id EndpointID)
	// ApplyReport takes an endpoint's report.
	ApplyReport(now time.Time, id EndpointID, r Report)
	// Wake returns the next moment at which time alone changes a decision
	// (a deadline, a probe); zero when there is none.
	Wake(now time.Time) time.Time
	// Backlog describes the queue for metrics and reports.
	Backlog() Backlog
}

// Backlog counts what a Decider holds.
type Backlog struct {
	Jobs    int
	Waiting int
	Open    int
	Bytes   int64
	// Endpoints counts those known, SetAside those that get only probes.
	Endpoints int
	SetAside  int
}
