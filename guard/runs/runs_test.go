package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

const ms = time.Millisecond

var (
	entryA = Owner{Entry: "a", Incarnation: 1}
	entryB = Owner{Entry: "b", Incarnation: 1}
	need   = work.Amounts{CPUMilli: 1000, MemoryMB: 64}
)

// testStart is the uptime at which each test begins.
const testStart = time.Second

// newTable returns a table of a runner with capacity for n runs, after the first run listing.
func newTable(n int64) *Table {
	table := New(Options{})
	table.Adopt(testStart, Process{Incarnation: work.Incarnation{ID: "i1"}, Service: "s", Token: 5})
	table.SetCapacity(work.Amounts{CPUMilli: 1000 * n, MemoryMB: 64 * n}, nil, false)
	table.ApplyListing(testStart, testStart, work.Listing{})
	table.EntryAlive(entryA, testStart)
	table.EntryAlive(entryB, testStart)
	return table
}

func order(job string, index int) Order {
	return Order{Run: work.RunID{Task: work.TaskID{Job: job, Index: index}, Attempt: 1}, Need: need, TimeLeft: 1500 * ms}
}

// attempt returns the order of a task's n-th run: entries never order a run twice.
func attempt(n int, o Order) Order {
	o.Run.Attempt = n
	return o
}

func mustStart(t *testing.T, table *Table, at time.Duration, o Owner, x Order) *Start {
	t.Helper()
	s, r := table.Admit(at, at, o, x)
	assert.Assert(t, r == nil, "%v", r)
	return s
}

func refusal(t *testing.T, table *Table, now, sent time.Duration, o Owner, x Order) Refusal {
	t.Helper()
	_, r := table.Admit(now, sent, o, x)
	assert.Assert(t, r != nil)
	assert.Equal(t, r.State, NotStarted)
	return r.Refusal
}

// Guards against overcommitting the runner, which does not enforce its own capacity: an
// unanswered start may arrive later, and a run that is being stopped still uses resources.
// Both keep their reservation until a run listing shows that they are over.
func TestResourcesStayReservedUntilRunIsOver(t *testing.T) {
	table := newTable(1)
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	table.StartUnanswered(testStart+150*ms, s.Name)
	assert.Equal(t, refusal(t, table, testStart+160*ms, testStart+160*ms, entryA, order("k", 0)), InsufficientCapacity)
	assert.Equal(t, len(table.Stops(testStart+160*ms)), 1)
	// A listing requested before the stop was acknowledged is not conclusive.
	table.StopAcknowledged(testStart+170*ms, s.Name)
	assert.Equal(t, len(table.ApplyListing(testStart+180*ms, testStart+165*ms, work.Listing{})), 0)
	assert.Equal(t, refusal(t, table, testStart+180*ms, testStart+180*ms, entryA, attempt(2, order("k", 0))), InsufficientCapacity)
	got := table.ApplyListing(testStart+190*ms, testStart+185*ms, work.Listing{})
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, NotStarted)
	mustStart(t, table, testStart+200*ms, entryA, attempt(3, order("k", 0)))
}

// Neither the start nor its stop is answered. The start is valid up to a time on the runner's
// clock; once that time has passed at the runner and it lists no such run, the start cannot be
// executed any more.
func TestUnansweredStartIsOverWithItsLease(t *testing.T) {
	table := newTable(1)
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	table.ValidUntil(s.Name, 600*ms)
	table.StartUnanswered(testStart+150*ms, s.Name)
	table.StopFailed(s.Name)
	assert.Equal(t, len(table.ApplyListing(testStart+500*ms, testStart+499*ms, work.Listing{Clock: 550 * ms})), 0)
	got := table.ApplyListing(testStart+800*ms, testStart+799*ms, work.Listing{Clock: 700 * ms})
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, NotStarted)
}

