package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/worker"
)

// A job has a task that ends the process of every runner that starts it; its caller waits for
// long. Started again without end it takes one runner after the other, all four at last, and
// the callers of sound jobs are turned away. It is given up after two or three runners, its
// caller is told that it failed, and all others are answered. The guards' lines of
// guard.runner_crashed and the entry's of job.run_wrong with change crashed name it.
func TestPoisonousJobIsGivenUpAndItsNeighboursAreServed(t *testing.T) {
	f := startFleetOf(t, fleet.Options{Entries: 2, Guards: 4, Direct: true})
	stop := load(t, f, 25*time.Millisecond, 4, 40)
	time.Sleep(300 * time.Millisecond)
	poison := fleet.NewJob(1, 60)
	poison.CrashMs = 20
	poison.Deadline = 9 * time.Second
	a := f.Submit(t.Context(), 0, poison, 1)
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
