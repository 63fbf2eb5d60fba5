package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// Terms are what the job's contract says.
type Terms struct {
	Contract string
	Service  string
	// Urgency orders jobs that must start at the same time; 0 comes first.
	Urgency     int
	MaxAttempts int
	// Stretch times the longest chain of work and Allowance more is the time in
	// which the answer is wanted.
	Stretch   float64
	Allowance time.Duration
}

// Outcome of a job.
type Outcome int

// Outcomes.
const (
	// Completed: every task is done.
	Completed Outcome = iota + 1
	// Failed: a task failed as often as its contract allows, or can't be run.
	Failed
	// Refused: no task has started, and none will.
	Refused
	// Expired: some task has started, and the caller's time is over.
	Expired
	// Cancelled: the caller no longer waits.
	Cancelled
)

// String names the outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"open", "completed", "failed", "refused", "expired", "cancelled"}[o]
}

// Why a job ended as it did.
type Why string

// Reasons.
const (
	WhyDone       Why = "done"
	WhyTaskFailed Why = "task_failed"
	// WhyCrashes: runners crashed under the same task.
	WhyCrashes  Why = "crashes_runners"
	WhyTooLarge Why = "fits_no_runner"
	WhyNoRunner Why = "no_runner"
	WhyOverload Why = "no_room_in_time"
	WhyDeadline Why = "caller_time_over"
	// WhyTooLittleTime: the caller would have left before the work could be done.
	WhyTooLittleTime Why = "too_little_time"
	WhyCallerGone    Why = "caller_gone"
	WhyUnreachable   Why = "guard_unreachable"
	// WhyTooLong: a run takes far longer than it should.
	WhyTooLong Why = "runs_too_long"
)

// Ended tells that a job has its outcome.
type Ended struct {
	Job     string
	Outcome Outcome
	Why     Why
	// RetryAfter is when a refused job may have room; zero otherwise.
	RetryAfter time.Duration
	// Waited is the time from submission to the first start, or to the outcome.
	Waited time.Duration
}

// Answer is what a job's callers are told.
type Answer struct {
	Outcome    Outcome
	Why        Why
	RetryAfter time.Duration
}

// Start orders one task.
type Start struct {
	Endpoint string
	Run      work.RunID
	Spec     string
	Need     work.Amounts
	// Life is the time left until the caller stops waiting.
	Life time.Duration
	// Free is what was believed free at the endpoint, thousandths of a core, and
	// Age how long ago its guard told.
	Free int64
	Age  time.Duration
}

// Stop ends one run.
type Stop struct {
	Endpoint string
	Run      work.RunID
	Why      Why
}

// Actions is what is to be done now.
type Actions struct {
	Starts []Start
	Stops  []Stop
	Ended  []Ended
	// Settled names jobs that have ended before and whose last run is over now.
	Settled []string
	// Wake names endpoints whose guards are to learn that tasks wait.
	Wake []string
}
