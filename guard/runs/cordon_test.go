package runs

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a start by an entry that was suspended or cut off while the data centre was
// cordoned: whichever entry knows the newest revision decides, in either direction.
func TestNewestCordonDecides(t *testing.T) {
	table := newTable(4)
	running := mustStart(t, table, testStart, entryA, order("running", 0))
	assert.Assert(t, table.SetCordon(10, true))
	assert.Assert(t, !table.SetCordon(9, false), "an older revision changes nothing")
	assert.Equal(t, refusal(t, table, testStart, testStart, entryB, order("j", 0)), NotAccepting)
	assert.Assert(t, !table.Capacity().AcceptsStarts)
	_, changed := table.Started(testStart, running.Name)
	assert.Assert(t, changed, "what runs goes on")
	assert.Equal(t, len(table.Stops(testStart+ms)), 0)
	assert.Assert(t, !table.SetCordon(11, true))
	assert.Assert(t, table.SetCordon(12, false))
	assert.Assert(t, !table.SetCordon(11, true), "an older revision changes nothing")
	mustStart(t, table, testStart, entryB, attempt(2, order("j", 0)))
}
