package runs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// runFor runs a task of a job of its own for the given time, with an expectation of 100 ms.
func runFor(t *testing.T, table *Table, at, ran time.Duration, job string, end work.EndState, stop bool) {
	t.Helper()
	o := order(job, 0)
	o.Expected = 100 * ms
	table.EntryAlive(entryA, at)
	s := mustStart(t, table, at, entryA, o)
	table.Started(at, s.Name)
	if stop {
		table.Cancel(at, entryA, o.Run)
	}
	table.ApplyListing(at+ran, at+ran, work.Listing{Ends: []work.End{{Seq: 1, Run: s.Name, State: end}}})
}

// TestSpeedOfTheRunner guards against a speed that runs which say nothing of it change: those that
// failed, were stopped, began while the runner was cold or whose start was not confirmed.
func TestSpeedOfTheRunner(t *testing.T) {
	table := newTable(4)
	unanswered := order("unanswered", 0)
	unanswered.Expected = 100 * ms
	s := mustStart(t, table, testStart, entryA, unanswered)
	table.ApplyListing(testStart+250*ms, testStart+250*ms, work.Listing{Ends: []work.End{{Seq: 1, Run: s.Name, State: work.Done}}})
	assert.Equal(t, table.Capacity().RunTimeSamples, 0)
	for i := range 20 {
		runFor(t, table, testStart, 200*ms, fmt.Sprint("done", i), work.Done, false)
		runFor(t, table, testStart, 9*ms, fmt.Sprint("failed", i), work.Failed, false)
		runFor(t, table, testStart, 9*ms, fmt.Sprint("stopped", i), work.Done, true)
	}
	table.SetColdUntil(testStart + time.Second)
	runFor(t, table, testStart, 250*ms, "cold", work.Done, false)
	c := table.Capacity()
	assert.Equal(t, c.RunTimePermille, 2000)
	assert.Equal(t, c.RunTimeSamples, 20)
}

// TestSpeedAfterUnresponsiveRunner guards against a sample of a run whose end was read after its runner
// had been unresponsive until the lease expired: how long it ran is not known.
func TestSpeedAfterUnresponsiveRunner(t *testing.T) {
	table := newTable(4)
	o := order("a", 0)
	o.Expected = 100 * ms
	s := mustStart(t, table, testStart, entryA, o)
	table.Started(testStart, s.Name)
	assert.Equal(t, len(table.LeaseExpired(testStart+time.Second, false)), 1)
	now := testStart + 1200*ms
	table.ApplyListing(now, now, work.Listing{Ends: []work.End{{Seq: 1, Run: s.Name, State: work.Done}}})
	assert.Equal(t, table.Capacity().RunTimeSamples, 0)
}

// TestSpeedIsThatOfTheProcess guards against a speed learnt at an earlier process of the runner, or
// at a runner of another kind under the same address.
func TestSpeedIsThatOfTheProcess(t *testing.T) {
	table := newTable(4)
	runFor(t, table, testStart, 200*ms, "before", work.Done, false)
	o := order("moved", 0)
	o.Expected = 100 * ms
	moved := mustStart(t, table, testStart, entryA, o)
	now := testStart + time.Second
	table.EntryAlive(entryA, now)
	table.Adopt(now, Process{Incarnation: work.Incarnation{ID: "i2"}, Service: "s", Token: 6}, moved.Name)
	table.SetCapacity(work.Amounts{CPUMilli: 24_000}, []string{"other"}, false)
	table.ApplyListing(now, now, work.Listing{Running: []work.RunnerRunID{moved.Name}})
	assert.Equal(t, table.Capacity().RunTimeSamples, 0)
	// The start of this run was sent to the process before.
	table.ApplyListing(now+9*ms, now+9*ms, work.Listing{Ends: []work.End{{Seq: 1, Run: moved.Name, State: work.Done}}})
	assert.Equal(t, table.Capacity().RunTimeSamples, 0)
}

// TestSpeedIsTurnedOff: with the setting off, entries are sent no speed.
func TestSpeedIsTurnedOff(t *testing.T) {
	table := newTable(4)
	table.opt.DisableEndpointSpeeds = true
	runFor(t, table, testStart, 200*ms, "a", work.Done, false)
	assert.Equal(t, table.Capacity().RunTimeSamples, 0)
}
