package worker

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTestRunner returns a runner without a listener that has the given number of runs.
func newTestRunner(n int) *Runner {
	r := &Runner{CPU: 1 << 40, Checker: NewChecker()}
	r.cpu = r.CPU
	r.reset()
	for i := range n {
		r.do(StartPath, requestBody{Task: string(rune('a' + i)), Run: 1, Spec: `{"ms":60000}`, Until: time.Hour.Milliseconds() + 500})
	}
	return r
}

// expire sets the end of the lease to now.
func (r *Runner) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = r.clock()
}

// runCount returns the number of runs.
func (r *Runner) runCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Guards against a runner that ends runs by the lease after it has extended the lease for them:
// a guard that relies on the extension, or extends too far, would not be noticed.
func TestExtendedLeaseEndsNoRuns(t *testing.T) {
	const runs = 20
	for range 2000 {
		r := newTestRunner(runs)
		r.expire()
		var expiry sync.WaitGroup
		expiry.Go(r.expireLease)
		r.do(PollPath, requestBody{Until: time.Hour.Milliseconds() + 900})
		extendedFor := r.runCount()
		expiry.Wait()
		assert.Equal(t, r.runCount(), extendedFor)
		assert.Assert(t, extendedFor == 0 || extendedFor == runs, "%d of %d runs ended", runs-extendedFor, runs)
	}
}

// Guards against a false violation when a process ends before its server serves.
func TestRestartListensAgainAtOnce(t *testing.T) {
	r := &Runner{Checker: NewChecker()}
	assert.NilError(t, r.Listen("127.0.0.1"))
	for range 200 {
		r.Restart()
	}
	r.Kill()
	assert.DeepEqual(t, r.Checker.Violations(), []string(nil))
}

// Guards against the stand-in hiding a run that goes on after its lease has expired: its process
// was suspended, and an extension that had waited takes effect before the run ends.
func TestRunOfSuspendedRunnerContinuesWithItsLease(t *testing.T) {
	r := newTestRunner(1)
	r.SetFault(Fault{Suspended: true})
	r.expire()
	r.expireLease()
	assert.Equal(t, r.Checker.Running(), 0)
	assert.Equal(t, r.runCount(), 1)
	other := newTestRunner(0)
	other.Checker = r.Checker
	other.do(StartPath, requestBody{Task: "a", Run: 2, Spec: `{"ms":60000}`, Until: time.Hour.Milliseconds() + 500})
	assert.Equal(t, len(r.Checker.Violations()), 0)
	r.SetFault(Fault{})
	r.do(PollPath, requestBody{Until: time.Hour.Milliseconds() + 900})
	assert.Equal(t, len(r.Checker.Violations()), 1)
}

// The runs of a suspended runner whose lease has expired end when it resumes.
func TestRunsOfSuspendedRunnerEndWithTheirLease(t *testing.T) {
	r := newTestRunner(3)
	r.SetFault(Fault{Suspended: true})
	r.expire()
	r.expireLease()
	r.SetFault(Fault{})
	r.expireLease()
	assert.Equal(t, r.runCount(), 0)
	assert.Equal(t, len(r.Checker.Violations()), 0)
}

// Guards against a poll of one process that the next one answers: its run listing, which names no
// process, would show the runs of the older one as ended.
func TestPollOfEndedProcessHasNoAnswer(t *testing.T) {
	r := newTestRunner(1)
	server := httptest.NewServer(r.handle(PollPath))
	defer server.Close()
	answered := make(chan error, 1)
	go func() {
		res, err := http.Post(server.URL, "application/json", strings.NewReader(`{"wait_ms":300}`))
		if err == nil {
			_ = res.Body.Close()
		}
		answered <- err
	}()
	time.Sleep(100 * time.Millisecond)
	r.mu.Lock()
	r.crash()
	r.incarnation++
	r.reset()
	r.mu.Unlock()
	assert.Assert(t, <-answered != nil, "answered by the next process")
}

// Guards against a held start that is answered, is executed before it is to be, or is executed by
// another instance.
func TestHeldStartIsExecutedByTheNextProcess(t *testing.T) {
	r := &Runner{CPU: 1 << 40, Checker: NewChecker()}
	assert.NilError(t, r.Listen("127.0.0.1"))
	defer r.Kill()
	r.SetFault(Fault{Hold: FirstStarts})
	send := func() error {
		client := &http.Client{Timeout: 100 * time.Millisecond}
		res, err := client.Post("http://"+r.Address()+StartPath, "application/json", strings.NewReader(`{"task":"a","run_id":1,"task_spec":"{\"ms\":60000}","until_ms":3600500}`))
		if err != nil {
			return err
		}
		return res.Body.Close()
	}
	assert.Assert(t, send() != nil, "the first copy is answered")
	assert.Equal(t, r.Held(StartPath), 1)
	assert.Equal(t, r.Checker.Starts(), 0)
	assert.NilError(t, send())
	assert.Equal(t, r.Checker.Starts(), 1)
	r.RestartExecutingHeld()
	assert.Equal(t, r.Checker.Starts(), 2)
	assert.Equal(t, r.Held(StartPath), 0)
	r.SetFault(Fault{Hold: AllStarts})
	assert.Assert(t, send() != nil, "a held start is answered")
	r.RestartWithNewID()
	r.ExecuteHeld(StartPath)
	assert.Equal(t, r.Checker.Starts(), 2)
}

// Guards against a stand-in whose runs appear stalled while they go on, or move while they hang.
func TestRunsReportProgress(t *testing.T) {
	r := newTestRunner(0)
	start := func(task string, fault Fault) *run {
		r.SetFault(fault)
		r.do(StartPath, requestBody{Task: task, Run: 1, Spec: `{"ms":1000,"cpu":1400}`, Until: time.Hour.Milliseconds() + 500})
		r.SetFault(Fault{})
		r.mu.Lock()
		defer r.mu.Unlock()
		// The test sets how long the run has lasted, however long it takes itself.
		r.runs[task].timer.Stop()
		return r.runs[task]
	}
	row := func(task string, after time.Duration) []any {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[task].startedAt = time.Now().Add(-after)
		return r.runningRow(task, r.runs[task])
	}
	start("moves", Fault{})
	start("slow", Fault{Slow: 4})
	start("hangs", Fault{Hang: true})
	start("hangs later", Fault{Hang: true, HangPercent: 30})
	assert.DeepEqual(t, row("moves", 255*time.Millisecond), []any{"moves", 1, "", 25, int64(0)})
	assert.DeepEqual(t, row("moves", 2*time.Second), []any{"moves", 1, "", 100, int64(1400)})
	assert.DeepEqual(t, row("slow", 1020*time.Millisecond), []any{"slow", 1, "", 25, int64(1400)})
	assert.DeepEqual(t, row("hangs", 2*time.Second)[3], 0)
	assert.DeepEqual(t, row("hangs later", 155*time.Millisecond)[3], 15)
	assert.DeepEqual(t, row("hangs later", 2*time.Second)[3], 30)
	r.SetFault(Fault{NoProgress: true})
	assert.DeepEqual(t, row("moves", 255*time.Millisecond), []any{"moves", 1, ""})
}
