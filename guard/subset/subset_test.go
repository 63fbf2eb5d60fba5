package subset

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func entriesFor(guard string, n int) []Entry {
	all := make([]Entry, n)
	for i := range all {
		address := fmt.Sprintf("10.%d.0.%d:7720", i%6, i)
		all[i] = Entry{Address: address, Rank: Rank(guard, address)}
	}
	return all
}

// Jobs on one entry wait while runners seen by other entries are idle if the
// subsets leave that entry with few guards. With 55 entries and 240 guards, every
// entry must see at least half of the mean, and guards of every data centre.
func TestEveryEntrySeesEnoughGuards(t *testing.T) {
	const entries, guards, centres = 55, 240, 6
	guardsSeen := map[string]int{}
	centresSeen := map[string]map[int]bool{}
	for g := range guards {
		for _, a := range Choose(entriesFor(fmt.Sprintf("side-%d", g), entries), DefaultSize) {
			guardsSeen[a]++
			if centresSeen[a] == nil {
				centresSeen[a] = map[int]bool{}
			}
			centresSeen[a][g%centres] = true
		}
	}
	assert.Equal(t, len(guardsSeen), entries)
	for a, n := range guardsSeen {
		assert.Assert(t, n >= guards*DefaultSize/entries/2, "%s sees %d guards", a, n)
		assert.Equal(t, len(centresSeen[a]), centres)
	}
}

// With no more than DefaultSize entries, every guard must serve all of them in any
// order.
func TestFewEntriesAreAllChosen(t *testing.T) {
	assert.Equal(t, len(Choose(entriesFor("g", DefaultSize), DefaultSize)), DefaultSize)
	assert.Equal(t, len(Choose(nil, DefaultSize)), 0)
}

// An entry fails, and its callers move to other entries, which need the runners.
// Each guard of the failed entry must add one entry, move no other session, and
// keep trying the failed one.
func TestUnreachableEntryIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := entriesFor(fmt.Sprint("guard-", rapid.IntRange(0, 1000).Draw(t, "guard")), rapid.IntRange(1, 80).Draw(t, "entries"))
		size := rapid.IntRange(1, 16).Draw(t, "size")
		before := Choose(all, size)
		down := rapid.IntRange(0, len(all)-1).Draw(t, "down")
		all[down].Down = true
		after := Choose(all, size)
		for _, a := range before {
			assert.Assert(t, slices.Contains(after, a), "the session with %s moved", a)
		}
		if slices.Contains(before, all[down].Address) {
			assert.Equal(t, len(after), min(size+1, len(all)))
		} else {
			assert.DeepEqual(t, after, before)
		}
	})
}

// While all entries are down, a guard must try a bounded number of them.
func TestAttemptsAreBoundedWhileAllAreDown(t *testing.T) {
	all := entriesFor("g", 500)
	for i := range all {
		all[i].Down = true
	}
	assert.Equal(t, len(Choose(all, DefaultSize)), maxSizeFactor*DefaultSize)
}

// The order in which entries were discovered must not affect the choice.
func TestChoiceIgnoresInputOrder(t *testing.T) {
	all := entriesFor("g", 40)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	assert.DeepEqual(t, Choose(all, DefaultSize), Choose(reversed, DefaultSize))
}

// A deployment has many entries and few guards. An entry that sees only three
// guards rejects callers while other guards are free. Subsets must grow until
// entries see enough guards, stay stable, and shrink when guards are added.
func TestSubsetsGrowWhereGuardsAreFew(t *testing.T) {
	guardsSeen := func(guards, entries, size int) int { return guards * min(size, entries) / entries }
	size := DefaultSize
	for range 10 {
		size = NextSize(size, 100, []int{guardsSeen(30, 100, size)})
	}
	assert.Assert(t, guardsSeen(30, 100, size) >= MinGuards-1, "size %d", size)
	assert.Equal(t, NextSize(size, 100, []int{guardsSeen(30, 100, size)}), size)
	for range 10 {
		size = NextSize(size, 100, []int{guardsSeen(400, 100, size)})
	}
	assert.Equal(t, size, DefaultSize)
	assert.Equal(t, NextSize(DefaultSize, 100, nil), DefaultSize)
	assert.Equal(t, NextSize(DefaultSize, 4, []int{3}), DefaultSize, "every entry has all guards")
	assert.Equal(t, NextSize(60, 100, []int{1}), 100, "no more than there are")
}
