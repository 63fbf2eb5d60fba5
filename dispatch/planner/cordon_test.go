package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// twoDataCentres returns a fleet of an endpoint with the first capacity in data centre "a" and one
// with the second in "b", after the startup grace.
func twoDataCentres(t *testing.T, first, second int) *fleet {
	f := newFleet(t, first, second)
	f.AttachEndpoint(f.id(1), "b", false)
	f.act()
	f.after(startupGrace)
	return f
}

// Guards against starts in a cordoned data centre: first starts and those of tasks that another
// endpoint has rejected.
func TestCordonedEndpointsGetNothing(t *testing.T) {
	f := twoDataCentres(t, 4, 4)
	assert.DeepEqual(t, f.SetCordons([]string{"b"}), []string{f.id(1)})
	for _, s := range f.submit("j", 4, 60*ms).Starts {
		assert.Equal(t, s.Endpoint, f.id(0))
		f.report(s, NoCapacity)
	}
	starts := f.after(20 * ms).Starts
	assert.Assert(t, len(starts) > 0)
	for _, s := range starts {
		assert.Equal(t, s.Endpoint, f.id(0))
	}
	assert.Equal(t, f.CountEndpoints(f.now)[Cordoned], 1)
}

// Guards against runs that are lost with a cordon: what runs there goes on, and its end completes
// the job.
func TestRunsOfCordonedEndpointsGoOn(t *testing.T) {
	f := twoDataCentres(t, 4, 4)
	f.SetCordons([]string{"a"})
	starts := f.submit("j", 1, 60*ms).Starts
	assert.Equal(t, starts[0].Endpoint, f.id(1))
	f.report(starts[0], Running)
	f.SetCordons([]string{"b"})
	assert.Equal(t, len(f.after(60*ms).Stops), 0)
	f.report(starts[0], Done)
	ended := f.act().Ended
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Outcome, Completed)
}

// Guards against callers who wait in vain: with every data centre cordoned, new and waiting jobs
// are refused at once, and a started job whose other tasks can run nowhere ends.
func TestJobsAreRefusedWhileAllIsCordoned(t *testing.T) {
	f := twoDataCentres(t, 1, 1)
	first := f.submit("first", 3, 900*ms)
	assert.Equal(t, len(first.Starts), 2)
	f.submit("waiting", 1, 900*ms)
	f.SetCordons([]string{"a", "b"})
	outcomes := map[string]Outcome{}
	for _, e := range append(f.act().Ended, f.submit("new", 1, 60*ms).Ended...) {
		assert.Equal(t, e.Reason, ReasonCordoned)
		outcomes[e.Job] = e.Outcome
	}
	assert.DeepEqual(t, outcomes, map[string]Outcome{"first": Expired, "waiting": Refused, "new": Refused})
}

// Guards against a job that is failed for good as too large while the endpoints that it fits are
// cordoned only.
func TestJobThatFitsCordonedEndpointsIsRefused(t *testing.T) {
	f := twoDataCentres(t, 1, 4)
	f.SetCordons([]string{"b"})
	w := work.Job{ID: "large", Steps: []work.Step{{Count: 1, Need: work.Amounts{CPUMilli: 3000}}}}
	assert.Equal(t, f.Submit(f.now, f.now+1500*ms, w, terms), Accepted)
	ended := f.act().Ended
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Outcome, Refused)
	assert.Assert(t, ended[0].RetryAfter > 0)
}

// Guards against jobs that are refused by an entry that has just started and knows the endpoints of
// a cordoned data centre first.
func TestStartingEntryAwaitsOpenEndpoints(t *testing.T) {
	f := newFleet(t, 4, 4)
	f.AttachEndpoint(f.id(1), "b", false)
	f.DetachEndpoint(f.id(1))
	f.RemoveEndpoint(f.id(1))
	f.SetCordons([]string{"a"})
	assert.Equal(t, len(f.submit("j", 1, 60*ms).Ended), 0)
	f.AttachEndpoint(f.id(1), "b", false)
	f.setCapacity(1, 4, 0)
	assert.Equal(t, len(f.act().Starts), 1)
}

// Guards against a forecast that counts on capacity that is cordoned.
func TestCordonedCapacityIsNotForecast(t *testing.T) {
	f := twoDataCentres(t, 2, 2)
	f.submit("running", 4, 900*ms)
	s := f.service("teardown")
	cores, known := s.completionRate()
	assert.Assert(t, known)
	assert.Equal(t, cores, 4.0)
	f.SetCordons([]string{"b"})
	cores, known = s.completionRate()
	assert.Assert(t, known)
	assert.Equal(t, cores, 2.0)
}

// Guards against endpoints that stay unused after their cordon was removed: a waiting task starts
// there at the next decision.
func TestRemovedCordonIsUsedAtOnce(t *testing.T) {
	f := twoDataCentres(t, 1, 1)
	f.SetCordons([]string{"b"})
	assert.Equal(t, len(f.submit("j", 2, 60*ms).Starts), 1)
	f.now += 10 * time.Millisecond
	assert.DeepEqual(t, f.SetCordons(nil), []string{f.id(1)})
	starts := f.act().Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Endpoint, f.id(1))
}
