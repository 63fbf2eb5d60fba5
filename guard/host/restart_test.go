package host

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/platform/runner"
	"almondstand.dev/standin/worker"
	"almondstand.dev/telemetry/uptime"
)

// restartFixture is a host with a stand-in runner that is called over HTTP.
type restartFixture struct {
	t      *testing.T
	host   *Host
	sink   *reportRecorder
	runner *worker.Runner
	// next numbers the tasks.
	next int
	// calls counts the polls and stops that were sent. While resetting is true, their connections
	// are reset.
	calls     atomic.Int64
	resetting atomic.Bool
}

// fixtureRunner counts calls of a runner, and fails them while connections are reset.
type fixtureRunner struct {
	Runner
	x *restartFixture
}

func (r fixtureRunner) call() error {
	r.x.calls.Add(1)
	if r.x.resetting.Load() {
		return runner.ErrConnectionReset
	}
	return nil
}

func (r fixtureRunner) Poll(ctx context.Context, until time.Duration, seen int64, wait time.Duration) (work.Listing, error) {
	if err := r.call(); err != nil {
		return work.Listing{}, err
	}
	return r.Runner.Poll(ctx, until, seen, wait)
}

func (r fixtureRunner) Stop(ctx context.Context, run work.RunnerRunID) (time.Duration, error) {
	if err := r.call(); err != nil {
		return 0, err
	}
	return r.Runner.Stop(ctx, run)
}

func newRestartFixture(t *testing.T, r *worker.Runner) *restartFixture {
	t.Helper()
	x := &restartFixture{t: t, sink: &reportRecorder{}, runner: r}
	h := New(Options{
		MaxLease: time.Second,
		Dial:     func(t runner.Target) Runner { return fixtureRunner{runner.New(t), x} },
		Logger:   slog.New(slog.NewJSONHandler(io.Discard, nil)),
		Metrics:  NewMetrics(tally.NoopScope),
	})
	x.host = h
	server := httptest.NewServer(runner.Handler(h))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx, x.sink) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
		server.Close()
	})
	x.until("the host runs", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.ctx != nil
	})
	r.Service, r.DataCentre, r.CPU, r.Checker = "s", "a", 32000, worker.NewChecker()
	r.ControlAddress = strings.TrimPrefix(server.URL, "http://")
	assert.NilError(t, r.Listen("127.0.0.1"))
	go r.Run(ctx)
	keepAlive(t, h)
	x.until("the guard accepts starts", func() bool { return h.Capacity().AcceptsStarts })
	return x
}

