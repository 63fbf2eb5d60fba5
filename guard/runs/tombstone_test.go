package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// isUnknown reports whether the report says that the guard has no such run.
func isUnknown(r Report) bool { return r.State == NotStarted && r.Refusal == UnknownRun }

// Guards against a run that starts after its guard has reported it as never started: the order
// arrives after the order to stop it.
func TestOrderAfterItsStopIsNotStarted(t *testing.T) {
	table := newTable(2)
	x := order("j", 0)
	report, over := table.Cancel(testStart, entryA, x.Run)
	assert.Assert(t, over && isUnknown(report), "%v", report)
	start, _ := table.Admit(testStart, testStart, entryA, x)
	assert.Assert(t, start == nil, "started after it was reported as never started")
}

// Guards against a run that starts after its guard reported to an attaching entry that it never started.
func TestOrderAfterAttachIsNotStarted(t *testing.T) {
	table := newTable(2)
	x := order("j", 0)
	reports := table.Resume(testStart, entryA, []work.RunID{x.Run})
	assert.Assert(t, len(reports) == 1 && isUnknown(reports[0]), "%v", reports)
	start, _ := table.Admit(testStart, testStart, entryA, x)
	assert.Assert(t, start == nil, "started after it was reported as never started")
}

// Guards against a run that starts although its order was rejected before.
func TestRejectedOrderStaysRejected(t *testing.T) {
	table := newTable(1)
	s := mustStart(t, table, testStart, entryA, order("k", 0))
	x := order("j", 0)
	assert.Equal(t, refusal(t, table, testStart, testStart, entryA, x), InsufficientCapacity)
	table.StartRejected(testStart+ms, s.Name, RunnerFailed)
	start, _ := table.Admit(testStart+2*ms, testStart+2*ms, entryA, x)
	assert.Assert(t, start == nil, "started after it was reported as never started")
}

// A tombstone holds for the run that it names: a later attempt, another task and the same task
// of another entry start.
func TestTombstoneHoldsForItsRunOnly(t *testing.T) {
	table := newTable(3)
	x := order("j", 0)
	table.Cancel(testStart, entryA, x.Run)
	next := x
	next.Run.Attempt++
	s := mustStart(t, table, testStart, entryA, next)
	table.StartRejected(testStart+ms, s.Name, RunnerFailed)
	mustStart(t, table, testStart, entryA, order("j", 1))
	mustStart(t, table, testStart+2*ms, entryB, x)
}

// Guards against a report that another entry's run of the same name replaces: the entry then
// counts a run that ended as never started.
func TestEndedRunsOfTwoEntriesAreKeptApart(t *testing.T) {
	table := newTable(2)
	x := order("j", 0)
	s := mustStart(t, table, testStart, entryA, x)
	table.Started(testStart+ms, s.Name)
	table.ApplyListing(testStart+20*ms, testStart+10*ms, work.Listing{Ends: []work.End{{Seq: 1, Run: s.Name, State: work.Failed}}})
	s = mustStart(t, table, testStart+30*ms, entryB, x)
	table.Started(testStart+31*ms, s.Name)
	table.ApplyListing(testStart+50*ms, testStart+40*ms, work.Listing{Ends: []work.End{{Seq: 2, Run: s.Name, State: work.Done}}})
	for owner, state := range map[Owner]State{entryA: Failed, entryB: Done} {
		got := table.Resume(testStart+60*ms, owner, []work.RunID{x.Run})
		assert.Assert(t, len(got) == 1 && got[0].State == state, "%v: %v", owner, got)
	}
}

// silentRunner returns a table with one started run that was reported as over because its
// runner had not answered until the lease expired.
func silentRunner(t *testing.T) (*Table, work.RunnerRunID, work.RunID) {
	t.Helper()
	table := newTable(3)
	x := order("j", 0)
	s := mustStart(t, table, testStart, entryA, x)
	table.Started(testStart+ms, s.Name)
	assert.Equal(t, len(table.LeaseExpired(testStart+900*ms, false)), 1)
	return table, s.Name, x.Run
}

// Guards against a run that goes on after it was reported as over: its runner answers again and
// lists it.
func TestRunListedAfterItsLeaseExpiredIsStopped(t *testing.T) {
	table, name, _ := silentRunner(t)
	table.ApplyListing(testStart+1000*ms, testStart+990*ms, work.Listing{Running: []work.RunnerRunID{name}})
	stops := table.Stops(testStart + 1000*ms)
	assert.Assert(t, len(stops) == 1 && stops[0].Name == name, "%v", stops)
}

