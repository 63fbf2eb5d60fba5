package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/worker"
)

// Guards against "not run" for tasks that ran, tasks that run twice, and starts at a draining
// runner, when runners restart under their ids while starts are late and unanswered.
func TestFleetRunnersRestartUnderTheirIDs(t *testing.T) {
	f := startFleetOf(t, fleet.Options{Entries: 2, Guards: 2, NoRelays: true})
	stop := load(t, f, 25*time.Millisecond, 4, 60)
	for round := range 6 {
		r := f.Runners[round%2]
		r.SetFault(worker.Fault{LateShare: 0.5, LateBy: time.Duration(round%3) * 300 * time.Millisecond, LateStarts: true})
		time.Sleep(300 * time.Millisecond)
		sendDelayedReport := r.DelayedReport(t.Context())
		r.Kill()
		r.SetFault(worker.Fault{})
		time.Sleep(300 * time.Millisecond)
		r.Restart()
		time.Sleep(300 * time.Millisecond)
		sendDelayedReport()
		r.Deregister(t.Context(), r.Instance())
	}
	f.Runners[0].Drain()
	time.Sleep(2800 * time.Millisecond)
	got := stop()
	assert.Assert(t, got[200] > 40, "%v", got)
}
