package runs

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a flood of connections to a runner that can't be reached: one for each run that is
// to be stopped, again and again. The stops are sent once it can be reached.
func TestNoOrdersWhileRunnerIsDown(t *testing.T) {
	table := newTable(4)
	for i := range 3 {
		start := mustStart(t, table, testStart, entryA, order("j", i))
		table.Started(testStart, start.Name)
		table.Cancel(testStart, entryA, start.Run)
	}
	assert.Assert(t, table.RunnerDown())
	assert.Assert(t, !table.RunnerDown())
	assert.Equal(t, len(table.Stops(testStart+ms)), 0)
	assert.Equal(t, refusal(t, table, testStart+ms, testStart, entryB, order("k", 0)), NotAccepting)
	table.RunnerUp()
	assert.Equal(t, len(table.Stops(testStart+3*ms)), 3)
	mustStart(t, table, testStart+3*ms, entryB, attempt(2, order("k", 0)))
}
