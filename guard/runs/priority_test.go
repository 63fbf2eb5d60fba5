package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// Guards against capacity reserved for urgent work on a wrong account: the CPU by priority must add up
// to all that is allocated, and be free again with the end of a run.
func TestAllocatedByPriority(t *testing.T) {
	table := &Table{runs: map[work.TaskID]*run{}, lastNumbers: map[work.TaskID]taskNumber{}}
	for i, priority := range []int{0, 2, 2, 9} {
		o := Order{Run: work.RunID{Task: work.TaskID{Index: i}, Attempt: 1}, Need: work.Amounts{CPUMilli: 100}, Priority: priority}
		table.add(time.Second, time.Second, Owner{}, o)
	}
	assert.DeepEqual(t, table.allocatedByPriority(), []int64{100, 0, 200, 100})
	table.release(table.runs[work.TaskID{Index: 1}])
	assert.DeepEqual(t, table.allocatedByPriority(), []int64{100, 0, 100, 100})
	assert.Equal(t, table.used.CPUMilli, int64(300))
}

// Guards against capacity messages that differ from those without shared demand when it is turned off.
func TestCapacityWithoutSharedDemand(t *testing.T) {
	for _, off := range []bool{false, true} {
		p := newProgressTable(t, "expected", "late")
		p.opt.DisableSharedDemand = off
		c := p.CapacityAt(testStart + 100*ms)
		assert.Equal(t, c.AllocatedByPriorityMilli == nil, off)
		assert.Equal(t, c.ReleasesMilli == nil, off)
	}
}
