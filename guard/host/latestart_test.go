package host

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/guard/runs"
	"almondstand.dev/standin/worker"
)

// Guards against a task that runs twice: a copy of its start went unanswered, and the next process
// under the runner's id may execute it, although another copy was answered and the run is over.
func TestUnansweredCopyOfAnAnsweredStartIsLate(t *testing.T) {
	x := newRestartFixture(t, &worker.Runner{})
	assert.Equal(t, x.run("10"), runs.Done)
	late, seq := x.host.LateStarts(0)
	assert.Equal(t, len(late), 0, "every copy was answered")

	x.runner.SetFault(worker.Fault{LateShare: 0.5, LateBy: time.Hour, LateStarts: true})
	for index := 100; index < 200; index++ {
		id := x.order(index, 1, `{"ms":10,"cpu":1000}`)
		if x.finalReport(id).State != runs.Done {
			continue
		}
		time.Sleep(startTimeout + 2*maxHedgeDelay)
		late, seq = x.host.LateStarts(seq)
		if slices.ContainsFunc(late, func(l runs.LateStart) bool { return l.Task == id.Task }) {
			return
		}
	}
	t.Fatal("no copy of an answered start is late")
}
