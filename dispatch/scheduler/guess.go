package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// kindKey names a kind of task of one customer.
type kindKey struct{ customer, kind string }

// guesses holds, by kind, the queued jobs with tasks whose run time was not
// learnt when they came.
type guesses map[kindKey]map[*jobState]struct{}

func (g guesses) add(k kindKey, job *jobState) {
	if g[k] == nil {
		g[k] = map[*jobState]struct{}{}
	}
	g[k][job] = struct{}{}
}

// forget drops a job that has left the queue.
func (g guesses) forget(job *jobState) {
	for k := range job.guessed {
		g.drop(k, job)
	}
	job.guessed = nil
}

func (g guesses) drop(k kindKey, job *jobState) {
	delete(g[k], job)
	if len(g[k]) == 0 {
		delete(g, k)
	}
}

// jobs returns the jobs of a kind in the order in which they came.
func (g guesses) jobs(k kindKey) []*jobState {
	jobs := make([]*jobState, 0, len(g[k]))
	for job := range g[k] {
		jobs = append(jobs, job)
	}
	// Not in the map's random order, so that a history gives the same decisions
	// each time.
	slices.SortFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.seq, b.seq) })
	return jobs
}

// learn takes the run time of a completed task. The first rush of a kind is
// queued before anything is known of it: once something is, the queued jobs are
// counted by that. Left at their guesses, jobs declared too long would be held
// against those that come, and of those declared too short more would be taken
// than can be answered. A kind does so twice at most.
func (s *Scheduler) learn(now time.Time, job *jobState, index int, run time.Duration) {
	k := kindKey{job.Customer, job.kinds[index]}
	s.relearn(job, k.kind)
	if !s.learnt.Learn(k.customer, k.kind, run) {
		return
	}
	for _, queued := range s.guesses.jobs(k) {
		s.estimateAgain(now, queued, k.kind)
	}
}

// estimateAgain counts the job's tasks of a kind by what is known of it now. Of
// those that run the endpoints are judged by that too.
func (s *Scheduler) estimateAgain(now time.Time, job *jobState, kind string) {
	estimates := slices.Clone(job.Estimates)
	shown := slices.Clone(job.Shown)
	learnt := false
	for i, of := range job.kinds {
		if of != kind {
			continue
		}
		e := s.learnt.Estimate(job.Customer, kind, job.declared[i], job.runLimit)
		estimates[i], shown[i], learnt = e.Mean, e.Shown, e.Learnt
		if started := s.opens[TaskRef{Job: JobID(job.ID), Index: i}]; started != nil {
			started.expected = e.Shown
		}
	}
	s.queue.Estimate(now, &job.Job, estimates, shown)
	if learnt {
		k := kindKey{job.Customer, kind}
		delete(job.guessed, k)
		s.guesses.drop(k, job)
	}
}
