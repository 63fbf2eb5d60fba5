package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// run submits a job of one task that is declared to take 60 ms, and reports it as running.
func (f *fleet) run(id string) Start {
	s := f.submit(id, 1, 60*ms).Starts[0]
	f.report(s, Running)
	return s
}

// progress reports the progress of a run.
func (f *fleet) progress(s Start, r RunProgress) Actions {
	r.Run = s.Run
	f.RecordProgress(f.now, s.Endpoint, r)
	return f.act()
}

// stopsWithin returns the stops of the next duration, and the time until the first one.
func (f *fleet) stopsWithin(d time.Duration) (stops []Stop, first time.Duration) {
	for at := time.Duration(0); at < d; at += 10 * ms {
		stops = append(stops, f.after(10*ms).Stops...)
		if len(stops) > 0 && first == 0 {
			first = at + 10*ms
		}
	}
	return stops, first
}

const usualLimit = runTimeLimitFactor*60*ms + runTimeLimitMargin

// Guards against a stalled run that goes on until the run time limit, and one that is moved from
// endpoint to endpoint because its runner never reports progress.
func TestStalledRunIsStoppedOnce(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.run("j")
	f.now += 100 * ms
	stops := f.progress(s, RunProgress{Percent: 30, Stalled: true}).Stops
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Reason, ReasonRunStalled)
	assert.Equal(t, f.endpoints[s.Endpoint].health.failureStreak, 1)
	f.report(s, Stopped)
	second := f.act().Starts[0]
	assert.Assert(t, second.Endpoint != s.Endpoint)
	f.report(second, Running)
	f.now += 100 * ms
	assert.Equal(t, len(f.progress(second, RunProgress{Stalled: true}).Stops), 0, "the task is the cause")
	assert.Equal(t, f.endpoints[second.Endpoint].health.failureStreak, 0)
	assert.Equal(t, f.ProgressCounts().Stalled, 1)
}

// Guards against a stop that costs the caller the answer: no run elsewhere would end in time.
func TestStalledRunIsKeptWithoutTime(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.run("j")
	f.now += 1400 * ms
	assert.Equal(t, len(f.progress(s, RunProgress{Percent: 30, Stalled: true}).Stops), 0)
}

// Guards against work lost by stopping a task that is long by nature: elsewhere it takes as long.
func TestLongRunWithProgressIsKept(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.run("j")
	var kept []Kept
	for left := 900 * ms; left > 0; left -= 50 * ms {
		a := f.progress(s, RunProgress{Percent: 50, Left: left})
		assert.Equal(t, len(a.Stops), 0)
		kept = append(kept, a.Kept...)
		kept = append(kept, f.after(50*ms).Kept...)
	}
	assert.Equal(t, len(kept), 1)
	assert.Assert(t, kept[0].Ran >= usualLimit && kept[0].Left > 0, "%+v", kept[0])
	assert.Equal(t, f.ProgressCounts().Kept, 1)
	f.report(s, Done)
	assert.Equal(t, f.act().Ended[0].Outcome, Completed)
}

// Guards against a task that ends after its caller's deadline at its own pace being moved to an
// endpoint where it takes as long.
func TestRunTooLongForItsCallerIsKept(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.run("j")
	f.now += 200 * ms
	assert.Equal(t, len(f.progress(s, RunProgress{Percent: 10, Left: 1800 * ms}).Stops), 0)
}

// Guards against a run at a slow endpoint that goes on because its progress moves: the finished tasks
// of the job, or the endpoint's other runs, show that the endpoint is the cause.
func TestSlowEndpointIsTheCause(t *testing.T) {
	for name, left := range map[string]time.Duration{"ends late": 2 * time.Second, "ends much later": 700 * ms, "ends soon": 150 * ms} {
		f := newFleet(t, 1, 1)
		starts := f.submit("j", 2, 60*ms).Starts
		for _, s := range starts {
			f.report(s, Running)
		}
		f.now += 60 * ms
		f.report(starts[0], Done)
		stops := f.progress(starts[1], RunProgress{Percent: 10, Left: left}).Stops
		if name == "ends soon" {
			assert.Equal(t, len(stops), 0, name)
			continue
		}
		assert.Equal(t, len(stops), 1, name)
		assert.Equal(t, stops[0].Reason, ReasonRunTooLong)
	}
	f := newFleet(t, 1, 1, 1)
	f.serveAll("all", 20, 3, f.runTimes(3, 250*ms, 0))
	starts := f.submit("slow", 3, 50*ms).Starts
	assert.Assert(t, f.slow(0))
	for _, s := range starts {
		f.report(s, Running)
		stops := f.progress(s, RunProgress{Percent: 10, Left: 500 * ms}).Stops
		assert.Equal(t, len(stops) == 1, s.Endpoint == f.id(0), "%s: %v", s.Endpoint, stops)
	}
}

