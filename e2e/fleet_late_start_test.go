package e2e

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/worker"
)

// lateStart is a job one of whose starts a runner has received and holds.
type lateStart struct {
	t   *testing.T
	f   *fleet.Fleet
	job fleet.Job
	// holder holds the start; other is the other runner, which executes starts at once.
	holder, other *worker.Runner
	// startsBefore is the number of runs before the job.
	startsBefore int
	// leave ends the wait of the job's caller, and answers gets what its callers are answered.
	leave   context.CancelFunc
	answers chan fleet.Answer
}

// olderBy is the age of the process that a start is sent to: on the clock of the next process,
// which starts anew, the start expires so much later.
const olderBy = 2 * time.Second

// submitLateStart submits a job of one task to the first of two entries and returns once a runner
// holds a start of it that the filter selects.
func submitLateStart(t *testing.T, hold func(worker.Call) bool) *lateStart {
	t.Helper()
	return submitLateStartTo(t, startFleetOf(t, fleet.Options{Entries: 2, Guards: 2, NoRelays: true}), hold)
}

// submitLateStartTo is submitLateStart for a fleet with two guards.
func submitLateStartTo(t *testing.T, f *fleet.Fleet, hold func(worker.Call) bool) *lateStart {
	t.Helper()
	time.Sleep(olderBy)
	job := fleet.NewJob(1, 2500)
	job.Deadline = 20 * time.Second
	ctx, leave := context.WithCancel(t.Context())
	t.Cleanup(leave)
	x := &lateStart{t: t, f: f, job: job, startsBefore: f.Checker.Starts(), leave: leave, answers: make(chan fleet.Answer, 2)}
	for _, r := range f.Runners {
		r.SetFault(worker.Fault{Hold: hold})
	}
	go func() { x.answers <- f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, job) }()
	waitUntil(t, 4*time.Second, "no start is held", func() bool {
		for i, r := range f.Runners {
			if r.Held(worker.StartPath) > 0 {
				x.holder, x.other = r, f.Runners[1-i]
			}
		}
		return x.holder != nil
	})
	x.other.SetFault(worker.Fault{})
	return x
}

// startElsewhereTime is the time within which an entry starts a task again elsewhere once it regards
// its run as over: the guard has to find the lease of the run expired.
const startElsewhereTime = 1500 * time.Millisecond

// allowStartElsewhere gives the entries the time to start the job's task at the other runner.
func (x *lateStart) allowStartElsewhere() {
	x.t.Helper()
	before, _ := x.other.Calls()
	for end := time.Now().Add(startElsewhereTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if starts, _ := x.other.Calls(); starts > before {
			return
		}
	}
}

// waitAnswered waits until a guard has read the answer to a start of the job.
func (x *lateStart) waitAnswered() {
	x.t.Helper()
	waitUntil(x.t, 4*time.Second, "no start is answered", func() bool {
		for _, g := range x.f.Guards {
			for line := range strings.Lines(g.Process().Log()) {
				if strings.Contains(line, `"msg":"guard.run_started"`) && strings.Contains(line, x.job.ID) {
					return true
				}
			}
		}
		return false
	})
}

// assertRunsOnce checks that no task runs twice at a time until the caller that waits has its answer,
// and that the job completes.
func (x *lateStart) assertRunsOnce() {
	x.t.Helper()
	select {
	case a := <-x.answers:
		assert.Equal(x.t, a.Status, http.StatusOK, "%+v", a)
	case <-time.After(x.job.Deadline):
		x.t.Error("no answer")
	}
	assert.Equal(x.t, len(x.f.Checker.Violations()), 0, "%v", x.f.Checker.Violations())
}

// Guards against a task that runs twice because a copy of its answered start is executed by the
// runner's next process, after the runner's shutdown ended the run and the task was started at
// another guard.
func TestFleetCopyOfAnsweredStartIsExecutedByNextProcess(t *testing.T) {
	x := submitLateStart(t, worker.FirstStarts)
	x.waitAnswered()
	x.holder.Kill()
	x.holder.Deregister(t.Context(), x.holder.Instance())
	x.allowStartElsewhere()
	x.holder.RestartExecutingHeld()
	x.holder.SetFault(worker.Fault{})
	x.assertRunsOnce()
}

// Guards against a task that runs twice because its start, whose stop was confirmed, is executed
// by the runner's next process.
func TestFleetStartWithConfirmedStopIsExecutedByNextProcess(t *testing.T) {
	x := submitLateStart(t, worker.AllStarts)
	x.allowStartElsewhere()
	x.holder.RestartExecutingHeld()
	x.holder.SetFault(worker.Fault{})
	x.assertRunsOnce()
}

