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
	terms = Terms{Contract: "lookup", Service: "teardown", MaxAttempts: 2, TargetFactor: 1.6, TargetMargin: 60 * ms}
	core  = work.Amounts{CPUMilli: 1000, MemoryMB: 64}
)

// fleet is a planner with endpoints that have capacity for the given numbers of tasks.
type fleet struct {
	*Planner
	t   *testing.T
	now time.Duration
	// incarnations counts the runner incarnations after crashes.
	incarnations int
}

func newFleet(t *testing.T, capacity ...int) *fleet {
	f := &fleet{Planner: New(Options{DataCentre: "a"}), t: t, now: time.Second}
	for i, n := range capacity {
		f.AttachEndpoint(f.id(i), "a", true)
		f.setCapacity(i, n, 0)
	}
	return f
}

func (f *fleet) id(i int) string { return fmt.Sprintf("g%d", i) }

func (f *fleet) setCapacity(i, total, used int) {
	scale := func(n int) work.Amounts { return work.Amounts{CPUMilli: int64(n) * 1000, MemoryMB: int64(n) * 64} }
	f.UpdateEndpoint(f.now, f.id(i), EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}, AcceptsStarts: true, Total: scale(total), Used: scale(used)})
}

func (f *fleet) submit(id string, tasks int, declared time.Duration) Actions {
	w := work.Job{ID: id, Steps: []work.Step{{Count: tasks, Need: core, Declared: declared}}}
	assert.Equal(f.t, f.Submit(f.now, f.now+1500*ms, w, terms), Accepted)
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

func (f *fleet) report(s Start, c RunEvent) {
	f.ReportRun(f.now, s.Endpoint, s.Run, c, 0)
}

// A caller is told "not run" although a task of its job is running. There is capacity for two
// of a job's four tasks; the others wait past the latest useful start. A job of which a task
// may have started must never be refused.
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

// A task runs twice: its guard dies and a successor attaches at once, while the run goes on at
// the runner until the successor has ended it. Until then the task must not start elsewhere.
func TestRunsOfAnOlderGuardAreOverOnlyWhenCleared(t *testing.T) {
	f := newFleet(t, 2, 2)
	a := f.submit("j", 1, 60*ms)
	s := a.Starts[0]
	f.report(s, Running)
	assert.Equal(t, len(f.AttachEndpoint(s.Endpoint, "a", true)), 0, "the successor knows nothing of the run")
	assert.Equal(t, len(f.after(20*ms).Starts), 0)
	total := work.Amounts{CPUMilli: 2000, MemoryMB: 128}
	f.UpdateEndpoint(f.now, s.Endpoint, EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}, Total: total})
	assert.Equal(t, len(f.after(20*ms).Starts), 0)
	f.UpdateEndpoint(f.now, s.Endpoint, EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}, Total: total, Reconciled: true})
	assert.Equal(t, len(f.after(20*ms).Starts), 1)
}

// Guards against a task that runs twice: its run is stopped after the guard was replaced, and the
// successor, which has no record of the run, answers before its runner is reconciled.
func TestUnknownRunOfAnOlderGuardIsNotOver(t *testing.T) {
	f := newFleet(t, 2, 2)
	s := f.submit("j", 1, 60*ms).Starts[0]
	f.report(s, Running)
	f.AttachEndpoint(s.Endpoint, "a", true)
	f.report(s, Unknown)
	assert.Equal(t, len(f.after(20*ms).Starts), 0)
	f.UpdateEndpoint(f.now, s.Endpoint, EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}, Total: work.Amounts{CPUMilli: 2000, MemoryMB: 128}, Reconciled: true})
	assert.Equal(t, len(f.after(20*ms).Starts), 1)
}

// A job that would be late is still served if no other job is waiting, for as long as a late
// answer is of use.
func TestLateJobIsServedWhenAlone(t *testing.T) {
	f := newFleet(t, 1)
	first := f.submit("first", 1, 60*ms)
	f.report(first.Starts[0], Running)
	f.submit("late", 1, 60*ms)
	f.now += 120 * ms
	f.report(first.Starts[0], Done)
	a := f.act()
	assert.Equal(t, len(a.Ended), 1, "the first is completed: %v", a.Ended)
	assert.Equal(t, len(a.Starts), 1)
}

