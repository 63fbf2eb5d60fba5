package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// Guards against a task that runs twice: a start of it, ordered here or by another entry, may still
// be executed at one endpoint when it is started at another.
func TestTaskWithALateStartStartsAtThatEndpointOnly(t *testing.T) {
	const left = 300 * ms
	f := newFleet(t, 8, 8, 8, 8)
	f.RecordLateStart(f.now, f.id(2), work.TaskID{Job: "j", Index: 1}, left)
	a := f.submitLongWait("j", 4)
	assert.Equal(t, len(a.Starts), 4)
	for _, s := range a.Starts {
		assert.Assert(t, s.Run.Task.Index != 1 || s.Endpoint == f.id(2))
	}

	f.setCapacity(2, 0, 0)
	f.RecordLateStart(f.now, f.id(2), work.TaskID{Job: "k"}, left)
	assert.Equal(t, len(f.submitLongWait("k", 1).Starts), 0)
	assert.Equal(t, len(f.after(left-ms).Starts), 0)
	assert.Equal(t, len(f.after(ms).Starts), 1, "the start can't be executed any more")
}

// Guards against a task that runs twice: starts of it may be executed at two endpoints.
func TestTaskWithLateStartsAtTwoEndpointsWaits(t *testing.T) {
	f := newFleet(t, 8, 8)
	task := work.TaskID{Job: "j"}
	f.RecordLateStart(f.now, f.id(0), task, 200*ms)
	f.RecordLateStart(f.now, f.id(1), task, 300*ms)
	f.RecordLateStart(f.now, f.id(1), task, 100*ms)
	assert.Equal(t, len(f.submitLongWait("j", 1).Starts), 0)
	a := f.after(200 * ms)
	assert.Equal(t, len(a.Starts), 1)
	assert.Equal(t, a.Starts[0].Endpoint, f.id(1))
}

// Guards against the answer "not run" for a job of which a task may still start.
func TestJobWithALateStartIsNotRefused(t *testing.T) {
	f := newFleet(t, 8)
	f.RecordLateStart(f.now, "other", work.TaskID{Job: "earlier"}, work.LateStartWindow)
	assert.Equal(t, len(f.submitLongWait("earlier", 1).Starts), 0)
	own := f.submit("own", 1, 60*ms).Starts[0]
	f.RecordLateStart(f.now, own.Endpoint, own.Run.Task, work.LateStartWindow)
	f.report(own, NotStarted)
	f.setCapacity(0, 0, 0)
	outcomes := map[string]Ended{}
	for range 40 {
		for _, e := range f.after(50 * ms).Ended {
			outcomes[e.Job] = e
		}
	}
	assert.Equal(t, outcomes["earlier"].Outcome, Expired)
	assert.Equal(t, outcomes["earlier"].Reason, ReasonLateStart)
	assert.Equal(t, outcomes["own"].Outcome, Expired)
}

// Guards against a task that runs twice: its guard died with a start unanswered, and its successor
// has fenced the current process of the runner, but not the next one. The successor may report first
// that it has no runner yet.
func TestTaskOfADeadGuardStartsAtItsRunnerOnly(t *testing.T) {
	status := EndpointStatus{
		Service: "teardown", Runner: work.Incarnation{ID: "r", StartedMilli: 1},
		AcceptsStarts: true, Total: work.Amounts{CPUMilli: 8000, MemoryMB: 512}, Reconciled: true,
	}
	closed := status
	closed.AcceptsStarts = false
	for name, first := range map[string]EndpointStatus{"closed": closed, "no runner": {}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 8, 8)
			for i := range 2 {
				f.UpdateEndpoint(f.now, f.id(i), status)
			}
			s := f.submitLongWait("j", 1).Starts[0]
			f.AttachEndpoint(s.Endpoint, "a", true)
			f.UpdateEndpoint(f.now, s.Endpoint, first)
			assert.Equal(t, len(f.act().Starts), 0)
			f.UpdateEndpoint(f.now, s.Endpoint, closed)
			assert.Equal(t, len(f.after(50*ms).Starts), 0, "started elsewhere")
			f.UpdateEndpoint(f.now, s.Endpoint, status)
			a := f.after(50 * ms)
			assert.Equal(t, len(a.Starts), 1)
			assert.Equal(t, a.Starts[0].Endpoint, s.Endpoint)
		})
	}
}

// Guards against tasks that wait without need: a task of their step waits for the runner that may
// execute its late start.
func TestOtherTasksOfAStepStartBesideATaskWithALateStart(t *testing.T) {
	f := newFleet(t, 8, 8)
	f.setCapacity(0, 0, 0)
	f.RecordLateStart(f.now, f.id(0), work.TaskID{Job: "j"}, work.LateStartWindow)
	a := f.submitLongWait("j", 4)
	assert.Equal(t, len(a.Starts), 3, "tasks 1 to 3 have no late start, and there is capacity for 8")
}

// Guards against a run that is stopped without need: it takes too long, but its task may be started
// at its own endpoint only.
func TestLongRunOfATaskWithALateStartThereIsNotStopped(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.submit("j", 1, 60*ms).Starts[0]
	f.report(s, Running)
	f.RecordLateStart(f.now, s.Endpoint, s.Run.Task, work.LateStartWindow)
	var stops []Stop
	for range 20 {
		stops = append(stops, f.after(20*ms).Stops...)
	}
	assert.Equal(t, len(stops), 0)
}

// Guards against a job that is given up because of its runner: the runner crashes again and again
// whatever it runs, and a late start keeps the task there.
func TestTaskThatALateStartKeepsAtABadRunnerIsNotGivenUp(t *testing.T) {
	f := newFleet(t, 8, 8)
	s := f.submitLongWait("j", 1).Starts[0]
	for range minConclusiveCrashes {
		f.RecordLateStart(f.now, s.Endpoint, s.Run.Task, work.LateStartWindow)
		a := f.crash(s, Crash{})
		assert.Equal(t, len(a.Ended), 0, "the other endpoint was never tried")
		next := append(a.Starts, f.after(50*ms).Starts...)
		assert.Equal(t, len(next), 1)
		s = next[0]
	}
}

// Guards against the answer "not run" for a job whose own start may have been executed, once it can't
// be executed any more.
func TestJobIsNotRefusedAfterItsOwnLateStart(t *testing.T) {
	const left = 100 * ms
	f := newFleet(t, 8)
	s := f.submit("own", 1, 60*ms).Starts[0]
	f.RecordLateStart(f.now, s.Endpoint, s.Run.Task, left)
	f.setCapacity(0, 0, 0)
	f.report(s, NotStarted)
	ended := f.after(left).Ended
	for range 40 {
		ended = append(ended, f.after(50*ms).Ended...)
	}
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Outcome, Expired)
	assert.Assert(t, ended[0].Reason != ReasonLateStart)
}
