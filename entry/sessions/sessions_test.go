package sessions

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
)

type someMembers struct {
	list    []string
	version uint64
}

func (m *someMembers) Known() ([]string, uint64) { return m.list, m.version }
func (m *someMembers) Hint([]string)             {}

// An entry that no guard's settings name gets no runner for good. The entry that
// a guard is attached to learns of it while it has nothing else to tell and has
// sent a ping just before: the news must go out, not be taken as told.
func TestNewEntriesAreTold(t *testing.T) {
	members := &someMembers{list: []string{"a"}, version: 1}
	s := &session{server: &Server{members: members}, membersVersion: 1}
	m, pause := s.take(time.Second, time.Millisecond)
	assert.Assert(t, m == nil)
	assert.Assert(t, pause > 0 && pause <= pingBusy)
	members.list, members.version = []string{"a", "b"}, 2
	m, _ = s.take(time.Second, time.Millisecond)
	assert.Assert(t, m != nil)
	assert.DeepEqual(t, m.GetEntries(), []string{"a", "b"})
	m, _ = s.take(time.Second, time.Millisecond)
	assert.Assert(t, m == nil, "told once")
}

// Orders of one job go in one message, and the clock that they are dated by is
// the guard's newest and the time since.
func TestOrdersAreGroupedAndDated(t *testing.T) {
	s := &session{server: &Server{members: &someMembers{}}, clock: 5 * time.Second, clockAt: time.Second}
	run := func(index int) planner.Start {
		return planner.Start{Run: work.RunID{Task: work.TaskID{Job: "j", Index: index}, Attempt: 1}, Life: time.Second}
	}
	s.starts = []planner.Start{run(0), run(1)}
	m, _ := s.take(1200*time.Millisecond, 0)
	assert.Equal(t, len(m.GetStarts()), 1)
	assert.Equal(t, len(m.GetStarts()[0].GetTasks()), 2)
	assert.Equal(t, m.GetEchoUs(), (5200 * time.Millisecond).Microseconds())
}

// A guard sends capacity again only once its last message has been read. With tasks pending
// and nothing to order, the entry's word of that goes out within milliseconds; it must not
// wait for a heartbeat, or a free runner stays unknown meanwhile.
func TestReadCapacityIsConfirmed(t *testing.T) {
	s := &session{server: &Server{members: &someMembers{}}}
	s.readClock, s.confirmAt = 7*time.Second, time.Second+confirmDelay
	m, pause := s.take(time.Second, time.Millisecond)
	assert.Assert(t, m == nil)
	assert.Equal(t, pause, confirmDelay)
	m, _ = s.take(time.Second+confirmDelay, confirmDelay)
	assert.Equal(t, m.GetReadUs(), (7 * time.Second).Microseconds())
	m, _ = s.take(time.Second+confirmDelay, time.Millisecond)
	assert.Assert(t, m == nil, "confirmed once")
}
