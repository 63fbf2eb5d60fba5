package runs

import (
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// Guards against a run missing from the crash reports: a runner with three runs of two entries
// crashes, and each owner gets one report that counts the other runs. An unanswered start
// counts too, because a task may crash its runner before the start is answered.
func TestCrashReportsCountAllRuns(t *testing.T) {
	table := newTable(8)
	old := mustStart(t, table, testStart, entryA, order("old", 0))
	_, _ = table.Started(testStart+ms, old.Name)
	other := mustStart(t, table, testStart+5*ms, entryB, order("other", 0))
	_, _ = table.Started(testStart+6*ms, other.Name)
	mustStart(t, table, testStart+9*ms, entryA, order("unanswered", 0))
	got := map[string]Report{}
	for _, r := range table.LeaseExpired(testStart+700*ms, true) {
		assert.Equal(t, r.State, Crashed)
		assert.Equal(t, r.Crash.OtherCount, 2)
		assert.Equal(t, len(r.Crash.OtherTasks), 2)
		got[r.Run.Task.Job] = r
	}
	assert.Equal(t, len(got), 3)
	assert.Assert(t, got["unanswered"].Crash.Newest && !got["old"].Crash.Newest && !got["other"].Crash.Newest)
	assert.Equal(t, len(table.Adopt(testStart+3000*ms, Process{Incarnation: work.Incarnation{ID: "i2"}})), 0, "reported once")
	assert.Equal(t, table.Capacity().Used, work.Amounts{})
}

// Guards against planned ends and unresponsiveness being reported as crashes: an unresponsive
// runner may continue, and a draining one ended as planned, so their tasks must not become
// suspects.
func TestSilenceAndPlannedEndsAreNoCrash(t *testing.T) {
	table := newTable(1)
	mustStart(t, table, testStart, entryA, order("j", 0))
	assert.Equal(t, table.LeaseExpired(testStart+700*ms, false)[0].State, Stopped)
	table = newTable(1)
	mustStart(t, table, testStart, entryA, order("j", 0))
	table.SetCapacity(need, nil, true)
	assert.Equal(t, table.Adopt(testStart+700*ms, Process{Incarnation: work.Incarnation{ID: "i2"}})[0].State, Stopped)
	table = newTable(1)
	mustStart(t, table, testStart, entryA, order("j", 0))
	assert.Equal(t, table.RemoveProcess(testStart + 700*ms)[0].State, Stopped)
}

// Guards against a missed crash: a host fails together with its runner, nothing answers until
// the lease has expired, and only the next process shows that the previous one crashed. The
// owner must be told then, once, or a task that crashes the whole host would never become a
// suspect.
func TestCrashAfterLeaseExpiryIsReportedLater(t *testing.T) {
	table := newTable(1)
	mustStart(t, table, testStart, entryA, order("j", 0))
	assert.Equal(t, table.LeaseExpired(testStart+700*ms, false)[0].State, Stopped)
	got := table.Adopt(testStart+3000*ms, Process{Incarnation: work.Incarnation{ID: "i2"}})
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, Crashed)
	assert.Equal(t, len(table.Adopt(testStart+3100*ms, Process{Incarnation: work.Incarnation{ID: "i3"}})), 0)
}

// Guards against a task that is started endlessly: an entry reconnects after its stream broke
// and asks for a run that ended with the runner's crash in between; it must be told of the
// crash.
func TestCrashIsReportedAfterReconnect(t *testing.T) {
	table := newTable(1)
	x := order("j", 0)
	mustStart(t, table, testStart, entryA, x)
	table.ReplaceProcess(testStart + 100*ms)
	got := table.Resume(testStart+200*ms, entryA, []work.RunID{x.Run})
	assert.Equal(t, got[0].State, Crashed)
	assert.Assert(t, got[0].Crash != nil && got[0].Crash.Newest)
}
