package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/standin/worker"
	"almondstand.dev/telemetry/uptime"
)

// hold replaces the runner's faults with the given selection of requests to hold.
func (x *restartFixture) hold(selected func(worker.Call) bool) {
	x.runner.SetFault(worker.Fault{Hold: selected})
}

// cancel orders the stop of a run.
func (x *restartFixture) cancel(id work.RunID) {
	x.host.Submit(uptime.Now(), owner, nil, []work.RunID{id})
}

// current returns the process that the host has adopted.
func (x *restartFixture) current() work.Incarnation {
	x.host.mu.Lock()
	defer x.host.mu.Unlock()
	if x.host.process == nil {
		return work.Incarnation{}
	}
	return x.host.process.Incarnation
}

// untilAdopted waits until the host has adopted the process after the older one.
func (x *restartFixture) untilAdopted(older work.Incarnation) {
	x.t.Helper()
	x.until("the next process is adopted", func() bool { p := x.current(); return p != older && p.ID != "" })
}

// untilHeld waits until the runner holds a request with a path.
func (x *restartFixture) untilHeld(path string) {
	x.t.Helper()
	x.until("a request is held: "+path, func() bool { return x.runner.Held(path) > 0 })
}

func holdStops(c worker.Call) bool { return c.Path == worker.StopPath }
func holdPolls(c worker.Call) bool { return c.Path == worker.PollPath }

// Guards against a run that a stop of an older process ends at the next one.
func TestStopOfOlderProcessEndsNoRunOfTheNext(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	id := x.order(0, 1, `{"ms":5000,"cpu":1000}`)
	x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
	x.hold(holdStops)
	x.cancel(id)
	x.untilHeld(worker.StopPath)
	x.runner.RestartExecutingHeld()
	x.runner.SetFault(worker.Fault{})
	x.runner.Report(t.Context())
	x.until("the guard accepts starts", func() bool { return x.host.Capacity().AcceptsStarts })
	x.finalReport(id)
	assert.Equal(t, x.finalReport(x.order(0, 2, `{"ms":50,"cpu":1000}`)).State, runs.Done)
}

// Guards against a stop of an older process that reaches the next one after its first call and
// ends a run of the same task there.
func TestLateStopOfOlderProcessIsFenced(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	id := x.order(0, 1, `{"ms":5000,"cpu":1000}`)
	x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
	x.hold(holdStops)
	x.cancel(id)
	x.untilHeld(worker.StopPath)
	x.runner.SetFault(worker.Fault{})
	x.runner.Restart()
	x.runner.Report(t.Context())
	x.finalReport(id)
	x.until("the guard accepts starts", func() bool { return x.host.Capacity().AcceptsStarts })
	next := x.order(0, 2, `{"ms":200,"cpu":1000}`)
	x.until("the next run begins", func() bool { return x.runner.Checker.Running() == 1 })
	x.runner.ExecuteHeld(worker.StopPath)
	assert.Equal(t, x.finalReport(next).State, runs.Done)
}

// Guards against "not run" for a run whose end at the next process was acknowledged by a poll of the
// older one: the numbers of ends start anew.
func TestRunAcknowledgedByPollOfOlderProcessMayHaveRun(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	for range 3 {
		assert.Equal(t, x.run("5"), runs.Done)
	}
	starts := x.runner.Checker.Starts()
	x.hold(func(c worker.Call) bool { return worker.AllStarts(c) || holdPolls(c) })
	id := x.order(99, 1, `{"ms":20,"cpu":1000}`)
	x.untilHeld(worker.StartPath)
	x.untilHeld(worker.PollPath)
	x.runner.SetFault(worker.Fault{Unresponsive: true})
	x.runner.Restart()
	x.runner.ExecuteHeld(worker.StartPath)
	assert.Equal(t, x.runner.Checker.Starts(), starts+1)
	x.until("the run ends", func() bool { return x.runner.Checker.Running() == 0 })
	x.runner.ExecuteHeld(worker.PollPath)
	x.runner.SetFault(worker.Fault{})
	x.runner.Report(t.Context())
	assert.Assert(t, x.finalReport(id).State != runs.NotStarted)
}

// Guards against a run that the next process executes under a lease of the older one, and that is
// reported as over before this lease has expired.
func TestLeaseOfOlderProcessIsCountedAtTheNext(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	time.Sleep(time.Second)
	older := x.current()
	x.hold(worker.AllStarts)
	id := x.order(99, 1, `{"ms":5000,"cpu":1000}`)
	x.untilHeld(worker.StartPath)
	x.hold(func(worker.Call) bool { return true })
	x.untilHeld(worker.PollPath)
	x.runner.RestartExecutingHeld()
	x.runner.SetFault(worker.Fault{})
	x.runner.Report(t.Context())
	x.untilAdopted(older)
	x.runner.SetFault(worker.Fault{Unresponsive: true})
	x.runner.Deregister(t.Context(), x.runner.Instance())
	x.finalReport(id)
	assert.Equal(t, x.runner.Checker.Running(), 0)
}
