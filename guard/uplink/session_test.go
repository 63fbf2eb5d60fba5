package uplink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

func runOf(index int) work.RunID {
	return work.RunID{Task: work.TaskID{Job: "0123456789abcdef", Index: index}, Attempt: 1}
}

// sentSession is a session whose room was told just now.
func sentSession() *session {
	s := newSession(nil, nil, 0)
	s.capacityDue, s.capacitySent = time.Time{}, time.Now()
	return s
}

// An entry with 310 starts a second would read a message for each begin and another
// for each end. The news that a run has begun waits for another message, 80 ms at
// most, and the news of its end goes out at once in its stead, with the run time.
func TestBeginsWait(t *testing.T) {
	s := sentSession()
	began := uptime.Now()
	s.push(runs.Report{Run: runOf(1), State: runs.Running, Began: began})
	s.push(runs.Report{Run: runOf(2), State: runs.Running, Began: began})
	reports, _, wait := s.take(time.Now())
	assert.Equal(t, len(reports), 0)
	assert.Assert(t, wait > 0 && wait <= startsDelay, "%s", wait)
	s.push(runs.Report{Run: runOf(1), State: runs.Done, Began: began, Over: began + 60*time.Millisecond})
	reports, _, _ = s.take(time.Now())
	assert.Equal(t, len(reports), 2)
	assert.Equal(t, reports[0].GetTask().GetIndex(), uint32(2))
	assert.Equal(t, reports[0].GetState(), wirev1.RunState_RUN_STATE_RUNNING)
	assert.Equal(t, reports[1].GetState(), wirev1.RunState_RUN_STATE_DONE)
	assert.Equal(t, reports[1].GetRanUs(), int64(60_000))
}

// A begin that no other message takes along is told after its wait: the entry takes
// a start for unanswered otherwise, and sends the guard nothing more.
func TestBeginsAreTold(t *testing.T) {
	s := sentSession()
	s.push(runs.Report{Run: runOf(1), State: runs.Running, Began: uptime.Now()})
	reports, _, _ := s.take(time.Now().Add(startsDelay))
	assert.Equal(t, len(reports), 1)
}

// The room counts the runs that have begun. Told without them, an entry would count
// its own starts twice and take a free runner for full.
func TestRoomTakesBeginsAlong(t *testing.T) {
	s := sentSession()
	s.push(runs.Report{Run: runOf(1), State: runs.Running, Began: uptime.Now()})
	s.SendAt(time.Now())
	reports, room, _ := s.take(time.Now())
	assert.Assert(t, room)
	assert.Equal(t, len(reports), 1)
}
