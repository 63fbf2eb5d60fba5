package jobs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/telemetry/uptime"
)

// fakeGuard records the orders it is given.
type fakeGuard struct {
	starts chan planner.Start
	stops  chan planner.Stop
}

func (g *fakeGuard) SendOrders(starts []planner.Start, stops []planner.Stop) {
	for _, s := range starts {
		g.starts <- s
	}
	for _, s := range stops {
		g.stops <- s
	}
}
func (g *fakeGuard) Wake() {}

var (
	terms = planner.Terms{Contract: "c", Service: "s", MaxAttempts: 2, TargetFactor: 1.6, TargetMargin: 60 * time.Millisecond}
	job   = work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: work.Amounts{CPUMilli: 1000}, Declared: 60 * time.Millisecond}}}
)

func newEngine() (*Engine, *fakeGuard) {
	return newEngineWith(Options{Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Scope: tally.NoopScope})
}

// newEngineWith returns an engine with one endpoint.
func newEngineWith(o Options) (*Engine, *fakeGuard) {
	e := New(o)
	g := &fakeGuard{starts: make(chan planner.Start, 16), stops: make(chan planner.Stop, 16)}
	e.Attach("g", "a", true, g)
	e.ApplyUpdate("g", g, GuardUpdate{Status: &planner.EndpointStatus{Service: "s", Runner: work.Incarnation{ID: "r"}, AcceptsStarts: true, Total: work.Amounts{CPUMilli: 4000}}})
	return e, g
}

func submit(ctx context.Context, e *Engine) planner.Answer {
	return e.Submit(ctx, job, terms, uptime.Now()+3*time.Second)
}

// A caller disconnects and submits the job again while the guard that runs its task is
// unreachable. The answer must not say that no task has started.
func TestResubmittedJobWithUnreachableRunExpires(t *testing.T) {
	e, g := newEngine()
	ctx, leave := context.WithCancel(t.Context())
	first := make(chan planner.Answer, 1)
	go func() { first <- submit(ctx, e) }()
	s := <-g.starts
	e.ApplyUpdate("g", g, GuardUpdate{Reports: []Report{{Run: s.Run, Change: planner.Running}}})
	e.Detach("g", g)
	leave()
	assert.Equal(t, (<-first).Outcome, planner.Cancelled)
	assert.Equal(t, submit(t.Context(), e).Outcome, planner.Expired)
}

// resubmitWhileStopping submits the job, disconnects its caller, and submits it again while its run
// is being stopped. It returns the start of that run and the answer to the second submission.
func resubmitWhileStopping(t *testing.T, e *Engine, g *fakeGuard) (older planner.Start, second <-chan planner.Answer) {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	go func() { submit(ctx, e) }()
	older = <-g.starts
	leave()
	time.Sleep(50 * time.Millisecond)
	answer := make(chan planner.Answer, 1)
	go func() { answer <- submit(t.Context(), e) }()
	time.Sleep(50 * time.Millisecond)
	return older, answer
}

// A job is submitted again while its earlier run is being stopped. Once that run ends, the job
// runs again.
func TestResubmittedJobWaitsAndRuns(t *testing.T) {
	e, g := newEngine()
	older, second := resubmitWhileStopping(t, e, g)
	e.ApplyUpdate("g", g, GuardUpdate{Reports: []Report{{Run: older.Run, Change: planner.Stopped}}})
	newer := <-g.starts
	e.ApplyUpdate("g", g, GuardUpdate{Reports: []Report{{Run: newer.Run, Change: planner.Running}, {Run: newer.Run, Change: planner.Done}}})
	assert.Equal(t, (<-second).Outcome, planner.Completed)
	assert.Equal(t, submit(t.Context(), e).Outcome, planner.Completed, "a repeated request gets the cached answer")
}

// Guards against running a job that is completed: two callers submit it again while its earlier
// run is being stopped, and one of them gets its answer before the other is scheduled.
func TestCallerOfCompletedJobGetsItsAnswer(t *testing.T) {
	e, g := newEngine()
	older, second := resubmitWhileStopping(t, e, g)
	e.mu.Lock()
	now := uptime.Now()
	e.report(now, "g", Report{Run: older.Run, Change: planner.Stopped})
	e.applyActions(now)
	e.answers[job.ID] = cachedAnswer{planner.Answer{Outcome: planner.Completed}, now}
	e.mu.Unlock()
	select {
	case a := <-second:
		assert.Equal(t, a.Outcome, planner.Completed)
	case <-g.starts:
		t.Fatal("started again")
	}
}

// Guards against starting a task whose caller has left: the disconnect was read while the entry
// was short of CPU time, before the job was submitted.
func TestNothingStartsForCallerThatHasLeft(t *testing.T) {
	e, g := newEngine()
	ctx, leave := context.WithCancel(t.Context())
	leave()
	assert.Equal(t, submit(ctx, e).Outcome, planner.Cancelled)
	assert.Equal(t, len(g.starts), 0)
	assert.Equal(t, e.Count("").Waiting, 0)
}

