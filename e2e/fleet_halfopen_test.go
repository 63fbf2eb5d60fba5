package e2e

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
)

// Guards against tasks that run twice because an entry that was suspended reads a request late and
// counts the caller's deadline from then: the caller's connection is half open, so the entry does
// not learn that the caller has given up and submitted the job again to another entry.
func TestRequestReadLateFromHalfOpenConnectionRunsNothing(t *testing.T) {
	const suspension, callers = 2700 * time.Millisecond, 5
	f := startFleet(t, 2, 4)
	entry := f.Entries[0].Process()
	entry.Suspend()
	var pending sync.WaitGroup
	for range callers {
		pending.Go(func() {
			job := fleet.NewJob(1, 3300)
			job.EstimateMs, job.Deadline = 800, 1500*time.Millisecond
			a := f.SubmitOnce(t.Context(), f.RelayedEntries[0], fleet.Prefix, job)
			job.Deadline = 6 * time.Second
			f.Continue(t.Context(), a, 1, job, 1)
		})
	}
	time.Sleep(200 * time.Millisecond)
	f.CallerRelays[0].Blackhole(true, true)
	time.Sleep(suspension - 200*time.Millisecond)
	entry.Resume()
	pending.Wait()
	assert.DeepEqual(t, f.Checker.Violations(), []string(nil))
}
