package scheduler

import (
	"time"

	"almondstand.dev/dispatch/admission"
)

// Bounds of the interval between two retests of a customer's run times.
const (
	firstRetest = time.Second
	maxRetest   = 32 * time.Second
)

// retest paces the jobs of one customer that are let through against their learnt run
// times.
type retest struct {
	due      time.Time
	interval time.Duration
}

// retestDue reports whether the job is to be let through although its learnt run times
// leave no time for it on an idle service, and else how long until the next one is. While
// all such jobs are rejected nothing runs that could correct what was learnt.
func (s *Scheduler) retestDue(now time.Time, job *jobState, l admission.Load, d admission.Demand) (due bool, wait time.Duration) {
	if !d.Learnt || s.gate.Feasible(l, d) {
		return false, 0
	}
	r := s.retest[job.Customer]
	if r == nil {
		r = &retest{interval: firstRetest}
		s.retest[job.Customer] = r
	}
	if now.Before(r.due) {
		return false, s.gate.Spread(r.due.Sub(now))
	}
	r.due = now.Add(r.interval)
	r.interval = min(2*r.interval, maxRetest)
	job.retested = map[string]struct{}{}
	for _, kind := range job.kinds {
		job.retested[kind] = struct{}{}
	}
	return true, 0
}

// relearn has the first completed run of a retested kind replace what was learnt of it.
func (s *Scheduler) relearn(job *jobState, kind string) {
	if _, retested := job.retested[kind]; !retested {
		return
	}
	delete(job.retested, kind)
	delete(s.retest, job.Customer)
	s.learnt.Forget(job.Customer, kind)
}
