package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// flood submits a job every gap for the given time, to runners whose runs take 60 ms. It
// returns the jobs that ended, with the time from submission to the first start or the
// outcome.
func (f *fleet) flood(gap, length time.Duration) map[string]Ended {
	ended := map[string]Ended{}
	var open []Start
	startedAt := map[Start]time.Duration{}
	take := func(a Actions) {
		for _, s := range a.Starts {
			f.report(s, Running)
			open = append(open, s)
			startedAt[s] = f.now
		}
		for _, e := range a.Ended {
			ended[e.Job] = e
		}
	}
	for last := f.now + length; f.now < last; f.now += time.Millisecond {
		if f.now%gap == 0 {
			take(f.submit(fmt.Sprint("job-", f.now), 1, 60*ms))
		}
		open = slices.DeleteFunc(open, func(s Start) bool {
			if f.now-startedAt[s] < 60*ms {
				return false
			}
			f.report(s, Done)
			return true
		})
		take(f.act())
	}
	return ended
}

// Under lasting overload a caller whose answer cannot meet the response-time target of its
// contract is refused while others can still be served, and gets a time to retry. More than
// twice as much work arrives as can be done, for longer than a shortage by chance lasts.
func TestLateJobIsRefusedInOverload(t *testing.T) {
	f := newFleet(t, 1)
	f.flood(25*ms, minShortage+400*ms)
	ended := f.flood(25*ms, 2*time.Second)
	refused := 0
	for _, e := range ended {
		if e.Outcome != Refused {
			continue
		}
		refused++
		assert.Equal(t, e.Reason, ReasonOverload)
		assert.Assert(t, e.RetryAfter >= time.Second)
		assert.Assert(t, e.Waited < 100*ms, "%s waited %s before it was refused", e.Job, e.Waited)
	}
	assert.Assert(t, refused > 30, "%d refused", refused)
}

// A job that can no longer meet its target waits for the same slot as a younger one that still
// can. The shortage is brief: if it were refused, its caller would get no answer at all. It is
// kept, goes after the younger one, and starts once there is capacity again.
func TestLateJobIsKeptThroughABriefShortage(t *testing.T) {
	f := newFleet(t, 1)
	first := f.submit("first", 1, 60*ms)
	f.report(first.Starts[0], Running)
	f.submit("late", 1, 60*ms)
	f.now += 50 * ms
	f.submit("young", 1, 60*ms)
	assert.Equal(t, len(f.after(20*ms).Ended), 0)
	f.report(first.Starts[0], Done)
	second := f.act()
	assert.Equal(t, len(second.Starts), 1)
	assert.Equal(t, second.Starts[0].Run.Task.Job, "young")
	f.report(second.Starts[0], Running)
	f.now += 60 * ms
	f.report(second.Starts[0], Done)
	third := f.act()
	assert.Equal(t, len(third.Starts), 1)
	assert.Equal(t, third.Starts[0].Run.Task.Job, "late")
}

// After a power failure of the whole site an entry is back and accepts a job before any guard
// has attached; the first one attaches 150 ms later, past the latest start that meets the
// job's target. If the job were refused in the meantime, the caller would get no answer at
// all.
func TestStartingEntryWaitsForItsRunners(t *testing.T) {
	f := newFleet(t)
	f.submit("early", 1, 60*ms)
	for range 15 {
		assert.Equal(t, len(f.after(10*ms).Ended), 0)
	}
	f.AttachEndpoint(f.id(0), "a", true)
	f.setCapacity(0, 1, 0)
	a := f.act()
	assert.Equal(t, len(a.Starts), 1)
}

// submitPriority submits a job of a contract with the given priority.
func (f *fleet) submitPriority(id string, priority int) {
	w := work.Job{ID: id, Steps: []work.Step{{Count: 1, Need: work.Amounts{CPUMilli: 1000, MemoryMB: 64}, Declared: 60 * ms}}}
	t := terms
	t.Contract = fmt.Sprint("urgency-", priority)
	t.Priority = priority
	f.Submit(f.now, f.now+1500*ms, w, t)
}

// Jobs of high and low priority wait for capacity. Those of high priority go first although
// they arrived later; but one job in four is chosen by its latest start time, so that a flood
// of high-priority jobs cannot starve the others.
func TestHighPriorityGoesFirstWithinBounds(t *testing.T) {
	f := newFleet(t, 1)
	open := f.submit("first", 1, 60*ms).Starts[0]
	f.report(open, Running)
	for n := range 8 {
		f.submitPriority(fmt.Sprint("slow-", n), 2)
	}
	f.after(ms)
	var order []string
	for n := range 8 {
		f.submitPriority(fmt.Sprint("fast-", n), 0)
		f.report(open, Done)
		a := f.after(ms)
		assert.Equal(t, len(a.Starts), 1)
		open = a.Starts[0]
		f.report(open, Running)
		order = append(order, open.Run.Task.Job[:4])
	}
	assert.DeepEqual(t, order, []string{"fast", "fast", "slow", "fast", "fast", "fast", "slow", "fast"})
}
