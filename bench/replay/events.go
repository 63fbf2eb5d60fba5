package replay

import "time"

// event of the simulation. Those of one moment happen in the order in which they were
// planned.
type event struct {
	at    time.Duration
	order int
	do    func()
}

func (e event) before(o event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.order < o.order
}

// events are a binary heap, the next one first. A run takes millions: through the interface
// of container/heap a third of its time goes into them, and with the race detector more.
type events []event

func (q *events) push(e event) {
	*q = append(*q, e)
	h := *q
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(h[parent]) {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = e
}

func (q *events) pop() event {
	h := *q
	first, last := h[0], len(h)-1
	e := h[last]
	h[last] = event{}
	*q = h[:last]
	if last > 0 {
		(*q).sink(e)
	}
	return first
}

// sink puts an event in at the top and lets it down to its place.
func (q events) sink(e event) {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q) {
			break
		}
		if right := child + 1; right < len(q) && q[right].before(q[child]) {
			child = right
		}
		if !q[child].before(e) {
			break
		}
		q[i] = q[child]
		i = child
	}
	q[i] = e
}
