package e2e

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/e2e/harness"
)

// throttle lets a process run for short spans only until stop is called, as a CPU quota does.
func throttle(p *harness.Process) (stop func()) {
	ended, resumed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(resumed)
		for {
			p.Suspend()
			time.Sleep(time.Duration(30+rand.IntN(70)) * time.Millisecond)
			p.Resume()
			select {
			case <-ended:
				return
			case <-time.After(time.Duration(1+rand.IntN(10)) * time.Millisecond):
			}
		}
	}()
	return func() {
		close(ended)
		<-resumed
	}
}

// Guards against a run that starts after its guard has reported it as never started: callers
// leave while their entry is throttled, so that it sends start and stop orders of their jobs
// together. The runs, which nobody stops, last into those of the jobs submitted again elsewhere.
func TestOrdersOfCallersThatLeaveRunNothing(t *testing.T) {
	const span, interval, maxWait = 10 * time.Second, 10 * time.Millisecond, 150 * time.Millisecond
	// The orders meet by chance, so the callers go on until enough of them have met.
	const minUnknown, maxSpan = 20, 20 * time.Second
	f := startFleet(t, 2, 4)
	unknown := func() int {
		n := 0
		for _, g := range f.Guards {
			n += strings.Count(g.Process().Log(), `"msg":"guard.run_unknown"`)
		}
		return n
	}
	stop := throttle(f.Entries[0].Process())
	var callers sync.WaitGroup
	begin, checked := time.Now(), time.Now()
	for enough := false; !enough || time.Since(begin) < span; time.Sleep(interval) {
		if time.Since(checked) >= time.Second {
			checked = time.Now()
			enough = unknown() >= minUnknown || time.Since(begin) >= maxSpan
		}
		callers.Go(func() {
			job := fleet.NewJob(1, 2200)
			job.Deadline = 6 * time.Second
			ctx, leave := context.WithTimeout(t.Context(), time.Duration(rand.Int64N(int64(maxWait))))
			defer leave()
			f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, job)
			time.Sleep(fleet.ResubmitDelay)
			f.Resubmit(t.Context(), 1, job, 1)
		})
	}
	stop()
	callers.Wait()
	t.Logf("%d stop orders arrived before or with their start orders", unknown())
	assert.Assert(t, unknown() > 0)
	waitUntil(t, fleet.ResubmitDelay, "runs go on without a caller", func() bool { return f.Checker.Running() == 0 })
	assert.Equal(t, len(f.Checker.Violations()), 0)
}
