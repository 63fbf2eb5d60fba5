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
	// Full means that the runner's free capacity does not suffice.
	Full
	// Late means that the order was in transit for too long, or its caller no longer waits.
	Late
	// Closed means that no starts are accepted.
	Closed
	// Unwell means that the runner rejected the start or did not answer.
	Unwell
	// Unknown means that there is no such run.
	Unknown
)

// Report tells an owner the state of a run.
type Report struct {
	Owner   Owner
	Run     work.RunID
	State   State
	Refusal Refusal
	// Began is the uptime at which the run was known to have started; zero if it is not known
	// to have started.
	Began time.Duration
	// Over is the uptime at which it was known to be over; zero while it runs.
	Over time.Duration
	// Crash is set with the state Crashed.
	Crash *Crash
}

// Ran returns how long the run has lasted at the uptime now, zero if it is not known to have
// started.
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

// Order requests one run.
type Order struct {
	Run  work.RunID
	Spec string
	Need work.Amounts
	// Life is the time left until the job's caller stops waiting.
	Life time.Duration
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
	// Open is true while starts are accepted.
	Open bool
	// Cleared is true once nothing that a previous guard process ordered runs or can still
	// start.
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
