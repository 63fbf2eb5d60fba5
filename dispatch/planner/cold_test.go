package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// setCold reports an endpoint whose runner is slow for some time after its start.
func (f *fleet) setCold(i int, left time.Duration) {
	f.UpdateEndpoint(f.now, f.id(i), EndpointStatus{
		Service: "teardown", Runner: work.Incarnation{ID: "r"}, AcceptsStarts: true, ColdLeft: left,
		Total: work.Amounts{CPUMilli: 4000, MemoryMB: 256},
	})
}

// Guards against jobs that are late because they run on a runner that has just started while others
// have capacity. A cold runner is used once they have none.
func TestColdEndpointsAreUsedLast(t *testing.T) {
	f := newFleet(t, 4, 4)
	f.setCold(0, time.Second)
	for _, s := range f.submit("first", 4, 60*ms).Starts {
		assert.Equal(t, s.Endpoint, f.id(1))
	}
	starts := f.submit("second", 1, 60*ms).Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Endpoint, f.id(0))
}

// Guards against a runner that counts as slow, and a contract whose tasks count as long, after runs
// on a cold runner.
func TestColdRunsTeachNothing(t *testing.T) {
	f := newFleet(t, 4, 4)
	for range 3 {
		s := f.submit("warm", 1, 60*ms).Starts[0]
		f.now += 60 * ms
		f.report(s, Running)
		f.ReportRun(f.now, s.Endpoint, s.Run, Done, 60*ms)
		f.act()
	}
	before := f.estimate("lookup").meanRan
	f.setCold(0, 5*time.Second)
	f.setCold(1, 5*time.Second)
	for range 5 {
		s := f.submit("cold", 1, 60*ms).Starts[0]
		f.report(s, Running)
		f.now += 170 * ms
		f.ReportRun(f.now, s.Endpoint, s.Run, Done, 170*ms)
		f.act()
	}
	assert.Equal(t, f.CountSlow(), 0)
	assert.Equal(t, f.estimate("lookup").meanRan, before)
}

// Guards against runs that teach nothing because a report of a warm runner arrived while they lasted.
func TestRunsOfWarmEndpointsTeach(t *testing.T) {
	f := newFleet(t, 4)
	s := f.submit("j", 1, 60*ms).Starts[0]
	f.report(s, Running)
	f.now += 170 * ms
	f.setCold(0, 0)
	f.ReportRun(f.now, s.Endpoint, s.Run, Done, 170*ms)
	assert.Equal(t, f.estimate("lookup").meanRan, 0.17)
}
