package uplink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/guard/demand"
	"almondstand.dev/guard/runs"
	"almondstand.dev/wire/wirev1"
)

// demandSession returns the current session of an entry that reports demand.
func demandSession(u *Uplink, entry string, incarnation uint64) *session {
	s := newSession(u, &link{}, 0)
	s.owner = runs.Owner{Entry: entry, Incarnation: incarnation}
	s.cancel = func(error) {}
	u.admit(s)
	return s
}

func demandMessage(rows ...*wirev1.ContractDemand) *wirev1.AttachResponse {
	return &wirev1.AttachResponse{HasPending: len(rows) > 0, Demand: rows}
}

// TestCapacityCarriesOthersDemand guards against an entry that takes its own demand for that of
// others, and against demand that outlives its session or the silence of its entry: either would
// have the other entries reject jobs for work that nobody waits for.
func TestCapacityCarriesOthersDemand(t *testing.T) {
	u := New(Options{SharedDemand: true}, noHost{})
	a, b := demandSession(u, "a", 1), demandSession(u, "b", 1)
	a.receive(demandMessage(&wirev1.ContractDemand{Contract: 7, Priority: 1, WaitingMilli: 100, WorkCoreMs: 50}))
	b.receive(demandMessage())
	m := b.capacity(time.Second)
	assert.Equal(t, m.GetOthersEntries(), uint32(1))
	assert.Equal(t, m.GetOthersDemand()[0].GetWorkCoreMs(), int64(50))
	m = a.capacity(time.Second)
	assert.Equal(t, m.GetOthersEntries(), uint32(1), "an entry without waiting work counts")
	assert.Equal(t, len(m.GetOthersDemand()), 0)

	newer := demandSession(u, "a", 2)
	newer.receive(demandMessage(&wirev1.ContractDemand{Contract: 7, WorkCoreMs: 20}))
	u.remove(a)
	assert.Equal(t, b.capacity(time.Second).GetOthersDemand()[0].GetWorkCoreMs(), int64(20), "the newer session of the entry counts")
	u.remove(newer)
	assert.Equal(t, b.capacity(time.Second).GetOthersEntries(), uint32(0))

	a = demandSession(u, "a", 3)
	a.receive(demandMessage(&wirev1.ContractDemand{Contract: 7, WorkCoreMs: 20}))
	time.Sleep(demand.MaxAge)
	assert.Equal(t, b.capacity(time.Second).GetOthersEntries(), uint32(0), "a silent entry frees its share")
}

// TestMostUrgentDemandExpires guards against an entry that is suspended or cut off and still gets the
// first offer of each capacity, for up to 3 s, because its last message reported urgent work.
func TestMostUrgentDemandExpires(t *testing.T) {
	a := demandSession(New(Options{SharedDemand: true}, noHost{}), "a", 1)
	a.receive(demandMessage(&wirev1.ContractDemand{Contract: 7, WaitingMilli: 100}))
	_, known := a.MostUrgent()
	assert.Assert(t, known)
	time.Sleep(demand.MaxAge)
	_, known = a.MostUrgent()
	assert.Assert(t, !known)
}

// Malformed rows are ignored, and an older entry, which sends none, has no urgency.
func TestMalformedDemandIsIgnored(t *testing.T) {
	u := New(Options{SharedDemand: true}, noHost{})
	a, b := demandSession(u, "a", 1), demandSession(u, "b", 1)
	a.receive(demandMessage(&wirev1.ContractDemand{Contract: 7, WaitingMilli: -1}, &wirev1.ContractDemand{Contract: 8, WaitingMilli: 5}))
	rows := b.capacity(time.Second).GetOthersDemand()
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].GetContract(), uint32(8))
	b.receive(&wirev1.AttachResponse{HasPending: true, PendingMilli: 9})
	_, known := b.MostUrgent()
	assert.Assert(t, !known)
}

// With the setting off the messages are those of a guard without shared demand.
func TestSharedDemandCanBeTurnedOff(t *testing.T) {
	u := New(Options{}, noHost{})
	a, b := demandSession(u, "a", 1), demandSession(u, "b", 1)
	a.receive(demandMessage(&wirev1.ContractDemand{Contract: 7, WaitingMilli: 5}))
	m := b.capacity(time.Second)
	assert.Equal(t, m.GetOthersEntries(), uint32(0))
	assert.Equal(t, len(m.GetOthersDemand())+len(m.GetAllocatedByPriorityMilli()), 0)
	_, known := a.MostUrgent()
	assert.Assert(t, !known)
}
