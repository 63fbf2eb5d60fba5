package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/telemetry/uptime"
)

// Guards against a run that starts after it was reported as never started: one message of its
// entry has both the order and the order to stop the run.
func TestOrderStoppedInItsMessageIsNotStarted(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	x := runs.Order{Run: work.RunID{Task: work.TaskID{Job: "j"}, Attempt: 1}, Need: work.Amounts{CPUMilli: 1000}, TimeLeft: 5 * time.Second}
	h.Submit(uptime.Now(), owner, []runs.Order{x}, []work.RunID{x.Run})
	report, _ := sink.waitFor(t, runs.NotStarted)
	assert.Equal(t, report.Refusal, runs.UnknownRun)
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Assert(t, !h.table.HasRuns())
}
