package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// Guards against a table that accepts no starts for good: an order is accepted when a run that
// is overdue at an unresponsive runner holds back the lease, so that its start is valid at no
// time. The run is reported as over, and then nothing shows that it is.
func TestStartSentWithoutLeaseIsOverOnceTheRunnerAnswers(t *testing.T) {
	for _, p := range []Process{firstProcess, {Incarnation: work.Incarnation{ID: "i"}}} {
		table := New(Options{})
		adopt(table, testStart, p)
		table.EntryAlive(entryA, testStart)
		overdue := mustStart(t, table, testStart, entryA, order("j", 0))
		table.Started(testStart+ms, overdue.Name)
		table.Cancel(testStart+10*ms, entryA, order("j", 0).Run)
		now := testStart + 700*ms
		table.EntryAlive(entryB, now)
		assert.Assert(t, table.LeaseUntil(now) <= now)
		if s, _ := table.Admit(now, now, entryB, order("k", 0)); s != nil {
			table.StartUnanswered(now+150*ms, s.Name)
		}
		table.LeaseExpired(now+200*ms, false)
		now += 5 * time.Second
		table.ExpireUnresolved(now)
		for range 3 {
			now += time.Second
			table.Stops(now)
			table.ApplyListing(now, now-ms, work.Listing{Clock: now, Ends: []work.End{{Seq: 1, Run: overdue.Name, State: work.Interrupted}}})
		}
		assert.Assert(t, table.AcceptsStarts(), "process %v", p)
		assert.Equal(t, table.Capacity().Used, work.Amounts{})
	}
}
