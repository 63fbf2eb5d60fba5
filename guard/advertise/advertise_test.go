package advertise

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
)

// session records what is scheduled for an entry.
type session struct {
	pending, changed                     bool
	demand                               int64
	sent                                 time.Time
	at                                   time.Time
	interval                             time.Duration
	contended                            bool
	withheld                             bool
	unacknowledged, sendOnceAcknowledged bool
	urgent                               *work.Demand
}

func (l *session) PendingDemand() int64 { return l.demand }
func (l *session) MostUrgent() (work.Demand, bool) {
	if l.urgent == nil {
		return work.Demand{}, false
	}
	return *l.urgent, true
}
func (l *session) HasPending() bool                  { return l.pending }
func (l *session) Changed(runs.Capacity) bool        { return l.changed }
func (l *session) LastSent() time.Time               { return l.sent }
func (l *session) SendAt(at time.Time)               { l.at = at }
func (l *session) SendAfter(d time.Duration, c bool) { l.interval, l.contended = d, c }
func (l *session) Withhold()                         { l.withheld = true }
func (l *session) Unacknowledged() bool              { return l.unacknowledged }
func (l *session) SendOnceAcknowledged()             { l.sendOnceAcknowledged = true }

var now = time.Unix(1000, 0)

func capacityUsed(used int64) runs.Capacity {
	return runs.Capacity{
		Process:       runs.Process{Total: work.Amounts{CPUMilli: 32_000}},
		AcceptsStarts: true,
		Used:          work.Amounts{CPUMilli: used},
	}
}

// Guards against rejected orders: capacity for one task becomes free and several entries have
// pending tasks. If all were notified at once, all would order and all but one be rejected, so
// the one that was sent capacity the longest time ago comes first.
func TestPendingEntriesAreSentCapacityInTurn(t *testing.T) {
	first := &session{pending: true, sent: now.Add(-time.Second)}
	second := &session{pending: true, sent: now.Add(-time.Millisecond)}
	other := &session{}
	Schedule(now, capacityUsed(29_000), true, []*session{second, other, first}, &Offers{})
	assert.Equal(t, first.at, now)
	assert.Equal(t, second.at, now.Add(turnInterval))
	assert.Assert(t, other.at.IsZero() && other.contended, "an entry without pending tasks is sent capacity at its interval, not along with reports")
}

// Guards against unequal rejection rates: of two entries with pending tasks, one has four
// times the demand. In plain round-robin each would get half of the capacity, and the callers
// of the larger would be rejected four times as often.
func TestCapacityFollowsPendingDemand(t *testing.T) {
	large := &session{pending: true, demand: 8000, sent: now.Add(-10 * time.Millisecond)}
	small := &session{pending: true, demand: 2000, sent: now.Add(-20 * time.Millisecond)}
	Schedule(now, capacityUsed(29_000), true, []*session{small, large}, &Offers{})
	assert.Equal(t, large.at, now)
	assert.Equal(t, small.at, now.Add(turnInterval))
	small.sent = now.Add(-50 * time.Millisecond)
	Schedule(now, capacityUsed(29_000), true, []*session{small, large}, &Offers{})
	assert.Equal(t, small.at, now, "the smaller demand gets its turn too")
}

// Guards against flooding an entry that is short of CPU time: it reads late, so its tasks are
// pending while the others have none. Sent each change, it would read thousands of messages a
// second and serve no callers any more; instead, it is sent the latest capacity once it has
// acknowledged the previous message. An entry that reads promptly has the first turn in the
// meantime.
func TestSlowEntryIsSentNoMoreThanItReads(t *testing.T) {
	slow := &session{pending: true, demand: 90_000, sent: now.Add(-time.Second), unacknowledged: true}
	prompt := &session{pending: true, demand: 1000, sent: now.Add(-time.Millisecond)}
	Schedule(now, capacityUsed(29_000), true, []*session{slow, prompt}, &Offers{})
	assert.Assert(t, slow.sendOnceAcknowledged && slow.at.IsZero())
	assert.Equal(t, prompt.at, now)
	slow.changed = true
	Schedule(now, capacityUsed(29_000), true, []*session{slow, prompt}, &Offers{})
	assert.Equal(t, slow.at, now, "a runner that stops accepting starts is reported without waiting for the entry")
}

// Without free capacity nothing is sent to entries with pending tasks: it would not help them
// and cost them CPU time.
func TestNoCapacityIsNotSent(t *testing.T) {
	l := &session{pending: true}
	Schedule(now, capacityUsed(32_000), false, []*session{l}, &Offers{})
	assert.Assert(t, l.withheld && l.at.IsZero())
}

// Guards against entries that keep ordering at a runner that stopped accepting starts: all are
// notified at once, including those with pending tasks.
func TestRunnerStateIsSentAtOnce(t *testing.T) {
	pending, idle := &session{pending: true, changed: true}, &session{changed: true}
	Schedule(now, capacityUsed(0), false, []*session{pending, idle}, &Offers{})
	assert.Equal(t, pending.at, now)
	assert.Equal(t, idle.at, now)
	assert.Assert(t, !pending.withheld)
}

// An entry without pending tasks is sent capacity once a second and no more often, however
// little is free: its view is soon outdated anyway, and each message costs CPU time at both
// ends.
func TestEntryWithoutPendingTasksIsSentAtItsInterval(t *testing.T) {
	for _, used := range []int64{0, 30_000} {
		l := &session{}
		Schedule(now, capacityUsed(used), true, []*session{l}, &Offers{})
		assert.Equal(t, l.interval, idleInterval)
	}
}