// Two concurrent requests for the same job share one execution: its task is ordered once.
func TestConcurrentRequestsShareOneJob(t *testing.T) {
	e, g := newEngine()
	answers := make(chan planner.Answer, 2)
	for range 2 {
		go func() { answers <- submit(t.Context(), e) }()
	}
	s := <-g.starts
	time.Sleep(50 * time.Millisecond)
	e.ApplyUpdate("g", g, GuardUpdate{Reports: []Report{{Run: s.Run, Change: planner.Done}}})
	assert.Equal(t, (<-answers).Outcome, planner.Completed)
	assert.Equal(t, (<-answers).Outcome, planner.Completed)
	assert.Equal(t, len(g.starts), 0)
}

// awaitFirstReading waits until Run has read the clock for the first time. A pause that is
// simulated before that has no effect.
func awaitFirstReading(t *testing.T, e *Engine) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		e.mu.Lock()
		running := e.lastCheck > 0
		e.mu.Unlock()
		if running {
			return
		}
	}
	t.Fatal("the engine does not read the clock")
}

// An entry is paused while a task runs. Its guard stops the run, and the caller retries at another
// entry. After the pause the entry reads the end of the run before the caller's disconnect; it
// must not start the task again, because the job already runs through the other entry.
func TestNoStartsRightAfterProcessPause(t *testing.T) {
	e, g := newEngine()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	awaitFirstReading(t, e)
	caller, leave := context.WithCancel(t.Context())
	answer := make(chan planner.Answer, 1)
	go func() { answer <- submit(caller, e) }()
	s := <-g.starts
	e.mu.Lock()
	e.lastCheck = uptime.Now() - 2*time.Second
	e.mu.Unlock()
	e.ApplyUpdate("g", g, GuardUpdate{Reports: []Report{{Run: s.Run, Change: planner.Stopped}}})
	leave()
	assert.Equal(t, (<-answer).Outcome, planner.Cancelled)
	time.Sleep(2 * resumeDelay)
	assert.Equal(t, len(g.starts), 0)
	stop()
	assert.NilError(t, <-ended)
}

// After a pause of its process, an entry still serves a caller that is waiting.
func TestJobCompletesAfterProcessPause(t *testing.T) {
	e, g := newEngine()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	awaitFirstReading(t, e)
	answer := make(chan planner.Answer, 1)
	go func() { answer <- submit(t.Context(), e) }()
	s := <-g.starts
	e.mu.Lock()
	e.lastCheck = uptime.Now() - 2*time.Second
	e.mu.Unlock()
	e.ApplyUpdate("g", g, GuardUpdate{Reports: []Report{{Run: s.Run, Change: planner.Stopped}}})
	retry := <-g.starts
	e.ApplyUpdate("g", g, GuardUpdate{Reports: []Report{{Run: retry.Run, Change: planner.Done}}})
	assert.Equal(t, (<-answer).Outcome, planner.Completed)
	stop()
	assert.NilError(t, <-ended)
}

// Guards against a run that is not over when its caller submits its job to another entry: this
// entry tells the guard that it is alive and has not read the end of the caller's connection yet.
func TestRunOfDisconnectedCallerIsStoppedBeforeContextEnds(t *testing.T) {
	e, g := newEngine()
	var gone sync.Map
	e.disconnected = func(ctx context.Context) bool {
		_, found := gone.Load(ctx)
		return found
	}
	type key struct{}
	first, second := context.WithValue(t.Context(), key{}, 1), context.WithValue(t.Context(), key{}, 2)
	answers := make(chan planner.Answer, 2)
	go func() { answers <- submit(first, e) }()
	s := <-g.starts
	go func() { answers <- submit(second, e) }()
	time.Sleep(20 * time.Millisecond)
	gone.Store(first, true)
	e.CheckCallers(uptime.Now() + callersCheckInterval)
	assert.Equal(t, len(g.stops), 0, "another caller waits for the job")
	gone.Store(second, true)
	e.CheckCallers(uptime.Now())
	assert.Equal(t, len(g.stops), 0, "checked a moment ago")
	e.CheckCallers(uptime.Now() + callersCheckInterval)
	assert.Equal(t, len(g.stops), 1)
	assert.Equal(t, (<-g.stops).Run, s.Run)
	assert.Equal(t, (<-answers).Outcome, planner.Cancelled)
	assert.Equal(t, (<-answers).Outcome, planner.Cancelled)
}

// Guards against a task that starts although its caller has left: the caller's connection ended
// before its request was read, and after the callers were last checked.
func TestJobOfDisconnectedCallerStartsNothing(t *testing.T) {
	e, g := newEngine()
	e.disconnected = func(context.Context) bool { return true }
	assert.Equal(t, submit(t.Context(), e).Outcome, planner.Cancelled)
	assert.Equal(t, len(g.starts), 0)
}
