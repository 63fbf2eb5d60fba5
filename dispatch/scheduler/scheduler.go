// Package scheduler decides, for one service at one entry, which queued task starts
// next and on which endpoint. It does no I/O, and the clock and the random source are
// passed in, so that its decisions are reproducible. A Scheduler is not safe for
// concurrent use; its owner holds a lock around every call.
package scheduler

import (
	"errors"
	"time"
)

// JobID identifies a job within one entry.
type JobID string

// EndpointID identifies an endpoint: a guard together with its incarnation, or a bare
// runner.
type EndpointID string

// Task describes one task of a job before it runs.
type Task struct {
	Kind string
	// Declared is the run time that the caller declared; zero when it declared none.
	Declared time.Duration
}

// Job holds the properties of a job that scheduling depends on.
type Job struct {
	ID     JobID
	Client string
	// Priority is the weight given by the client's contract.
	Priority int
	Accepted time.Time
	// Deadline is Accepted plus the answer time of the contract.
	Deadline time.Time
	// RunLimit is the longest run time that the contract allows. Estimates are capped
	// at it.
	RunLimit time.Duration
	// Bytes is the size of the payloads. It counts towards the byte limit of the queue.
	Bytes int64
	Tasks []Task
	// Idempotent is set only for a job of a single task that its caller declared
	// idempotent.
	Idempotent bool
}

// TaskRef identifies one task of a job.
type TaskRef struct {
	Job   JobID
	Index int
}

// Assignment is a decision to start a task on an endpoint now.
type Assignment struct {
	Task     TaskRef
	Endpoint EndpointID
	// TasksLeft is the number of unfinished tasks of the job, including this one.
	TasksLeft int
	// Expected is the expected run time of the task, but at least the mean run time of
	// the service.
	Expected time.Duration
	// Probe is true when the endpoint is ejected and receives this task as a health
	// probe.
	Probe bool
	// DecidedAt is the time of the decision.
	DecidedAt time.Time
}

// Outcome is the outcome of an assignment.
type Outcome int

// Outcomes of an assignment.
const (
	// Completed: the task ran and returned a complete result.
	Completed Outcome = iota
	// Failed: the endpoint reported a failure; the task ran or may have run.
	Failed
	// Rejected: the endpoint rejected the task, which definitely did not start.
	Rejected
	// Lost: the endpoint could not be reached within the time budget; the task may have
	// run.
	Lost
	// Cancelled: the owner of the Scheduler ended the assignment.
	Cancelled
)

// Result reports to the scheduler how an assignment ended.
type Result struct {
	Outcome Outcome
	// RunTime is the run time measured at the runner; zero when unknown.
	RunTime time.Duration
}

// Endpoint describes an endpoint that can run tasks of the service.
type Endpoint struct {
	ID         EndpointID
	DataCentre string
	Slots      int
	// EntryLimit limits how many tasks this entry may have in flight there: its share
	// of a bare endpoint's slots and connections. Zero means no limit (a guard).
	EntryLimit int
	// NoQueue is true when the endpoint refuses a task that exceeds its slots instead
	// of queueing it (a bare endpoint). The scheduler then relies on the endpoint's
	// reports alone to decide when to try it again; the sender of the reports must
	// ensure that a report allowing a retry arrives eventually.
	NoQueue bool
	// Draining is true while the endpoint is draining: no new task may start there.
	Draining bool
}

// Report is an endpoint's own count of the tasks it holds for other entries.
type Report struct {
	// Version orders the reports of one endpoint; a report older than the last one
	// applied is dropped.
	Version uint64
	// OthersInFlight is the number of tasks that run or are queued there for other entries.
	OthersInFlight int
	Slots          int
	Draining       bool
	Outcomes       OutcomeCounts
}

// OutcomeCounts counts how the tasks of all entries ended at an endpoint since it started. It is
// zero for an endpoint that doesn't report these counts.
type OutcomeCounts struct {
	Completed uint64
	Failed    uint64
	// ConsecutiveFailedJobs is the number of jobs that failed there with a task that started
	// after the most recently started task that completed. At most two jobs of each client
	// count, because the tasks of one client may fail wherever they run.
	ConsecutiveFailedJobs int
}