// Guards against a hung run that is never stopped because its progress once moved.
func TestProgressThatStopsArriving(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.run("j")
	f.now += 20 * ms
	f.progress(s, RunProgress{Percent: 30, Left: 300 * ms})
	stops, first := f.stopsWithin(800 * ms)
	assert.Equal(t, len(stops), 1)
	assert.Assert(t, first >= 300*ms+progressMargin && first <= 300*ms+progressMargin+50*ms, "after %v", first)
}

// Guards against changed decisions for guards without progress, for reports that say nothing or are
// about another run, for values out of range, and with the part turned off.
func TestWithoutProgressTheLimitDecides(t *testing.T) {
	for name, r := range map[string]RunProgress{
		"none":             {},
		"no time left":     {Percent: 40},
		"percent too high": {Percent: 101, Left: time.Second},
		"negative percent": {Percent: -1, Stalled: true},
		"negative time":    {Percent: 10, Left: -time.Second},
		"time too long":    {Percent: 10, Left: maxLeft + time.Second},
		"turned off":       {Percent: 10, Left: time.Second},
		"earlier attempt":  {Percent: 10, Stalled: true},
		"another endpoint": {Percent: 10, Stalled: true},
	} {
		f := newFleet(t, 1, 1)
		f.opt.Disabled.RunProgress = name == "turned off"
		s := f.run("j")
		r.Run, f.now = s.Run, f.now+20*ms
		endpoint := s.Endpoint
		switch name {
		case "earlier attempt":
			r.Run.Attempt--
		case "another endpoint":
			endpoint = f.id(1)
			if s.Endpoint == endpoint {
				endpoint = f.id(0)
			}
		}
		f.RecordProgress(f.now, endpoint, r)
		stops, first := f.stopsWithin(600 * ms)
		assert.Equal(t, len(stops), 1, name)
		assert.Equal(t, first, usualLimit-20*ms, name)
		assert.Equal(t, stops[0].Reason, ReasonRunTooLong)
	}
}

// Guards against the progress of a run that an earlier guard was given: its successor knows nothing
// of it.
func TestProgressEndsWithTheGuard(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.run("j")
	f.progress(s, RunProgress{Percent: 30, Left: 900 * ms})
	f.AttachEndpoint(s.Endpoint, "a", true)
	f.RecordProgress(f.now, s.Endpoint, RunProgress{Run: s.Run, Percent: 30, Left: 900 * ms})
	assert.Equal(t, f.endpoints[s.Endpoint].runs[s.Run.Task].progress, progress{})
}

// Guards against tail jobs that are expected to take half as long as they do, and against those that
// declare the usual run time being stopped as too long at three times the expected one.
func TestLimitFollowsTheTail(t *testing.T) {
	limits := map[bool]time.Duration{}
	for _, off := range []bool{false, true} {
		f := newFleet(t, 1, 1, 1, 1)
		f.opt.Disabled.RunProgress = off
		e := f.estimate(terms.Contract)
		for i := range 4000 {
			ran := 50 * ms * time.Duration(100+i%7*5) / 100
			if i%33 == 0 {
				ran *= 7
			}
			declared := ran * time.Duration(70+i%5*15) / 100
			if i%66 == 0 {
				declared = 50 * ms
			}
			e.learn(f.now, ran, declared)
			e.runTimes.Add(f.now, f.id(i%5), ran, declared)
		}
		w := work.Job{ID: fmt.Sprint(off), Steps: []work.Step{{Count: 1, Need: core, Declared: 350 * ms}, {Count: 1, Need: core, Declared: 50 * ms}}}
		f.Submit(f.now, f.now+10*time.Second, w, terms)
		limits[off] = f.jobs[w.ID].runTimeLimits[1]
		if run := f.jobs[w.ID].expected[0]; !off {
			assert.Assert(t, run > 300*ms && run < 500*ms, "expected %v", run)
		}
	}
	assert.Assert(t, limits[false] > 7*50*ms && limits[true] < 7*50*ms, "%v", limits)
}

