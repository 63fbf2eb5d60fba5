package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// serve submits a job of single-core tasks that are declared to take 50 ms, and has each run end
// after the time for its endpoint. It returns the starts by endpoint.
func (f *fleet) serve(id string, tasks int, runTime map[string]time.Duration) map[string]int {
	starts := f.submit(id, tasks, 50*ms).Starts
	byEndpoint := map[string]int{}
	for _, s := range starts {
		byEndpoint[s.Endpoint]++
		f.report(s, Running)
	}
	f.now += 50 * ms
	for _, s := range starts {
		f.ReportRun(f.now, s.Endpoint, s.Run, Done, runTime[s.Endpoint])
	}
	f.act()
	return byEndpoint
}

// runTimes returns a run time of 50 ms for each of n endpoints, and the given one for those listed.
func (f *fleet) runTimes(n int, slow time.Duration, listed ...int) map[string]time.Duration {
	m := map[string]time.Duration{}
	for i := range n {
		m[f.id(i)] = 50 * ms
	}
	for _, i := range listed {
		m[f.id(i)] = slow
	}
	return m
}

// serveAll serves jobs that take all capacity of n endpoints with one core each.
func (f *fleet) serveAll(name string, jobs, n int, runTime map[string]time.Duration) {
	for i := range jobs {
		f.serve(fmt.Sprint(name, i), n, runTime)
	}
}

// submitHurried submits a job whose caller has no time for a slow endpoint.
func (f *fleet) submitHurried(id string) Actions {
	w := work.Job{ID: id, Steps: []work.Step{{Count: 1, Need: core, Declared: 50 * ms}}}
	assert.Equal(f.t, f.Submit(f.now, f.now+150*ms, w, terms), Accepted)
	return f.act()
}

func (f *fleet) slow(i int) bool { return f.endpoints[f.id(i)].speed.slow }

// Guards against a slow runner that is used like its peers, in services of several sizes.
func TestSlowMinorityIsUsedLast(t *testing.T) {
	for n, slow := range map[int][]int{2: {0}, 3: {1}, 9: {2, 5, 7}} {
		f := newFleet(t, make([]int, n)...)
		for i := range n {
			f.setCapacity(i, 1, 0)
		}
		times := f.runTimes(n, 200*ms, slow...)
		f.serveAll("all", 20, n, times)
		assert.Equal(t, f.CountSlow(), len(slow), "%d endpoints", n)
		for i := range 20 {
			used := f.serve(fmt.Sprint("one", i), n-len(slow), times)
			for _, e := range slow {
				assert.Equal(t, used[f.id(e)], 0, "%d endpoints", n)
			}
		}
		all := f.serve("again", n, times)
		assert.Equal(t, len(all), n, "with time for it, slow endpoints are used: %v", all)
	}
}

// Guards against a lone runner, or two alike, that count as slow beside what their callers declare.
func TestEndpointsWithoutFasterPeersAreNotSlow(t *testing.T) {
	for n := 1; n <= 4; n++ {
		f := newFleet(t, make([]int, n)...)
		for i := range n {
			f.setCapacity(i, 1, 0)
		}
		for i := range 20 {
			s := f.submit(fmt.Sprint(i), n, 50*ms).Starts
			for _, s := range s {
				f.ReportRun(f.now, s.Endpoint, s.Run, Done, 400*ms)
			}
			f.act()
			assert.Equal(t, f.CountSlow(), 0, "%d endpoints, job %d", n, i)
		}
	}
}

