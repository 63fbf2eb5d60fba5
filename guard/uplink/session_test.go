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

// sentSession is a session whose capacity was sent just now.
func sentSession() *session {
	s := newSession(nil, nil, 0)
	s.capacityDue, s.capacitySent = time.Time{}, time.Now()
	return s
}

// Guards against two messages per run, which an entry with 310 starts a second would have to
// read. The report on a start waits up to 80 ms for another message, and the report on the
// run's end replaces it and is sent at once, with the run time.
func TestReportsOnStartsAreDelayed(t *testing.T) {
	s := sentSession()
	start := uptime.Now()
	s.push(runs.Report{Run: runOf(1), State: runs.Running, StartedAt: start})
	s.push(runs.Report{Run: runOf(2), State: runs.Running, StartedAt: start})
	reports, _, wait := s.take(time.Now())
	assert.Equal(t, len(reports), 0)
	assert.Assert(t, wait > 0 && wait <= startsDelay, "%s", wait)
	s.push(runs.Report{Run: runOf(1), State: runs.Done, StartedAt: start, EndedAt: start + 60*time.Millisecond})
	reports, _, _ = s.take(time.Now())
	assert.Equal(t, len(reports), 2)
	assert.Equal(t, reports[0].GetTask().GetIndex(), uint32(2))
	assert.Equal(t, reports[0].GetState(), wirev1.RunState_RUN_STATE_RUNNING)
	assert.Equal(t, reports[1].GetState(), wirev1.RunState_RUN_STATE_DONE)
	assert.Equal(t, reports[1].GetRanUs(), int64(60_000))
}

// A report on a start that no other message includes is sent after its delay: otherwise the
// entry considers the start unanswered, and sends the guard no more orders.
func TestReportsOnStartsAreSentAfterTheDelay(t *testing.T) {
	s := sentSession()
	s.push(runs.Report{Run: runOf(1), State: runs.Running, StartedAt: uptime.Now()})
	reports, _, _ := s.take(time.Now().Add(startsDelay))
	assert.Equal(t, len(reports), 1)
}

// The capacity counts the runs that have started. Without the reports on them, an entry would
// count its own starts twice and consider a free runner full.
func TestCapacityIncludesReportsOnStarts(t *testing.T) {
	s := sentSession()
	s.push(runs.Report{Run: runOf(1), State: runs.Running, StartedAt: uptime.Now()})
	s.SendAt(time.Now())
	reports, capacity, _ := s.take(time.Now())
	assert.Assert(t, capacity)
	assert.Equal(t, len(reports), 1)
}
