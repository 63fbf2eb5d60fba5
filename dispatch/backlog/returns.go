package backlog

import (
	"time"

	"almondstand.dev/dispatch/internal/indexed"
)

const (
	// ReturnWindow is how long after its time to retry a job is still recognised.
	ReturnWindow = 2 * time.Second
	// earlyTolerance is how much earlier a retry may arrive: clocks and timers of callers differ.
	earlyTolerance = SlotLength
	// maxReturns bounds the jobs that are remembered.
	maxReturns = 4096
)

// Returns remembers the rejected jobs that are expected to return.
type Returns struct {
	byID map[string]*expected
	// byTime orders them by the time to retry.
	byTime *indexed.Heap[*expected]
}

type expected struct {
	id       string
	booking  Booking
	position int
}

// NewReturns returns an empty table.
func NewReturns() *Returns {
	return &Returns{
		byID:   map[string]*expected{},
		byTime: indexed.New(func(a, b *expected) bool { return a.booking.At < b.booking.At }, func(e *expected) *int { return &e.position }),
	}
}

// Expect remembers a rejected job. It is not remembered while the table is full: the promises given
// to others stand.
func (r *Returns) Expect(now time.Duration, id string, b Booking) {
	r.evict(now)
	if old := r.byID[id]; old != nil {
		r.remove(old)
	}
	if len(r.byID) >= maxReturns {
		return
	}
	e := &expected{id: id, booking: b, position: indexed.None}
	r.byID[id] = e
	r.byTime.Push(e)
}

// Return removes a job that was submitted again. known is false if it was not expected, and inTime
// is true if it returned in the time in which it goes before new jobs.
func (r *Returns) Return(now time.Duration, id string) (b Booking, inTime, known bool) {
	r.evict(now)
	e := r.byID[id]
	if e == nil {
		return Booking{}, false, false
	}
	r.remove(e)
	return e.booking, now >= e.booking.At-earlyTolerance, true
}

// Len returns the number of jobs remembered.
func (r *Returns) Len() int { return len(r.byID) }

func (r *Returns) evict(now time.Duration) {
	for r.byTime.Len() > 0 && now > r.byTime.Min().booking.At+ReturnWindow {
		r.remove(r.byTime.Min())
	}
}

func (r *Returns) remove(e *expected) {
	delete(r.byID, e.id)
	r.byTime.Remove(e)
}
