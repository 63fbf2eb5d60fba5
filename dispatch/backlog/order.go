package backlog

import "time"

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
func Reorder[T any](items []T, describe func(T) Queued) {
	var positions []int
	var delayed []T
	for i, item := range items {
		r := describe(item)
		if !r.Returning {
			continue
		}
		positions, delayed = positions[:0], delayed[:0]
		next := 0
		for k := range i {
			q := describe(items[k])
			if q.Contract != r.Contract || q.Priority != r.Priority {
				continue
			}
			positions = append(positions, k)
			if !q.Returning && q.Arrived > r.Arrived {
				delayed = append(delayed, items[k])
				continue
			}
			items[positions[next]] = items[k]
			next++
		}
		if len(delayed) == 0 {
			continue
		}
		positions = append(positions, i)
		items[positions[next]] = item
		for n, d := range delayed {
			items[positions[next+1+n]] = d
		}
	}
}
