package runs

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// Owner is one life of an entry.
type Owner struct {
	Entry       string
	Incarnation uint64
}

// State of a run, as its owner is told.
type State int

// States.
const (
	Running State = iota + 1
	Done
	Failed
	// Stopped: over before its work was done.
	Stopped
	// NotStarted: it never ran and never will.
	NotStarted
	// Crashed: its runner crashed under it.
	Crashed
)

// Refusal says why a run was not started.
type Refusal int

// Refusals.
const (
	NoRefusal Refusal = iota
	// Full: no room.
	Full
	// Late: the order was under way for too long.
	Late
	// Closed: no starts are taken.
	Closed
	// Unwell: the runner turned it down or didn't answer.
	Unwell
	// Unknown: there is no such run.
	Unknown
)

// Report tells an owner what became of a run.
type Report struct {
	Owner   Owner
	Run     work.RunID
	State   State
	Refusal Refusal
	// Began is the uptime at which the run was known to have begun; zero for one
	// that was not.
	Began time.Duration
	// Over is the uptime at which it was known to be over; zero while it lasts.
	Over time.Duration
	// Crash is set with the state Crashed.
	Crash *Crash
}

// Ran is how long the run has lasted at an uptime; zero when it is not known to
// have begun.
func (r Report) Ran(now time.Duration) time.Duration {
	switch {
	case r.Began == 0:
		return 0
	case r.Over > 0:
		return r.Over - r.Began
	default:
		return now - r.Began
	}
}

// Order asks for one run.
type Order struct {
	Run  work.RunID
	Spec string
	Need work.Amounts
	// Life is the time left until the job's caller stops waiting.
	Life time.Duration
}

// Process is what is known of one process of the runner.
type Process struct {
	work.Incarnation
	Service string
	Address string
	Labels  []string
	Total   work.Amounts
	// Token fences the orders of older guards off.
	Token int64
}

// Capacity is what the runner has and what is taken.
type Capacity struct {
	Process
	// Open is false while no starts are taken.
	Open bool
	// Cleared is true once nothing that an older guard ordered runs or can begin.
	Cleared bool
	Used    work.Amounts
}

// Start is a start to be sent to the runner.
type Start struct {
	Run  work.RunID
	Name work.RunName
	Spec string
}

// Stop is a stop to be sent to the runner.
type Stop struct {
	Name work.RunName
}

// String names the refusal for logs and metrics.
func (r Refusal) String() string {
	switch r {
	case Full:
		return "full"
	case Late:
		return "stale"
	case Closed:
		return "closed"
	case Unwell:
		return "unwell"
	case Unknown:
		return "unknown"
	default:
		return "none"
	}
}

// String names the state for logs.
func (s State) String() string {
	return [...]string{"none", "running", "done", "failed", "stopped", "not_started", "crashed"}[s]
}
