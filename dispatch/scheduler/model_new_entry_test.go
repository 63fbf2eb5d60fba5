package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/baseline"
	"almondstand.dev/dispatch/scheduler"
)

// keepBusy simulates a caller that submits jobs to an entry one after the other without
// end. tasks returns the number of tasks of the next job; each task runs for the given
// time.
func (m *model) keepBusy(e *modelEntry, run time.Duration, tasks func() int, done func(took time.Duration, ok bool)) {
	m.jobs++
	j := &modelJob{left: tasks(), ideal: run}
	j.Job = scheduler.Job{ID: scheduler.JobID(strconv.Itoa(m.jobs)), Client: "0", Priority: 1, RunLimit: 10 * time.Second}
	for range j.left {
		j.runs = append(j.runs, run)
		j.Tasks = append(j.Tasks, scheduler.Task{Kind: "0"})
	}
	submitted := m.now
	j.done = func(ok bool) {
		done(m.now.Sub(submitted), ok)
		m.after(time.Millisecond, func() { m.keepBusy(e, run, tasks, done) })
	}
	e.submit(j)
}

// newEntryLatency runs a model in which callers keep all entries but the last busy. It
// returns the longest response time of jobs with the given number of tasks at the last
// entry, and how many of them were answered in time.
func newEntryLatency(c modelCase, callers, tasks int, size func(caller, n int) int) (longest time.Duration, answered int) {
	m := newModel(c.withDefaults())
	last := c.Entries - 1
	for i := range callers {
		n := 0
		next := func() int { n++; return size(i, n) }
		m.keepBusy(m.entries[i%last], 30*time.Millisecond, next, func(time.Duration, bool) {})
	}
	m.after(time.Second, func() {
		m.keepBusy(m.entries[last], 10*time.Millisecond, func() int { return tasks }, func(took time.Duration, ok bool) {
			longest = max(longest, took)
			if ok {
				answered++
			}
		})
	})
	m.run()
	return longest, answered
}

// TestModelNewEntry guards against starving an entry that joins while other entries
// keep all guards full. Every report shows it full guards, and in the guards' queues
// the tasks of smaller jobs go first. Its jobs must not wait long, neither when the
// other entries' jobs are large, nor when more entries than a guard has slots submit
// only jobs of one task. Without the minimum number of tasks in flight (MinInFlight) the
// first case starves.
func TestModelNewEntry(t *testing.T) {
	mixed := func(caller, n int) int { return 1 + (caller+4*n)%10 }
	single := func(int, int) int { return 1 }
	for seed := range uint64(3) {
		few := modelCase{Entries: 3, Guards: 2, Bound: 8, AnswerTime: 20, Seconds: 60, Seed: seed + 1}
		longest, answered := newEntryLatency(few, 24, 2, mixed)
		assert.Assert(t, longest < time.Second, "%v, %d answered", longest, answered)
		crowd := few
		crowd.Entries = 16
		longest, answered = newEntryLatency(crowd, 200, 2, single)
		assert.Assert(t, longest < time.Second, "%v, %d answered", longest, answered)
		few.Variant = baseline.Variant{MinInFlight: ptr(0)}
		longest, answered = newEntryLatency(few, 24, 2, mixed)
		assert.Assert(t, longest > 5*time.Second, "%v, %d answered", longest, answered)
	}
}
