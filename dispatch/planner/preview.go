package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// An entry that is short of processor time, that reaches no endpoint or that shuts down hands jobs over to
// other entries. Whether a job can be, and whether it should be, is forecast before it is accepted.

// JobPreview is the forecast for a job that has not been submitted.
type JobPreview struct {
	// Slack is the time left until the latest start that meets the response-time target; negative
	// if that has passed.
	Slack time.Duration
	// Involved is true if this entry has the job, or if tasks of an earlier submission of it may
	// have run: it has ended here without completing, or a start of it may still be executed.
	// What is known of it here then decides on its starts and its answer.
	Involved bool
}

// Preview returns the forecast for a job whose caller has waited for the given time and waits until the
// deadline. It changes nothing.
func (p *Planner) Preview(now, deadline, waited time.Duration, w work.Job, t Terms) JobPreview {
	if p.involved(now, w) {
		return JobPreview{Involved: true}
	}
	estimate, factor := p.estimates[t.Contract], 1.0
	if estimate == nil {
		// Nothing has been learnt of the contract's run times.
		estimate = noEstimate
	}
	if s := p.services[t.Service]; s != nil {
		factor = s.meanFactor()
	}
	j := &job{work: w, terms: t, arrived: now - waited, deadline: deadline}
	j.predict(estimate, factor)
	return JobPreview{Slack: j.startBy - now}
}

// noEstimate is the estimate for a contract of which nothing has been learnt.
var noEstimate = &estimate{}

// involved reports whether tasks of a job run here or may have run.
func (p *Planner) involved(now time.Duration, w work.Job) bool {
	if p.jobs[w.ID] != nil || max(p.attempts[w.ID], p.olderAttempts[w.ID]) > 0 {
		return true
	}
	if len(p.lateStarts) == 0 {
		return false
	}
	for step := range w.Steps {
		for index := range w.Steps[step].Count {
			for _, l := range p.lateStarts[work.TaskID{Job: w.ID, Step: step, Index: index}] {
				if l.until > now {
					return true
				}
			}
		}
	}
	return false
}

// ReachesService reports whether an endpoint of a service accepts starts, or is cordoned and can be
// reached: the other entries know the same cordons.
func (p *Planner) ReachesService(name string) bool {
	s := p.services[name]
	if s == nil {
		return false
	}
	for _, e := range s.endpoints {
		if e.attached && (e.open || e.cordoned) {
			return true
		}
	}
	return false
}