// A job that no runner can ever hold fails at once; while no runner is known it waits for one,
// and is then refused.
func TestJobThatFitsNoRunner(t *testing.T) {
	f := newFleet(t, 2)
	w := work.Job{ID: "huge", Steps: []work.Step{{Count: 1, Need: work.Amounts{CPUMilli: 64000}}}}
	assert.Equal(t, f.Submit(f.now, f.now+time.Second, w, terms), Accepted)
	a := f.act()
	assert.Equal(t, a.Ended[0].Reason, ReasonTooLarge)
	empty := newFleet(t)
	empty.act()
	empty.now += startupGrace
	assert.Equal(t, len(empty.submit("j", 1, 60*ms).Ended), 0)
	a = empty.after(200 * ms)
	assert.Equal(t, a.Ended[0].Outcome, Refused)
	assert.Equal(t, a.Ended[0].Reason, ReasonNoRunner)
}

// A runner that fails everything it starts always looks free and would attract most of the
// work. It gets nothing for a while, then a single task.
func TestFailingRunnerIsEjected(t *testing.T) {
	f := newFleet(t, 4, 4)
	failed := 0
	for i := range 40 {
		for _, s := range f.submit(fmt.Sprintf("j%d", i), 1, 60*ms).Starts {
			f.report(s, Running)
			f.now += 5 * ms
			if s.Endpoint == "g0" {
				failed++
				f.report(s, TaskFailed)
			} else {
				f.report(s, Done)
			}
		}
		for _, s := range f.act().Starts {
			f.report(s, Running)
			f.report(s, Done)
		}
	}
	assert.Assert(t, failed <= ejectionStreak+1, "%d runs failed there", failed)
}

// Tasks on one runner hang, although it accepts orders. A run that takes far longer than
// expected is stopped, and started elsewhere only once it is known to be over.
func TestHangingRunIsMoved(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.submit("j", 1, 60*ms).Starts[0]
	f.report(s, Running)
	var stops []Stop
	for range 20 {
		a := f.after(20 * ms)
		assert.Equal(t, len(a.Starts), 0)
		stops = append(stops, a.Stops...)
	}
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Reason, ReasonRunTooLong)
	f.report(s, Stopped)
	again := f.after(ms).Starts
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Endpoint != s.Endpoint)
	assert.Equal(t, again[0].Run.Attempt, 2)
}

// A guard cannot be reached. Its run may go on, so the task is started nowhere else; when the
// caller's time is over the answer says that it may have run.
func TestRunOfAnUnreachableGuardStaysOpen(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.submit("j", 1, 60*ms).Starts[0]
	f.report(s, Running)
	f.DetachEndpoint(s.Endpoint)
	for range 80 {
		a := f.after(20 * ms)
		assert.Equal(t, len(a.Starts), 0)
		for _, e := range a.Ended {
			assert.Equal(t, e.Outcome, Expired)
			assert.Equal(t, e.Reason, ReasonGuardUnreachable)
			return
		}
	}
	t.Fatal("the caller got no answer")
}

// A job is submitted again while a run of the cancelled job of the same id may still be in
// progress: it must wait for the end of that run.
func TestSameJobWaitsForItsPredecessor(t *testing.T) {
	f := newFleet(t, 4)
	s := f.submit("j", 1, 60*ms).Starts[0]
	f.report(s, Running)
	f.Cancel(f.now, "j")
	a := f.act()
	assert.Equal(t, len(a.Stops), 1)
	assert.Equal(t, f.Submit(f.now, f.now+time.Second, work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: core}}}, terms), StillEnding)
	f.report(s, Stopped)
	assert.DeepEqual(t, f.act().Settled, []string{"j"})
	assert.Equal(t, f.Submit(f.now, f.now+time.Second, work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: core}}}, terms), Accepted)
}

