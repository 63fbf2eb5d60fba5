package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// Terms are the parts of a job's contract that the planner uses.
type Terms struct {
	Contract string
	Service  string
	// Priority orders jobs that must start at the same time; 0 goes first.
	Priority    int
	MaxAttempts int
	// The response-time target is TargetFactor times the run time of the job's critical path,
	// plus TargetMargin.
	TargetFactor float64
	TargetMargin time.Duration
}

// Outcome is the final result of a job.
type Outcome int

// Values of Outcome. The zero value means that the job is still open.
const (
	// Completed: every task is done.
	Completed Outcome = iota + 1
	// Failed: a task used up the attempts that its contract allows, or cannot be run at all.
	Failed
	// Refused: no task has started, and none will be.
	Refused
	// Expired: a task has started, and the caller's deadline leaves no time for the rest.
	Expired
	// Cancelled: the caller stopped waiting.
	Cancelled
)

// String names the outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"open", "completed", "failed", "refused", "expired", "cancelled"}[o]
}

// Reason is the reason for a job's outcome or for stopping a run.
type Reason string

// Values of Reason.
const (
	ReasonDone       Reason = "done"
	ReasonTaskFailed Reason = "task_failed"
	// ReasonCrashes: runners crashed while running the same task.
	ReasonCrashes  Reason = "crashes_runners"
	ReasonTooLarge Reason = "fits_no_runner"
	ReasonNoRunner Reason = "no_runner"
	ReasonOverload Reason = "no_room_in_time"
	// ReasonCordoned: only endpoints in cordoned data centres could run the job.
	ReasonCordoned Reason = "data_centres_cordoned"
	ReasonDeadline Reason = "caller_time_over"
	// ReasonTooLittleTime: the caller's deadline would have passed before the work was done.
	ReasonTooLittleTime    Reason = "too_little_time"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonGuardUnreachable Reason = "guard_unreachable"
	// ReasonEntryUnreachable: the connection to the entry that had taken the job over was lost.
	ReasonEntryUnreachable Reason = "entry_unreachable"
	// ReasonLateStart: a start of a task, ordered for an earlier submission of the job, may still
	// be executed by a runner at which the task can't be started now.
	ReasonLateStart Reason = "late_start"
	// ReasonLateStartsUnknown: the guard of an endpoint was not heard lately, and no other entry answered
	// which starts may still be executed there.
	ReasonLateStartsUnknown Reason = "late_starts_unknown"
	// ReasonRunTooLong: a run takes far longer than expected.
	ReasonRunTooLong Reason = "runs_too_long"
	// ReasonRunStalled: a run makes no progress.
	ReasonRunStalled Reason = "run_stalled"
)

// Ended reports the outcome of a job.
type Ended struct {
	Job     string
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time after which there may be capacity for a refused job; zero for
	// other outcomes.
	RetryAfter time.Duration
	// Waited is the time from submission to the first start, or to the outcome.
	Waited time.Duration
	// Started is true if a start order was sent.
	Started bool
	// Prediction is the wait predicted on arrival, or that for which the job was rejected; nil if there
	// was none.
	Prediction *Prediction
	// Returned is true for a job that was rejected by this entry and returned in its time to retry.
	Returned bool
}

// Answer is the outcome of a job as its callers get it.
type Answer struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

// Start is an order to start one task.
type Start struct {
	Endpoint string
	Run      work.RunID
	Spec     string
	Need     work.Amounts
	// DecidedAt is the time of the decision, and TimeLeft the time left then until the caller's
	// deadline.
	DecidedAt, TimeLeft time.Duration
	// Expected is the expected run time on an endpoint of normal speed.
	Expected time.Duration
	// Priority is that of the job's contract; 0 is the most urgent.
	Priority int
	// FreeMilli is the CPU believed free at the endpoint, in thousandths of a core, and ReportAge
	// the time since its guard's last report.
	FreeMilli int64
	ReportAge time.Duration
	// Speed is the endpoint's run time factor if its speed decided the choice; zero otherwise.
	Speed float64
	// RunnerRevision is the EndpointStatus.RunnerRevision on which the decision rests.
	RunnerRevision uint64
}

// Stop is an order to stop one run.
type Stop struct {
	Endpoint string
	Run      work.RunID
	Reason   Reason
}

// Kept reports a run that is beyond its run time limit and goes on because of its progress.
type Kept struct {
	Endpoint string
	Run      work.RunID
	// Ran is how long it has run, and Left the time until it ends at its own pace.
	Ran, Left time.Duration
}

// Actions are what the caller of Act has to carry out now.
type Actions struct {
	Starts []Start
	Stops  []Stop
	Kept   []Kept
	Ended  []Ended
	// Settled lists jobs that ended earlier and whose last run is now over.
	Settled []string
	// NotifyWaiting lists endpoints whose guards must be notified that tasks are waiting for
	// capacity.
	NotifyWaiting []string
	// SpeedChanges lists endpoints that became fast, normal or lastingly slow.
	SpeedChanges []SpeedChange
	// HeldBack lists jobs that wait for the first time because the free capacity is reserved for more
	// urgent work.
	HeldBack []string
}
