// Package advertise decides which entry is sent a runner's free capacity, and when. It
// has no clock, input or output.
package advertise

import (
	"cmp"
	"slices"
	"time"

	"almondstand.dev/guard/runs"
)

const (
	// idleInterval is the pause between two messages with capacity to an entry without
	// pending tasks to which no report goes: that between two heartbeats. What an entry
	// reads is wrong within some 50 ms at 17 starts and ends a second; sent five times a
	// second, callers are served no better, and every guard of 55 entries sends 60 more
	// messages a second (replay: 8 to 30 % fewer messages, answers in time within 0.6 %).
	idleInterval = time.Second
	// turnInterval is the time for which capacity that has become free is sent to one
	// entry with pending tasks only: its start comes after 8 ms in the median. Sent to all
	// at once, each of four entries would order a task, and three be rejected.
	turnInterval = 10 * time.Millisecond
)

// Session is the one with an entry to which capacity is sent.
type Session interface {
	// HasPending reports whether tasks of the entry wait for capacity.
	HasPending() bool
	// PendingDemand is what these need, thousandths of a core, when the entry last said so.
	PendingDemand() int64
	// Changed reports whether more than the amount allocated has changed since capacity
	// was sent: that can't wait.
	Changed(runs.Capacity) bool
	// LastSent is when capacity was sent last.
	LastSent() time.Time
	// SendAt has capacity sent at the time given, also if it was due before.
	SendAt(time.Time)
	// SendAfter has capacity sent once the interval since the last time has passed, or
	// with the next reports unless it is contended.
	SendAfter(interval time.Duration, contended bool)
	// Withhold sends nothing until some capacity is free.
	Withhold()
	// Unread reports whether the entry has yet to confirm that it has read the capacity
	// that was sent last.
	Unread() bool
	// SendOnceRead has capacity sent once the entry has confirmed that.
	SendOnceRead()
}

// Capacity spreads a change of capacity: entries with pending tasks are sent free capacity
// in turn, the others at their interval. free is true when one more run like the last
// would fit.
func Capacity[S Session](now time.Time, c runs.Capacity, free bool, all []S) {
	var pending []S
	for _, s := range all {
		if s.HasPending() {
			pending = append(pending, s)
		}
	}
	for _, s := range all {
		if s.Changed(c) {
			s.SendAt(now)
		} else if !s.HasPending() {
			s.SendAfter(idleInterval, len(pending) > 0)
		}
	}
	pending = slices.DeleteFunc(pending, func(s S) bool { return s.Changed(c) })
	// An entry that runs late reads seconds after what is sent, and has pending tasks while
	// the others have none: each guard would send it every start and end of everybody's
	// runs, and reading them would take all its processor time. With one message unread at
	// most it is sent no more than it reads.
	pending = slices.DeleteFunc(pending, func(s S) bool {
		unread := s.Unread()
		if unread {
			s.SendOnceRead()
		}
		return unread
	})
	if !free {
		// Advertising zero capacity helps no scheduler.
		for _, s := range pending {
			s.Withhold()
		}
		return
	}
	slices.SortStableFunc(pending, func(a, b S) int { return cmp.Compare(weight(now, b), weight(now, a)) })
	for i, s := range pending {
		s.SendAt(now.Add(time.Duration(i) * turnInterval))
	}
}

// weight of an entry for the next free capacity: the time since it was sent some, times its
// pending demand. In plain turn entries get equal capacity however many callers each has:
// with callers in proportion 1.17 to 1 and half as much again as can be done, 19 of 100
// were rejected at one and 7 at the other.
func weight[S Session](now time.Time, s S) float64 {
	return now.Sub(s.LastSent()).Seconds() * float64(max(s.PendingDemand(), 1))
}
