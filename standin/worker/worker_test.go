package worker

import (
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
		r.start(requestBody{Task: string(rune('a' + i)), Run: 1, Spec: `{"ms":60000}`, Until: time.Hour.Milliseconds() + 500})
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
		r.poll(requestBody{Until: time.Hour.Milliseconds() + 900})
		extendedFor := r.runCount()
		expiry.Wait()
		assert.Equal(t, r.runCount(), extendedFor)
		assert.Assert(t, extendedFor == 0 || extendedFor == runs, "%d of %d runs ended", runs-extendedFor, runs)
	}
}
