package scheduler

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/health"
	"almondstand.dev/dispatch/internal/indexed"
	"almondstand.dev/dispatch/placement"
)

// Done implements Policy.
func (s *Scheduler) Done(now time.Time, a Assignment, r Result) (requeued bool) {
	s.lastNow = now
	ended := s.finish(a)
	if ended == nil {
		return false
	}
	run := runTime(now, ended, r)
	s.observe(now, ended, r, run)
	requeued = s.mayRetry(now, ended, r)
	if requeued {
		s.requeue(now, ended)
	} else {
		s.queue.Finish(now, &ended.job.Job, ended.index, run)
	}
	s.forgetJob(ended.job)
	s.forgetEndpoint(ended.endpoint)
	return requeued
}

// finish removes the attempt of an assignment; it returns nil for an assignment that
// isn't in flight. The time of the decision is compared too, because a task may be
// assigned again after a refusal.
func (s *Scheduler) finish(a Assignment) *attempt {
	ended := s.inFlight[a.Task]
	if ended == nil || ended.endpoint.id != a.Endpoint || !ended.at.Equal(a.DecidedAt) {
		return nil
	}
	delete(s.inFlight, a.Task)
	ended.job.inFlight--
	ended.endpoint.end(ended)
	s.candidates.CountEnd(ended.endpoint.candidate)
	return ended
}

// runTime returns how long the attempt occupied a slot.
func runTime(now time.Time, ended *attempt, r Result) time.Duration {
	switch {
	case r.Outcome == Rejected:
		return 0
	case r.RunTime > 0:
		return r.RunTime
	}
	return max(0, now.Sub(ended.at))
}

// observe updates run times, retry budget and health from the outcome of an attempt.
func (s *Scheduler) observe(now time.Time, ended *attempt, r Result, run time.Duration) {
	e := ended.endpoint
	if r.Outcome == Completed {
		s.budget.Earn()
		s.learn(now, ended.job, ended.index, run)
		e.backoff = 0
	}
	if !e.monitored {
		return
	}
	if r.Outcome == Rejected {
		e.backOff(now, s.refusalBackoff())
	}
	if ended.probe && e.health.Probing() {
		s.observeProbe(now, ended, r, run)
	} else {
		s.observeWork(now, ended, r, run)
	}
	s.refresh(now, e)
}

func (s *Scheduler) observeProbe(now time.Time, ended *attempt, r Result, run time.Duration) {
	record := ended.endpoint.health
	switch r.Outcome {
	case Completed:
		s.health.ProbeCompleted(now, record, ended.expected, run)
	case Failed, Lost:
		s.health.ProbeFailed(now, record, ended.healthTask(run))
	case Rejected, Cancelled:
		s.health.ProbeInconclusive(record)
	}
}

func (s *Scheduler) observeWork(now time.Time, ended *attempt, r Result, run time.Duration) {
	e := ended.endpoint
	task := ended.healthTask(run)
	switch r.Outcome {
	case Completed:
		s.health.TaskCompleted(now, e.health, task)
	case Failed, Lost:
		s.health.TaskFailed(now, e.health, task)
	case Rejected, Cancelled:
		return
	}
	s.evaluate(now, e)
}

// refusalBackoff returns the backoff after an endpoint's first refusal in a row. A full
// endpoint accepts its next task when one of its slots becomes free, on average after a
// run time divided by the slots. Once refusals have used up the retry budget, the
// longest backoff applies.
func (s *Scheduler) refusalBackoff() time.Duration {
	if !s.budget.Spend() {
		return maxRefusalBackoff
	}
	return max(minRefusalBackoff, s.runTimes.Mean()/typicalSlots)
}

// mayRetry decides whether the task goes back into the queue. A task that may have run
// is retried only when its caller declared it idempotent, and within the retry budget.
// After a refusal the endpoint backs off, but the task keeps its place in the queue: it
// is not the task's fault that an endpoint is full.
func (s *Scheduler) mayRetry(now time.Time, ended *attempt, r Result) bool {
	job := ended.job
	if job.Removed() || !now.Before(job.Deadline) {
		return false
	}
	attempts := job.attempts[ended.index] + 1
	switch r.Outcome {
	case Rejected:
		return attempts < maxRefusedStarts
	case Failed:
		return job.Idempotent && attempts < maxFailedStarts && s.budget.Spend()
	case Lost:
		return job.Idempotent && attempts < maxLostStarts && s.budget.Spend()
	case Completed, Cancelled:
	}
	return false
}

func (s *Scheduler) requeue(now time.Time, ended *attempt) {
	job := ended.job
	if job.attempts == nil {
		job.attempts = map[int]int{}
	}
	job.attempts[ended.index]++
	job.avoid = ended.endpoint
	s.queue.Return(now, &job.Job, ended.index)
}

// forgetJob releases the state of a job that has ended; the job itself is kept until
// its last attempt has ended.
func (s *Scheduler) forgetJob(job *jobState) {
	if !job.Removed() {
		return
	}
	s.provisionalJobs.forget(job)
	if job.inFlight == 0 {
		delete(s.jobs, JobID(job.ID))
	}
}

