package health_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/health"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const run = 100 * time.Millisecond

// task returns a task that is the only one of its job.
func task(n int, expected, used time.Duration) health.Task {
	return health.Task{Job: fmt.Sprint(n), Client: "c", StartedAt: origin, Expected: expected, RunTime: used}
}

func newMonitor(endpoints int) (*health.Monitor, []*health.Record) {
	m := health.New(health.Options{})
	records := make([]*health.Record, endpoints)
	for i := range records {
		records[i] = m.Add()
	}
	return m, records
}

func evaluate(m *health.Monitor, now time.Time, r *health.Record) health.Status {
	m.Evaluate(now, r, 0, run)
	return r.Status()
}

// TestFailingAgainstPeers: one endpoint fails while its peers complete tasks, and is
// ejected. When all fail alike, the endpoints are not at fault and none is ejected.
func TestFailingAgainstPeers(t *testing.T) {
	m, r := newMonitor(6)
	for i := range 3 {
		m.TaskFailed(origin, r[0], task(i, 0, 0))
		m.TaskCompleted(origin, r[1], task(i, run, run))
	}
	assert.Equal(t, evaluate(m, origin, r[0]), health.EjectedFailing)
	assert.Equal(t, evaluate(m, origin, r[1]), health.Healthy)
	m, r = newMonitor(6)
	for i := range 10 {
		for _, one := range r {
			m.TaskFailed(origin, one, task(i, 0, 0))
		}
	}
	for _, one := range r {
		assert.Equal(t, evaluate(m, origin, one), health.Healthy)
	}
}

// TestAtMostAThird: more endpoints fail than may be degraded; when peers leave, enough
// of them are reset that the limit still holds.
func TestAtMostAThird(t *testing.T) {
	m, r := newMonitor(6)
	for i := range 5 {
		for _, one := range r[3:] {
			m.TaskCompleted(origin, one, task(i, run, run))
		}
	}
	for _, one := range r[:3] {
		for i := range 5 {
			m.TaskFailed(origin, one, task(i, 0, 0))
		}
		evaluate(m, origin, one)
	}
	assert.Equal(t, m.Ejected(), 2)
	assert.Assert(t, m.Remove(origin, r[5]))
	assert.Equal(t, m.Ejected(), 1)
}

// TestMoreSevereFaultTakesPrecedence: one of three endpoints is slow, which reaches the
// limit of degraded endpoints, and another fails everything. The failing one must be
// ejected and the slow one reset, otherwise the failing one would look free all the
// time and fail nearly all jobs. A fault that is not more severe changes nothing.
func TestMoreSevereFaultTakesPrecedence(t *testing.T) {
	m, r := newMonitor(3)
	for i := range 20 {
		m.TaskCompleted(origin, r[0], task(i, run, 3*run))
		m.TaskCompleted(origin, r[1], task(i, run, run))
		m.TaskCompleted(origin, r[2], task(i, run, run))
	}
	assert.Equal(t, evaluate(m, origin, r[0]), health.Slow)
	for i := range 40 {
		m.TaskFailed(origin, r[1], task(100+i, 0, 0))
	}
	changed, relieved := m.Evaluate(origin, r[1], 0, run)
	assert.Assert(t, changed && relieved)
	assert.Equal(t, r[1].Status(), health.EjectedFailing)
	assert.Equal(t, r[0].Status(), health.Healthy)
	for i := range 80 {
		m.TaskCompleted(origin, r[0], task(i, run, 9*run))
		m.TaskFailed(origin, r[2], task(200+i, 0, 0))
	}
	assert.Equal(t, evaluate(m, origin, r[0]), health.Healthy)
	assert.Equal(t, evaluate(m, origin, r[2]), health.Healthy)
	assert.Equal(t, m.Ejected(), 1)
}

// TestProbes: the intervals between probes double up to the maximum, one successful
// probe isn't enough, and an endpoint that relapses continues with the next longer
// interval.
func TestProbes(t *testing.T) {
	m, r := newMonitor(3)
	now := origin
	fail := func() {
		for i := range 4 {
			m.TaskFailed(now, r[0], task(i, 0, 0))
		}
		assert.Equal(t, evaluate(m, now, r[0]), health.EjectedFailing)
	}
	fail()
	pause := health.DefaultMinProbeInterval
	for range 10 {
		assert.Equal(t, r[0].ProbeAt(), now.Add(pause))
		now = r[0].ProbeAt()
		m.ProbeStarted(r[0])
		assert.Assert(t, r[0].ProbeAt().IsZero())
		m.ProbeFailed(now, r[0], task(0, 0, 0))
		pause = min(2*pause, health.DefaultMaxProbeInterval)
	}
	for range 3 {
		assert.Equal(t, r[0].Status(), health.EjectedFailing)
		m.ProbeStarted(r[0])
		m.ProbeCompleted(now, r[0], run, run)
	}
	assert.Equal(t, r[0].Status(), health.Healthy)
	fail()
	assert.Equal(t, r[0].ProbeAt(), now.Add(health.DefaultMaxProbeInterval))
}

