package e2e

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
)

// Guards against a task that starts although its caller has left: an entry that was stalled read
// the request, ordered the start, and read the end of the connection after that.
func TestJobsOfCallersThatLeftStartNothing(t *testing.T) {
	parallel(t)
	const rounds, callers, leaveAfter, settle = 20, 4, 40 * time.Millisecond, 20 * time.Millisecond
	f := startFleet(t, 1, 2)
	before := f.Checker.Starts()
	for range rounds {
		f.Entries[0].Process().Suspend()
		// All threads must have stopped before a request arrives.
		time.Sleep(settle)
		var gone sync.WaitGroup
		for range callers {
			gone.Go(func() {
				ctx, leave := context.WithTimeout(t.Context(), leaveAfter)
				defer leave()
				f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, fleet.NewJob(1, 300))
			})
		}
		gone.Wait()
		// The client closes its connections in the background.
		time.Sleep(settle)
		f.Entries[0].Process().Resume()
		time.Sleep(leaveAfter)
	}
	assert.Equal(t, f.Checker.Starts(), before)
}

// Guards against a task that is started again after its caller has left: an entry that was stalled,
// too briefly to be taken for paused, read the failure of the task's run before the end of the
// caller's connection.
func TestTaskOfCallerThatLeftIsNotStartedAgain(t *testing.T) {
	parallel(t)
	const rounds, callers, runTime, settle, stalled = 4, 4, 200 * time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond
	// Many runners, so that their failed runs eject few of them.
	f := startFleet(t, 1, 8)
	for range rounds {
		ctx, leave := context.WithCancel(t.Context())
		var gone sync.WaitGroup
		for range callers {
			job := fleet.NewJob(1, int(runTime.Milliseconds()))
			job.Fails = true
			gone.Go(func() { f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, job) })
		}
		waitUntil(t, time.Second, "the tasks are not running", func() bool { return f.Checker.Running() == callers })
		f.Entries[0].Process().Suspend()
		time.Sleep(settle)
		starts := f.Checker.Starts()
		leave()
		gone.Wait()
		time.Sleep(stalled)
		f.Entries[0].Process().Resume()
		time.Sleep(runTime)
		assert.Equal(t, f.Checker.Starts(), starts)
	}
}
