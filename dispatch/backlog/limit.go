// Package backlog bounds the waiting work of each contract, books rejected work on a schedule of
// retries and recognises the jobs that return. It has no clock, input or output.
//
// It addresses a load of which one kind exceeds the capacity for seconds, with callers that are
// rejected and retry: without a limit such a kind fills the queue with jobs that cannot be answered
// in time, and callers that were rejected together retry together.
package backlog

import "time"

const (
	// exemptJobs is the number of waiting jobs that a contract may always have. A job whose work
	// alone exceeds the limit could otherwise never wait for capacity.
	exemptJobs = 2
	// MinUrgentLeft is the part of the capacity that counts for a contract however much more
	// urgent work arrives: one job in four is started regardless of its priority.
	MinUrgentLeft = 0.25
	// ErrorFactor and errorMargin are by how much a predicted wait must exceed the time left for a
	// rejection: run times and waiting work are known to within a third, and a wait of some
	// milliseconds is within the error of the forecast. Without them the limit has 4 % fewer jobs
	// on time under lasting overload of 1.5 times the capacity, and 0.7 % fewer if only the
	// larger of the two counts for it (replay, four seeds).
	ErrorFactor = 1.3
	errorMargin = 50 * time.Millisecond
)

// TooLate reports whether a predicted wait exceeds the time left by more than its error.
func TooLate(wait, left time.Duration) bool {
	return float64(wait) >= ErrorFactor*float64(left) && wait >= left+errorMargin
}

// Contract is the state of a contract when one of its jobs arrives.
type Contract struct {
	// Waiting is the contract's waiting work without the job, and Jobs the number of its waiting
	// jobs. Job is the work of the job. Work is in core-seconds.
	Waiting, Job float64
	Jobs         int
	// Cores is the contract's share of the capacity; zero if it is unknown.
	Cores float64
	// Usable is the time within which a start still meets the response-time target of the job's
	// caller. Until a late answer is of no use at all takes three times as long; a limit of that
	// rejects hardly any job before its own time is over.
	Usable time.Duration
}

// Exceeded reports whether the job would have the contract wait for more work than drains within
// the time in which its callers can still use the answer.
func (c Contract) Exceeded() bool {
	if c.Jobs < exemptJobs || c.Cores <= 0 {
		return false
	}
	return c.Drain() > seconds(ErrorFactor*c.Usable.Seconds())+errorMargin
}

// Drain is the time in which the contract's waiting work, and the job, drain.
func (c Contract) Drain() time.Duration {
	if c.Cores <= 0 {
		return 0
	}
	return seconds((c.Waiting + c.Job) / c.Cores)
}

// Share returns the cores left for a contract while the given more urgent work arrives, in cores.
func Share(cores, urgentArrivals float64) float64 {
	return max(cores-urgentArrivals, MinUrgentLeft*cores)
}

// maxSeconds bounds the conversion to time.Duration, which holds some 290 years.
const maxSeconds = 1e6

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
