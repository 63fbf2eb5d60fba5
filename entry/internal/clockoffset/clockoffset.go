// Package clockoffset estimates the age of messages that carry their sender's clock.
package clockoffset

import "time"

// window is the time over which the smallest offset of the sender's clock is taken: the clocks of two hosts
// drift apart by some 50 us in a second.
const window = 10 * time.Second

// Estimate is the estimate for one sender; the zero value has seen no message. The smallest difference of
// the sender's clock to this host's, seen within the last one to two windows, is the offset of the two
// clocks plus the shortest time of transit.
type Estimate struct {
	// smallest is the smallest difference since windowStart, previous that of the window before.
	smallest, previous time.Duration
	windowStart        time.Duration
	// known is true once there was a message.
	known bool
}

// Age returns how long a message with the given clock was in transit or waited unread, beyond the shortest
// such time.
func (e *Estimate) Age(now, clock time.Duration) time.Duration {
	offset := now - clock
	switch {
	case !e.known:
		*e = Estimate{smallest: offset, previous: offset, windowStart: now, known: true}
	case now-e.windowStart > window:
		e.previous, e.smallest, e.windowStart = e.smallest, offset, now
	default:
		e.smallest = min(e.smallest, offset)
	}
	return offset - min(e.smallest, e.previous)
}
