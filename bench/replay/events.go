package replay

import "time"

// event is an event of the simulation. Events of the same time happen in the order in
// which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

func (e event) before(o event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.seq < o.seq
}

// events is a binary heap with the next event first. A run processes millions of
// events; with the interface of container/heap, the heap takes a third of the run's
// time, and more with the race detector.
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
		(*q).siftDown(e)
	}
	return first
}

// siftDown inserts an event at the root and moves it down to its place.
func (q events) siftDown(e event) {
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