func (x *restartFixture) until(what string, done func() bool) {
	x.t.Helper()
	poll.WaitOn(x.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// order orders a run of a task and returns its id.
func (x *restartFixture) order(index, attempt int, spec string) work.RunID {
	id := work.RunID{Task: work.TaskID{Job: "0123456789abcdef", Index: index}, Attempt: attempt}
	x.host.Submit(uptime.Now(), owner, []runs.Order{{Run: id, Spec: spec, Need: work.Amounts{CPUMilli: 1000}, TimeLeft: 5 * time.Second}}, nil)
	return id
}

// finalReport waits for the final report on a run.
func (x *restartFixture) finalReport(id work.RunID) runs.Report {
	x.t.Helper()
	var last runs.Report
	x.until("the run's end is reported", func() bool {
		x.sink.mu.Lock()
		defer x.sink.mu.Unlock()
		for _, r := range x.sink.reports {
			if r.Run == id && r.State != runs.Running {
				last = r
				return true
			}
		}
		return false
	})
	return last
}

// run runs a new task, which is ordered again while it is reported as not started, and returns
// its final state.
func (x *restartFixture) run(ms string) runs.State {
	x.t.Helper()
	x.next++
	for attempt := 1; ; attempt++ {
		state := x.finalReport(x.order(x.next, attempt, `{"ms":`+ms+`,"cpu":1000}`)).State
		if state != runs.NotStarted {
			return state
		}
		assert.Assert(x.t, attempt < 200, "never started")
		time.Sleep(10 * time.Millisecond)
	}
}

// restart restarts the runner under the same id and waits until it has reported and run a
// task.
func (x *restartFixture) restart() {
	x.runner.Restart()
	x.runner.Report(x.t.Context())
	x.until("a task has finished after the restart", func() bool { return x.run("10") == runs.Done })
}

// Guards against callers being told "not run" about a task that ran on a runner that restarted
// under the same id.
func TestUnansweredStartMayHaveRunAfterRestart(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	x.runner.SetFault(worker.Fault{LateShare: 1, LateStarts: true})
	id := x.order(0, 1, `{"ms":5000,"cpu":1000}`)
	x.until("the run begins", func() bool { return x.runner.Checker.Starts() == 1 })
	x.runner.Kill()
	x.runner.SetFault(worker.Fault{})
	time.Sleep(startTimeout)
	x.runner.Restart()
	x.runner.Report(t.Context())
	assert.Equal(t, x.finalReport(id).State, runs.Crashed)
}

// Guards against starts at a restarted runner that has reported that it is draining.
func TestRestartedRunnerThatLeavesGetsNoStarts(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	for range 40 {
		x.runner.Report(t.Context())
	}
	x.restart()
	assert.Equal(t, x.run("10"), runs.Done)
	x.runner.Drain()
	x.runner.Report(t.Context())
	assert.Assert(t, !x.host.Capacity().AcceptsStarts, "open after a report that the runner is draining")
}

// Guards against a task that finished on a restarted runner being taken for stopped and run
// again.
func TestEndsOfRestartedRunnerAreRead(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	for range 20 {
		assert.Equal(t, x.run("5"), runs.Done)
	}
	x.restart()
	assert.Equal(t, x.run("5"), runs.Done)
	id := x.order(99, 1, `{"ms":100,"cpu":1000}`)
	x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
	// The run ends while no poll is waiting for it.
	x.runner.SetFault(worker.Fault{Unresponsive: true})
	time.Sleep(150 * time.Millisecond)
	x.runner.SetFault(worker.Fault{})
	assert.Equal(t, x.finalReport(id).State, runs.Done)
}

// Guards against a start that was sent to the process before a restart being executed by the
// process after it.
func TestLateStartIsFencedAfterRestart(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	// The start's expiry, set by the older process's clock, must be later than the delayed
	// start's arrival on the newer process's clock.
	const late = 1200 * time.Millisecond
	time.Sleep(late)
	x.runner.SetFault(worker.Fault{LateShare: 1, LateBy: late, LateStarts: true})
	id := x.order(0, 1, `{"ms":2000,"cpu":1000}`)
	time.Sleep(4 * minHedgeDelay)
	x.runner.Kill()
	x.runner.SetFault(worker.Fault{})
	x.runner.Restart()
	x.runner.Report(t.Context())
	assert.Equal(t, x.finalReport(id).State, runs.Crashed)
	time.Sleep(late)
	assert.Equal(t, x.runner.Checker.Starts(), 0)
}

// Guards against a delayed report of the process before a restart taking the process after it
// out of use.
func TestLateReportOfOlderProcessChangesNothing(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	x.runner.Drain()
	late := x.runner.DelayedReport(t.Context())
	x.restart()
	assert.Equal(t, x.run("10"), runs.Done)
	late()
	time.Sleep(startTimeout)
	assert.Assert(t, x.host.Capacity().AcceptsStarts)
	assert.Equal(t, x.run("10"), runs.Done)
}

// Guards against a delayed report of the process before a restart reopening a runner that is
// draining.
func TestLateReportOfOlderProcessOpensNothing(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	late := x.runner.DelayedReport(t.Context())
	x.restart()
	assert.Equal(t, x.run("10"), runs.Done)
	x.runner.Drain()
	x.runner.Report(t.Context())
	late()
	time.Sleep(startTimeout)
	assert.Assert(t, !x.host.Capacity().AcceptsStarts)
}

// Guards against a delayed shutdown notice of the process before a restart ending the runs of
// the process after it.
func TestLateDeregistrationOfOlderProcessEndsNoRuns(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	x.restart()
	assert.Equal(t, x.run("10"), runs.Done)
	id := x.order(99, 1, `{"ms":1000,"cpu":1000}`)
	x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
	x.runner.Deregister(t.Context(), x.runner.Instance())
	assert.Equal(t, x.finalReport(id).State, runs.Done)
}

// Guards against leases of an hour at a restarted runner, whose clock starts anew.
func TestLeaseFollowsTheClockOfTheRestartedRunner(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	time.Sleep(300 * time.Millisecond)
	x.restart()
	assert.Equal(t, x.run("200"), runs.Done)
	assert.Assert(t, x.runner.LongestLease() <= runs.DefaultLeaseExtension+50*time.Millisecond, "%v", x.runner.LongestLease())
}

// Guards against a task that crashes its runner never becoming a suspect because the runner
// returns under the same id.
func TestCrashIsReportedAfterRestartUnderTheSameID(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	id := x.order(0, 1, `{"ms":5000,"cpu":1000}`)
	x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
	time.Sleep(startTimeout)
	x.runner.Restart()
	x.runner.Report(t.Context())
	report := x.finalReport(id)
	assert.Equal(t, report.State, runs.Crashed)
	assert.Assert(t, report.Crash != nil && report.Crash.Newest)
}

// Guards against a runner that does not report its start time receiving no work.
func TestRunnerWithoutStartTimeIsServed(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{OmitStartTime: true})
	assert.Equal(t, x.run("10"), runs.Done)
	id := x.order(99, 1, `{"ms":5000,"cpu":1000}`)
	x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
	x.runner.RestartWithNewID()
	x.runner.Report(t.Context())
	assert.Equal(t, x.finalReport(id).State, runs.Crashed)
	assert.Equal(t, x.run("10"), runs.Done)
}

// Guards against a run that goes on after it was reported as over: its runner deregisters and
// keeps running, since the answer is lost, or the notice is another process's.
func TestRunGoesOnAfterDeregistration(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{OmitStartTime: true})
	id := x.order(99, 1, `{"ms":1000,"cpu":1000}`)
	x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
	x.runner.Deregister(t.Context(), x.runner.Instance())
	assert.Equal(t, x.finalReport(id).State, runs.Done)
}

