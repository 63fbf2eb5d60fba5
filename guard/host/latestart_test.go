package host

import (
	"testing"

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

	x.runner.SetFault(worker.Fault{Hold: worker.FirstStarts})
	id := x.order(99, 1, `{"ms":10,"cpu":1000}`)
	assert.Equal(t, x.finalReport(id).State, runs.Done)
	x.until("the first copy is given up", func() bool {
		late, _ = x.host.LateStarts(seq)
		return len(late) > 0
	})
	assert.Equal(t, late[0].Task, id.Task)
}
