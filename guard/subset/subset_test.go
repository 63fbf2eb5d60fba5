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

// Callers of one entry wait while the runners that others see stand idle, when the
// subsets leave an entry with few guards. With 55 entries and 240 guards every entry
// must see at least half of the mean, and guards of every data centre.
func TestEveryEntrySeesEnoughGuards(t *testing.T) {
	const entries, guards, centres = 55, 240, 6
	seen := map[string]int{}
	from := map[string]map[int]bool{}
	for g := range guards {
		for _, a := range Choose(entriesFor(fmt.Sprintf("side-%d", g), entries), Size) {
			seen[a]++
			if from[a] == nil {
				from[a] = map[int]bool{}
			}
			from[a][g%centres] = true
		}
	}
	assert.Equal(t, len(seen), entries)
	for a, n := range seen {
		assert.Assert(t, n >= guards*Size/entries/2, "%s sees %d guards", a, n)
		assert.Equal(t, len(from[a]), centres)
	}
}

// With no more entries than Size every guard serves all of them, whatever their order.
func TestFewEntriesAreAllChosen(t *testing.T) {
	assert.Equal(t, len(Choose(entriesFor("g", Size), Size)), Size)
	assert.Equal(t, len(Choose(nil, Size)), 0)
}

// An entry loses power: its callers' next entries need the runners, so each of its
// guards takes one more, moves no other session, and goes on trying the one that is down.
func TestEntryThatIsDownIsReplaced(t *testing.T) {
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

// Everything is down: a guard tries a bounded number of entries, not all there are.
func TestAttemptsAreBoundedWhileAllAreDown(t *testing.T) {
	all := entriesFor("g", 500)
	for i := range all {
		all[i].Down = true
	}
	assert.Equal(t, len(Choose(all, Size)), mostOf*Size)
}

// The order in which entries were learnt of has no part in the choice.
func TestChoiceIsOfNoOrder(t *testing.T) {
	all := entriesFor("g", 40)
	turned := slices.Clone(all)
	slices.Reverse(turned)
	assert.DeepEqual(t, Choose(all, Size), Choose(turned, Size))
}

// A deployment has many entries and few guards: an entry that sees three guards turns
// callers away while the others are free. Subsets widen until entries see enough, stay
// there, and shrink when guards are added.
func TestSubsetsWidenWhereGuardsAreFew(t *testing.T) {
	seen := func(guards, entries, size int) int { return guards * min(size, entries) / entries }
	size := Size
	for range 10 {
		size = Next(size, 100, []int{seen(30, 100, size)})
	}
	assert.Assert(t, seen(30, 100, size) >= MinGuards-1, "size %d", size)
	assert.Equal(t, Next(size, 100, []int{seen(30, 100, size)}), size)
	for range 10 {
		size = Next(size, 100, []int{seen(400, 100, size)})
	}
	assert.Equal(t, size, Size)
	assert.Equal(t, Next(Size, 100, nil), Size)
	assert.Equal(t, Next(Size, 4, []int{3}), Size, "every entry has all guards")
	assert.Equal(t, Next(60, 100, []int{1}), 100, "no more than there are")
}
