package backlog

import (
	"slices"
	"sort"
	"time"
)

// Queued is a waiting job as Reorder sees it.
type Queued struct {
	Contract string
	Priority int
	Arrived  time.Duration
	// Returning is true for a job that returned in its time to retry.
	Returning bool
}

// Reorder moves the new jobs that precede a returning job of their contract and priority, but arrived
// after it, to the places behind it. A returning job thus goes before the new jobs of its contract, but
// not before one that has waited longer. Jobs of other contracts and priorities keep their positions.
// describe returns what counts of an item.
//
// It is called for each message of a guard while jobs wait. Its time must not grow with the square of
// their number: comparing each returning job with all others took 0.2 ms for 180 jobs.
func Reorder[T any](items []T, describe func(T) Queued) {
	type group struct {
		contract string
		priority int
	}
	if !slices.ContainsFunc(items, func(item T) bool { return describe(item).Returning }) {
		return
	}
	queued := make([]Queued, len(items))
	positions := map[group][]int{}
	for i, item := range items {
		queued[i] = describe(item)
		if q := queued[i]; q.Returning {
			positions[group{q.Contract, q.Priority}] = nil
		}
	}
	for i, q := range queued {
		g := group{q.Contract, q.Priority}
		if at, returns := positions[g]; returns {
			positions[g] = append(at, i)
		}
	}
	before := slices.Clone(items)
	for _, at := range positions {
		for n, i := range groupOrder(queued, at) {
			items[at[n]] = before[i]
		}
	}
}

// groupOrder returns the new order of the jobs of one contract and priority, which are at the given
// positions: each new job goes behind the last returning one that arrived before it.
func groupOrder(queued []Queued, positions []int) []int {
	// delayed are the new jobs that go behind a returning one, by its position.
	delayed := map[int][]int{}
	// earliest are the returning jobs that arrived before all returning ones after them, the last
	// one first.
	var earliest, kept []int
	for _, i := range slices.Backward(positions) {
		arrived := queued[i].Arrived
		if queued[i].Returning {
			if n := len(earliest); n == 0 || arrived < queued[earliest[n-1]].Arrived {
				earliest = append(earliest, i)
			}
			kept = append(kept, i)
			continue
		}
		n := sort.Search(len(earliest), func(n int) bool { return queued[earliest[n]].Arrived < arrived })
		if n == len(earliest) {
			kept = append(kept, i)
			continue
		}
		delayed[earliest[n]] = append(delayed[earliest[n]], i)
	}
	order := make([]int, 0, len(positions))
	for _, i := range slices.Backward(kept) {
		order = append(order, i)
		for _, d := range slices.Backward(delayed[i]) {
			order = append(order, d)
		}
	}
	return order
}