// Guards against a service of which more than a third of the runners count as slow: those that are
// left would have to do all its work.
func TestSlowEndpointsAreBounded(t *testing.T) {
	const n = 9
	f := newFleet(t, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	times := f.runTimes(n, 150*ms, 0, 1, 2, 3, 4)
	times[f.id(1)], times[f.id(3)], times[f.id(4)] = 300*ms, 350*ms, 400*ms
	f.serveAll("all", 20, n, times)
	f.submit("next", 1, 50*ms)
	assert.Equal(t, f.CountSlow(), n/maxSlowDivisor)
	assert.Assert(t, f.slow(1) && f.slow(3) && f.slow(4), "the slowest ones")
}

// Guards against a runner that was slow once and, as it gets nothing from callers in a hurry, is
// never found to be as fast as the others again.
func TestSlowEndpointRecovers(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.serveAll("all", 20, 2, f.runTimes(2, 250*ms, 0))
	assert.Assert(t, f.slow(0))
	f.setCapacity(1, 1, 1)
	started := 0
	for i := range 100 {
		f.now += 50 * ms
		for _, s := range f.submitHurried(fmt.Sprint("hurried", i)).Starts {
			assert.Equal(t, s.Endpoint, f.id(0))
			started++
			f.now += 50 * ms
			f.ReportRun(f.now, s.Endpoint, s.Run, Done, 50*ms)
			f.act()
		}
	}
	assert.Assert(t, !f.slow(0))
	assert.Assert(t, started > 75, "%d of 100 started", started)
}

// Guards against job after job that a slow runner takes too long for.
func TestProbesOfASlowEndpointAreFew(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.serveAll("all", 20, 2, f.runTimes(2, 250*ms, 0))
	f.setCapacity(1, 1, 1)
	started := 0
	for i := range 600 {
		f.now += 100 * ms
		for _, s := range f.submitHurried(fmt.Sprint("hurried", i)).Starts {
			started++
			f.Cancel(f.now, s.Run.Task.Job)
			f.report(s, Stopped)
			f.act()
		}
	}
	assert.Assert(t, started >= 2 && started <= 7, "%d started", started)
}

// Guards against an entry that starts nothing on idle runners: all of them but the slow one are
// gone, and its run times are compared with theirs.
func TestSlowEndpointThatIsLeftAloneIsUsed(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	f.serveAll("all", 20, 3, f.runTimes(3, 250*ms, 0))
	assert.Assert(t, f.slow(0))
	f.DetachEndpoint(f.id(1))
	f.DetachEndpoint(f.id(2))
	assert.Equal(t, len(f.submitHurried("hurried").Starts), 1)
}

// setLabel gives an endpoint with one core a label.
func (f *fleet) setLabel(i int, label string) {
	f.UpdateEndpoint(f.now, f.id(i), EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}, AcceptsStarts: true, Total: core, Labels: []string{label}})
}

// Guards against a contract whose run times are not learnt any more: only one runner has the label
// that its tasks need, and counts as slow because they take longer than before.
func TestRunTimesOfALabelledEndpointAreLearnt(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	f.setLabel(0, "gpu")
	labelled := terms
	labelled.Contract = "labelled"
	var forecast JobForecast
	for i := range 80 {
		run := 50 * ms
		if i >= 20 {
			run = 300 * ms
		}
		f.serveOthers(i)
		id := fmt.Sprint("labelled", i)
		w := work.Job{ID: id, Steps: []work.Step{{Count: 1, Need: core, Label: "gpu", Declared: 50 * ms}}}
		assert.Equal(t, f.Submit(f.now, f.now+1500*ms, w, labelled), Accepted)
		forecast = f.Forecast(id)
		s := f.act().Starts[0]
		f.now += run
		f.ReportRun(f.now, s.Endpoint, s.Run, Done, run)
		f.act()
	}
	assert.Assert(t, forecast.ExpectedRunTime > 250*ms, "expected %s", forecast.ExpectedRunTime)
}

// serveOthers serves a job on the endpoints without the label, at the declared run time.
func (f *fleet) serveOthers(n int) {
	w := work.Job{ID: fmt.Sprint("other", n), Steps: []work.Step{{Count: 2, Need: core, Declared: 50 * ms}}}
	f.setCapacity(1, 1, 0)
	f.setCapacity(2, 1, 0)
	assert.Equal(f.t, f.Submit(f.now, f.now+1500*ms, w, terms), Accepted)
	starts := f.act().Starts
	f.now += 50 * ms
	for _, s := range starts {
		f.ReportRun(f.now, s.Endpoint, s.Run, Done, 50*ms)
	}
	f.act()
}

// Guards against run times of zero, of runs whose start was not reported, that take the level of a
// service's run times so low that slow endpoints are not found for long.
func TestLevelStaysInBounds(t *testing.T) {
	f := newFleet(t, 1)
	run := func(id string, d time.Duration) {
		f.now += time.Second
		s := f.submit(id, 1, 50*ms).Starts[0]
		f.ReportRun(f.now, s.Endpoint, s.Run, Done, d)
		f.act()
	}
	for i := range 1000 {
		run(fmt.Sprint("zero", i), 0)
	}
	for i := range 40 {
		run(fmt.Sprint("usual", i), 50*ms)
	}
	r := f.services["teardown"].runTimes.relative(1)
	assert.Assert(t, r < maxRunTimeRatio, "ratio %f", r)
}