// Admission errors: the job was rejected and none of its tasks started.
var (
	// ErrNoEndpoint means that no endpoint of the service is known.
	ErrNoEndpoint = errors.New("no endpoint of the service is known")
	// ErrBacklog means that the job can't be answered within its answer time.
	ErrBacklog = errors.New("backlog too long for the answer time")
	// ErrQueueFull means that the queue has reached its limit of tasks or bytes.
	ErrQueueFull = errors.New("queue full")
	// ErrDuplicateJob means that the scheduler already holds a job with this id.
	ErrDuplicateJob = errors.New("job id already held")
)

// AdmissionError is the error type that Admit returns; it wraps one of the errors above.
type AdmissionError struct {
	Err error
	// RetryAfter is how long the caller should wait before it retries, computed from
	// the backlog.
	RetryAfter time.Duration
	// Forecast is set for ErrBacklog only.
	Forecast *BacklogForecast
}

// BacklogForecast holds the figures on which a rejection with ErrBacklog is based.
type BacklogForecast struct {
	// Queued is the number of queued tasks, InFlight the number of tasks in flight.
	Queued, InFlight int
	// UsableSlots is the number of slots that this entry can rely on, ClientSlots the part
	// of it that serves the client, Ejected the number of ejected endpoints, which receive
	// probes only.
	UsableSlots, ClientSlots float64
	Ejected                  int
	// Work is the expected total run time of the job's tasks, Longest that of its
	// longest task, Ahead that of the queued tasks that start before the job's.
	Work, Longest, Ahead time.Duration
	// SmallerArrivalRate is the rate, in slots, at which work of the client's smaller jobs is
	// expected to arrive and go before the job's.
	SmallerArrivalRate float64
	// Learnt is true when these times come from measured runs.
	Learnt bool
	// Drain is the forecast time until the job is answered, Allowed the limit for that
	// forecast, AnswerTime the answer time of the contract.
	Drain, Allowed, AnswerTime time.Duration
}

// Error implements error.
func (r *AdmissionError) Error() string { return r.Err.Error() }

// Unwrap returns the wrapped admission error.
func (r *AdmissionError) Unwrap() error { return r.Err }

// Policy is the scheduling policy that an entry uses for one service. Scheduler is the
// implementation in production; experiments may use others for comparison.
type Policy interface {
	// Admit queues a job with all its tasks, or rejects the whole job with a *Refusal.
	Admit(now time.Time, job Job) error
	// Next selects one task to start. It returns false when no task can start now. The
	// assignment counts as in flight until Done is called for it.
	Next(now time.Time) (Assignment, bool)
	// Done ends an assignment. It returns true when the task went back into the queue:
	// after Rejected unless the task's retry limit is reached or the job is gone, and
	// after Lost and Failed of an idempotent job as far as the retry budget allows.
	// When it returns false after Rejected, the owner fails the task as not run.
	Done(now time.Time, a Assignment, r Result) (requeued bool)
	// Drop removes a job and returns its queued tasks, which will never start.
	// Assignments of the job that are still in flight must be ended by Done all the
	// same.
	Drop(job JobID) []TaskRef
	// Expired removes the jobs whose deadline has passed, as they can no longer be
	// answered in time, and returns their ids; the owner answers them at once.
	Expired(now time.Time) []JobID
	// SetEndpoint adds or updates an endpoint.
	SetEndpoint(now time.Time, e Endpoint)
	// RemoveEndpoint removes an endpoint. Assignments in flight there must be ended by
	// Done all the same.
	RemoveEndpoint(id EndpointID)
	// ApplyReport applies a report of an endpoint.
	ApplyReport(now time.Time, id EndpointID, r Report)
	// NextWakeup returns the next time at which a decision may change without any event (a
	// deadline, a due probe); zero when there is none.
	NextWakeup(now time.Time) time.Time
	// Stats returns queue statistics for metrics and reports.
	Stats() QueueStats
}

// QueueStats holds the queue and endpoint counts of a Policy.
type QueueStats struct {
	Jobs     int
	Queued   int
	InFlight int
	Bytes    int64
	// Endpoints is the number of known endpoints, Ejected the number of ejected ones,
	// which receive probes only.
	Endpoints int
	Ejected   int
}
