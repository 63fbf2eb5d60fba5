package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/standin/worker"
	"almondstand.dev/telemetry/uptime"
)

// Guards against a run that goes on after it was reported as over: its runner was suspended,
// resumes, and the polls, starts and stops that wait in its sockets extend the lease or start runs.
func TestSuspendedRunnerTakesNoExtension(t *testing.T) {
	const others = 4
	for name, suspended := range map[string]time.Duration{"resumes at the report": 0, "resumes later": 700 * time.Millisecond} {
		for _, omitStartTime := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				x := newRestartFixture(t, &worker.Runner{OmitStartTime: omitStartTime})
				x.next = others
				id := x.order(0, 1, `{"ms":5000,"cpu":1000}`)
				x.until("the run begins", func() bool { return x.runner.Checker.Running() == 1 })
				x.runner.SetFault(worker.Fault{Suspended: true})
				for i := 1; i <= others; i++ {
					x.order(i, 1, `{"ms":5000,"cpu":1000}`)
					time.Sleep(40 * time.Millisecond)
				}
				x.host.Submit(uptime.Now(), owner, nil, []work.RunID{id})
				assert.Equal(t, x.finalReport(id).State, runs.Stopped)
				left := x.runner.LeaseLeft()
				assert.Assert(t, left < 0, "reported as over %s before the end of the lease", left)
				starts := x.runner.Checker.Starts()
				time.Sleep(suspended)
				x.runner.SetFault(worker.Fault{})
				for range 40 {
					left := x.runner.LeaseLeft()
					assert.Assert(t, left < 0, "the lease was extended by a request that had waited, to %s", left)
					time.Sleep(2 * time.Millisecond)
				}
				assert.Equal(t, x.runner.Checker.Running(), 0)
				assert.Equal(t, x.runner.Checker.Starts(), starts)
				x.until("the guard accepts starts", func() bool { return x.host.Capacity().AcceptsStarts })
				assert.Equal(t, x.run("10"), runs.Done)
			})
		}
	}
}
