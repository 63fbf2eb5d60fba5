package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// kindKey identifies a kind of task of one client.
type kindKey struct{ client, kind string }

// provisionalJobs holds, by kind, the queued jobs with tasks whose run time was not
// learnt when the job was admitted.
type provisionalJobs map[kindKey]map[*jobState]struct{}

func (g provisionalJobs) add(k kindKey, job *jobState) {
	if g[k] == nil {
		g[k] = map[*jobState]struct{}{}
	}
	g[k][job] = struct{}{}
}

// forget removes a job that has left the queue.
func (g provisionalJobs) forget(job *jobState) {
	for k := range job.provisionalKinds {
		g.drop(k, job)
	}
	job.provisionalKinds = nil
}

func (g provisionalJobs) drop(k kindKey, job *jobState) {
	delete(g[k], job)
	if len(g[k]) == 0 {
		delete(g, k)
	}
}

// jobs returns the jobs of a kind in order of admission.
func (g provisionalJobs) jobs(k kindKey) []*jobState {
	jobs := make([]*jobState, 0, len(g[k]))
	for job := range g[k] {
		jobs = append(jobs, job)
	}
	// Map iteration order is random; sorting makes the decisions reproducible for a
	// given sequence of events.
	slices.SortFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.seq, b.seq) })
	return jobs
}

// learn records the run time of a completed task. The first burst of a kind is queued
// before any of its run times are known. Once they are, the queued jobs are estimated
// again. With the initial estimates, jobs declared too long would cause later jobs to
// be rejected, and jobs declared too short would let in more than can be answered. This
// happens at most twice per kind.
func (s *Scheduler) learn(now time.Time, job *jobState, index int, run time.Duration) {
	k := kindKey{job.Client, job.kinds[index]}
	s.resetRetested(job, k.kind)
	if !s.runTimes.Add(k.client, k.kind, run) {
		return
	}
	for _, queued := range s.provisionalJobs.jobs(k) {
		s.reestimate(now, queued, k.kind)
	}
}

// reestimate updates the estimates of the job's tasks of a kind from the learnt run
// times. Attempts in flight get the new expected run time too, so that their endpoints
// are evaluated by it.
func (s *Scheduler) reestimate(now time.Time, job *jobState, kind string) {
	estimates := slices.Clone(job.Estimates)
	admissionEstimates := slices.Clone(job.AdmissionEstimates)
	learnt := false
	for i, of := range job.kinds {
		if of != kind {
			continue
		}
		e := s.runTimes.Estimate(job.Client, kind, job.declared[i], job.runLimit)
		estimates[i], admissionEstimates[i], learnt = e.Mean, e.Observed, e.FromSamples
		if started := s.inFlight[TaskRef{Job: JobID(job.ID), Index: i}]; started != nil {
			started.expected = e.Observed
		}
	}
	s.queue.Estimate(now, &job.Job, estimates, admissionEstimates)
	if learnt {
		k := kindKey{job.Client, kind}
		delete(job.provisionalKinds, k)
		s.provisionalJobs.drop(k, job)
	}
}
