package backlog

import "time"

// Bounds of the time after which a rejected caller is asked to retry.
const (
	MinRetry = time.Second
	MaxRetry = 8 * time.Second
)

const (
	// SlotLength is the length of a slot of the schedule. Work that returns within one slot waits
	// for less than the slack of the shortest jobs.
	SlotLength = 100 * time.Millisecond
	// retryStep is the step in which callers are asked to retry: Retry-After is in whole
	// seconds, rounded up, so that any other time would not be when the caller returns.
	retryStep = time.Second
	// slots cover the time up to MaxRetry and the slot in progress.
	slots = int(MaxRetry/SlotLength) + 2
)

// Schedule books rejected work in the slots in which its callers return. Its size is fixed, and
// bookings lapse when their slot is over. The zero value is empty.
type Schedule struct {
	slots [slots]slot
}

type slot struct {
	// number is the number of the slot since time zero; a slot of another number is empty.
	number int64
	work   float64
}

// Booking is the slot of one rejected job.
type Booking struct {
	// After is the time from the rejection to the retry.
	After time.Duration
	// At is the time of the retry.
	At   time.Duration
	work float64
}

// Book books work, in core-seconds, at the first time from earliest on at which the given cores that
// come free are not yet booked. If all of them are, it books the slot with the least work.
func (s *Schedule) Book(now, earliest time.Duration, work, cores float64) Booking {
	first := min(max((earliest+retryStep-1)/retryStep*retryStep, MinRetry), MaxRetry)
	size := cores * SlotLength.Seconds()
	best := first
	for after := first; after <= MaxRetry; after += retryStep {
		booked := s.at(now + after).work
		if booked == 0 || booked+work <= size {
			best = after
			break
		}
		if booked < s.at(now+best).work {
			best = after
		}
	}
	s.at(now + best).work += work
	return Booking{After: best, At: now + best, work: work}
}

// Cancel takes a booking back: its job has returned before its slot, or was given up.
func (s *Schedule) Cancel(now time.Duration, b Booking) {
	if b.At/SlotLength < now/SlotLength {
		return
	}
	x := s.at(b.At)
	x.work = max(x.work-b.work, 0)
}

// Booked returns the work booked in the slots from now on, in core-seconds.
func (s *Schedule) Booked(now time.Duration) float64 {
	sum := 0.0
	for _, x := range s.slots {
		if x.number >= int64(now/SlotLength) {
			sum += x.work
		}
	}
	return sum
}

// at returns the slot of a time, emptied if it held one that is over.
func (s *Schedule) at(t time.Duration) *slot {
	number := int64(t / SlotLength)
	x := &s.slots[number%int64(slots)]
	if x.number != number {
		*x = slot{number: number}
	}
	return x
}
