package runs

import (
	"cmp"
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// mostBeside bounds the tasks that a report on a crash names.
const mostBeside = 16

// Crash is what is known of a run whose runner crashed under it.
type Crash struct {
	// Runner is the process that crashed.
	Runner work.Incarnation
	// Others counts the other runs that were there, or may have begun.
	Others int
	// Newest is true for the run that began last: most tasks that crash their runner do
	// so soon after their start.
	Newest bool
	// Beside names some of the others' tasks.
	Beside []work.TaskID
}

// Replace takes note that a process is there that carries out no start sent to the one before.
// The older one has crashed unless it was about to leave; what ended with an older guard's host
// is not reported here, as its runs are not in this account.
func (b *Table) Replace(now time.Duration) []Report {
	var reports []Report
	if b.runner != nil && !b.runner.draining {
		reports = b.crashed(now, func(*run) bool { return false })
	}
	for _, r := range b.runs {
		reports = append(reports, b.over(now, r, Stopped)...)
	}
	b.runner = nil
	return reports
}

// crashed reports to the owners of all runs that the runner crashed, also to those who know
// already that its lease had run out: that it crashed may show with its next process only. Those
// withheld are reported on later. Which of the
// runs did it, if one did, is for the entries to find out: each sees its own jobs only.
func (b *Table) crashed(now time.Duration, withheld func(*run) bool) []Report {
	there := make([]*run, 0, len(b.runs))
	for _, r := range b.runs {
		there = append(there, r)
	}
	slices.SortFunc(there, byBegin)
	var reports []Report
	for i, r := range there {
		if r.blamed || withheld(r) {
			continue
		}
		r.blamed = true
		crash := &Crash{Runner: b.runner.Incarnation, Others: len(there) - 1, Newest: i == len(there)-1, Beside: besides(there, r)}
		reports = append(reports, b.reportCrash(now, r, crash))
	}
	return reports
}

func (b *Table) reportCrash(now time.Duration, r *run, c *Crash) Report {
	if !r.reported {
		r.reported = true
		b.order = append(b.order, r.id)
	}
	report := Report{Owner: r.owner, Run: r.id, State: Crashed, Began: r.began, Over: now, Crash: c}
	b.ended[r.id] = fate{report, now}
	return report
}

// byBegin orders runs by when they began; those of one moment by name, so that the same
// history gives the same reports.
func byBegin(a, b *run) int {
	x, y := a.id.Task, b.id.Task
	return cmp.Or(cmp.Compare(a.since(), b.since()), cmp.Compare(x.Job, y.Job), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
}

// since is when the run began, or was ordered when that isn't known: a task may crash its
// runner before the start is answered.
func (r *run) since() time.Duration {
	if r.started {
		return r.began
	}
	return r.entered
}

func besides(there []*run, r *run) []work.TaskID {
	var tasks []work.TaskID
	for _, o := range there {
		if o != r && len(tasks) < mostBeside {
			tasks = append(tasks, o.id.Task)
		}
	}
	return tasks
}