// Guards against a job running twice after its caller resubmits it to another entry 1.3 s
// after its connection broke. The runs of the first, silent entry are stopped before that, and
// the lease never extends beyond it, so that they also end if the runner answers nothing.
func TestRunsOfASilentEntryEndBeforeResubmission(t *testing.T) {
	table := newTable(2)
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	_, _ = table.Started(testStart+ms, s.Name)
	table.EntryAlive(entryB, testStart+2*time.Second)
	assert.Equal(t, len(table.Stops(testStart+DefaultEntryTimeout-ms)), 0)
	assert.Equal(t, len(table.Stops(testStart+DefaultEntryTimeout)), 1)
	for at := testStart; at < testStart+1300*ms; at += 10 * ms {
		until := table.LeaseUntil(at)
		assert.Assert(t, until <= testStart+DefaultEndTimeout, "at %v the lease goes to %v", at-testStart, until-testStart)
	}
	table.StopAcknowledged(testStart+600*ms, s.Name)
	assert.Assert(t, table.LeaseUntil(testStart+600*ms) > testStart+DefaultEndTimeout, "a run with an acknowledged stop limits the lease no more")
}

// Guards against starting an order that was delayed in the network until after its caller went
// to another entry.
func TestLateOrderIsRefused(t *testing.T) {
	table := newTable(2)
	assert.Equal(t, refusal(t, table, testStart+DefaultMaxOrderAge+ms, testStart, entryA, order("j", 0)), StaleOrder)
	short := order("j", 0)
	short.TimeLeft = 20 * ms
	assert.Equal(t, refusal(t, table, testStart+30*ms, testStart, entryA, short), StaleOrder)
}

// The same job arrives through another entry while one of its runs is running here: the older
// run is stopped, and the newer is not started concurrently.
func TestSameTaskThroughAnotherEntry(t *testing.T) {
	table := newTable(4)
	s := mustStart(t, table, testStart, entryA, attempt(2, order("j", 0)))
	_, _ = table.Started(testStart+ms, s.Name)
	assert.Equal(t, refusal(t, table, testStart+5*ms, testStart+5*ms, entryB, order("j", 0)), NotAccepting)
	assert.DeepEqual(t, table.Stops(testStart+6*ms), []Stop{{s.Name}})
	table.ApplyListing(testStart+60*ms, testStart+50*ms, work.Listing{Ends: []work.End{{Seq: 1, Run: s.Name, State: work.Interrupted}}})
	again := mustStart(t, table, testStart+70*ms, entryB, attempt(2, order("j", 0)))
	assert.Assert(t, again.Name.Number > s.Name.Number, "a runner rejects the number of a run that has ended there")
}

// Guards against overcommitting a runner on which a previous guard process left a run: the
// resources it uses are unknown, so nothing starts until it is over.
func TestOrphansKeepTheRunnerClosed(t *testing.T) {
	table := New(Options{})
	table.Adopt(testStart, Process{Incarnation: work.Incarnation{ID: "i1"}})
	table.SetCapacity(work.Amounts{CPUMilli: 4000, MemoryMB: 256}, nil, false)
	assert.Equal(t, refusal(t, table, testStart, testStart, entryA, order("j", 0)), NotAccepting)
	orphan := work.RunnerRunID{Task: work.TaskID{Job: "old"}, Number: 1}
	table.ApplyListing(testStart, testStart, work.Listing{Running: []work.RunnerRunID{orphan}})
	assert.Equal(t, refusal(t, table, testStart, testStart, entryA, attempt(2, order("j", 0))), NotAccepting)
	assert.Assert(t, !table.Capacity().Reconciled)
	assert.DeepEqual(t, table.Stops(testStart), []Stop{{orphan}})
	table.ApplyListing(testStart+50*ms, testStart+40*ms, work.Listing{Ends: []work.End{{Seq: 1, Run: orphan, State: work.Interrupted}}})
	assert.Assert(t, table.Capacity().Reconciled)
	mustStart(t, table, testStart+60*ms, entryA, attempt(3, order("j", 0)))
}