// Guards against a lease that is extended for a run that was reported as over: its runner
// resumes and reads the extension before the lease's end.
func TestLeaseIsNotExtendedForRunReportedOver(t *testing.T) {
	table, name, _ := silentRunner(t)
	table.EntryAlive(entryA, testStart+950*ms)
	now := testStart + 950*ms
	assert.Assert(t, table.LeaseUntil(now) <= now)
	_, report := table.Admit(now, now, entryA, order("k", 0))
	assert.Assert(t, report != nil, "a start extends the lease of the whole runner")
	table.ApplyListing(testStart+1000*ms, testStart+990*ms, work.Listing{Running: []work.RunnerRunID{name}})
	now = testStart + 1000*ms
	assert.Assert(t, table.LeaseUntil(now) <= now)
	table.StopAcknowledged(testStart+1010*ms, name)
	table.ApplyListing(testStart+1080*ms, testStart+1070*ms, work.Listing{Ends: []work.End{{Seq: 1, Run: name, State: work.Interrupted}}})
	now = testStart + 1080*ms
	_, report = table.Admit(now, now, entryA, attempt(2, order("k", 0)))
	assert.Assert(t, report == nil, "%v", report)
}

// Guards against a report that is lost with a session: the entry asks for the run again, which
// was reported as over, and gets the report that it runs, or none.
func TestRunReportedOverIsReportedAgain(t *testing.T) {
	table, _, id := silentRunner(t)
	got := table.Resume(testStart+910*ms, entryA, []work.RunID{id})
	assert.Assert(t, len(got) == 1 && got[0].State == Stopped, "%v", got)
	report, over := table.Cancel(testStart+920*ms, entryA, id)
	assert.Assert(t, over && report.State == Stopped, "%v", report)
}

// Tombstones are removed after their retention time.
func TestTombstonesArePruned(t *testing.T) {
	table := newTable(1)
	for i := range 100 {
		table.Cancel(testStart, entryA, order("j", i).Run)
	}
	table.Prune(testStart + endedRetention + ms)
	assert.Equal(t, len(table.endedRuns), 0)
	assert.Equal(t, len(table.endedOrder), 0)
}

// Guards against an order that hides the end of its run: an entry that orders a run again, and
// then asks for it, gets the report that it never started.
func TestOrderOfEndedRunLeavesItsReport(t *testing.T) {
	table := newTable(1)
	x := order("j", 0)
	s := mustStart(t, table, testStart, entryA, x)
	table.Started(testStart+ms, s.Name)
	table.ApplyListing(testStart+20*ms, testStart+10*ms, work.Listing{Ends: []work.End{{Seq: 1, Run: s.Name, State: work.Done}}})
	assert.Equal(t, refusal(t, table, testStart+30*ms, testStart+30*ms, entryA, x), StaleOrder)
	got := table.Resume(testStart+40*ms, entryA, []work.RunID{x.Run})
	assert.Assert(t, len(got) == 1 && got[0].State == Done, "%v", got)
}

// A tombstone is kept for as long as entries take an unknown run for one that never started.
func TestTombstoneIsKept(t *testing.T) {
	const unknownNeverStarted = 9 * time.Second
	table := newTable(1)
	x := order("j", 0)
	table.Cancel(testStart, entryA, x.Run)
	now := testStart + unknownNeverStarted
	table.Prune(now)
	start, _ := table.Admit(now, now, entryA, x)
	assert.Assert(t, start == nil, "started after it was reported as never started")
}

// Guards against a run that goes on after it was reported as over: the next process under its
// runner's id executes its late start, leaves its stops unanswered, and has another run for which
// the lease is extended.
func TestLeaseIsNotExtendedForOrphanBesideARun(t *testing.T) {
	table := newTableWithStartTime()
	over := mustStart(t, table, testStart, entryA, order("j", 0))
	table.Started(testStart+ms, over.Name)
	table.EntryAlive(entryA, testStart+600*ms)
	open := mustStart(t, table, testStart+600*ms, entryA, order("j", 1))
	assert.Equal(t, len(table.LeaseExpired(testStart+700*ms, true)), 1)
	adopt(table, testStart+740*ms, secondProcess, over.Name, open.Name)
	now := testStart + 740*ms
	table.EntryAlive(entryA, now)
	assert.DeepEqual(t, table.Stops(now), []Stop{{over.Name}})
	assert.Assert(t, table.LeaseUntil(now) <= now, "extended to %s", table.LeaseUntil(now)-now)
	table.ApplyListing(now+60*ms, now+50*ms, work.Listing{Running: []work.RunnerRunID{open.Name}, Ends: []work.End{{Seq: 1, Run: over.Name, State: work.Interrupted}}})
	now += 60 * ms
	table.EntryAlive(entryA, now)
	assert.Assert(t, table.LeaseUntil(now) > now)
}
