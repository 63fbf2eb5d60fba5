package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// learnSlowRuns makes run times of four seconds learnt, for callers who wait for ten, after a
// usual run time of one second.
func (f *fleet) learnSlowRuns() {
	f.runFor("usual", time.Second)
	for n := range 100 {
		f.runFor(fmt.Sprint("slow", n), 4*time.Second)
	}
}

func (f *fleet) runFor(id string, run time.Duration) {
	w := work.Job{ID: id, Steps: []work.Step{{Count: 1, Need: core}}}
	assert.Equal(f.t, f.Submit(f.now, f.now+10*time.Second, w, terms), Accepted)
	start := f.act().Starts[0]
	f.now += run
	f.ReportRun(f.now, start.Endpoint, start.Run, Done, run)
	f.act()
}

// Guards against refusing all jobs of a contract for good once its run times, learnt while it
// ran slowly, leave its callers no time.
func TestContractIsServedAgainAfterSlowRuns(t *testing.T) {
	f := newFleet(t, 4)
	f.learnSlowRuns()
	for n := range 40 {
		f.now += 100 * ms
		a := f.submit(fmt.Sprint(n), 1, 0)
		if len(a.Starts) == 0 {
			assert.Assert(t, n < 10, "job %d is still rejected", n)
			continue
		}
		f.ReportRun(f.now+50*ms, a.Starts[0].Endpoint, a.Starts[0].Run, Done, 50*ms)
		f.act()
	}
}

// Guards against starting job after job that cannot end before its caller's deadline.
func TestRetestsOfAContractThatTakesTooLongAreFew(t *testing.T) {
	f := newFleet(t, 4)
	f.learnSlowRuns()
	started := 0
	for n := range 600 {
		f.now += 100 * ms
		a := f.submit(fmt.Sprint(n), 1, 0)
		for _, s := range a.Starts {
			started++
			f.Cancel(f.now, s.Run.Task.Job)
			f.ReportRun(f.now, s.Endpoint, s.Run, Stopped, 0)
		}
	}
	assert.Assert(t, started >= 2 && started <= 8, "%d started", started)
}

// Guards against an entry that regards all endpoints of a service as slow and starts nothing more:
// the first runs take longer than declared.
func TestServiceWhoseRunsTakeLongerThanDeclaredIsServed(t *testing.T) {
	const run = 2600 * ms
	f := newFleet(t, 4, 4)
	w := work.Job{ID: "long", Steps: []work.Step{{Count: 8, Need: core, Declared: 300 * ms}}}
	assert.Equal(t, f.Submit(f.now, f.now+6*time.Second, w, terms), Accepted)
	starts := f.act().Starts
	for _, s := range starts {
		f.report(s, Running)
	}
	f.now += run
	for _, s := range starts {
		f.ReportRun(f.now, s.Endpoint, s.Run, Done, run)
	}
	started := 0
	for n := range 600 {
		f.now += 50 * ms
		a := f.submit(fmt.Sprint(n), 4, 20*ms)
		for _, s := range a.Starts {
			started++
			f.ReportRun(f.now+20*ms, s.Endpoint, s.Run, Done, 20*ms)
		}
	}
	assert.Assert(t, started > 0)
}

// Guards against a contract whose tasks come to take longer than the limit by their older run times:
// each run is stopped, none is learnt, and no job completes again.
func TestContractWhoseTasksOutgrowTheirLimitIsServed(t *testing.T) {
	t.Run("without a tail", func(t *testing.T) { serveOutgrownLimit(t, false) })
	t.Run("with a tail", func(t *testing.T) { serveOutgrownLimit(t, true) })
}

func serveOutgrownLimit(t *testing.T, tail bool) {
	const step, long = 10 * ms, time.Second
	f := newFleet(t, 4, 4, 4, 4)
	for i := range 40 {
		f.runFor(fmt.Sprint("short", i), 20*ms)
	}
	if tail {
		e := f.estimate(terms.Contract)
		for i := range 4000 {
			ran := 20 * ms
			if i%33 == 0 {
				ran *= 7
			}
			e.runTimes.Add(f.now, f.id(i%4), ran, ran)
		}
		assert.Assert(t, e.runTimes.HasTail())
	}
	started := map[Start]time.Duration{}
	submittedLate, completedLate := 0, 0
	for begin := f.now; f.now < begin+30*time.Second; f.now += step {
		if since := f.now - begin; since%(400*ms) == 0 && since < 28*time.Second {
			w := work.Job{ID: "early", Steps: []work.Step{{Count: 1, Need: core, Declared: 20 * ms}}}
			if since > 15*time.Second {
				w.ID = "late"
				submittedLate++
			}
			w.ID += fmt.Sprint(since)
			assert.Equal(t, f.Submit(f.now, f.now+1500*ms, w, terms), Accepted)
		}
		for s, at := range started {
			if f.now-at >= long {
				f.ReportRun(f.now, s.Endpoint, s.Run, Done, long)
				delete(started, s)
			}
		}
		a := f.act()
		for _, s := range a.Starts {
			f.report(s, Running)
			started[s] = f.now
		}
		for _, stop := range a.Stops {
			for s := range started {
				if s.Run == stop.Run {
					f.report(s, Stopped)
					delete(started, s)
				}
			}
		}
		for _, e := range a.Ended {
			if e.Outcome == Completed && e.Job[:4] == "late" {
				completedLate++
			}
		}
	}
	assert.Assert(t, completedLate*10 >= submittedLate*9, "%d of %d completed after 15 s", completedLate, submittedLate)
}
