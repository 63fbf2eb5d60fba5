package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/entry/fleet/share"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func address(i int) string { return fmt.Sprintf("10.0.0.%d:9000", i) }

// spare is the number of slots left free beyond an entry's own share.
const spare = 2

// pools returns the pools of n entries with the same endpoints.
func pools(n, endpoints, slots int) []*share.Allocator {
	var entries []share.Entry
	var all []share.Endpoint
	for i := range n {
		entries = append(entries, share.Entry{ID: fmt.Sprint("e", i)})
	}
	for i := range endpoints {
		all = append(all, share.Endpoint{Address: address(i), Slots: slots})
	}
	var out []*share.Allocator
	for _, e := range entries {
		p := share.New(e, spare)
		p.SetEndpoints(all)
		p.SetEntries(entries)
		out = append(out, p)
	}
	return out
}

// exchange reports every entry's use to all others.
func exchange(now time.Time, all []*share.Allocator) {
	for i, from := range all {
		for j, to := range all {
			if i != j {
				to.ApplyReport(now, fmt.Sprint("e", i), from.OwnUse())
			}
		}
	}
}

func sum(limits map[string]int) int {
	total := 0
	for _, n := range limits {
		total += n
	}
	return total
}

// TestSharesAddUp checks, for any demands, that the entries' shares of each endpoint
// add up to its slots while all entries lack slots: no slot is assigned twice or to
// nobody.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		all := pools(rapid.IntRange(2, 16).Draw(t, "entries"), rapid.IntRange(1, 20).Draw(t, "endpoints"), slots)
		for _, p := range all {
			p.SampleDemand(origin, rapid.IntRange(1, 500).Draw(t, "waiting"))
		}
		exchange(origin, all)
		allowed := map[string]int{}
		for _, p := range all {
			for a, n := range p.Limits(origin) {
				allowed[a] += n
			}
		}
		for a, n := range allowed {
			// An entry without a share still probes one slot.
			assert.Assert(t, n >= slots && n <= slots+len(all), "%s: %d of %d", a, n, slots)
		}
	})
}

// TestSharesAddUpWhileDemandChanges: an entry's demand grows after it was reported. If
// the entry took more slots immediately, its peers would use them until its next
// report, and a start of one of the two would be refused. It must keep to the share
// that the peers know.
func TestSharesAddUpWhileDemandChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := pools(rapid.IntRange(2, 8).Draw(t, "entries"), 11, 8)
		for _, p := range all {
			p.SampleDemand(origin, rapid.IntRange(1, 100).Draw(t, "waiting"))
		}
		exchange(origin, all)
		later := origin.Add(900 * time.Millisecond)
		allowed := 0
		for _, p := range all {
			p.SampleDemand(later, rapid.IntRange(1, 100).Draw(t, "waiting later"))
			allowed += sum(p.Limits(later))
		}
		// An entry without a share still probes one slot.
		assert.Assert(t, allowed <= 11*8+len(all), "%d", allowed)
	})
}

// TestUnreportedDemandCounts: an entry that has not reported for a while uses its
// current demand. With an old report of little demand, its tasks would wait although
// slots are free.
func TestUnreportedDemandCounts(t *testing.T) {
	all := pools(2, 11, 8)
	all[1].SampleDemand(origin, 1)
	exchange(origin, all)
	later := origin.Add(5 * time.Second)
	all[0].SampleDemand(later, 60)
	all[1].SampleDemand(later, 1)
	all[0].ApplyReport(later, "e1", all[1].OwnUse())
	assert.Assert(t, sum(all[0].Limits(later)) > 60)
}

// TestSharesFollowDemand: the entry with most of the work gets most of the slots, and
// one without any keeps a few for tasks that arrive before the others know of its
// demand.
func TestSharesFollowDemand(t *testing.T) {
	all := pools(4, 11, 8)
	for i, waiting := range []int{60, 10, 10, 0} {
		all[i].SampleDemand(origin, waiting)
	}
	exchange(origin, all)
	busy, idle := sum(all[0].Limits(origin)), sum(all[3].Limits(origin))
	assert.Assert(t, busy >= 50 && busy <= 60, "%d", busy)
	assert.Assert(t, idle >= 3 && idle <= 8, "%d", idle)
}

// TestUsesFreeSlotsUntilPeersWait: an entry uses its peers' unused slots, except a few,
// until one of them reports waiting tasks; then it returns the slots as its tasks end.
func TestUsesFreeSlotsUntilPeersWait(t *testing.T) {
	all := pools(2, 2, 8)
	for _, p := range all {
		p.SampleDemand(origin, 0)
	}
	exchange(origin, all)
	assert.Equal(t, sum(all[0].Limits(origin)), 16-spare)

	all[1].SampleDemand(origin, 4)
	exchange(origin, all)
	assert.Equal(t, sum(all[0].Limits(origin)), 8)
	// The report expires, because the peer may be disconnected.
	assert.Assert(t, sum(all[0].Limits(origin.Add(5*time.Second))) > 8)
}

// TestEstimatesFollowRefusalsAndReplies: a refusal shows that peers use all other
// slots, so that the next start there waits; a reply shows that the slot it used is
// free.
func TestEstimatesFollowRefusalsAndReplies(t *testing.T) {
	p := pools(2, 1, 8)[0]
	for range 4 {
		p.StartOpened(address(0))
	}
	p.StartEnded(origin, address(0), share.ResultRejected, 0)
	assert.Equal(t, p.Limits(origin)[address(0)], 3)
	p.StartEnded(origin, address(0), share.ResultRan, time.Second)
	assert.Equal(t, p.Limits(origin)[address(0)], 3)
	// Peers' tasks also end, without a report.
	assert.Assert(t, p.Limits(origin.Add(5 * time.Second))[address(0)] > 3)
}

// TestKilledEntryFreesItsSlots: an entry that used all slots dies. Its slots become
// free when its connections close; estimates that still counted them would leave the
// endpoints half idle.
func TestKilledEntryFreesItsSlots(t *testing.T) {
	all := pools(2, 2, 8)
	for range 8 {
		all[1].StartOpened(address(0))
		all[1].StartOpened(address(1))
	}
	all[1].SampleDemand(origin, 50)
	exchange(origin, all)
	assert.Assert(t, sum(all[0].Limits(origin)) <= 1)
	all[0].SetEntries([]share.Entry{{ID: "e0"}})
	later := origin.Add(3 * time.Second)
	all[0].SampleDemand(later, 10)
	assert.Equal(t, sum(all[0].Limits(later)), 16)
}

// TestProbesWhenAllSlotsSeemTaken: according to this entry's information, peers use
// every slot permanently. It still tries one start; otherwise it would wait forever for
// information that nobody sends, for example when it is disconnected from the other
// entries.
func TestProbesWhenAllSlotsSeemTaken(t *testing.T) {
	all := pools(2, 2, 8)
	for range 8 {
		all[1].StartOpened(address(0))
		all[1].StartOpened(address(1))
	}
	exchange(origin, all)
	assert.Equal(t, sum(all[0].Limits(origin)), 1)
}

// TestIgnoresCountsOfOtherEndpoints: an entry that does not know a new endpoint yet
// counts a different set of endpoints; its counts must not be assigned to the wrong
// ones.
func TestIgnoresCountsOfOtherEndpoints(t *testing.T) {
	p := pools(2, 2, 8)[0]
	other := pools(2, 3, 8)[1]
	for range 8 {
		other.StartOpened(address(0))
	}
	p.ApplyReport(origin, "e1", other.OwnUse())
	assert.Equal(t, p.Limits(origin)[address(0)], 8)
}
