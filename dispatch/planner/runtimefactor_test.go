package planner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// setSpeed reports an endpoint's capacity and the ratio of its run times.
func (f *fleet) setSpeed(i, total, permille, samples int, runner string) {
	f.UpdateEndpoint(f.now, f.id(i), EndpointStatus{
		Service: "teardown", Runner: work.Incarnation{ID: runner}, AcceptsStarts: true,
		Total: work.Amounts{CPUMilli: int64(total) * 1000, MemoryMB: int64(total) * 64}, RunTimePermille: permille, RunTimeSamples: samples,
	})
}

// unequalFleet returns a fleet of endpoints with free capacity for the given number of tasks, every fourth of
// which takes 0.55 of the normal run time and the others 1.2, as reported in their first message.
func unequalFleet(t *testing.T, n, total int) *fleet {
	f := newFleet(t, make([]int, n)...)
	for i := range n {
		permille := 1200
		if i%4 == 0 {
			permille = 550
		}
		f.setSpeed(i, total, permille, 300, "r")
	}
	return f
}

func (f *fleet) factor(i int) float64 { return f.endpoints[f.id(i)].runTimeFactor() }

// TestRunTimeFactors guards against factors for endpoints that differ by chance, or whose speed is
// not known, and against malformed reports.
func TestRunTimeFactors(t *testing.T) {
	type report struct{ permille, samples int }
	normal := report{1200, 300}
	for name, c := range map[string]struct {
		report report
		want   float64
	}{
		"fast":               {report{550, 300}, 550.0 / 1200},
		"slow by nature":     {report{2040, 300}, 1.7},
		"within the limit":   {report{1440, 300}, 1},
		"few samples":        {report{550, 15}, 1},
		"chance":             {report{1680, 16}, 1},
		"older guard":        {report{0, 0}, 1},
		"lower bound":        {report{100, 300}, 0.4},
		"upper bound":        {report{9000, 300}, 2.5},
		"malformed ratio":    {report{1 << 30, 300}, 1},
		"malformed samples":  {report{550, -1}, 1},
		"ratio without runs": {report{550, 0}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4, 4, 4, 4)
			f.setSpeed(0, 4, c.report.permille, c.report.samples, "r")
			for i := 1; i < 4; i++ {
				f.setSpeed(i, 4, normal.permille, normal.samples, "r")
			}
			assert.Assert(t, math.Abs(f.factor(0)-c.want) < 1e-9, "%v", f.factor(0))
			assert.Equal(t, f.factor(1), 1.0)
		})
	}
}

// TestNormalSpeedDoesNotJump guards against run times that are in other units from one moment to the next:
// in a service with half of its endpoints fast, one more or less would change the normal speed by a half.
func TestNormalSpeedDoesNotJump(t *testing.T) {
	for _, n := range []int{12, 59} {
		last := math.Log(1.2)
		for fast := range n + 1 {
			f := newFleet(t, make([]int, n)...)
			for i := range n {
				permille := 1200
				if i < fast {
					permille = 550
				}
				f.setSpeed(i, 4, permille, 300, "r")
			}
			f.now += time.Second
			f.act()
			normal := math.Log(f.services["teardown"].speeds.normal)
			assert.Assert(t, normal <= last+1e-9 && normal >= last-3/float64(n)*math.Log(1200.0/550)-1e-9, "%d of %d are fast: %f after %f", fast, n, normal, last)
			if 3*fast <= n {
				assert.Assert(t, math.Abs(normal-math.Log(1.2)) < 1e-9, "a third of the endpoints or fewer do not change it")
			}
			last = normal
		}
		assert.Assert(t, math.Abs(last-math.Log(0.55)) < 1e-9)
	}
}

// TestSpeedIsForgotten guards against factors learnt at another guard or runner process, and against
// an entry that has just started and places work as if all endpoints were alike.
func TestSpeedIsForgotten(t *testing.T) {
	for name, forget := range map[string]func(f *fleet){
		"guard replaced":  func(f *fleet) { f.AttachEndpoint(f.id(0), "a", true); f.setSpeed(0, 4, 0, 0, "r") },
		"next process":    func(f *fleet) { f.setSpeed(0, 4, 900, 3, "r2") },
		"another service": func(f *fleet) { f.UpdateEndpoint(f.now, f.id(0), EndpointStatus{Service: "other"}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := unequalFleet(t, 4, 4)
			assert.Assert(t, f.factor(0) < 0.5, "an entry that has just started doesn't know the speeds")
			assert.Equal(t, f.CountSpeeds()[Fast], 1)
			forget(f)
			assert.Equal(t, f.factor(0), 1.0)
			assert.Equal(t, f.services["teardown"].speeds.differ, false)
		})
	}
	f := newFleet(t)
	f.opt.Disabled.EndpointSpeeds = true
	f.AttachEndpoint(f.id(0), "a", true)
	f.AttachEndpoint(f.id(1), "a", true)
	f.setSpeed(0, 4, 550, 300, "r")
	f.setSpeed(1, 4, 1200, 300, "r")
	assert.Equal(t, f.factor(0), 1.0, "the setting doesn't turn the part off")
}

