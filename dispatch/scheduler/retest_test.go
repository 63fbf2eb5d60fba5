package scheduler_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/scheduler"
)

// retestJob is a job of one task with four seconds to answer.
func retestJob(now time.Time, n int) scheduler.Job {
	job := newJob(fmt.Sprint("retest", n), 1)
	job.Accepted, job.Deadline = now, now.Add(4*time.Second)
	job.Tasks[0].Kind = "lookup"
	return job
}

// learnSlow returns a scheduler that has learnt run times of three seconds.
func learnSlow(t *testing.T) *scheduler.Scheduler {
	t.Helper()
	s := newScheduler(scheduler.Options{})
	for _, id := range []scheduler.EndpointID{"a", "b", "c"} {
		s.SetEndpoint(start, scheduler.Endpoint{ID: id, Slots: 8})
	}
	slow := newJob("slow", 10)
	for i := range slow.Tasks {
		slow.Tasks[i].Kind = "lookup"
	}
	assert.NilError(t, s.Admit(start, slow))
	for _, a := range drain(s, start) {
		s.Done(start.Add(3*time.Second), a, scheduler.Result{Outcome: scheduler.Completed, RunTime: 3 * time.Second})
	}
	return s
}

// TestJobsAreAdmittedAgainAfterSlowPeriod guards against rejecting all jobs for good
// after a slow period during which learnt run times grew beyond the answer time.
func TestJobsAreAdmittedAgainAfterSlowPeriod(t *testing.T) {
	s := learnSlow(t)
	now := start.Add(3 * time.Second)
	for n := range 40 {
		now = now.Add(25 * time.Millisecond)
		err := s.Admit(now, retestJob(now, n))
		assert.NilError(t, err, "job %d", n)
		for _, a := range drain(s, now) {
			s.Done(now.Add(20*time.Millisecond), a, scheduler.Result{Outcome: scheduler.Completed, RunTime: 20 * time.Millisecond})
		}
	}
}

// TestJobsThatCannotBeAnsweredAreRejected guards against admitting job after job that
// can't be answered in time, and against a RetryAfter longer than the time until the
// next retest.
func TestJobsThatCannotBeAnsweredAreRejected(t *testing.T) {
	s := learnSlow(t)
	now := start.Add(3 * time.Second)
	var admitted int
	for n := range 600 {
		now = now.Add(100 * time.Millisecond)
		err := s.Admit(now, retestJob(now, n))
		var rejection *scheduler.AdmissionError
		if errors.As(err, &rejection) {
			assert.ErrorIs(t, err, scheduler.ErrBacklog)
			assert.Assert(t, rejection.RetryAfter > 0 && rejection.RetryAfter < 40*time.Second, "%s", rejection.RetryAfter)
			continue
		}
		admitted++
		for _, a := range drain(s, now) {
			s.Drop(a.Task.Job)
			s.Done(now, a, scheduler.Result{Outcome: scheduler.Cancelled})
		}
	}
	assert.Assert(t, admitted >= 2 && admitted <= 8, "%d admitted", admitted)
}
