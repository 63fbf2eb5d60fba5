package host

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/platform/runner"
	"almondstand.dev/telemetry/uptime"
)

// fakeRunner is a runner that can drop calls: a dropped call blocks until its caller gives up.
type fakeRunner struct {
	startedAt time.Time

	mu        sync.Mutex
	dropCalls map[string]int
	calls     map[string]int
	refuse    error
	// down is the error of every call while it is set.
	down error
	// lease is the latest lease end sent, on the runner's clock.
	lease   time.Duration
	running map[work.RunnerRunID]bool
	ends    []work.End
	stopped map[work.RunnerRunID]bool
	ended   chan struct{}
	// percent returns the progress of all runs; nil if none is listed.
	percent func() int
}

func newFakeRunner() *fakeRunner {
	return &fakeRunner{
		startedAt: time.Now().Add(-time.Hour),
		dropCalls: map[string]int{},
		calls:     map[string]int{},
		running:   map[work.RunnerRunID]bool{},
		stopped:   map[work.RunnerRunID]bool{},
		ended:     make(chan struct{}, 100),
	}
}

// dropped counts a call and reports whether it is to be dropped.
func (f *fakeRunner) dropped(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[name]++
	if f.dropCalls[name] == 0 {
		return false
	}
	f.dropCalls[name]--
	return true
}

// sent records the lease end of a call and returns the error of a runner that is down.
func (f *fakeRunner) sent(until time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease = max(f.lease, until)
	return f.down
}

func (f *fakeRunner) clock() time.Duration { return time.Since(f.startedAt) }

func (f *fakeRunner) Start(ctx context.Context, run work.RunnerRunID, _ string, until time.Duration) (time.Duration, error) {
	if err := f.sent(until); err != nil {
		return 0, err
	}
	if f.dropped("start") {
		<-ctx.Done()
		return 0, runner.ErrOutcomeUnknown
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse != nil {
		return f.clock(), f.refuse
	}
	f.running[run] = true
	return f.clock(), nil
}

func (f *fakeRunner) Stop(ctx context.Context, run work.RunnerRunID) (time.Duration, error) {
	if err := f.sent(0); err != nil {
		return 0, err
	}
	if f.dropped("stop") {
		<-ctx.Done()
		return 0, runner.ErrOutcomeUnknown
	}
	f.mu.Lock()
	f.stopped[run] = true
	f.mu.Unlock()
	f.end(run, work.Interrupted)
	return f.clock(), nil
}

// end ends a run if it is running.
func (f *fakeRunner) end(run work.RunnerRunID, state work.EndState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.running[run] {
		return
	}
	delete(f.running, run)
	f.ends = append(f.ends, work.End{Seq: int64(len(f.ends) + 1), Run: run, State: state})
	f.ended <- struct{}{}
}

func (f *fakeRunner) Poll(ctx context.Context, until time.Duration, seen int64, wait time.Duration) (work.Listing, error) {
	if err := f.sent(until); err != nil {
		return work.Listing{}, err
	}
	if f.dropped("poll") {
		<-ctx.Done()
		return work.Listing{}, runner.ErrOutcomeUnknown
	}
	if f.unseen(seen) == nil {
		select {
		case <-ctx.Done():
			return work.Listing{}, runner.ErrOutcomeUnknown
		case <-f.ended:
		case <-time.After(wait):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a := work.Listing{Clock: f.clock(), Ends: f.endsAfter(seen)}
	if f.percent != nil {
		a.Progress = map[work.RunnerRunID]work.Progress{}
	}
	for n := range f.running {
		a.Running = append(a.Running, n)
		if f.percent != nil {
			a.Progress[n] = work.Progress{Percent: f.percent()}
		}
	}
	return a, nil
}

func (f *fakeRunner) Close() {}

func (f *fakeRunner) unseen(seen int64) []work.End {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endsAfter(seen)
}

func (f *fakeRunner) endsAfter(seen int64) (ends []work.End) {
	for _, e := range f.ends {
		if e.Seq > seen {
			ends = append(ends, e)
		}
	}
	return ends
}

func (f *fakeRunner) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// reportRecorder records the reports delivered to entries.
type reportRecorder struct {
	mu      sync.Mutex
	reports []runs.Report
	at      []time.Time
	// progressDue are the owners for which a report on a stalled run was due.
	progressDue []runs.Owner
}

func (s *reportRecorder) CapacityChanged() {}

func (s *reportRecorder) LateStartsChanged() {}

func (s *reportRecorder) ProgressDue(o runs.Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progressDue = append(s.progressDue, o)
}

func (s *reportRecorder) Deliver(r []runs.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range r {
		s.reports = append(s.reports, one)
		s.at = append(s.at, time.Now())
	}
}

// waitFor waits for a report with the given state and returns it with its delivery time.
func (s *reportRecorder) waitFor(t *testing.T, state runs.State) (runs.Report, time.Time) {
	t.Helper()
	var report runs.Report
	var at time.Time
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, r := range s.reports {
			if r.State == state {
				report, at = r, s.at[i]
				return poll.Success()
			}
		}
		return poll.Continue("delivered %v", s.reports)
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(time.Millisecond))
	return report, at
}

// firstAddress is the address of the runner that startHost adopts.
const firstAddress = "127.0.0.1:1"

var owner = runs.Owner{Entry: "e", Incarnation: 1}

// startHost starts a host and waits until it has adopted the runner.
func startHost(t *testing.T, f *fakeRunner) (*Host, *reportRecorder) {
	t.Helper()
	return startHostWith(t, f, func(runner.Target) Runner { return f })
}

// startHostWith is startHost with a host that reaches other runners as well.
func startHostWith(t *testing.T, f *fakeRunner, dial func(runner.Target) Runner) (*Host, *reportRecorder) {
	t.Helper()
	return startHostLogging(t, f, dial, io.Discard)
}

// startHostLogging is startHostWith with a destination for the log.
func startHostLogging(t *testing.T, f *fakeRunner, dial func(runner.Target) Runner, log io.Writer) (*Host, *reportRecorder) {
	t.Helper()
	h := New(Options{
		MaxLease: 3 * time.Second,
		Dial:     dial,
		Logger:   slog.New(slog.NewJSONHandler(log, nil)),
		Metrics:  NewMetrics(tally.NoopScope),
	})
	sink := &reportRecorder{}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx, sink) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.mu.Lock()
		ready := h.ctx != nil
		h.mu.Unlock()
		if !ready {
			return poll.Continue("not running")
		}
		h.HandleReport(runner.Report{Instance: "i", Service: "s", Address: firstAddress, Seq: 1, Clock: f.clock(), Capacity: work.Amounts{CPUMilli: 32000}})
		if !h.Capacity().AcceptsStarts {
			return poll.Continue("no free capacity yet")
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
	return h, sink
}

// order orders a run and returns its name at the runner.
func order(h *Host) work.RunnerRunID {
	task := work.TaskID{Job: "0123456789abcdef"}
	now := uptime.Now()
	h.Submit(now, owner, []runs.Order{{Run: work.RunID{Task: task, Attempt: 1}, Need: work.Amounts{CPUMilli: 1000}, TimeLeft: 5 * time.Second}}, nil)
	return work.RunnerRunID{Task: task, Number: 1}
}

// keepAlive records the entry as alive until the test ends.
func keepAlive(t *testing.T, h *Host) {
	tick := time.NewTicker(50 * time.Millisecond)
	done := make(chan struct{})
	t.Cleanup(func() {
		tick.Stop()
		close(done)
	})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				h.EntryAlive(owner, uptime.Now())
			}
		}
	}()
}

