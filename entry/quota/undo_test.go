package quota

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A job is repeatedly admitted and then rejected because the queue is full. Each time its client
// must get the rate tokens back exactly once: it is neither charged for work that never ran, nor
// does it gain anything.
func TestUndoReturnsRateTokens(t *testing.T) {
	table := newTable(1)
	for range 10 {
		d := table.Admit(start, client, 20)
		assert.Assert(t, d.OK)
		d.Undo()
		d.Undo()
		d.Release()
	}
	assert.Equal(t, table.Statuses(start)[0].Used, 0)
	for range 2 {
		d := table.Admit(start, client, 20)
		assert.Assert(t, d.OK)
		d.Release()
		d.Undo()
	}
	assert.Assert(t, !table.Admit(start, client, 1).OK, "the burst of 40 is spent")
}
