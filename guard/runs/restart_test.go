package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

var (
	firstProcess  = Process{Incarnation: work.Incarnation{ID: "i", StartedMilli: 1000}}
	secondProcess = Process{Incarnation: work.Incarnation{ID: "i", StartedMilli: 2000}}
)

// newTableWithStartTime returns a table whose runner process reports its start time.
func newTableWithStartTime() *Table {
	table := New(Options{})
	adopt(table, testStart, firstProcess)
	table.EntryAlive(entryA, testStart)
	return table
}

func adopt(table *Table, now time.Duration, p Process, listed ...work.RunnerRunID) []Report {
	reports := table.Adopt(now, p, listed...)
	table.SetCapacity(work.Amounts{CPUMilli: 8000, MemoryMB: 512}, nil, false)
	return append(reports, table.ApplyListing(now, now, work.Listing{Running: listed})...)
}

// Guards against a task being started elsewhere while its unanswered start may still be
// executed by the next process under its runner's id.
func TestUnresolvedStartIsKeptUntilTheNextProcessIsFenced(t *testing.T) {
	for _, endRunner := range []func(table *Table) []Report{
		func(table *Table) []Report { return table.LeaseExpired(testStart+700*ms, true) },
		func(table *Table) []Report { return table.LeaseExpired(testStart+700*ms, false) },
		func(table *Table) []Report { return table.RemoveProcess(testStart + 700*ms) },
	} {
		table := newTableWithStartTime()
		unanswered := mustStart(t, table, testStart, entryA, order("j", 0))
		running := mustStart(t, table, testStart, entryA, order("j", 1))
		table.Started(testStart+ms, running.Name)
		table.StartUnanswered(testStart+150*ms, unanswered.Name)
		got := endRunner(table)
		assert.Equal(t, len(got), 1, "%v", got)
		assert.Equal(t, got[0].Run, running.Run)
		reported := 0
		for _, r := range adopt(table, testStart+900*ms, secondProcess) {
			if r.Run == unanswered.Run {
				reported++
				assert.Assert(t, r.State == Crashed || r.State == Stopped, "%v", r)
			}
		}
		assert.Equal(t, reported, 1)
		assert.Equal(t, table.Capacity().Used, work.Amounts{})
	}
}

// Guards against ending a run that a delayed start began at the next process.
func TestRunListedByTheNextProcessContinues(t *testing.T) {
	table := newTableWithStartTime()
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	table.StartUnanswered(testStart+150*ms, s.Name)
	got := adopt(table, testStart+900*ms, secondProcess, s.Name)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, Running)
	assert.Equal(t, table.Capacity().Used, need)
	done := table.ApplyListing(testStart+1000*ms, testStart+950*ms, work.Listing{Ends: []work.End{{Seq: 1, Run: s.Name, State: work.Done}}})
	assert.Equal(t, done[0].State, Done)
}

// Guards against a run that was reported as over continuing at the next process.
func TestRunReportedAsOverIsStoppedAtTheNextProcess(t *testing.T) {
	table := newTableWithStartTime()
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	table.Started(testStart+ms, s.Name)
	assert.Equal(t, len(table.LeaseExpired(testStart+700*ms, true)), 1)
	assert.Equal(t, len(adopt(table, testStart+900*ms, secondProcess, s.Name)), 0)
	assert.DeepEqual(t, table.Stops(testStart+900*ms), []Stop{{s.Name}})
	assert.Assert(t, !table.AcceptsStarts())
}

// Guards against an unresolved start that is never reported on because its runner does not
// return.
func TestUnresolvedStartExpiresWithItsCaller(t *testing.T) {
	table := newTableWithStartTime()
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	table.StartUnanswered(testStart+150*ms, s.Name)
	table.RemoveProcess(testStart + 700*ms)
	assert.Equal(t, len(table.ExpireUnresolved(testStart+1499*ms)), 0)
	got := table.ExpireUnresolved(testStart + 1500*ms)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, Stopped)
	assert.Assert(t, table.Idle())
}

// Guards against a new process accepting starts before it has reported its capacity.
func TestProcessIsOpenOnceItHasReported(t *testing.T) {
	table := newTableWithStartTime()
	table.Adopt(testStart, secondProcess)
	table.ApplyListing(testStart, testStart, work.Listing{})
	assert.Assert(t, !table.AcceptsStarts())
	table.SetCapacity(need, nil, false)
	assert.Assert(t, table.AcceptsStarts())
}
