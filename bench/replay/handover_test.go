package replay_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/bench/replay"
)

// worst simulates a load and returns the on-time share of the data centre that is served worst.
func worst(t *testing.T, l replay.Load, what string) float64 {
	t.Helper()
	r := replay.Simulate(l, replay.Policies()[0], 1)
	assert.Equal(t, r.RejectedAfterStart, 0)
	share := 1.0
	for _, c := range r.DataCentres {
		share = min(share, c.OnTimeShare())
	}
	t.Logf("%s %s: worst data centre on time %.4f, all %.4f, handed over %d", l.Name, what, share, r.All.OnTimeShare(), r.HandedOver)
	return share
}

// handingOver returns a load in which entries hand jobs over.
func handingOver(l replay.Load) replay.Load {
	l.HandOver = true
	return l
}

// onWholeCores returns a load with the entries on hosts of whole cores: what the runners can give, since no
// handover makes up for runners.
func onWholeCores(l replay.Load) replay.Load {
	l.DataCentres = slices.Clone(l.DataCentres)
	for i := range l.DataCentres {
		l.DataCentres[i].CPUShare = 0
	}
	return l
}

// TestSmallEntriesHandOverInABurst guards against callers who are rejected because their entries run on
// small hosts while entries on large hosts are idle.
func TestSmallEntriesHandOverInABurst(t *testing.T) {
	t.Parallel()
	l := load(t, "thin-burst")
	with := worst(t, handingOver(l), "with handover")
	assert.Assert(t, with > worst(t, l, "without handover")+0.2)
	assert.Assert(t, with >= 0.93*worst(t, onWholeCores(l), "on whole cores"))
}

// TestSlowEntriesHandOver guards against a handover that takes more processor time than it saves: in this
// load heartbeats and requests alone take more than the small hosts have.
func TestSlowEntriesHandOver(t *testing.T) {
	t.Parallel()
	l := load(t, "thin-slow")
	l.For = 7 * time.Second
	assert.Assert(t, worst(t, handingOver(l), "with handover") > worst(t, l, "without handover")+0.05)
}

// TestFloodedEntriesServeWhatRunnersCan guards against callers of small hosts who are served worse than the
// runners allow when all callers come three times as often.
func TestFloodedEntriesServeWhatRunnersCan(t *testing.T) {
	t.Parallel()
	l := load(t, "thin-flood")
	assert.Assert(t, worst(t, handingOver(l), "with handover") >= 0.93*worst(t, onWholeCores(l), "on whole cores"))
}

// TestOverwhelmedEntriesServeWhatRunnersCan guards against callers of small hosts who are served worse than
// the runners allow where the hosts have too little processor time for the requests; see KNOWN-RED.txt.
func TestOverwhelmedEntriesServeWhatRunnersCan(t *testing.T) {
	t.Parallel()
	l := load(t, "thin-slow")
	assert.Assert(t, worst(t, handingOver(l), "with handover") >= 0.93*worst(t, onWholeCores(l), "on whole cores"))
}

// TestNoHandOverBetweenLargeHosts guards against handovers where no entry is short of processor time.
func TestNoHandOverBetweenLargeHosts(t *testing.T) {
	for _, name := range []string{"calm", "over-1.5", "one-zone"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := load(t, name)
			l.For = min(l.For, 8*time.Second)
			without := replay.Simulate(l, replay.Policies()[0], 1)
			with := replay.Simulate(handingOver(l), replay.Policies()[0], 1)
			assert.Equal(t, with.HandedOver, 0)
			assert.Equal(t, with.Messages, without.Messages)
			assert.Equal(t, with.All, without.All)
			assert.DeepEqual(t, with.RejectionTimes, without.RejectionTimes)
		})
	}
}

// TestNoHandOverBetweenHostsWithSpareTime guards against handovers between hosts whose processor time is
// simulated and not short. The entries of TestNoHandOverBetweenLargeHosts measure neither lag nor use.
func TestNoHandOverBetweenHostsWithSpareTime(t *testing.T) {
	for _, name := range []string{"calm", "one-zone"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := handingOver(load(t, name))
			l.For = min(l.For, 8*time.Second)
			l.DataCentres = slices.Clone(l.DataCentres)
			for i := range l.DataCentres {
				l.DataCentres[i].CPUShare = 0.8
			}
			assert.Equal(t, replay.Simulate(l, replay.Policies()[0], 1).HandedOver, 0)
		})
	}
}
