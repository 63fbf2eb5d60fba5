package fleetwire

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/wire/wirev1"
)

// Guards against a job in time that is taken for a late one, which other entries rank behind their own:
// a slack below a millisecond must not be sent as zero.
func TestShortSlackIsNotSentAsLate(t *testing.T) {
	for slack, want := range map[time.Duration]uint32{
		-time.Second: 0, -time.Microsecond: 0, 0: 0, time.Microsecond: 1, time.Millisecond: 1, 20 * time.Millisecond: 20,
	} {
		assert.Equal(t, ToDemands([]work.Demand{{Slack: slack}})[0].GetSlackMs(), want, "%s", slack)
	}
}

// Guards against a malformed row that makes the sum with valid ones overflow, so that these are ignored
// as negative by all other entries.
func TestImpossibleDemandIsIgnored(t *testing.T) {
	rows := FromDemands([]*wirev1.ContractDemand{
		{Contract: 1, WaitingMilli: math.MaxInt64},
		{Contract: 1, WorkCoreMs: math.MaxInt64},
		{Contract: 1, WaitingMilli: -1},
		{Contract: 1, WorkCoreMs: -1},
		{Contract: 1, WaitingMilli: 1000, WorkCoreMs: 50},
	})
	assert.DeepEqual(t, rows, []work.Demand{{Contract: 1, WaitingMilli: 1000, Work: 0.05}})
}

// Guards against work that depends on the order in which it was summed: 1.001 * 1000 is less than 1001.
func TestWorkIsRounded(t *testing.T) {
	assert.Equal(t, ToDemands([]work.Demand{{Work: 1.001}})[0].GetWorkCoreMs(), int64(1001))
}