// Guards against a late result after one lost call: a start that never reached the runner is
// sent again after a hedge delay of some milliseconds, rather than given up after 150 ms.
func TestLostStartIsSentAgain(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	keepAlive(t, h)
	f.set(func() { f.dropCalls["start"] = 1 })
	start := time.Now()
	run := order(h)
	_, at := sink.waitFor(t, runs.Running)
	assert.Assert(t, at.Sub(start) < startTimeout, "delivered after %s", at.Sub(start))
	f.end(run, work.Done)
	_, _ = sink.waitFor(t, runs.Done)
	f.set(func() { assert.Equal(t, f.calls["start"], 2) })
}

// Guards against a false "not started": the first copy of a start is lost and may be executed
// seconds later, and the second is rejected for lack of capacity. The guard must have a stop
// acknowledged by the runner before it reports to the entry.
func TestStartRejectedAfterALostCopyIsStoppedFirst(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	keepAlive(t, h)
	f.set(func() {
		f.dropCalls["start"] = 1
		f.refuse = runner.ErrInsufficientCapacity
	})
	run := order(h)
	report, _ := sink.waitFor(t, runs.NotStarted)
	assert.Equal(t, report.Refusal, runs.RunnerFailed)
	f.set(func() {
		assert.Assert(t, f.stopped[run], "reported as not started while the start may still be executed")
	})
}

// Guards against a false "not started": a start is executed but its answer is lost, and the
// run has ended when the second copy arrives, which the runner rejects as old. The end is in
// the runner's run listing, and the entry must be told of that.
func TestOldRunAfterALostAnswerIsNotNotStarted(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	keepAlive(t, h)
	f.set(func() {
		f.dropCalls["start"] = 1
		f.dropCalls["poll"] = 1
		f.refuse = runner.ErrStaleRun
	})
	run := order(h)
	f.set(func() { f.running[run] = true })
	f.end(run, work.Done)
	_, _ = sink.waitFor(t, runs.Done)
	sink.mu.Lock()
	defer sink.mu.Unlock()
	for _, r := range sink.reports {
		assert.Assert(t, r.State != runs.NotStarted, "%v", sink.reports)
	}
}

