package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

const ms = time.Millisecond

var (
	terms = Terms{Contract: "lookup", Service: "teardown", MaxAttempts: 2, Stretch: 1.6, Allowance: 60 * ms}
	core  = work.Amounts{CPUMilli: 1000, MemoryMB: 64}
)

// fleet is a planner with endpoints that have room for the tasks given.
type fleet struct {
	*Planner
	t   *testing.T
	now time.Duration
}

func newFleet(t *testing.T, room ...int) *fleet {
	f := &fleet{Planner: New(Options{Zone: "a"}), t: t, now: time.Second}
	for i, n := range room {
		f.Attach(f.id(i), "a", true)
		f.room(i, n, 0)
	}
	return f
}

func (f *fleet) id(i int) string { return fmt.Sprintf("g%d", i) }

func (f *fleet) room(i, total, used int) {
	scale := func(n int) work.Amounts { return work.Amounts{CPUMilli: int64(n) * 1000, MemoryMB: int64(n) * 64} }
	f.Describe(f.now, f.id(i), Room{Service: "teardown", Runner: "r", Open: true, Total: scale(total), Used: scale(used)})
}

func (f *fleet) submit(id string, tasks int, declared time.Duration) Actions {
	w := work.Job{ID: id, Steps: []work.Step{{Count: tasks, Need: core, Declared: declared}}}
	assert.Equal(f.t, f.Submit(f.now, f.now+1500*ms, w, terms), Taken)
	return f.act()
}

func (f *fleet) act() Actions {
	a, _ := f.Act(f.now)
	return a
}

func (f *fleet) after(d time.Duration) Actions {
	f.now += d
	return f.act()
}

func (f *fleet) report(s Start, c Change) {
	f.Report(f.now, s.Endpoint, s.Run, c)
}

// The caller reads "not run" though a task of its job runs. A job of four finds
// room for two; the others wait past the latest useful start. A job of which a
// task may have started must never be refused.
func TestJobWithAStartIsNotRefused(t *testing.T) {
	f := newFleet(t, 2)
	a := f.submit("wide", 4, 60*ms)
	assert.Equal(t, len(a.Starts), 2)
	for range 30 {
		for _, e := range f.after(20 * ms).Ended {
			assert.Assert(t, e.Outcome != Refused, "refused after %v", f.now)
		}
	}
}

// A task runs twice. Its guard dies and a successor attaches at once; the run
// goes on at the runner until the successor has ended it. Until then the task
// must not start elsewhere.
func TestRunsOfAnOlderGuardAreOverOnlyWhenCleared(t *testing.T) {
	f := newFleet(t, 2, 2)
	a := f.submit("j", 1, 60*ms)
	s := a.Starts[0]
	f.report(s, Running)
	assert.Equal(t, len(f.Attach(s.Endpoint, "a", true)), 0, "the successor knows nothing of the run")
	assert.Equal(t, len(f.after(20*ms).Starts), 0)
	total := work.Amounts{CPUMilli: 2000, MemoryMB: 128}
	f.Describe(f.now, s.Endpoint, Room{Service: "teardown", Runner: "r", Total: total})
	assert.Equal(t, len(f.after(20*ms).Starts), 0)
	f.Describe(f.now, s.Endpoint, Room{Service: "teardown", Runner: "r", Total: total, Cleared: true})
	assert.Equal(t, len(f.after(20*ms).Starts), 1)
}
