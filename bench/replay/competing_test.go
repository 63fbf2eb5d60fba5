package replay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/bench/replay"
)

// TestUrgentWorkCompetesWithLongWork: a burst of long, least urgent jobs has taken the cores when twice
// as many of the most urgent jobs arrive. Without shared demand these are late or rejected at some
// entries while others start least urgent work. The least urgent kind must not starve.
func TestUrgentWorkCompetesWithLongWork(t *testing.T) {
	t.Parallel()
	ours := simulate(t, "competing")
	assert.Assert(t, ours.Kinds["hold"].OnTimeShare() >= 0.95, "%.3f", ours.Kinds["hold"].OnTimeShare())
	assert.Assert(t, ours.Kinds["quote"].AnsweredShare() > 0.6, "%.3f", ours.Kinds["quote"].AnsweredShare())
}

// TestRejectionsAreShared: demand moves between the data centres, whose entries use the same runners.
// The callers of one data centre must not be rejected far more often than those of another.
func TestRejectionsAreShared(t *testing.T) {
	t.Parallel()
	ours := simulate(t, "uneven")
	worst, best := 0.0, 1.0
	for _, c := range ours.DataCentres {
		rejected := float64(c.Rejected) / float64(c.Submitted)
		worst, best = max(worst, rejected), min(best, rejected)
	}
	assert.Assert(t, worst <= 2*best, "rejected: %.3f in the worst data centre, %.3f in the best", worst, best)
	assert.Assert(t, ours.Kinds["quote"].AnsweredShare() > 0.6, "%.3f", ours.Kinds["quote"].AnsweredShare())
}

// TestSharedDemandCanBeTurnedOff: a day without competition is served alike with the part and without.
func TestSharedDemandCanBeTurnedOff(t *testing.T) {
	t.Parallel()
	on := load(t, "calm")
	on.Disabled.SharedDemand = false
	with := replay.Simulate(on, replay.Policies()[0], 1)
	assert.Assert(t, with.All.OnTimeShare() >= simulate(t, "calm").All.OnTimeShare()-0.002)
}

// TestEntriesSendAsRealOnes guards against a replay whose guards hear every entry all the time, so that a
// part that depends on it appears better than it is: guards without a run hear an entry once a second, and
// more often only in turn while tasks wait.
func TestEntriesSendAsRealOnes(t *testing.T) {
	t.Parallel()
	l := load(t, "uneven")
	l.For, l.Bursts = 3*time.Second, nil
	for i := range l.Kinds {
		l.Kinds[i].PerSecond /= 1000
	}
	idle := replay.Simulate(l, replay.Policies()[0], 1)
	const seconds, sessions = 7, 590
	t.Logf("%d messages of idle entries, %d in turn", idle.EntryMessages, idle.DemandMessages)
	assert.Assert(t, idle.EntryMessages > sessions*(seconds-2) && idle.EntryMessages < sessions*(seconds+1), "%d", idle.EntryMessages)
	assert.Equal(t, idle.DemandMessages, 0)
}