// Guards against an orphan that keeps running as long as its stops go unanswered, because the
// guard that found it extends its lease.
func TestLeaseOfOrphansIsNotExtended(t *testing.T) {
	table := New(Options{})
	table.Adopt(testStart, Process{Incarnation: work.Incarnation{ID: "i1"}})
	table.SetCapacity(work.Amounts{CPUMilli: 4000, MemoryMB: 256}, nil, false)
	orphan := work.RunnerRunID{Task: work.TaskID{Job: "old"}, Number: 1}
	table.ApplyListing(testStart, testStart, work.Listing{Running: []work.RunnerRunID{orphan}})
	for n := range 20 {
		at := testStart + time.Duration(n)*30*ms
		assert.DeepEqual(t, table.Stops(at), []Stop{{orphan}})
		table.StopFailed(orphan)
		assert.Assert(t, table.LeaseUntil(at) <= at)
	}
}

// An entry reconnects after its stream broke. Of its open runs, those that are running are
// confirmed, those that ended in between are reported, and those that never arrived are
// reported as not started for good. Runs that it no longer considers open are stopped.
func TestResume(t *testing.T) {
	table := newTable(4)
	open, ended, forgotten := order("j", 0), order("j", 1), order("j", 2)
	for _, o := range []Order{open, ended, forgotten} {
		s := mustStart(t, table, testStart, entryA, o)
		_, _ = table.Started(testStart+ms, s.Name)
	}
	table.ApplyListing(testStart+50*ms, testStart+40*ms, work.Listing{
		Running: []work.RunnerRunID{{Task: open.Run.Task, Number: 1}, {Task: forgotten.Run.Task, Number: 1}},
		Ends:    []work.End{{Seq: 1, Run: work.RunnerRunID{Task: ended.Run.Task, Number: 1}, State: work.Done}},
	})
	lost := order("j", 3)
	got := table.Resume(testStart+60*ms, entryA, []work.RunID{open.Run, ended.Run, lost.Run})
	assert.Equal(t, len(got), 3)
	assert.Equal(t, got[0].State, Running)
	assert.Equal(t, got[1].State, Done)
	assert.Equal(t, got[2].State, NotStarted)
	stops := table.Stops(testStart + 60*ms)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Name.Task, forgotten.Run.Task)
	assert.Equal(t, len(table.Resume(testStart+70*ms, Owner{Entry: "a", Incarnation: 2}, nil)), 0)
	assert.Equal(t, len(table.Stops(testStart+70*ms)), 1, "a newer incarnation of the entry has no open runs of the older one")
}

// Guards against reusing the resources of runs at an unresponsive runner: after the lease has
// expired the runs are over for their owners, but stay reserved until the runner lists them as
// ended.
func TestRunsEndWhenLeaseExpires(t *testing.T) {
	table := newTable(1)
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	_, _ = table.Started(testStart+ms, s.Name)
	got := table.LeaseExpired(testStart+time.Second, false)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, Stopped)
	assert.Equal(t, len(table.LeaseExpired(testStart+time.Second, false)), 0, "reported once")
	assert.Equal(t, len(table.Stops(testStart+2*time.Second)), 0, "a lapsed run needs no stop")
	table.EntryAlive(entryA, testStart+time.Second)
	assert.Equal(t, table.Capacity().Used, need)
	assert.Equal(t, refusal(t, table, testStart+time.Second, testStart+time.Second, entryA, order("k", 0)), NotAccepting)
	assert.Equal(t, len(table.ApplyListing(testStart+2*time.Second, testStart+2*time.Second, work.Listing{Ends: []work.End{{Seq: 1, Run: s.Name}}})), 0)
}

// Guards against a caller being told "not run" about a task that started: a runner starts a
// run and crashes before it answers the start. When the lease has expired, the entry must be
// told that the task may have run.
func TestUnansweredStartIsStoppedWhenLeaseExpires(t *testing.T) {
	table := newTable(1)
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	table.StartUnanswered(testStart+150*ms, s.Name)
	got := table.LeaseExpired(testStart+time.Second, false)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, Stopped)
}

