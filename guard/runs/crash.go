package runs

import (
	"cmp"
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// maxOtherTasks bounds how many tasks of other runs a crash report names.
const maxOtherTasks = 16

// Crash describes the crash of a runner process from the point of view of one of its runs.
type Crash struct {
	// Runner is the process that crashed.
	Runner work.Incarnation
	// OtherCount counts the other runs that the process had, including starts it had not answered.
	OtherCount int
	// Newest is true for the run that started last: most tasks that crash their runner do so
	// soon after their start.
	Newest bool
	// OtherTasks names the tasks of up to maxOtherTasks of the other runs.
	OtherTasks []work.TaskID
}

// ReplaceProcess records that another process runs in the place of the current one and executes no
// start that was sent to the current one. The current process has crashed unless it was draining,
// or is expiring, in which case nothing shows that it has ended. Runs that a previous guard
// process started and that ended with their runner are not reported here, because this table does
// not hold them.
func (t *Table) ReplaceProcess(now time.Duration) []Report {
	var reports []Report
	if t.runner != nil && !t.runner.draining && !t.runner.expiring {
		reports = t.reportCrashes(now, func(*run) bool { return false })
	}
	for _, r := range t.runs {
		reports = append(reports, t.end(now, r, Stopped)...)
	}
	t.runner = nil
	return reports
}

// reportCrashes reports the crash of the runner process to the owners of all its runs except
// those that deferred selects; these are reported on later. Owners that were already told that
// the lease had expired get the report too, because the crash may become known only with the
// next process. Which run caused the crash, if one did, is for the entries to find out: each
// entry sees its own jobs only.
func (t *Table) reportCrashes(now time.Duration, deferred func(*run) bool) []Report {
	active := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		active = append(active, r)
	}
	slices.SortFunc(active, byStartTime)
	var reports []Report
	for i, r := range active {
		if r.crashReported || deferred(r) {
			continue
		}
		r.crashReported = true
		crash := &Crash{Runner: t.runner.Incarnation, OtherCount: len(active) - 1, Newest: i == len(active)-1, OtherTasks: otherTasks(active, r)}
		reports = append(reports, t.reportCrash(now, r, crash))
	}
	return reports
}

func (t *Table) reportCrash(now time.Duration, r *run, c *Crash) Report {
	r.endReported = true
	t.keepLateStart(now, r)
	report := Report{Owner: r.owner, Run: r.id, State: Crashed, StartedAt: r.startedAt, EndedAt: now, Crash: c}
	t.keep(now, report)
	return report
}

// byStartTime orders runs by start time, and runs with the same start time by task id, so that
// the same history yields the same reports.
func byStartTime(a, b *run) int {
	x, y := a.id.Task, b.id.Task
	return cmp.Or(cmp.Compare(a.startTime(), b.startTime()), cmp.Compare(x.Job, y.Job), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
}

// startTime returns when the run started, or when it was ordered if its start was not
// answered: a task may crash its runner before the start is answered.
func (r *run) startTime() time.Duration {
	if r.started {
		return r.startedAt
	}
	return r.orderedAt
}

func otherTasks(active []*run, r *run) []work.TaskID {
	var tasks []work.TaskID
	for _, o := range active {
		if o != r && len(tasks) < maxOtherTasks {
			tasks = append(tasks, o.id.Task)
		}
	}
	return tasks
}