// Steps run one after the other, with the label and the limit per runner that they ask for.
func TestStepsInOrder(t *testing.T) {
	f := newFleet(t, 4, 4)
	total := work.Amounts{CPUMilli: 4000, MemoryMB: 256}
	f.UpdateEndpoint(f.now, "g1", EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}, AcceptsStarts: true, Total: total, Labels: []string{"b"}})
	w := work.Job{ID: "j", Steps: []work.Step{
		{Count: 2, Need: core, MaxPerRunner: 1, Declared: 60 * ms},
		{Count: 1, Need: core, After: []int{0}, Label: "b", Declared: 60 * ms},
	}}
	assert.Equal(t, f.Submit(f.now, f.now+1500*ms, w, terms), Accepted)
	first := f.act().Starts
	assert.Equal(t, len(first), 2)
	assert.Assert(t, first[0].Endpoint != first[1].Endpoint)
	for _, s := range first {
		f.report(s, Running)
		assert.Equal(t, len(f.after(ms).Starts), 0)
	}
	f.report(first[0], Done)
	assert.Equal(t, len(f.after(ms).Starts), 0)
	f.report(first[1], Done)
	second := f.after(ms).Starts
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Endpoint, "g1")
}

// A guard reports the end of a short run without having reported its start. The run time in
// its report counts: otherwise run times would be learnt as zero, and every other endpoint
// would look slow.
func TestRunTimeIsTheGuards(t *testing.T) {
	f := newFleet(t, 1)
	start := f.submit("j", 1, 100*ms).Starts[0]
	f.now += 90 * ms
	assert.Equal(t, f.ReportRun(f.now, start.Endpoint, start.Run, Done, 60*ms), 60*ms)
}

// The report that a run started carries the time since its start: a run that hangs is stopped
// as early as if the report had come at once.
func TestRunTimeCountsFromReportedStart(t *testing.T) {
	f := newFleet(t, 1)
	start := f.submit("j", 1, 100*ms).Starts[0]
	f.now += 80 * ms
	f.ReportRun(f.now, start.Endpoint, start.Run, Running, 70*ms)
	f.now += 20 * ms
	assert.Equal(t, f.ReportRun(f.now, start.Endpoint, start.Run, Done, 0), 90*ms)
}

// Operators see how many runners accept work, and why the others do not.
func TestEndpointsAreCountedByState(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	f.UpdateEndpoint(f.now, f.id(0), EndpointStatus{Service: "teardown", Runner: work.Incarnation{ID: "r"}})
	f.DetachEndpoint(f.id(1))
	assert.DeepEqual(t, f.CountEndpoints(f.now), map[State]int{Accepting: 1, Closed: 1, Ejected: 0, Unresponsive: 0, Cordoned: 0, Detached: 1})
	start := f.submit("j", 1, 60*ms).Starts[0]
	assert.Equal(t, start.Endpoint, f.id(2))
	f.now += startAnswerTimeout + ms
	assert.Equal(t, f.CountEndpoints(f.now)[Unresponsive], 1)
	for range ejectionStreak {
		f.endpoints[f.id(2)].health.recordFailure(f.now, 0)
	}
	f.report(start, Running)
	assert.Equal(t, f.CountEndpoints(f.now)[Ejected], 1)
}

// The age of the oldest waiting job is reported.
func TestOldestWaitingJob(t *testing.T) {
	f := newFleet(t, 1)
	f.submit("runs", 1, 900*ms)
	f.submit("waits", 1, 900*ms)
	f.now += 30 * ms
	assert.DeepEqual(t, f.Count(f.now, ""), Counts{Waiting: 1, Running: 1, Oldest: 30 * ms})
}

