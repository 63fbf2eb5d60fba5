// Package offer decides which entry is told of a runner's room, and when. It has
// no clock, input or output.
package offer

import (
	"cmp"
	"slices"
	"time"

	"almondstand.dev/guard/runs"
)

const (
	// roomPace is the pause between two messages that tell an entry of room when none of
	// its tasks waits and no report goes out: as long as that between two beats. Told five
	// times a second, and 50 times while little was free, callers are served no better,
	// as what an entry is told is wrong within some 50 ms; every guard sent 60 more
	// messages a second (replay, 55 entries: 8 to 30 % fewer messages, in aim within
	// 0.6 %).
	roomPace = time.Second
	// offerGap is the time for which room that has become free is told to one
	// waiting entry only: its start comes after 8 ms in the median. Told to all at once,
	// each of four entries would order a task, and three be refused.
	offerGap = 10 * time.Millisecond
)

// Listener is one entry that is told of room.
type Listener interface {
	// Waits reports whether tasks of the entry wait for room.
	Waits() bool
	// Wants is what these need, thousandths of a core, when the entry last said so.
	Wants() int64
	// News reports whether more than the amount taken has changed since the entry
	// was told: that can't wait.
	News(runs.Room) bool
	// Offered is when it was told last.
	Offered() time.Time
	// TellAt has the room told at the time given, also if it was due before.
	TellAt(time.Time)
	// TellAfter has the room told once the pace since the last time allows, or along
	// with the next reports unless it is contended.
	TellAfter(pace time.Duration, contended bool)
	// Hold keeps the room back until there is some.
	Hold()
}

// Room spreads the news that the room has changed: entries whose tasks wait are
// told of free room in turn, the others at their pace. useful is true when there is
// room for one more run like the last.
func Room[L Listener](now time.Time, room runs.Room, useful bool, all []L) {
	var waiting []L
	for _, l := range all {
		if l.Waits() {
			waiting = append(waiting, l)
		}
	}
	for _, l := range all {
		if l.News(room) {
			l.TellAt(now)
		} else if !l.Waits() {
			l.TellAfter(roomPace, len(waiting) > 0)
		}
	}
	waiting = slices.DeleteFunc(waiting, func(l L) bool { return l.News(room) })
	if !useful {
		// Nobody can use the news that nothing is free.
		for _, l := range waiting {
			l.Hold()
		}
		return
	}
	slices.SortStableFunc(waiting, func(a, b L) int { return cmp.Compare(claim(now, b), claim(now, a)) })
	for i, l := range waiting {
		l.TellAt(now.Add(time.Duration(i) * offerGap))
	}
}

// claim of an entry on the next room: the time since it was told last, weighted by what
// its tasks want. Told in plain turn, entries get equal room
// however many callers each has: with callers in proportion 1.17 to 1 and half as much
// again as can be done, 19 of 100 were refused at one and 7 at the other.
func claim[L Listener](now time.Time, l L) float64 {
	return now.Sub(l.Offered()).Seconds() * float64(max(l.Wants(), 1))
}
