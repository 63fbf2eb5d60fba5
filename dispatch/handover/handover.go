// Package handover decides which jobs an entry hands over to another entry, and to which one.
// It has no clock and does no I/O.
//
// It serves entries behind one load balancer on hosts of unequal size: one that is short of
// processor time, that reaches no guard or that shuts down has jobs that another entry can still
// answer in time.
package handover

import "time"

// Load is the load of another entry as it reported it.
type Load struct {
	// Address is where the entry accepts connections from other entries.
	Address string
	// Lag is the mean time by which it has lately handled events late.
	Lag time.Duration
	// SpareMilli is the processor time that it did not use, in thousandths of a core.
	SpareMilli int
}

// State is the state of this entry.
type State struct {
	// Lag is the mean time by which this entry has lately handled events late.
	Lag time.Duration
	// Draining is true once the entry takes no new jobs because it shuts down.
	Draining bool
	// Unreachable is true while no endpoint of the job's service can be reached from this entry.
	Unreachable bool
}

// Job is what a decision needs of a job.
type Job struct {
	// Slack is the time that is left beyond the expected run time until the response-time target.
	Slack time.Duration
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
}

// Reason is why a job is handed over.
type Reason string

// Values of Reason.
const (
	ReasonLag         Reason = "lag"
	ReasonDraining    Reason = "draining"
	ReasonUnreachable Reason = "no_endpoint_reached"
)

// Outcome is how a hand-over ended.
type Outcome int

// Values of Outcome.
const (
	// Answered: the other entry answered with the job's outcome.
	Answered Outcome = iota + 1
	// NotTaken: the other entry took the job not over, or could not be reached.
	NotTaken
	// Lost: the connection ended after the job was sent.
	Lost
)

// Policy is the state of the decisions of one entry. It is not safe for concurrent use.
type Policy struct{}

// New returns a policy that knows no other entry. seed is the random seed for the choice between
// entries.
func New(seed uint64) *Policy { return &Policy{} }

// RecordLoad records the load of another entry.
func (p *Policy) RecordLoad(now time.Duration, l Load) {}

// Wanted reports whether this entry hands jobs over or soon will, so that it needs the loads of the
// other entries.
func (p *Policy) Wanted(now time.Duration, s State) bool { return false }

// Choose returns the entry that a job is handed over to, and why; ok is false if the job stays here. A
// chosen job counts as under way until Ended is called for it.
func (p *Policy) Choose(now time.Duration, s State, j Job) (address string, why Reason, ok bool) {
	return "", "", false
}

// Ended records the end of a hand-over.
func (p *Policy) Ended(now time.Duration, address string, o Outcome) {}