// Guards against a late result after a lost poll, during which the guard does not learn that
// the run is over: another poll is sent before the first one times out.
func TestLostPollIsHedged(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	keepAlive(t, h)
	run := order(h)
	_, _ = sink.waitFor(t, runs.Running)
	time.Sleep(2 * pollWait)
	f.set(func() { f.dropCalls["poll"] = 1 })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.dropCalls["poll"] > 0 {
			return poll.Continue("no poll lost yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	start := time.Now()
	f.end(run, work.Done)
	_, at := sink.waitFor(t, runs.Done)
	assert.Assert(t, at.Sub(start) < pollMargin, "delivered after %s", at.Sub(start))
}

// Guards against tasks waiting while capacity is free: a poll at a busy runner is lost, and
// the guard learns of no ended run until it gives up the poll 80 ms later, although one ended
// every 10 ms before. At a busy runner the next poll must be sent after about 15 ms; at an
// idle one, where polls take their whole wait, none is hedged.
func TestPollsOfABusyRunnerAreHedgedSooner(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	keepAlive(t, h)
	assert.Equal(t, h.pollHedgeDelay(), pollWait+pollHedgeMargin, "no polls have been measured")
	order(h)
	_, _ = sink.waitFor(t, runs.Running)
	var lostAt time.Duration
	took := func(d time.Duration) time.Duration {
		h.mu.Lock()
		for range 50 {
			h.recordPollTime(d)
		}
		h.lastPollLost = lostAt
		h.mu.Unlock()
		return h.pollHedgeDelay()
	}
	assert.Equal(t, took(10*time.Millisecond), pollWait+pollHedgeMargin, "no poll was lost, so a hedge gains nothing")
	lostAt = uptime.Now()
	assert.Assert(t, took(10*time.Millisecond) <= 16*time.Millisecond)
	assert.Equal(t, took(time.Millisecond), minPollHedgeDelay)
	assert.Assert(t, took(pollWait) > pollWait+pollHedgeMargin/2)
}

// A lost stop is sent again: until the runner receives it, the run keeps its resources.
func TestLostStopIsSentAgain(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	keepAlive(t, h)
	run := order(h)
	_, _ = sink.waitFor(t, runs.Running)
	f.set(func() { f.dropCalls["stop"] = 1 })
	start := time.Now()
	h.Submit(uptime.Now(), owner, nil, []work.RunID{{Task: run.Task, Attempt: 1}})
	_, at := sink.waitFor(t, runs.Stopped)
	assert.Assert(t, at.Sub(start) < stopTimeout, "delivered after %s", at.Sub(start))
}

// lineCounter counts the log lines that contain a text.
type lineCounter struct {
	text  string
	lines atomic.Int64
}

func (c *lineCounter) Write(p []byte) (int, error) {
	if strings.Contains(string(p), c.text) {
		c.lines.Add(1)
	}
	return len(p), nil
}

// Guards against a log that is flooded by the frequent polls of an ended process.
func TestPollsOfAnEndedProcessAreLoggedSeldom(t *testing.T) {
	const span = time.Second
	f := newFakeRunner()
	log := &lineCounter{text: pollFailed.Name}
	h, sink := startHostLogging(t, f, func(runner.Target) Runner { return f }, log)
	keepAlive(t, h)
	f.set(func() { f.dropCalls["start"] = 1 })
	order(h)
	_, _ = sink.waitFor(t, runs.Running)
	f.set(func() { f.down = runner.ErrConnectionRefused })
	time.Sleep(span)
	lines := log.lines.Load()
	assert.Assert(t, lines > 0 && lines <= int64(span/retryDelay), "%d lines", lines)
}

// Guards against a crash of the guard, which would lose every run of its entries: the runner
// reports that it has shut down while a poll is about to be sent.
func TestPollWithoutARunner(t *testing.T) {
	f := newFakeRunner()
	h, _ := startHost(t, f)
	f.set(func() { f.down = runner.ErrConnectionRefused })
	h.HandleShutdown("i")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.process != nil {
			return poll.Continue("not removed")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, h.pollOnce(t.Context()), time.Duration(0))
}

// Guards against a lease that outlasts the end deadline of a run whose entry is silent: the guard
// is held back while it extends the lease.
func TestLeaseEndsInTimeWhenTheGuardIsHeldBack(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	begin := f.clock()
	order(h)
	_, _ = sink.waitFor(t, runs.Running)
	f.set(func() { f.dropCalls["stop"] = 1 << 30 })
	const held = 300 * time.Millisecond
	time.Sleep(runs.DefaultEndTimeout - held)
	h.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.pollOnce(t.Context())
	}()
	time.Sleep(held)
	h.mu.Unlock()
	<-done
	f.mu.Lock()
	defer f.mu.Unlock()
	// order takes its time after begin.
	assert.Assert(t, f.lease-begin <= runs.DefaultEndTimeout+50*time.Millisecond, "the lease ends %s after the entry's last message", f.lease-begin)
}

// Guards against starts by orders that have become too old in the guard.
func TestOrderIsTooOldWhenTheGuardIsHeldBack(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	keepAlive(t, h)
	h.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		order(h)
	}()
	time.Sleep(runs.DefaultMaxOrderAge + 50*time.Millisecond)
	h.mu.Unlock()
	<-done
	report, _ := sink.waitFor(t, runs.NotStarted)
	assert.Equal(t, report.Refusal, runs.StaleOrder)
}
