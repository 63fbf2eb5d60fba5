// Package turns decides when an entry whose tasks wait sends its demand to guards at which it has no
// run, and which would otherwise hear it once a second. It has no clock and does no I/O.
//
// It serves loads in which an entry gets no capacity: the other entries must know what waits there,
// and guards count demand only for 200 ms. Each guard is sent it at most every Interval, and all
// guards together at most one message per Slot, in turn, so that the rate does not grow with the
// number of guards.
package turns

import (
	"sync"
	"time"
)

const (
	// Interval is the least time between two messages to one guard.
	Interval = 150 * time.Millisecond
	// Slot is the least time between two messages to any guards. A message takes some 45 µs of processor
	// time, so that 100 of them a second take less than half a percent of a core.
	Slot = 10 * time.Millisecond
	// maxAhead is the furthest that a turn is reserved ahead: a slot for each of 1,000 guards. Sessions that
	// end do not give their turns back.
	maxAhead = 1000 * Slot
)

// Queue is the order in which the guards of one entry get their turns. The zero value is ready for
// use. It is safe for concurrent use.
type Queue struct {
	mu   sync.Mutex
	last time.Duration
}

// reserve returns the time of the next free turn, which is not before the given time.
func (q *Queue) reserve(earliest time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last = min(max(q.last+Slot, earliest), earliest+maxAhead)
	return q.last
}

// Turn is the next turn of one guard. The zero value has none. It is not safe for concurrent use.
type Turn struct {
	at time.Duration
}

// Due reports whether a message is due to the guard now; lastSent is the time of the last message to
// it, and waits is true while tasks wait. A guard keeps its turn while no tasks wait: if it gave it up
// and took another whenever tasks wait again, the queue would grow without limit.
func (t *Turn) Due(now, lastSent time.Duration, waits bool, q *Queue) bool {
	if t.at > 0 && now < t.at {
		return false
	}
	if !waits {
		t.at = 0
		return false
	}
	if t.at > 0 && now-lastSent >= Interval {
		t.at = 0
		return true
	}
	t.at = q.reserve(max(now, lastSent+Interval))
	if now < t.at {
		return false
	}
	t.at = 0
	return true
}

// In returns the time until the turn, at most the given time.
func (t *Turn) In(now, most time.Duration) time.Duration {
	if t.at == 0 {
		return most
	}
	return min(max(t.at-now, 0), most)
}
