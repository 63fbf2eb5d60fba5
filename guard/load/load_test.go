package load

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/handover"
)

// Guards against a list that names the receiver, a silent entry, one without spare processor time or one
// that is gone, and against a list that grows with the number of entries.
func TestSpareListsEntriesThatCanTakeJobs(t *testing.T) {
	var table Table
	now := time.Minute
	for i := range 8 {
		table.Record(now, fmt.Sprint(i), handover.Load{Address: fmt.Sprint("a", i), SpareMilli: 100 * i})
	}
	table.Record(now-MaxAge-time.Millisecond, "silent", handover.Load{Address: "silent", SpareMilli: 2000})
	table.Record(now, "full", handover.Load{Address: "full", SpareMilli: 2000})
	table.Record(now, "full", handover.Load{Address: "full"})
	table.Remove("6")
	var got []string
	for _, l := range table.Spare(now, "7") {
		got = append(got, l.Address)
	}
	assert.DeepEqual(t, got, []string{"a5", "a4", "a3", "a2"})
	assert.Equal(t, len(table.Spare(now+MaxAge+time.Millisecond, "7")), 0)
}