// TestSpeed: an endpoint that takes three times as long as its peers is slow, one whose
// tasks in flight are long overdue is ejected before any has ended, and observations
// decay with time.
func TestSpeed(t *testing.T) {
	m, r := newMonitor(9)
	for range 50 {
		m.TaskCompleted(origin, r[0], task(0, run, 3*run))
		m.TaskCompleted(origin, r[1], task(0, run, run))
	}
	assert.Equal(t, evaluate(m, origin, r[0]), health.Slow)
	assert.Equal(t, evaluate(m, origin, r[1]), health.Healthy)
	assert.Equal(t, evaluate(m, origin.Add(time.Minute), r[0]), health.Healthy)
	// The slow endpoint halves the mean speed of the peers, so a quarter of that is an
	// eighth.
	m.Evaluate(origin, r[2], 60*run, run)
	assert.Equal(t, r[2].Status(), health.EjectedSlow)
}

// TestFailsAfterLongHealth: an endpoint begins to fail everything at once after a long
// healthy period. Its earlier successes must not hide that: the first failure makes it
// suspect, the third in a row ejects it, and a task that began before the failures
// doesn't clear it.
func TestFailsAfterLongHealth(t *testing.T) {
	m, r := newMonitor(6)
	for i := range 500 {
		for _, one := range r {
			m.TaskCompleted(origin, one, task(i, run, run))
		}
	}
	broken := origin.Add(time.Second)
	fail := func(i int) health.Status {
		failed := task(1000+i, 0, 0)
		failed.StartedAt = broken.Add(time.Duration(i) * time.Millisecond)
		m.TaskFailed(broken, r[0], failed)
		m.TaskCompleted(broken, r[0], task(2000+i, run, run))
		return evaluate(m, broken, r[0])
	}
	assert.Equal(t, fail(1), health.Suspect)
	assert.Equal(t, fail(2), health.Suspect)
	assert.Equal(t, fail(3), health.EjectedFailing)
}

// TestSuspectUntilASuccess: a completed task that began after the failure makes the
// endpoint healthy again.
func TestSuspectUntilASuccess(t *testing.T) {
	m, r := newMonitor(6)
	m.TaskFailed(origin, r[0], task(1, 0, 0))
	assert.Equal(t, evaluate(m, origin, r[0]), health.Suspect)
	later := task(2, run, run)
	later.StartedAt = origin.Add(run)
	m.TaskCompleted(origin.Add(2*run), r[0], later)
	assert.Equal(t, evaluate(m, origin.Add(2*run), r[0]), health.Healthy)
}

// TestClientWhoseTasksFail: all tasks of one client fail wherever they run. Endpoints
// that happen to have completed nothing since are not at fault.
func TestClientWhoseTasksFail(t *testing.T) {
	m, r := newMonitor(6)
	for i := range 5 {
		for k, one := range r {
			failed := task(10*i+k, 0, 0)
			failed.Client = "failing"
			failed.StartedAt = origin.Add(time.Second)
			m.TaskCompleted(origin, one, task(100+10*i+k, run, run))
			m.TaskFailed(origin.Add(time.Second), one, failed)
		}
	}
	for _, one := range r {
		assert.Equal(t, evaluate(m, origin.Add(time.Second), one), health.Healthy)
	}
}

// TestReportedFailures: an endpoint reports consecutive failures of other entries'
// jobs, so this entry detects them without losing its own; and one entry's failed probe
// postpones this entry's. When peers report the same, the tasks are at fault.
func TestReportedFailures(t *testing.T) {
	m, r := newMonitor(6)
	m.ApplyOutcomeCounts(origin, r[0], health.OutcomeCounts{Completed: 100, Failed: 1, ConsecutiveFailedJobs: 1})
	assert.Equal(t, evaluate(m, origin, r[0]), health.Suspect)
	m.ApplyOutcomeCounts(origin, r[0], health.OutcomeCounts{Completed: 100, Failed: 3, ConsecutiveFailedJobs: 3})
	assert.Equal(t, evaluate(m, origin, r[0]), health.EjectedFailing)
	due := r[0].ProbeAt()
	assert.Assert(t, !m.ApplyOutcomeCounts(origin, r[0], health.OutcomeCounts{Completed: 100, Failed: 4, ConsecutiveFailedJobs: 4}))
	assert.Assert(t, m.ApplyOutcomeCounts(due, r[0], health.OutcomeCounts{Completed: 100, Failed: 5, ConsecutiveFailedJobs: 5}))
	assert.Equal(t, r[0].ProbeAt(), due.Add(2*health.DefaultMinProbeInterval))
	assert.Assert(t, m.ApplyOutcomeCounts(due, r[0], health.OutcomeCounts{Completed: 101, Failed: 5}))
	assert.Equal(t, r[0].ProbeAt(), due)

	m, r = newMonitor(6)
	for _, one := range r {
		m.ApplyOutcomeCounts(origin, one, health.OutcomeCounts{Failed: 3, ConsecutiveFailedJobs: 3})
	}
	for _, one := range r {
		assert.Equal(t, evaluate(m, origin, one), health.Healthy)
	}
}
