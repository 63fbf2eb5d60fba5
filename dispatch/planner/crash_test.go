package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// crash reports the crash of the runner of a start, and restarts the runner as a new
// incarnation.
func (f *fleet) crash(s Start, c Crash) Actions {
	f.ReportCrash(f.now, s.Endpoint, s.Run, 0, c)
	a := f.act()
	f.restartRunner(s.Endpoint)
	return a
}

func (f *fleet) restartRunner(id string) {
	f.incarnations++
	f.UpdateEndpoint(f.now, id, EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: fmt.Sprint("life-", f.incarnations)}, AcceptsStarts: true, Total: work.Amounts{CPUMilli: 8000, MemoryMB: 512}})
}

// submitLongWait submits a job whose caller waits long enough for many starts.
func (f *fleet) submitLongWait(id string, tasks int) Actions {
	w := work.Job{ID: id, Steps: []work.Step{{Count: tasks, Need: core, Declared: 60 * ms}}}
	assert.Equal(f.t, f.Submit(f.now, f.now+time.Minute, w, terms), Accepted)
	return f.act()
}

// A task crashes every runner that starts it. At the second crash nothing else was running, so
// the task is the cause: its caller learns that the job failed, and no third runner is lost.
func TestTaskThatCrashesTwoRunnersAloneIsGivenUp(t *testing.T) {
	f := newFleet(t, 8, 8, 8)
	first := f.submitLongWait("poison", 1).Starts[0]
	a := f.crash(first, Crash{OtherCount: 7})
	assert.Equal(t, len(a.Starts), 1)
	assert.Assert(t, a.Starts[0].Endpoint != first.Endpoint)
	a = f.crash(a.Starts[0], Crash{})
	assert.Equal(t, len(a.Starts), 0)
	assert.Equal(t, len(a.Ended), 1)
	assert.Equal(t, a.Ended[0].Outcome, Failed)
	assert.Equal(t, a.Ended[0].Reason, ReasonCrashes)
}

// At each crash other tasks were running and had started after this one, so the cause stays
// unknown: the task is started a third time, but never a fourth.
func TestTaskIsNeverStartedAfterThreeCrashes(t *testing.T) {
	f := newFleet(t, 8, 8, 8, 8)
	s := f.submitLongWait("late", 1).Starts[0]
	for n := 1; n <= 2; n++ {
		a := f.crash(s, Crash{OtherCount: 7})
		assert.Equal(t, len(a.Starts), 1, "after %d", n)
		s = a.Starts[0]
	}
	a := f.crash(s, Crash{OtherCount: 7})
	assert.Equal(t, len(a.Starts), 0)
	assert.Equal(t, a.Ended[0].Reason, ReasonCrashes)
}

// A job's task was running on two runners that a task of another job crashed. It had started
// before that task both times, so it is run elsewhere and its caller is answered.
func TestJobBesideOneThatCrashesRunnersIsServed(t *testing.T) {
	f := newFleet(t, 8, 8, 8)
	s := f.submitLongWait("sound", 1).Starts[0]
	for range 2 {
		a := f.crash(s, Crash{OtherCount: 1})
		assert.Equal(t, len(a.Ended), 0)
		s = a.Starts[0]
	}
	f.report(s, Done)
	assert.Equal(t, f.act().Ended[0].Outcome, Completed)
}

// The crash of a runner becomes known only after its task was started elsewhere: the host was
// unreachable, and the runner's next incarnation reports it. The crash must count, or such a
// task is started again and again for as long as its caller waits.
func TestCrashKnownLateCounts(t *testing.T) {
	f := newFleet(t, 8, 8, 8)
	first := f.submitLongWait("poison", 1).Starts[0]
	f.report(first, Stopped)
	second := f.act().Starts[0]
	f.ReportCrash(f.now, first.Endpoint, first.Run, 0, Crash{})
	assert.Equal(t, len(f.act().Ended), 0, "one crash")
	a := f.crash(second, Crash{})
	assert.Equal(t, a.Ended[0].Reason, ReasonCrashes)
}

// Four tasks of one job were on a runner that crashed. Placed together again, one of them
// would crash all, and no crash would tell which; so each gets a runner without another
// suspect.
func TestSuspectsAreKeptApart(t *testing.T) {
	f := newFleet(t, 8, 8, 8)
	starts := f.submitLongWait("wide", 4).Starts
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		f.ReportCrash(f.now, s.Endpoint, s.Run, 0, Crash{OtherCount: 3})
	}
	f.restartRunner(starts[0].Endpoint)
	again := f.act().Starts
	assert.Equal(t, len(again), 3, "three runners with one suspect each; the fourth suspect waits")
	where := map[string]bool{}
	for _, s := range again {
		assert.Assert(t, !where[s.Endpoint])
		where[s.Endpoint] = true
	}
	sound := f.submitLongWait("sound", 1)
	assert.Equal(t, len(sound.Starts), 1, "a task without crashes is placed although a suspect waits")
	f.report(again[0], Done)
	assert.Equal(t, len(f.act().Starts), 1, "the fourth follows")
}

// A rack loses power: all its runners crash within a second or two. This is no evidence
// against any task; if it counted, the next crash would fail jobs that did nothing wrong.
func TestRackFailureIsNotCountedAgainstTasks(t *testing.T) {
	f := newFleet(t)
	for i := range 6 {
		f.AttachEndpoint(f.id(i), fmt.Sprint("zone", i%2), true)
		label := "rack-1"
		if i >= 4 {
			label = "rack-2"
		}
		f.UpdateEndpoint(f.now, f.id(i), EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}, AcceptsStarts: true, Labels: []string{"kind", label},
			Total: work.Amounts{CPUMilli: 1000, MemoryMB: 64}})
	}
	var starts []Start
	for i := range 6 {
		starts = append(starts, f.submitLongWait(fmt.Sprint("j", i), 1).Starts...)
	}
	assert.Equal(t, len(starts), 6)
	for _, s := range starts {
		if s.Endpoint < f.id(4) {
			f.now += 200 * ms
			f.ReportCrash(f.now, s.Endpoint, s.Run, 0, Crash{})
		}
	}
	for _, j := range f.jobs {
		assert.Equal(t, j.tasks[0].crashes, 0, "%s has crashes attributed", j.work.ID)
	}
	assert.Equal(t, f.CrashCounts(), CrashCounts{CommonCause: 4})
}

// Guards against suspects and crashes that no metric shows.
func TestCrashesAndSuspectsAreCounted(t *testing.T) {
	f := newFleet(t, 8, 8, 8)
	s := f.submitLongWait("crashing", 1).Starts[0]
	a := f.crash(s, Crash{OtherCount: 1})
	assert.Equal(t, f.CrashCounts(), CrashCounts{Attributed: 1, Suspects: 1})
	f.crash(a.Starts[0], Crash{})
	assert.Equal(t, f.CrashCounts(), CrashCounts{Attributed: 2})
}

// Guards against a job that fails after one crash: its guard reports the crash twice, the
// second time in answer to a stop order that crossed the first report.
func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	f := newFleet(t, 8, 8, 8)
	s := f.submitLongWait("j", 1).Starts[0]
	c := Crash{Runner: work.Incarnation{ID: "r"}, Newest: true}
	f.ReportCrash(f.now, s.Endpoint, s.Run, 0, c)
	f.ReportCrash(f.now, s.Endpoint, s.Run, 0, c)
	a := f.act()
	assert.Equal(t, len(a.Ended), 0, "%v", a.Ended)
	assert.Equal(t, len(a.Starts), 1)
	assert.Equal(t, f.CrashCounts().Attributed, 1)
}