// Guards against a task that runs twice because its start, which expired without an answer on the
// clock of the process it was sent to, is valid on the clock of the next one.
func TestFleetExpiredStartIsExecutedByNextProcess(t *testing.T) {
	x := submitLateStart(t, func(c worker.Call) bool { return c.Path != worker.PollPath })
	x.allowStartElsewhere()
	assert.Assert(t, x.holder.Held(worker.StopPath) > 0)
	x.holder.RestartExecutingHeld()
	x.holder.SetFault(worker.Fault{})
	x.assertRunsOnce()
}

// Guards against a task that runs twice because its caller left and submitted the job to another
// entry, which does not know of the start without an answer.
func TestFleetStartOfCallerThatLeftIsExecutedByNextProcess(t *testing.T) {
	x := submitLateStart(t, worker.AllStarts)
	x.holder.Kill()
	x.leave()
	<-x.answers
	time.Sleep(fleet.ResubmitDelay)
	go func() { x.answers <- x.f.Resubmit(t.Context(), 1, x.job, 1) }()
	x.allowStartElsewhere()
	x.holder.RestartExecutingHeld()
	x.holder.SetFault(worker.Fault{})
	x.assertRunsOnce()
}

// Guards against a task that runs twice because its guard reports the run as over, after the
// runner's shutdown, while the fence of the runner's next process is unanswered.
func TestFleetStartIsExecutedBeforeLateFence(t *testing.T) {
	x := submitLateStart(t, worker.FirstStarts)
	x.waitAnswered()
	x.holder.SetFault(worker.Fault{Hold: func(c worker.Call) bool { return c.Path == worker.PollPath }})
	x.holder.Restart()
	x.holder.Deregister(t.Context(), x.holder.Instance())
	x.allowStartElsewhere()
	assert.Assert(t, x.holder.Held(worker.PollPath) > 0)
	x.holder.ExecuteHeld(worker.StartPath)
	x.holder.ExecuteHeld(worker.PollPath)
	x.holder.SetFault(worker.Fault{})
	x.assertRunsOnce()
}

// Guards against a task that runs twice because its guard reports the run as over, after the
// runner's shutdown, while the runner's next process is silent.
func TestFleetStartIsExecutedBySilentNextProcess(t *testing.T) {
	x := submitLateStart(t, worker.FirstStarts)
	x.waitAnswered()
	x.holder.SetFault(worker.Fault{Unresponsive: true})
	x.holder.Restart()
	x.holder.Deregister(t.Context(), x.holder.Instance())
	x.allowStartElsewhere()
	x.holder.ExecuteHeld(worker.StartPath)
	x.holder.SetFault(worker.Fault{})
	x.assertRunsOnce()
}

// Guards against a start without an answer, and without a confirmed stop, that is reported as over
// before the runner's next process is fenced.
func TestFleetUnansweredStartIsOpenUntilTheFence(t *testing.T) {
	x := submitLateStart(t, worker.AllStarts)
	x.holder.SetFault(worker.Fault{Unresponsive: true})
	x.holder.Restart()
	time.Sleep(2 * time.Second)
	assert.Equal(t, x.f.Checker.Starts(), x.startsBefore)
	x.holder.ExecuteHeld(worker.StartPath)
	x.holder.SetFault(worker.Fault{})
	x.assertRunsOnce()
}

// Guards against a task that runs twice because a start that its guard sent before a restart is
// executed after the entry has started the task at another guard.
func TestFleetStartOfOlderGuardIsExecutedAfterItsRestart(t *testing.T) {
	x := submitLateStart(t, worker.AllStarts)
	guard := x.f.Guards[slices.Index(x.f.Runners, x.holder)]
	guard.Process().Kill()
	x.holder.SetFault(worker.Fault{Hold: func(c worker.Call) bool { return c.Path == worker.PollPath }})
	assert.NilError(t, guard.Start())
	x.allowStartElsewhere()
	x.holder.ExecuteHeld(worker.StartPath)
	x.holder.SetFault(worker.Fault{})
	x.assertRunsOnce()
}

// Guards against a task that runs twice because its guard died with a start unanswered: the next
// guard fences the runner's current process, and the runner's next process executes the start after
// the entry has started the task at another guard.
func TestFleetStartOfDeadGuardIsExecutedByNextProcess(t *testing.T) {
	x := submitLateStart(t, worker.AllStarts)
	guard := x.f.Guards[slices.Index(x.f.Runners, x.holder)]
	guard.Process().Kill()
	// The next guard is attached to the entries before it has fenced the runner.
	x.holder.SetFault(worker.Fault{Unresponsive: true})
	assert.NilError(t, guard.Start())
	time.Sleep(time.Second)
	x.holder.SetFault(worker.Fault{Hold: worker.AllStarts})
	x.allowStartElsewhere()
	x.holder.RestartExecutingHeld()
	x.holder.SetFault(worker.Fault{})
	x.assertRunsOnce()
}
