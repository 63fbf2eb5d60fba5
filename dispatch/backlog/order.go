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

// Reorder moves each returning job before the jobs of its contract and priority that arrived after
// it and are not returning themselves, but not before one that arrived earlier. Jobs of other
// contracts and priorities keep their positions. describe returns what counts of an item.
func Reorder[T any](items []T, describe func(T) Queued) {
	for i, item := range items {
		r := describe(item)
		if !r.Returning {
			continue
		}
		at := i
		for k := i - 1; k >= 0; k-- {
			q := describe(items[k])
			if q.Contract != r.Contract || q.Priority != r.Priority {
				continue
			}
			if q.Returning || q.Arrived <= r.Arrived {
				break
			}
			items[at], items[k] = items[k], items[at]
			at = k
		}
	}
}
