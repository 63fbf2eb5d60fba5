package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// The capacity of every runner briefly shrinks below what the job's tasks need. The caller
// could be answered in time once it grows again, so the job waits. If it were rejected
// because it fits no runner, the caller would not submit it again.
func TestJobWaitsForCapacityThatHasShrunk(t *testing.T) {
	f := newFleet(t, 2)
	f.setCapacity(0, 1, 0)
	w := work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: core.Add(core), Declared: 60 * ms}}}
	assert.Equal(t, f.Submit(f.now, f.now+1500*ms, w, terms), Accepted)
	a := f.act()
	assert.Equal(t, len(a.Ended)+len(a.Starts), 0, "%v", a)
	f.now += 20 * ms
	f.setCapacity(0, 2, 0)
	assert.Equal(t, len(f.act().Starts), 1)
}

// A job does not wait for a runner that never had enough capacity, nor for one whose earlier
// incarnation had it.
func TestJobThatFittedAnEarlierIncarnationFailsAtOnce(t *testing.T) {
	f := newFleet(t, 2)
	f.UpdateEndpoint(f.now, f.id(0), EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "next"}, AcceptsStarts: true, Total: core})
	w := work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: core.Add(core), Declared: 60 * ms}}}
	f.Submit(f.now, f.now+1500*ms, w, terms)
	a := f.act()
	assert.Equal(t, len(a.Ended), 1)
	assert.Equal(t, a.Ended[0].Reason, ReasonTooLarge)
}

// A runner shrinks below what is running there. Nothing is started until its free capacity is
// positive again, in whichever order the amounts change.
func TestNothingIsStartedBelowZero(t *testing.T) {
	f := newFleet(t, 4)
	a := f.submit("first", 4, 900*ms)
	assert.Equal(t, len(a.Starts), 4)
	for _, s := range a.Starts {
		f.report(s, Running)
	}
	f.setCapacity(0, 1, 4)
	assert.Equal(t, len(f.submit("next", 1, 60*ms).Starts), 0)
	for _, s := range a.Starts[:3] {
		f.report(s, Done)
		assert.Equal(t, len(f.after(ms).Starts), 0, "the remaining runs use the whole capacity")
	}
	f.report(a.Starts[3], Done)
	assert.Equal(t, len(f.after(ms).Starts), 1)
}