// Jobs with a response-time target of 30 ms: the margin for messages must not take all of the
// time for which such a job may wait, or it would be refused whenever another one is waiting.
func TestShortJobsMayWait(t *testing.T) {
	f := newFleet(t, 1)
	f.submit("runs", 1, 900*ms)
	f.submit("patient", 1, 900*ms)
	soon := terms
	soon.TargetMargin = 20 * ms
	for _, id := range []string{"a", "b"} {
		w := work.Job{ID: id, Steps: []work.Step{{Count: 1, Need: core, Declared: 6 * ms}}}
		assert.Equal(t, f.Submit(f.now, f.now+1500*ms, w, soon), Accepted)
	}
	assert.Equal(t, len(f.after(8*ms).Ended), 0)
}

// A task simply takes four times as long as expected. If each run were stopped at the same
// limit, the task would never end, and each runner it was tried on would be considered bad.
// The second run gets twice the time, and only the first runner is blamed.
func TestLongTaskIsNotStoppedAgainAndAgain(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	limit := time.Duration(runTimeLimitFactor*60)*ms + runTimeLimitMargin
	var took time.Duration
	start := f.submit("long", 1, 60*ms).Starts[0]
	f.report(start, Running)
	for stops := 0; ; stops++ {
		a := f.after(limit + 10*ms)
		took += limit + 10*ms
		if len(a.Stops) == 0 {
			assert.Equal(t, stops, 1, "the second run gets twice the time")
			break
		}
		assert.Equal(t, a.Stops[0].Reason, ReasonRunTooLong)
		f.report(start, Stopped)
		start = f.act().Starts[0]
		f.report(start, Running)
	}
	blamed := 0
	for _, e := range f.endpoints {
		blamed += e.health.failureStreak
	}
	assert.Equal(t, blamed, 1)
}

// A caller has 100 ms left for work that takes 300 ms: it is refused at once, instead of being
// told at its deadline that tasks may have run.
func TestTooLittleTimeIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t, 4)
	f.learnRunTime(300 * ms)
	w := work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: core, Declared: 300 * ms}}}
	assert.Equal(t, f.Submit(f.now, f.now+100*ms, w, terms), Accepted)
	a := f.act()
	assert.Equal(t, len(a.Starts), 0)
	assert.Equal(t, len(a.Ended), 1)
	assert.Equal(t, a.Ended[0].Outcome, Refused)
	assert.Equal(t, a.Ended[0].Reason, ReasonTooLittleTime)
	assert.Assert(t, a.Ended[0].RetryAfter > 0)
}

// learnRunTime runs one task, so that the run times of the contract are known.
func (f *fleet) learnRunTime(run time.Duration) {
	start := f.submit("before", 1, run).Starts[0]
	f.now += run
	f.ReportRun(f.now, start.Endpoint, start.Run, Done, run)
	f.act()
}

// Callers declare sixty times what their tasks take. If they were refused for lack of time,
// nothing would ever run and correct this: the first job runs, and its run time counts from
// then on.
func TestWrongDeclarationIsCorrected(t *testing.T) {
	f := newFleet(t, 1)
	for _, id := range []string{"first", "second"} {
		starts := f.submit(id, 1, 6*time.Second).Starts
		assert.Equal(t, len(starts), 1, id)
		f.now += 100 * ms
		f.ReportRun(f.now, starts[0].Endpoint, starts[0].Run, Done, 100*ms)
		f.act()
	}
}

// A run fails and the time left is too short for another one. The caller is told at once, and
// the job's other tasks free their capacity.
func TestJobThatCannotCompleteInTimeEndsAtOnce(t *testing.T) {
	f := newFleet(t, 2)
	f.learnRunTime(600 * ms)
	a := f.submit("j", 2, 600*ms)
	assert.Equal(t, len(a.Starts), 2)
	f.report(a.Starts[0], Running)
	f.report(a.Starts[1], Running)
	f.now += 1300 * ms
	f.report(a.Starts[0], Stopped)
	a = f.act()
	assert.Equal(t, len(a.Starts), 0)
	assert.Equal(t, len(a.Ended), 1)
	assert.Equal(t, a.Ended[0].Outcome, Expired)
	assert.Equal(t, len(a.Stops), 1)
}
