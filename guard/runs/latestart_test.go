package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
)

// lateTasks returns the tasks of the late starts that are known at the given uptime.
func lateTasks(table *Table, now time.Duration) []work.TaskID {
	late, _ := table.LateStartsSince(now, 0)
	var tasks []work.TaskID
	for _, l := range late {
		tasks = append(tasks, l.Task)
	}
	return tasks
}

// Guards against a task that is started elsewhere while the runner's next process may execute a
// copy of its start: the run is reported as over with the copy in flight.
func TestRunThatEndsWithItsStartInFlightHasALateStart(t *testing.T) {
	ends := map[string]func(*Table, *Start){
		"stopped": func(table *Table, s *Start) {
			table.StopAcknowledged(testStart, s.Name)
			table.ApplyListing(testStart+20*ms, testStart+10*ms, work.Listing{})
		},
		"failed": func(table *Table, s *Start) {
			table.Started(testStart, s.Name)
			table.ApplyListing(testStart+20*ms, testStart+10*ms, work.Listing{Ends: []work.End{{Seq: 1, Run: s.Name, State: work.Failed}}})
		},
		"crashed": func(table *Table, s *Start) {
			table.Started(testStart, s.Name)
			adopt(table, testStart+20*ms, secondProcess)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			table := New(Options{})
			adopt(table, testStart, firstProcess)
			table.EntryAlive(entryA, testStart)
			s := mustStart(t, table, testStart, entryA, order("j", 0))
			table.StartSent(s.Name)
			assert.Equal(t, len(lateTasks(table, testStart)), 0, "while the run is open")
			end(table, s)
			assert.DeepEqual(t, lateTasks(table, testStart+20*ms), []work.TaskID{s.Run.Task})
			over := testStart + 20*ms + work.LateStartWindow
			assert.Equal(t, len(lateTasks(table, over)), 0)
			table.Prune(over)
			assert.Equal(t, len(table.lateStarts), 0)
		})
	}
}

// A start is late if a copy of it went unanswered, also one whose run is over. One of which every
// copy was answered is not, and neither is that of a process with an id of its own.
func TestOnlyUnansweredStartsAreLate(t *testing.T) {
	table := New(Options{})
	adopt(table, testStart, firstProcess)
	table.EntryAlive(entryA, testStart)
	answered := mustStart(t, table, testStart, entryA, order("j", 0))
	table.StartSent(answered.Name)
	table.Started(testStart, answered.Name)
	table.StartSettled(testStart, answered.Name, false)
	table.ApplyListing(testStart+20*ms, testStart+10*ms, work.Listing{})
	assert.Equal(t, len(lateTasks(table, testStart+20*ms)), 0)
	table.StartSettled(testStart+20*ms, answered.Name, true)
	assert.DeepEqual(t, lateTasks(table, testStart+20*ms), []work.TaskID{answered.Run.Task})

	table = newTable(1)
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	table.StartSent(s.Name)
	table.StopAcknowledged(testStart, s.Name)
	table.ApplyListing(testStart+20*ms, testStart+10*ms, work.Listing{})
	assert.Equal(t, len(lateTasks(table, testStart+20*ms)), 0)
}

// Each late start is returned once to a session that has read the ones before it.
func TestLateStartsAreReadInOrder(t *testing.T) {
	table := New(Options{})
	task := func(job string) work.RunnerRunID { return work.RunnerRunID{Task: work.TaskID{Job: job}, Number: 1} }
	table.StartSettled(testStart, task("j"), true)
	first, seq := table.LateStartsSince(testStart, 0)
	assert.Equal(t, len(first), 1)
	table.StartSettled(testStart+ms, task("k"), true)
	second, seq := table.LateStartsSince(testStart+ms, seq)
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Task.Job, "k")
	none, _ := table.LateStartsSince(testStart+ms, seq)
	assert.Equal(t, len(none), 0)
}

// Guards against a task that waits for one runner without need: its run was over with a copy of the
// start in flight, and the copy was answered after that.
func TestStartIsNotLateOnceEveryCopyIsAnswered(t *testing.T) {
	table := newTableWithStartTime()
	s := mustStart(t, table, testStart, entryA, order("j", 0))
	table.StartSent(s.Name)
	table.Started(testStart, s.Name)
	table.ApplyListing(testStart+20*ms, testStart+10*ms, work.Listing{})
	table.StartSettled(testStart+30*ms, s.Name, false)
	assert.Equal(t, len(lateTasks(table, testStart+30*ms)), 0)
}
