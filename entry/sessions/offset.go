package sessions

import "time"

// offsetWindow is the time over which the smallest offset of a guard's clock is taken: the clocks of two
// hosts drift apart by some 50 us in a second.
const offsetWindow = 10 * time.Second

// clockOffset estimates the age of a guard's messages. Each carries the guard's clock at its sending, and
// the smallest difference to this host's clock, seen within the last one to two windows, is the offset of
// the two clocks plus the shortest time of transit.
type clockOffset struct {
	// smallest is the smallest difference since windowStart, previous that of the window before.
	smallest, previous time.Duration
	windowStart        time.Duration
	// known is true once there was a message.
	known bool
}

// age returns how long a message with the given clock was in transit or waited unread, beyond the shortest
// such time.
func (o *clockOffset) age(now, clock time.Duration) time.Duration {
	offset := now - clock
	switch {
	case !o.known:
		*o = clockOffset{smallest: offset, previous: offset, windowStart: now, known: true}
	case now-o.windowStart > offsetWindow:
		o.previous, o.smallest, o.windowStart = o.smallest, offset, now
	default:
		o.smallest = min(o.smallest, offset)
	}
	return offset - min(o.smallest, o.previous)
}
