package replay_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/bench/replay"
)

// Guards against reports on runs that go as expected, against runs that are reported as stalled
// although they move, and against hanging or long runs on which nothing is reported.
func TestProgressReports(t *testing.T) {
	t.Parallel()
	short := func(l replay.Load) *replay.Result {
		l.For = 6 * time.Second
		r := replay.Simulate(l, replay.Policies()[0], 1)
		t.Logf("%s: %d messages, %d progress reports, %d of stalled runs", l.Name, r.Messages, r.ProgressReports, r.StalledReports)
		return r
	}
	calm := short(load(t, "calm"))
	assert.Equal(t, calm.StalledReports, 0)
	tail := load(t, "calm")
	tail.Name, tail.Kinds = "calm with a tail", slices.Clone(tail.Kinds)
	for i := range tail.Kinds {
		tail.Kinds[i].TailShare, tail.Kinds[i].TailTimes = 0.03, 7
	}
	long := short(tail)
	assert.Equal(t, long.StalledReports, 0)
	assert.Assert(t, long.ProgressReports > calm.ProgressReports)
	assert.Assert(t, calm.ProgressReports < calm.Messages/10)
	assert.Assert(t, short(load(t, "hanging")).StalledReports > 0)
}
