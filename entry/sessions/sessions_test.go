package sessions

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/jobs"
)

type fakeMembers struct {
	list    []string
	version uint64
}

func (m *fakeMembers) Addresses() ([]string, uint64) { return m.list, m.version }
func (m *fakeMembers) AddConfirmed([]string)         {}

// Guards against an entry that never gets a guard: an entry that no guard's settings name is found
// only through the addresses that other entries send. The change must be sent, once, even when the
// session has no orders and has just sent a heartbeat.
func TestNewEntriesAreSentToGuards(t *testing.T) {
	members := &fakeMembers{list: []string{"a"}, version: 1}
	s := &session{server: &Server{members: members}, membersVersion: 1}
	m, delay := s.nextMessage(time.Second, time.Millisecond)
	assert.Assert(t, m == nil)
	assert.Assert(t, delay > 0 && delay <= heartbeatBusy)
	members.list, members.version = []string{"a", "b"}, 2
	m, _ = s.nextMessage(time.Second, time.Millisecond)
	assert.Assert(t, m != nil)
	assert.DeepEqual(t, m.GetEntries(), []string{"a", "b"})
	m, _ = s.nextMessage(time.Second, time.Millisecond)
	assert.Assert(t, m == nil, "sent only once")
}

// Starts of one job and step are combined into one order, and the message's clock is the guard's
// newest clock plus the time since it was received.
func TestStartsAreGroupedAndCarryGuardClock(t *testing.T) {
	s := &session{server: &Server{members: &fakeMembers{}}, clock: 5 * time.Second, clockAt: time.Second}
	run := func(index int) planner.Start {
		return planner.Start{Run: work.RunID{Task: work.TaskID{Job: "j", Index: index}, Attempt: 1}, DecidedAt: 1100 * time.Millisecond, TimeLeft: time.Second}
	}
	s.starts = []planner.Start{run(0), run(1)}
	m, _ := s.nextMessage(1200*time.Millisecond, 0)
	assert.Equal(t, len(m.GetStarts()), 1)
	assert.Equal(t, len(m.GetStarts()[0].GetTasks()), 2)
	assert.Equal(t, m.GetEchoUs(), (5200 * time.Millisecond).Microseconds())
}

// Guards against a run that lasts longer than its caller waits: the time left until the caller's
// deadline was that of the decision, although the order had waited in the entry since.
func TestWaitInQueueIsTakenOffTimeLeft(t *testing.T) {
	s := &session{server: &Server{members: &fakeMembers{}}, open: map[work.RunID]struct{}{}}
	run := work.RunID{Task: work.TaskID{Job: "j"}, Attempt: 1}
	s.SendOrders([]planner.Start{{Run: run, DecidedAt: time.Second, TimeLeft: 2 * time.Second}}, nil)
	m, _ := s.nextMessage(1100*time.Millisecond, 0)
	assert.Equal(t, m.GetStarts()[0].GetLifeMs(), uint32(1900))
}

// A guard sends capacity again only after its last message is acknowledged. While tasks are
// pending and there is nothing to order, the acknowledgement must go out within milliseconds: if
// it waited for a heartbeat, a free runner would stay unknown until then.
func TestCapacityIsAcknowledgedPromptly(t *testing.T) {
	s := &session{server: &Server{members: &fakeMembers{}}}
	s.readClock, s.ackAt = 7*time.Second, time.Second+ackDelay
	m, delay := s.nextMessage(time.Second, time.Millisecond)
	assert.Assert(t, m == nil)
	assert.Equal(t, delay, ackDelay)
	m, _ = s.nextMessage(time.Second+ackDelay, ackDelay)
	assert.Equal(t, m.GetReadUs(), (7 * time.Second).Microseconds())
	m, _ = s.nextMessage(time.Second+ackDelay, time.Millisecond)
	assert.Assert(t, m == nil, "acknowledged only once")
}

// Guards against runs that their guard stops because their entry's heartbeats have become rare:
// the end of another run was reported twice and counted as the end of both.
func TestEndReportedTwiceLeavesOtherRunsOpen(t *testing.T) {
	s := &session{server: &Server{members: &fakeMembers{}}, open: map[work.RunID]struct{}{}}
	run := func(index int) work.RunID { return work.RunID{Task: work.TaskID{Job: "j", Index: index}, Attempt: 1} }
	s.SendOrders([]planner.Start{{Run: run(0)}, {Run: run(1)}}, nil)
	ended := []jobs.Report{{Run: run(0), Change: planner.Stopped}}
	s.removeEnded(ended)
	s.removeEnded(ended)
	_, _ = s.nextMessage(time.Second, 0)
	m, _ := s.nextMessage(time.Second, heartbeatBusy)
	assert.Assert(t, m != nil, "no heartbeat is due for the open run")
}