// TestSlowIsJudgedAgainstOwnSpeed guards against endpoints that are slow by nature and are used last
// or ejected like broken ones, and against a fast one whose fault goes unnoticed as it is then about
// as slow as its peers.
func TestSlowIsJudgedAgainstOwnSpeed(t *testing.T) {
	f := newFleet(t, make([]int, 9)...)
	runTime := f.runTimes(9, 100*ms, 2, 5, 7)
	for i := range 9 {
		f.setSpeed(i, 1, int(runTime[f.id(i)]/(50*time.Microsecond)), 300, "r")
	}
	f.serveAll("calm", 30, 9, runTime)
	assert.Equal(t, f.CountSlow(), 0)
	assert.Equal(t, f.CountEndpoints(f.now)[Ejected], 0)
	expected := f.estimate("lookup").expectedRunTime(50 * ms)
	assert.Assert(t, expected > 45*ms && expected < 55*ms, "run times are not learnt in units of a normal endpoint: %v", expected)

	f = unequalFleet(t, 8, 1)
	runTime = f.runTimes(8, 23*ms, 0, 4)
	f.serveAll("calm", 30, 8, runTime)
	runTime[f.id(4)] = 5 * 23 * ms
	f.serveAll("fault", 12, 8, runTime)
	assert.Assert(t, f.slow(4))
	assert.Equal(t, f.CountSlow(), 1)
}

// TestFactorThatBecomesKnown: an endpoint that was used last while its nature was unknown must not
// stay so.
func TestFactorThatBecomesKnown(t *testing.T) {
	f := newFleet(t, 1, 1, 1, 1)
	runTime := f.runTimes(4, 110*ms, 0)
	f.serveAll("unknown", 20, 4, runTime)
	assert.Assert(t, f.slow(0))
	for i := range 4 {
		f.setSpeed(i, 1, int(runTime[f.id(i)]/(50*time.Microsecond)), 300, "r")
	}
	f.act()
	f.submit("next", 1, 50*ms)
	assert.Equal(t, f.CountSlow(), 0)
}

// TestJobsShortOfTimeGoToFastEndpoints: of many endpoints one in four is fast, and a job that can be
// in time only there must find one that has free capacity, also if a sample doesn't contain it.
func TestJobsShortOfTimeGoToFastEndpoints(t *testing.T) {
	for i := range 20 {
		f := unequalFleet(t, 40, 4)
		for fast := 0; fast < 36; fast += 4 {
			f.setSpeed(fast, 0, 550, 300, "r")
		}
		f.PauseStarts(f.now + time.Second)
		f.submit(fmt.Sprint("job", i), 1, 400*ms)
		f.now += 240 * ms
		f.PauseStarts(0)
		starts := f.act().Starts
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Endpoint, f.id(36))
		assert.Assert(t, starts[0].Speed > 0, "the log doesn't tell that the speed decided")
	}
}

// TestLaterStepsCountOnlyWhatIsLeft guards against later steps of a job that all go to the fast endpoints,
// because the time for the steps that are done counts once more: the job is in time on any endpoint.
func TestLaterStepsCountOnlyWhatIsLeft(t *testing.T) {
	for i := range 20 {
		f := unequalFleet(t, 8, 4)
		step := work.Step{Count: 1, Need: core, Declared: 200 * ms}
		next := step
		next.After = []int{0}
		w := work.Job{ID: fmt.Sprint("job", i), Steps: []work.Step{step, next}}
		assert.Equal(t, f.Submit(f.now, f.now+3*time.Second, w, terms), Accepted)
		first := f.act().Starts[0]
		f.report(first, Running)
		f.now += 250 * ms
		f.report(first, Done)
		starts := f.act().Starts
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Speed, 0.0, "the speed decided")
	}
}

// TestLateJobsStartOnOtherEndpoints: a job that could be in time on a fast endpoint only is still
// started elsewhere if no fast one has free capacity.
func TestLateJobsStartOnOtherEndpoints(t *testing.T) {
	f := unequalFleet(t, 8, 4)
	f.setSpeed(0, 0, 550, 300, "r")
	f.setSpeed(4, 0, 550, 300, "r")
	f.PauseStarts(f.now + time.Second)
	f.submit("job", 1, 400*ms)
	f.now += 240 * ms
	f.PauseStarts(0)
	assert.Equal(t, len(f.act().Starts), 1)
}

