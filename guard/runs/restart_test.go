package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

var (
	firstProcess  = Process{Incarnation: work.Incarnation{ID: "i", Born: 1000}}
	secondProcess = Process{Incarnation: work.Incarnation{ID: "i", Born: 2000}}
)

// newTableWithStartTime returns a table whose runner process reports its start time.
func newTableWithStartTime() *Table {
	b := New(Options{})
	adopt(b, testStart, firstProcess)
	b.Alive(entryA, testStart)
	return b
}

func adopt(b *Table, now time.Duration, p Process, listed ...work.RunName) []Report {
	reports := b.Adopt(now, p, listed...)
	b.Describe(work.Amounts{CPUMilli: 8000, MemoryMB: 512}, nil, false)
	return append(reports, b.Read(now, now, work.Account{Running: listed})...)
}

// Guards against a task being started elsewhere while its unanswered start may still be
// executed by the next process under its runner's id.
func TestUnresolvedStartIsKeptUntilTheNextProcessIsFenced(t *testing.T) {
	for _, over := range []func(b *Table) []Report{
		func(b *Table) []Report { return b.Lapse(testStart+700*ms, true) },
		func(b *Table) []Report { return b.Lapse(testStart+700*ms, false) },
		func(b *Table) []Report { return b.Lose(testStart + 700*ms) },
	} {
		b := newTableWithStartTime()
		unanswered := mustStart(t, b, testStart, entryA, order("j", 0))
		running := mustStart(t, b, testStart, entryA, order("j", 1))
		b.Started(testStart+ms, running.Name)
		b.Doubtful(testStart+150*ms, unanswered.Name)
		got := over(b)
		assert.Equal(t, len(got), 1, "%v", got)
		assert.Equal(t, got[0].Run, running.Run)
		reported := 0
		for _, r := range adopt(b, testStart+900*ms, secondProcess) {
			if r.Run == unanswered.Run {
				reported++
				assert.Assert(t, r.State == Crashed || r.State == Stopped, "%v", r)
			}
		}
		assert.Equal(t, reported, 1)
		assert.Equal(t, b.Capacity().Used, work.Amounts{})
	}
}

// Guards against ending a run that a delayed start began at the next process.
func TestRunListedByTheNextProcessContinues(t *testing.T) {
	b := newTableWithStartTime()
	s := mustStart(t, b, testStart, entryA, order("j", 0))
	b.Doubtful(testStart+150*ms, s.Name)
	got := adopt(b, testStart+900*ms, secondProcess, s.Name)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, Running)
	assert.Equal(t, b.Capacity().Used, need)
	done := b.Read(testStart+1000*ms, testStart+950*ms, work.Account{Ends: []work.End{{Seq: 1, Run: s.Name, How: work.Done}}})
	assert.Equal(t, done[0].State, Done)
}

// Guards against a run that was reported as over continuing at the next process.
func TestRunReportedAsOverIsStoppedAtTheNextProcess(t *testing.T) {
	b := newTableWithStartTime()
	s := mustStart(t, b, testStart, entryA, order("j", 0))
	b.Started(testStart+ms, s.Name)
	assert.Equal(t, len(b.Lapse(testStart+700*ms, true)), 1)
	assert.Equal(t, len(adopt(b, testStart+900*ms, secondProcess, s.Name)), 0)
	assert.DeepEqual(t, b.Stops(testStart+900*ms), []Stop{{s.Name}})
	assert.Assert(t, !b.Open())
}

// Guards against an unresolved start that is never reported on because its runner does not
// return.
func TestUnresolvedStartExpiresWithItsCaller(t *testing.T) {
	b := newTableWithStartTime()
	s := mustStart(t, b, testStart, entryA, order("j", 0))
	b.Doubtful(testStart+150*ms, s.Name)
	b.Lose(testStart + 700*ms)
	assert.Equal(t, len(b.Expire(testStart+1499*ms)), 0)
	got := b.Expire(testStart + 1500*ms)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, Stopped)
	assert.Assert(t, b.Idle())
}

// Guards against a new process accepting starts before it has reported its capacity.
func TestProcessIsOpenOnceItHasReported(t *testing.T) {
	b := newTableWithStartTime()
	b.Adopt(testStart, secondProcess)
	b.Read(testStart, testStart, work.Account{})
	assert.Assert(t, !b.Open())
	b.Describe(need, nil, false)
	assert.Assert(t, b.Open())
}
