package scheduler

import (
	"time"

	"almondstand.dev/dispatch/admission"
)

// Limits of the interval between two retests of a client's run times.
const (
	firstRetest = time.Second
	maxRetest   = 32 * time.Second
)

// retest is the schedule of the jobs of one client that are admitted although its
// learnt run times call for a rejection.
type retest struct {
	due      time.Time
	interval time.Duration
}

// retestDue reports whether to admit the job although its learnt run times exceed its
// answer time even on an idle service, and otherwise how long until the next such
// admission. While all such jobs are rejected, nothing runs that could correct the
// learnt run times.
func (s *Scheduler) retestDue(now time.Time, job *jobState, l admission.Load, d admission.Demand) (due bool, wait time.Duration) {
	if !d.Learnt || s.admissionController.Feasible(l, d) {
		return false, 0
	}
	r := s.retest[job.Client]
	if r == nil {
		r = &retest{interval: firstRetest}
		s.retest[job.Client] = r
	}
	if now.Before(r.due) {
		return false, s.admissionController.AddJitter(r.due.Sub(now))
	}
	r.due = now.Add(r.interval)
	r.interval = min(2*r.interval, maxRetest)
	job.retested = map[string]struct{}{}
	for _, kind := range job.kinds {
		job.retested[kind] = struct{}{}
	}
	return true, 0
}

// resetRetested discards the learnt run times of a retested kind before its first
// completed run is recorded.
func (s *Scheduler) resetRetested(job *jobState, kind string) {
	if _, retested := job.retested[kind]; !retested {
		return
	}
	delete(job.retested, kind)
	delete(s.retest, job.Client)
	s.runTimes.Forget(job.Client, kind)
}
