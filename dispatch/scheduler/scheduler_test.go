package scheduler_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/scheduler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newScheduler(o scheduler.Options) *scheduler.Scheduler {
	return scheduler.New(o, rand.New(rand.NewPCG(1, 2)))
}

func newJob(id string, tasks int) scheduler.Job {
	return scheduler.Job{
		ID:       scheduler.JobID(id),
		Client:   "c",
		Priority: 1,
		Accepted: start,
		Deadline: start.Add(10 * time.Second),
		Tasks:    make([]scheduler.Task, tasks),
	}
}

// drain calls Next until no task can start.
func drain(s scheduler.Policy, now time.Time) []scheduler.Assignment {
	var all []scheduler.Assignment
	for {
		a, ok := s.Next(now)
		if !ok {
			return all
		}
		all = append(all, a)
	}
}

func TestStartsOnlyOnFreeSlotsAndMinInFlight(t *testing.T) {
	s := newScheduler(scheduler.Options{MinInFlight: 2})
	s.SetEndpoint(start, scheduler.Endpoint{ID: "a", Slots: 3})
	s.SetEndpoint(start, scheduler.Endpoint{ID: "b", Slots: 3})
	s.ApplyReport(start, "b", scheduler.Report{Version: 1, OthersInFlight: 3, Slots: 3})
	assert.NilError(t, s.Admit(start, newJob("j", 20)))
	count := map[scheduler.EndpointID]int{}
	for _, a := range drain(s, start) {
		count[a.Endpoint]++
	}
	assert.DeepEqual(t, count, map[scheduler.EndpointID]int{"a": 3, "b": 2})
}

func TestAdmissionWithoutEndpoints(t *testing.T) {
	s := newScheduler(scheduler.Options{})
	err := s.Admit(start, newJob("j", 1))
	var rejection *scheduler.AdmissionError
	assert.Assert(t, errors.As(err, &rejection))
	assert.ErrorIs(t, err, scheduler.ErrNoEndpoint)
	assert.Assert(t, rejection.RetryAfter > 0)
}

// TestRetries checks that a refused task is retried elsewhere and that a task that may
// have run is retried only for an idempotent job. A task that ran and failed is retried
// only once, since a task that exceeds its run limit would take as long to fail again.
func TestRetries(t *testing.T) {
	for _, c := range []struct {
		outcome    scheduler.Outcome
		idempotent bool
		starts     int
	}{
		{scheduler.Rejected, false, 16},
		{scheduler.Failed, false, 1},
		{scheduler.Lost, false, 1},
		{scheduler.Failed, true, 2},
		{scheduler.Lost, true, 4},
		{scheduler.Cancelled, true, 1},
	} {
		s := newScheduler(scheduler.Options{})
		s.SetEndpoint(start, scheduler.Endpoint{ID: "a", Slots: 1})
		s.SetEndpoint(start, scheduler.Endpoint{ID: "b", Slots: 1})
		job := newJob("j", 1)
		job.Idempotent = c.idempotent
		job.Deadline = start.Add(time.Hour)
		assert.NilError(t, s.Admit(start, job))
		now, starts, last := start, 0, scheduler.EndpointID("")
		for requeued := true; requeued; starts++ {
			a, ok := s.Next(now)
			for ; !ok; a, ok = s.Next(now) {
				now = s.NextWakeup(now)
			}
			assert.Assert(t, a.Endpoint != last || c.outcome == scheduler.Rejected)
			last = a.Endpoint
			requeued = s.Done(now, a, scheduler.Result{Outcome: c.outcome})
		}
		assert.Equal(t, starts, c.starts, "%+v", c)
		assert.Equal(t, s.Stats(), scheduler.QueueStats{Endpoints: 2})
	}
}

// TestRefusalBackoffDoesNotRejectJobs guards against counting the slots of endpoints in
// backoff as no capacity. Every endpoint refused one task a moment ago and is in its
// short backoff (5 ms to 1 s). A job of four tasks with a minute to answer, on 24 slots
// with an empty queue, was then rejected with ErrBacklog.
func TestRefusalBackoffDoesNotRejectJobs(t *testing.T) {
	s := newScheduler(scheduler.Options{})
	for _, id := range []scheduler.EndpointID{"a", "b", "c"} {
		s.SetEndpoint(start, scheduler.Endpoint{ID: id, Slots: 8})
	}
	assert.NilError(t, s.Admit(start, newJob("j", 6)))
	now := start.Add(time.Second)
	for _, a := range drain(s, start) {
		s.Done(now, a, scheduler.Result{Outcome: scheduler.Rejected})
	}
	next := newJob("k", 4)
	next.Deadline = start.Add(time.Minute)
	assert.NilError(t, s.Admit(now.Add(time.Millisecond), next))
}

// TestDeclaredTimesDoNotRejectJobs guards against rejecting jobs because of run times
// declared too long. In the first burst of a service, one client without learnt run
// times submits jobs of ten tasks, declared a hundred times too long. Part of them was
// rejected with ErrBacklog although all end within a tenth of their answer time,
// because the declared times of earlier jobs counted as backlog, even after the first
// tasks had shown their real run times.
func TestDeclaredTimesDoNotRejectJobs(t *testing.T) {
	s := newScheduler(scheduler.Options{})
	for _, id := range []scheduler.EndpointID{"a", "b", "c"} {
		s.SetEndpoint(start, scheduler.Endpoint{ID: id, Slots: 8})
	}
	burst := func(now time.Time, wave int) {
		for i := range 12 {
			job := newJob(fmt.Sprint(wave, i), 10)
			job.Deadline = now.Add(20 * time.Second)
			for k := range job.Tasks {
				job.Tasks[k] = scheduler.Task{Kind: "k", Declared: 3 * time.Second}
			}
			assert.NilError(t, s.Admit(now, job), "job %d of wave %d", i, wave)
		}
	}
	now := start
	for wave := range 3 {
		burst(now, wave)
		open := drain(s, now)
		now = now.Add(30 * time.Millisecond)
		for _, a := range open {
			s.Done(now, a, scheduler.Result{Outcome: scheduler.Completed, RunTime: 30 * time.Millisecond})
		}
	}
}