// Guards against runs that stay open after a planned end, or are reported as crashed: their
// tasks wait for the report before they are started elsewhere.
func TestRunsOfDeregisteredRunnerAreOverOnceItHasEnded(t *testing.T) {
	const limit = 150 * time.Millisecond
	for name, pause := range map[string]time.Duration{"at once": 0, "after 30 ms": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			x := newRestartFixture(t, &worker.Runner{OmitStartTime: true})
			id := x.order(99, 1, `{"ms":5000,"cpu":1000}`)
			x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
			x.runner.Deregister(t.Context(), x.runner.Instance())
			time.Sleep(pause)
			x.runner.Kill()
			start := time.Now()
			assert.Equal(t, x.finalReport(id).State, runs.Stopped)
			took := time.Since(start)
			t.Logf("reported %s after the end", took)
			assert.Assert(t, took < limit, "reported %s after the end", took)
		})
	}
}

// Guards against a start at the next process under the runner's id whose run was reported as never
// started: its start went unanswered, and the older process acknowledged its stop.
func TestStoppedStartIsFencedAfterRestart(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	const late = 700 * time.Millisecond
	x.runner.SetFault(worker.Fault{LateShare: 1, LateBy: late, LateStarts: true})
	id := x.order(0, 1, `{"ms":2000,"cpu":1000}`)
	ordered := time.Now()
	assert.Equal(t, x.finalReport(id).State, runs.NotStarted)
	x.runner.Kill()
	// The next process is fenced by polls alone.
	x.runner.SetFault(worker.Fault{NoReports: true})
	x.runner.Restart()
	time.Sleep(late + 100*time.Millisecond - time.Since(ordered))
	assert.Equal(t, x.runner.Checker.Starts(), 0)
	x.runner.SetFault(worker.Fault{})
	x.runner.Report(t.Context())
	assert.Equal(t, x.run("10"), runs.Done)
}

// Guards against runs that stay open after their runner's process has crashed: each poll of the
// ended process counted as an extension of its lease, and callers waited until their deadlines.
func TestRunsOfCrashedProcessAreOverWithItsLease(t *testing.T) {
	const limit = runs.DefaultLeaseExtension + leaseEndMargin + 500*time.Millisecond
	x := newRestartFixture(t, &worker.Runner{OmitStartTime: true})
	id := x.order(99, 1, `{"ms":60000,"cpu":1000}`)
	x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
	time.Sleep(startTimeout)
	x.runner.Kill()
	start := time.Now()
	assert.Equal(t, x.finalReport(id).State, runs.Crashed)
	took := time.Since(start)
	t.Logf("reported %s after the crash", took)
	assert.Assert(t, took < limit, "reported %s after the crash", took)
}

// Guards against hundreds of connections a second to the address of a runner that has crashed: the
// next process of a runner that reports no start time rejects the starts of the last one, so that
// nothing is gained by meeting it within milliseconds.
func TestEndedProcessWithoutStartTimeIsPolledSeldom(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{OmitStartTime: true})
	x.runner.SetFault(worker.Fault{LateShare: 1, LateBy: time.Hour, LateStarts: true})
	id := x.order(0, 1, `{"ms":2000,"cpu":1000}`)
	assert.Equal(t, x.finalReport(id).State, runs.NotStarted)
	x.runner.Kill()
	before := x.calls.Load()
	time.Sleep(time.Second)
	polls := x.calls.Load() - before
	assert.Assert(t, polls <= int64(time.Second/retryDelay), "%d polls", polls)
}

// Guards against hundreds of connections a second to a runner that accepts connections and resets
// them: a stop for each run, every few milliseconds. The stops are sent once it answers again.
func TestRunnerThatResetsConnectionsIsCalledSeldom(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{OmitStartTime: true})
	var ids []work.RunID
	for i := range 6 {
		ids = append(ids, x.order(i, 1, `{"ms":60000,"cpu":1000}`))
	}
	x.until("the runs begin", func() bool { return x.runner.Checker.Running() == len(ids) })
	const down = 400 * time.Millisecond
	x.resetting.Store(true)
	x.until("the runner is down", func() bool { return !x.host.Capacity().AcceptsStarts })
	before := x.calls.Load()
	x.host.Submit(uptime.Now(), owner, nil, ids)
	time.Sleep(down)
	calls := x.calls.Load() - before
	assert.Assert(t, calls <= int64(down/retryDelay), "%d calls", calls)
	x.resetting.Store(false)
	for _, id := range ids {
		assert.Equal(t, x.finalReport(id).State, runs.Stopped)
	}
}
