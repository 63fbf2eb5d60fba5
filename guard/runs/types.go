package runs

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// Owner is one incarnation of an entry.
type Owner struct {
	Entry       string
	Incarnation uint64
}

// State is the state of a run as reported to its owner.
type State int

// States.
const (
	Running State = iota + 1
	Done
	Failed
	// Stopped means that the run is over before its work was done.
	Stopped
	// NotStarted means that the run never ran and never will.
	NotStarted
	// Crashed means that the runner crashed while the run was there.
	Crashed
)

// Refusal says why a run was not started.
type Refusal int

// Refusals.
const (
	NoRefusal Refusal = iota
	// InsufficientCapacity means that the runner's free capacity does not suffice.
	InsufficientCapacity
	// StaleOrder means that the order was in transit for too long, its caller no longer waits, or
	// its run was reported as over before the order arrived.
	StaleOrder
	// NotAccepting means that no starts are accepted.
	NotAccepting
	// RunnerFailed means that the runner rejected the start or did not answer.
	RunnerFailed
	// UnknownRun means that there is no such run.
	UnknownRun
	// RunnerReplaced means that the order was decided for another revision of the runner.
	RunnerReplaced
)

// Refusals returns all refusals.
func Refusals() []Refusal {
	return []Refusal{InsufficientCapacity, StaleOrder, NotAccepting, RunnerFailed, UnknownRun, RunnerReplaced}
}

// Report tells an owner the state of a run.
type Report struct {
	Owner   Owner
	Run     work.RunID
	State   State
	Refusal Refusal
	// StartedAt is the uptime at which the run was known to have started; zero if it is not known
	// to have started.
	StartedAt time.Duration
	// EndedAt is the uptime at which it was known to be over; zero while it runs.
	EndedAt time.Duration
	// Crash is set with the state Crashed.
	Crash *Crash
}

// RunTime returns how long the run has lasted at the uptime now, zero if it is not known to have
// started.
func (r Report) RunTime(now time.Duration) time.Duration {
	switch {
	case r.StartedAt == 0:
		return 0
	case r.EndedAt > 0:
		return r.EndedAt - r.StartedAt
	default:
		return now - r.StartedAt
	}
}

// Order requests one run.
type Order struct {
	Run  work.RunID
	Spec string
	Need work.Amounts
	// TimeLeft is the time left until the job's caller stops waiting.
	TimeLeft time.Duration
	// Expected is the expected run time on an endpoint of normal speed; zero if it is unknown.
	Expected time.Duration
	// Priority is that of the job's contract; 0 is the most urgent.
	Priority int
	// RunnerRevision is the Capacity.RunnerRevision for which the entry decided on the order; zero
	// if the entry does not name it.
	RunnerRevision uint64
}

// Process identifies and describes one process of the runner.
type Process struct {
	work.Incarnation
	Service string
	Address string
	Labels  []string
	Total   work.Amounts
	// Token is the fencing token: the process rejects calls with a lower one, such as those of
	// previous guard processes.
	Token int64
}

// Capacity is the runner's capacity and its usage.
type Capacity struct {
	Process
	// AcceptsStarts is true while starts are accepted.
	AcceptsStarts bool
	// Reconciled is true once nothing that a previous guard process ordered runs or can still
	// start.
	Reconciled bool
	Used       work.Amounts
	// RunnerRevision rises when the runner's process, its service or its labels change.
	RunnerRevision uint64
	// ColdUntil is the uptime until which the runner is slow after its start.
	ColdUntil time.Duration
	// ReleasesMilli is the CPU that the runs are expected to release within each of
	// work.ReleaseHorizons, cumulative, in thousandths of a core; nil if it is not estimated.
	ReleasesMilli []int64
	// RunTimePermille is the mean ratio of run times at this runner to the expected ones, in
	// thousandths, and RunTimeSamples the number of runs that it covers; zero if unknown.
	RunTimePermille, RunTimeSamples int
	// AllocatedByPriorityMilli is the CPU held by runs, by work.PriorityClass, in thousandths of a
	// core; nil if it is not known.
	AllocatedByPriorityMilli []int64
}

// Start is a start to be sent to the runner.
type Start struct {
	Run  work.RunID
	Name work.RunnerRunID
	Spec string
}

// Stop is a stop to be sent to the runner.
type Stop struct {
	Name work.RunnerRunID
}

// String names the refusal for logs and metrics.
func (r Refusal) String() string {
	switch r {
	case InsufficientCapacity:
		return "full"
	case StaleOrder:
		return "stale"
	case NotAccepting:
		return "closed"
	case RunnerFailed:
		return "unwell"
	case UnknownRun:
		return "unknown"
	case RunnerReplaced:
		return "replaced"
	default:
		return "none"
	}
}

// String names the state for logs.
func (s State) String() string {
	return [...]string{"none", "running", "done", "failed", "stopped", "not_started", "crashed"}[s]
}
