package uplink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/guard/load"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

// Guards against lists for entries that do not want them or had one a moment ago, and against the loads
// of entries whose sessions have ended or that no longer report any.
func TestSpareEntriesAreListedForThoseThatWantThem(t *testing.T) {
	u := New(Options{}, noHost{})
	small, large := demandSession(u, "small", 1), demandSession(u, "large", 1)
	large.link.address = "10.0.0.2:7"
	report := &wirev1.AttachResponse{Load: &wirev1.EntryLoad{SpareMilli: 700, LagMs: 1}}
	large.receive(report)
	small.receive(&wirev1.AttachResponse{})
	now := uptime.Now()
	assert.Equal(t, len(small.spareEntries(now)), 0, "not wanted")
	small.receive(&wirev1.AttachResponse{WantsSpareEntries: true})
	list := small.spareEntries(now)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].GetAddress(), "10.0.0.2:7")
	assert.Equal(t, list[0].GetSpareMilli(), uint32(700))
	assert.Equal(t, list[0].GetLagMs(), uint32(1))
	now += load.ListInterval
	assert.Equal(t, len(small.spareEntries(now-time.Millisecond)), 0, "sent a moment ago")
	assert.Equal(t, len(small.spareEntries(now)), 1)
	large.receive(&wirev1.AttachResponse{})
	assert.Equal(t, len(small.spareEntries(now+load.ListInterval)), 0, "an older entry reports no load")
	large.receive(report)
	u.remove(large)
	assert.Equal(t, len(small.spareEntries(now+2*load.ListInterval)), 0, "the session has ended")
}
