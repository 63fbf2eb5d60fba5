package e2e

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/worker"
)

// Guards against a run that goes on after its guard has reported it as over: runners are suspended
// for longer than their leases and resume with requests in their sockets, while callers leave and
// submit their jobs again elsewhere.
func TestFleetRunnersSuspended(t *testing.T) {
	const (
		span     = 10 * time.Second
		interval = 25 * time.Millisecond
		maxWait  = time.Second
		maxHang  = 1800 * time.Millisecond
	)
	f := startFleetOf(t, fleet.Options{Entries: 2, Guards: 3, NoRelays: true})
	stop := load(t, f, 50*time.Millisecond, 4, 60)
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	var faults, callers sync.WaitGroup
	for _, r := range f.Runners {
		faults.Go(func() {
			defer r.SetFault(worker.Fault{})
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
				r.SetFault(worker.Fault{Suspended: true})
				time.Sleep(time.Duration(rand.Int64N(int64(maxHang))))
				r.SetFault(worker.Fault{})
			}
		})
	}
	for ; ctx.Err() == nil; time.Sleep(interval) {
		callers.Go(func() {
			job := fleet.NewJob(1, 1500)
			job.Deadline = 6 * time.Second
			ctx, leave := context.WithTimeout(t.Context(), time.Duration(rand.Int64N(int64(maxWait))))
			defer leave()
			f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, job)
			time.Sleep(fleet.ResubmitDelay)
			f.Resubmit(t.Context(), 1, job, 1)
		})
	}
	faults.Wait()
	callers.Wait()
	got := stop()
	t.Logf("%v, %d starts", got, f.Checker.Starts())
	assert.Assert(t, got[200] > 0, "%v", got)
}
