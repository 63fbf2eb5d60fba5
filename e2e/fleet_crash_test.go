package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/worker"
)

// Guards against a task that ends the process of every runner that starts it, under a job with
// a long deadline. Restarted without a limit, it crashes one runner after the other, at last
// all four, and the jobs of other callers are rejected. The job must fail after two or three
// runner crashes, its caller must be told that it failed, and all other jobs must complete. The
// guards' event guard.runner_crashed and the entry's job.run_wrong with change crashed name it.
func TestJobThatCrashesRunnersFailsAndOthersComplete(t *testing.T) {
	f := startFleetOf(t, fleet.Options{Entries: 2, Guards: 4, NoRelays: true})
	stop := load(t, f, 25*time.Millisecond, 4, 40)
	time.Sleep(300 * time.Millisecond)
	crashing := fleet.NewJob(1, 60)
	crashing.CrashMs = 20
	crashing.Deadline = 9 * time.Second
	a := f.Submit(t.Context(), 0, crashing, 1)
	assert.Equal(t, a.State, "failed", "%d %s", a.Status, a.Text)
	time.Sleep(worker.CrashRestartDelay)
	got := stop()
	crashes := 0
	for _, r := range f.Runners {
		crashes += r.Crashes()
	}
	t.Logf("%d runners crashed; the others' answers: %v", crashes, got)
	assert.Assert(t, crashes >= 2 && crashes <= 3)
	assert.Equal(t, len(got), 1, "%v", got)
	assert.Assert(t, got[200] > 40, "%v", got)
}