// TestFactorsOfManyEndpoints guards against processor time that grows with the square of the number
// of endpoints, each of which reports another ratio many times a second, and against a change that
// is not used within a moment.
func TestFactorsOfManyEndpoints(t *testing.T) {
	const n = 400
	f := unequalFleet(t, n, 1)
	s := f.services["teardown"]
	f.now += 10 * time.Second
	f.act()
	begin, computed, last := f.now, 0, s.speeds.computedUntil
	for round := range 10 {
		for i := range n {
			f.now += ms
			f.setSpeed(i, 1, 1200+60*(round%2), 300, "r")
			f.act()
			if s.speeds.computedUntil != last {
				computed, last = computed+1, s.speeds.computedUntil
			}
		}
	}
	most := int((f.now-begin+factorBurst)/s.sumInterval()) + 1
	assert.Assert(t, computed > 0 && computed <= most, "computed %d times, at most %d", computed, most)
	f.setSpeed(5, 1, 3000, 300, "r")
	_, next := f.Act(f.now)
	assert.Assert(t, next <= f.now+s.sumInterval())
	f.now = next
	f.act()
	assert.Assert(t, f.factor(5) > 2)
}

// TestJobThatOnlyAFastEndpointCanDo guards against a job that is rejected as having too little time
// while a fast endpoint could do it, against one that is started where it cannot end before its
// caller's deadline, and against other jobs that are not started because of it.
func TestJobThatOnlyAFastEndpointCanDo(t *testing.T) {
	for _, fastIsFree := range []bool{true, false} {
		f := unequalFleet(t, 4, 1)
		f.learnRunTime(800 * ms)
		f.now += startupGrace
		for i := 1; i < 4; i++ {
			f.setSpeed(i, 1, 1200, 300, "r")
		}
		total := 1
		if !fastIsFree {
			total = 0
		}
		f.setSpeed(0, total, 550, 300, "r")
		f.act()
		w := work.Job{ID: "short of time", Steps: []work.Step{{Count: 1, Need: core, Declared: 800 * ms}}}
		f.Submit(f.now, f.now+300*ms, w, terms)
		if !fastIsFree {
			w.ID = "other"
			f.Submit(f.now, f.now+10*time.Second, w, terms)
		}
		a := f.act()
		assert.Equal(t, len(a.Ended), 0)
		assert.Equal(t, len(a.Starts), 1)
		assert.Equal(t, a.Starts[0].Endpoint == f.id(0), fastIsFree)
		assert.Equal(t, a.Starts[0].Run.Task.Job == "short of time", fastIsFree)
	}
}

// TestLimitsAtOwnSpeed guards against run time limits, forecasts and run times of stopped runs that
// mistake a run time at an endpoint for that on a normal one.
func TestLimitsAtOwnSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		permille int
		factor   float64
	}{"normal": {1000, 1}, "slow by nature": {2000, 2}, "fast": {500, 0.5}} {
		f := newFleet(t, 1, 1, 1, 1)
		s := f.run("j")
		for i := range 4 {
			permille := 1000
			if f.id(i) == s.Endpoint {
				permille = c.permille
			}
			f.setSpeed(i, 1, permille, 300, "r")
		}
		task := f.endpoints[s.Endpoint].runs[s.Run.Task]
		assert.Equal(t, task.runTimeLimit(), time.Duration(c.factor*float64(runTimeLimitFactor*60*ms))+runTimeLimitMargin, name)
		cores, known := task.job.service.completionRate()
		assert.Assert(t, known && cores == 1/c.factor, "%s: %v cores", name, cores)

		left := task.job.deadline - answerMargin - f.now
		task.job.expected[0] = time.Duration(0.9 * float64(left) / c.factor)
		assert.Assert(t, task.job.canWait(f.now, 0, task.endpoint), name)
		task.job.expected[0] = time.Duration(1.1 * float64(left) / c.factor)
		assert.Assert(t, !task.job.canWait(f.now, 0, task.endpoint), name)

		// Twice stopped, after 1.5 times what is expected at this endpoint.
		task.job.expected[0] = 60 * ms
		task.overruns = 2
		f.ReportRun(f.now, s.Endpoint, s.Run, Stopped, time.Duration(1.5*c.factor*60)*ms)
		assert.Assert(t, math.Abs(f.estimate(terms.Contract).meanRan-0.09) < 1e-9, "%s: %v", name, f.estimate(terms.Contract).meanRan)
	}
}
