package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/telemetry/uptime"
)

// Guards against a task that runs twice: one message has the end of its run and the late start of
// that run, and the task is started at another guard because of the first.
func TestLateStartAppliesBeforeTheEndOfItsRun(t *testing.T) {
	e, first := newEngine()
	second := &fakeGuard{starts: make(chan planner.Start, 16), stops: make(chan planner.Stop, 16)}
	status := &planner.EndpointStatus{Service: "s", Runner: work.Incarnation{ID: "r2"}, AcceptsStarts: true, Total: work.Amounts{CPUMilli: 4000}}
	go submit(t.Context(), e)
	s := <-first.starts
	e.Attach("g2", "a", true, second)
	e.ApplyUpdate("g2", second, GuardUpdate{Status: status})
	e.ApplyUpdate("g", first, GuardUpdate{
		LateStarts: []LateStart{{Task: s.Run.Task, Left: time.Second}},
		Reports:    []Report{{Run: s.Run, Change: planner.NotStarted}},
	})
	again := <-first.starts
	assert.Equal(t, again.Run.Task, s.Run.Task)
	assert.Equal(t, len(second.starts), 0)
}

// Guards against the answer "not run" for a job of which a start may have been executed: the end of
// its run is applied before the late start that came with it.
func TestJobIsNotRefusedAfterALateStartWithTheEndOfItsRun(t *testing.T) {
	e, g := newEngine()
	answer := make(chan planner.Answer, 1)
	go func() { answer <- e.Submit(t.Context(), job, terms, uptime.Now()+1500*time.Millisecond) }()
	s := <-g.starts
	e.ApplyUpdate("g", g, GuardUpdate{
		Status:     &planner.EndpointStatus{Service: "s", Runner: work.Incarnation{ID: "r"}, Total: work.Amounts{CPUMilli: 4000}},
		LateStarts: []LateStart{{Task: s.Run.Task, Left: 10 * time.Millisecond}},
		Reports:    []Report{{Run: s.Run, Change: planner.NotStarted}},
	})
	assert.Equal(t, (<-answer).Outcome, planner.Expired)
}
