package offer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
)

// listener is an entry that keeps what it is told.
type listener struct {
	waits, news bool
	wants       int64
	offered     time.Time
	at          time.Time
	pace        time.Duration
	contended   bool
	held        bool
}

func (l *listener) Wants() int64                      { return l.wants }
func (l *listener) Waits() bool                       { return l.waits }
func (l *listener) News(runs.Room) bool               { return l.news }
func (l *listener) Offered() time.Time                { return l.offered }
func (l *listener) TellAt(at time.Time)               { l.at = at }
func (l *listener) TellAfter(d time.Duration, c bool) { l.pace, l.contended = d, c }
func (l *listener) Hold()                             { l.held = true }

var now = time.Unix(1000, 0)

func room(used int64) runs.Room {
	return runs.Room{
		Life: runs.Life{Total: work.Amounts{CPUMilli: 32_000}},
		Open: true,
		Used: work.Amounts{CPUMilli: used},
	}
}

// Room for one task comes free and three entries wait for it. Told at once, all would
// order and two be turned down: the one that was told longest ago comes first.
func TestWaitingEntriesAreToldInTurn(t *testing.T) {
	first := &listener{waits: true, offered: now.Add(-time.Second)}
	second := &listener{waits: true, offered: now.Add(-time.Millisecond)}
	other := &listener{}
	Room(now, room(29_000), true, []*listener{second, other, first})
	assert.Equal(t, first.at, now)
	assert.Equal(t, second.at, now.Add(offerGap))
	assert.Assert(t, other.at.IsZero() && other.contended, "an entry without waiting tasks is told at its pace, not along with reports")
}

// Two entries wait, one with four times as much work. Told in plain turn each would get
// half of the room, and the callers of the larger be refused four times as often.
func TestMoreRoomWhereMoreWaits(t *testing.T) {
	large := &listener{waits: true, wants: 8000, offered: now.Add(-10 * time.Millisecond)}
	small := &listener{waits: true, wants: 2000, offered: now.Add(-20 * time.Millisecond)}
	Room(now, room(29_000), true, []*listener{small, large})
	assert.Equal(t, large.at, now)
	assert.Equal(t, small.at, now.Add(offerGap))
	small.offered = now.Add(-50 * time.Millisecond)
	Room(now, room(29_000), true, []*listener{small, large})
	assert.Equal(t, small.at, now, "its turn comes too")
}

// Nothing is free: the news is of no use to entries that wait, and costs them time.
func TestNoRoomIsHeldBack(t *testing.T) {
	l := &listener{waits: true}
	Room(now, room(32_000), false, []*listener{l})
	assert.Assert(t, l.held && l.at.IsZero())
}

// A runner closes: entries learn at once, also those that wait, or they go on ordering.
func TestNewsGoOutAtOnce(t *testing.T) {
	waiting, idle := &listener{waits: true, news: true}, &listener{news: true}
	Room(now, room(0), false, []*listener{waiting, idle})
	assert.Equal(t, waiting.at, now)
	assert.Equal(t, idle.at, now)
	assert.Assert(t, !waiting.held)
}

// An entry without waiting tasks is told once a second and no more, however little room
// is free: what it knows is soon wrong, and each message costs both ends processor time.
func TestEntryWithoutWaitingTasksIsToldAtItsPace(t *testing.T) {
	for _, used := range []int64{0, 30_000} {
		l := &listener{}
		Room(now, room(used), true, []*listener{l})
		assert.Equal(t, l.pace, roomPace)
	}
}