// Drop implements Policy.
func (s *Scheduler) Drop(id JobID) []TaskRef {
	job := s.jobs[id]
	if job == nil {
		return nil
	}
	indexes := s.queue.Remove(&job.Job)
	slices.Sort(indexes)
	refs := make([]TaskRef, 0, len(indexes))
	for _, index := range indexes {
		refs = append(refs, TaskRef{Job: id, Index: index})
	}
	s.forgetJob(job)
	return refs
}

// Expired implements Policy.
func (s *Scheduler) Expired(now time.Time) []JobID {
	var ids []JobID
	for job := s.queue.Expired(now); job != nil; job = s.queue.Expired(now) {
		id := JobID(job.ID)
		s.Drop(id)
		ids = append(ids, id)
	}
	return ids
}

// SetEndpoint implements Policy.
func (s *Scheduler) SetEndpoint(now time.Time, e Endpoint) {
	s.lastNow = now
	known := s.endpoints[e.ID]
	if known == nil {
		known = &endpoint{id: e.ID, candidate: s.candidates.Add(string(e.ID), e.DataCentre), timerIndex: indexed.None}
		known.health = health.NewRecord()
		s.endpoints[e.ID] = known
	}
	known.removed = false
	s.candidates.SetNoQueue(known.candidate, e.NoQueue)
	s.candidates.Configure(known.candidate, e.Slots, e.EntryLimit, e.Draining)
	s.updateMonitored(now, known)
}

// RemoveEndpoint implements Policy. An endpoint with attempts in flight is kept,
// hidden from placement, until they end: if it is added again before, its slots are
// still taken.
func (s *Scheduler) RemoveEndpoint(id EndpointID) {
	e := s.endpoints[id]
	if e == nil || e.removed {
		return
	}
	e.removed = true
	s.candidates.Configure(e.candidate, 0, 0, true)
	s.updateMonitored(s.lastNow, e)
	s.forgetEndpoint(e)
}

// updateMonitored adds the endpoint to the health monitor or removes it after its
// announced state has changed. Only endpoints that accept tasks are peers of each
// other: if a draining one counted, all remaining endpoints could be ejected.
func (s *Scheduler) updateMonitored(now time.Time, e *endpoint) {
	s.capacityAt = time.Time{}
	usable := e.candidate.Usable()
	readmitted := false
	switch {
	case usable && !e.monitored:
		e.health = s.health.Add()
	case !usable && e.monitored:
		readmitted = s.health.Remove(now, e.health)
		e.health = health.NewRecord()
	}
	e.monitored = usable
	s.refresh(now, e)
	if readmitted {
		s.refreshAll(now)
	}
}

// refreshAll refreshes all endpoints after the health status of some endpoint has
// changed.
func (s *Scheduler) refreshAll(now time.Time) {
	for _, e := range s.endpoints {
		s.refresh(now, e)
	}
}

// forgetEndpoint deletes a removed endpoint once its last attempt has ended.
func (s *Scheduler) forgetEndpoint(e *endpoint) {
	if e.removed && len(e.inFlight) == 0 {
		s.candidates.Remove(e.candidate)
		delete(s.endpoints, e.id)
	}
}

// ApplyReport implements Policy.
func (s *Scheduler) ApplyReport(now time.Time, id EndpointID, r Report) {
	e := s.endpoints[id]
	if e == nil || e.removed {
		return
	}
	s.candidates.Report(now, e.candidate, placement.Report{
		Version: r.Version,
		Others:  r.OthersInFlight,
		Slots:   r.Slots,
		Leaving: r.Draining,
	})
	if e.monitored != e.candidate.Usable() {
		s.updateMonitored(now, e)
	}
	if e.monitored && r.Outcomes != (OutcomeCounts{}) {
		s.applyOutcomeCounts(now, e, r.Outcomes)
	}
}

// applyOutcomeCounts applies the endpoint's outcome counts for the tasks of all
// entries.
func (s *Scheduler) applyOutcomeCounts(now time.Time, e *endpoint, p OutcomeCounts) {
	probeMoved := s.health.ApplyOutcomeCounts(now, e.health, health.OutcomeCounts{
		Completed:             p.Completed,
		Failed:                p.Failed,
		ConsecutiveFailedJobs: p.ConsecutiveFailedJobs,
	})
	if probeMoved {
		s.refresh(now, e)
	}
	if p.ConsecutiveFailedJobs > 0 || e.health.Status() == health.Suspect {
		s.evaluate(now, e)
	}
}

// NextWakeup implements Policy.
func (s *Scheduler) NextWakeup(time.Time) time.Time {
	next := s.queue.NextDeadline()
	if s.queue.Waiting() == 0 {
		return next
	}
	if s.timers.Len() > 0 {
		next = earlier(next, s.timers.Min().timerAt)
	}
	for _, e := range s.dueProbes {
		if e.canProbe() {
			next = earlier(next, e.health.ProbeOverdueAt())
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Stats implements Policy.
func (s *Scheduler) Stats() QueueStats {
	b := QueueStats{
		Jobs:     s.queue.Jobs(),
		Queued:   s.queue.Waiting(),
		InFlight: len(s.inFlight),
		Bytes:    s.queue.Bytes(),
		Ejected:  s.health.Ejected(),
	}
	for _, e := range s.endpoints {
		if !e.removed {
			b.Endpoints++
		}
	}
	return b
}
