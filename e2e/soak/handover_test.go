package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a report that counts no handovers although there were some, and against counting other
// events or lines that were cut off.
func TestCountHandovers(t *testing.T) {
	log := `{"level":"INFO","msg":"job.handed_over","job":"a"}
{"level":"INFO","msg":"job.handover_ended","job":"a","end":"answered"}
{"level":"INFO","msg":"job.handover_ended","job":"b","end":"lost"}
{"level":"INFO","msg":"job.handover_ended","job":"c","end":"lost"}
{"level":"INFO","msg":"job.handover_ended","job":"d","end":"not_taken"}
{"level":"INFO","msg":"job.handover_ended","job":"e","end":"cancelled"}
{"level":"INFO","msg":"job.taken_over","job":"a"}
{"level":"WARN","msg":"handover.stream_lost","side":"out"}
{"level":"INFO","msg":"job.taken_over","jo`
	h := countHandovers(log)
	h.Add(Handovers{Taken: 1})
	assert.Equal(t, h, Handovers{Answered: 1, Lost: 2, NotTaken: 1, Cancelled: 1, Taken: 2})
}

// Guards against a group of kinds that changes the faults of seeds which once found a bug: without the
// last group, the schedule of a seed is the one that it was before the group was added.
func TestHandoverFaultsLeaveOthersUnchanged(t *testing.T) {
	all := Schedule(1001, 8_000_000_000)
	var others []Fault
	for _, f := range all {
		if f.Kind != HandoverEntryKill && f.Kind != HandoverEntrySuspend && f.Kind != HandoverEntryCut {
			others = append(others, f)
		}
	}
	assert.Assert(t, len(others) < len(all))
	groups := additionalKinds
	defer func() { additionalKinds = groups }()
	additionalKinds = groups[:len(groups)-1]
	assert.DeepEqual(t, Schedule(1001, 8_000_000_000), others)
}
