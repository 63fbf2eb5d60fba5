package replay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/bench/replay"
)

// TestUnequalSpeeds: one runner in four is more than twice as fast as the others. At 72 % load
// nearly all jobs must be answered on time, also the long ones, whose tasks on both kinds of runners
// would otherwise be stopped as too long or started too late.
func TestUnequalSpeeds(t *testing.T) {
	t.Parallel()
	ours := simulate(t, "speeds")
	assert.Assert(t, ours.All.OnTimeShare() > 0.995)
	assert.Assert(t, ours.Kinds["long"].OnTimeShare() > 0.98, "%.3f", ours.Kinds["long"].OnTimeShare())
	l := load(t, "speeds")
	l.Disabled.EndpointSpeeds = true
	without := replay.Simulate(l, replay.Policies()[0], 1)
	t.Logf("without speeds: on time %.3f, long %.3f", without.All.OnTimeShare(), without.Kinds["long"].OnTimeShare())
	assert.Assert(t, ours.Kinds["long"].OnTimeShare() > without.Kinds["long"].OnTimeShare()+0.05)
}

// TestUnequalSpeedsAtFullLoad: a burst beyond all capacity. The long, least urgent jobs must not be
// served worse than the others because they fit only fast runners.
func TestUnequalSpeedsAtFullLoad(t *testing.T) {
	t.Parallel()
	ours := simulate(t, "speeds-burst")
	assert.Assert(t, ours.All.OnTimeShare() > 0.82)
	assert.Assert(t, ours.All.Late < ours.All.Submitted/40)
	for name, c := range ours.Kinds {
		assert.Assert(t, c.OnTimeShare() > 0.78, "%s: %.3f", name, c.OnTimeShare())
	}
}

// TestFastRunnerBecomesSlow: one runner in ten, of which half are fast, takes five times as long for
// five seconds. The same bound holds as for equal runners.
func TestFastRunnerBecomesSlow(t *testing.T) {
	t.Parallel()
	ours := simulate(t, "speeds-slow")
	assert.Assert(t, ours.All.OnTimeShare() > 0.955)
	assert.Assert(t, ours.All.Failed < ours.All.Submitted/200)
}