// Guards against the ejection of an endpoint that is slow by nature: a run there that would end too late
// at its own pace is stopped, although nothing is wrong with the endpoint.
func TestStopAtLastinglySlowEndpointIsNoFailure(t *testing.T) {
	f := newFleet(t, 1, 1, 1, 1)
	for i := range 4 {
		f.setSpeed(i, 1, 1000, 300, "r")
	}
	s := f.run("j")
	for i := range 4 {
		if f.id(i) == s.Endpoint {
			f.setSpeed(i, 1, 2000, 300, "r")
		}
	}
	f.now += 100 * ms
	stops := f.progress(s, RunProgress{Percent: 5, Left: 1900 * ms}).Stops
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Reason, ReasonRunTooLong)
	assert.Equal(t, f.endpoints[s.Endpoint].health.failureStreak, 0)
}

// Guards against a run that is kept by an estimate that its guard has withdrawn, and against one that is
// judged by the progress of the task's earlier run.
func TestProgressThatIsNotKnownAnyMore(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.run("j")
	f.now += 20 * ms
	f.progress(s, RunProgress{Percent: 30, Left: time.Second})
	f.progress(s, RunProgress{Percent: 20})
	stops, first := f.stopsWithin(600 * ms)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, first, usualLimit-20*ms)

	f = newFleet(t, 1, 1)
	s = f.run("j")
	f.progress(s, RunProgress{Percent: 30, Left: time.Second})
	f.report(s, Stopped)
	second := f.act().Starts[0]
	f.report(second, Running)
	stops, first = f.stopsWithin(600 * ms)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, first, usualLimit)
}

// Guards against a retest that leaves the distribution of the earlier run times in force: jobs would
// still be rejected by it.
func TestRetestForgetsTheTail(t *testing.T) {
	var e estimate
	f := newFleet(t)
	e.runTimes = f.estimate("x").runTimes
	for i := range 4000 {
		ran := 20 * ms
		if i%33 == 0 {
			ran *= 7
		}
		e.runTimes.Add(f.now, f.id(i%4), ran, ran)
	}
	assert.Assert(t, e.runTimes.HasTail())
	e.reset()
	assert.Assert(t, e.runTimes != nil && !e.runTimes.HasTail())
}

// Guards against the loss of all work and the ejection of all endpoints while something that all runs
// share stalls, and against a stall at one endpoint that goes unnoticed afterwards.
func TestRunsThatStallEverywhereAreKept(t *testing.T) {
	f := newFleet(t, 3, 3, 3, 3)
	stopped := 0
	starts := f.submitLongWait("j", 12).Starts
	assert.Equal(t, len(starts), 12)
	for _, s := range starts {
		f.report(s, Running)
	}
	for _, s := range starts {
		f.now += 5 * ms
		stopped += len(f.progress(s, RunProgress{Percent: 30, Stalled: true}).Stops)
	}
	ejected := f.CountEndpoints(f.now)[Ejected]
	assert.Assert(t, ejected <= 2 && stopped <= 6, "%d runs stopped, %d endpoints ejected", stopped, ejected)
	assert.Assert(t, stopped > 0, "half of the endpoints may have a fault")
	for _, s := range starts {
		f.report(s, Done)
	}
	f.now += stallWindow + 5*time.Second
	f.act()
	s := f.submitLongWait("next", 1).Starts[0]
	f.report(s, Running)
	f.now += 100 * ms
	assert.Equal(t, len(f.progress(s, RunProgress{Percent: 30, Stalled: true}).Stops), 1)
}

// Guards against memory that grows with the number of contracts that there have ever been.
func TestRunTimesOfIdleContractsAreRemoved(t *testing.T) {
	f := newFleet(t, 1)
	f.learnRunTime(20 * ms)
	e := f.estimate(terms.Contract)
	learnt := e.runTimes
	f.now += runTimesRetention - 2*runTimesPruneInterval
	f.act()
	assert.Assert(t, e.runTimes == learnt)
	f.now += 3 * runTimesPruneInterval
	f.act()
	assert.Assert(t, e.runTimes != learnt && e.runTimes != nil)
}

// Guards against a task that is stopped at one endpoint after the other because it ends too late at its
// own pace at each of them.
func TestStopsOfASlowTaskAreFew(t *testing.T) {
	f := newFleet(t, 1, 1, 1, 1, 1, 1, 1, 1)
	s := f.run("j")
	for n := range 4 {
		for i := range 8 {
			permille := 1000
			if f.id(i) == s.Endpoint {
				permille = 2500
			}
			f.setSpeed(i, 1, permille, 300, "r")
		}
		f.now += 50 * ms
		stops := f.progress(s, RunProgress{Percent: 5, Left: 1900 * ms}).Stops
		assert.Equal(t, len(stops) == 1, n < maxSlowStops, "run %d", n)
		if len(stops) == 0 {
			break
		}
		f.report(s, Stopped)
		s = f.act().Starts[0]
		f.report(s, Running)
	}
}