// A draining runner gets no new starts, even if an older report of it arrives late, and a
// guard that shuts down accepts none.
func TestDrainingStays(t *testing.T) {
	table := newTable(1)
	table.SetCapacity(work.Amounts{CPUMilli: 1000, MemoryMB: 64}, nil, true)
	table.SetCapacity(work.Amounts{CPUMilli: 1000, MemoryMB: 64}, nil, false)
	assert.Equal(t, refusal(t, table, testStart, testStart, entryA, order("j", 0)), NotAccepting)
	c := newTable(1)
	c.ShutDown()
	assert.Equal(t, refusal(t, c, testStart, testStart, entryA, order("j", 0)), NotAccepting)
}

// Guards against a task running twice. Two polls are in flight and wait at the runner. The
// later request is answered with a listing from before the run's start, the earlier request
// with one from after it, and the latter is read first. A run that is missing from the other
// listing is not over.
func TestListingOfAnEarlierMomentEndsNoRun(t *testing.T) {
	table := newTable(1)
	s := mustStart(t, table, testStart+10*ms, entryA, order("j", 0))
	reports := table.ApplyListing(testStart+30*ms, testStart+5*ms, work.Listing{Running: []work.RunnerRunID{s.Name}})
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].State, Running)
	assert.Equal(t, reports[0].StartedAt, testStart+10*ms, "not before its order: the entry derives run times from it")
	assert.Equal(t, len(table.ApplyListing(testStart+31*ms, testStart+15*ms, work.Listing{})), 0)
	over := table.ApplyListing(testStart+50*ms, testStart+32*ms, work.Listing{})
	assert.Equal(t, len(over), 1, "a listing requested after the run was seen is conclusive")
	assert.Equal(t, over[0].State, Stopped)
}

// Guards against overcommitting a runner whose capacity shrinks while orders are in transit,
// as it does not enforce its capacity itself. Orders sent for capacity that no longer exists
// are rejected, also while the running tasks use more than there is, and until the runs being
// stopped have ended.
func TestNoStartBeyondCapacityThatHasShrunk(t *testing.T) {
	table := newTable(4)
	var started []*Start
	for i := range 3 {
		started = append(started, mustStart(t, table, testStart, entryA, order("j", i)))
	}
	shrink := func(n int64) { table.SetCapacity(work.Amounts{CPUMilli: 1000 * n, MemoryMB: 64 * n}, nil, false) }
	shrink(2)
	assert.Assert(t, !table.HasCapacity())
	assert.Equal(t, refusal(t, table, testStart+ms, testStart, entryB, order("k", 0)), InsufficientCapacity)
	shrink(0)
	assert.Equal(t, refusal(t, table, testStart+2*ms, testStart, entryB, attempt(2, order("k", 0))), InsufficientCapacity)
	shrink(2)
	name := func(s *Start) work.RunnerRunID { return s.Name }
	table.ApplyListing(testStart+10*ms, testStart+9*ms, work.Listing{Running: []work.RunnerRunID{name(started[1]), name(started[2])}, Ends: []work.End{{Seq: 1, Run: name(started[0]), State: work.Done}}})
	assert.Equal(t, refusal(t, table, testStart+11*ms, testStart+10*ms, entryB, attempt(3, order("k", 0))), InsufficientCapacity)
	table.Cancel(testStart+12*ms, entryA, order("j", 1).Run)
	assert.Equal(t, refusal(t, table, testStart+13*ms, testStart+12*ms, entryB, attempt(4, order("k", 0))), InsufficientCapacity, "a run being stopped still counts")
	table.ApplyListing(testStart+70*ms, testStart+69*ms, work.Listing{Running: []work.RunnerRunID{name(started[2])}, Ends: []work.End{{Seq: 2, Run: name(started[1]), State: work.Interrupted}}})
	mustStart(t, table, testStart+71*ms, entryB, attempt(5, order("k", 0)))
}
