package runs

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// known is what the runner's present process has said. It is replaced as a whole, so that nothing
// of one process is taken for another's.
type known struct {
	Process
	// described is true once the process has said what it has.
	described bool
	// draining is set by the runner.
	draining bool
	// checked is true once an account of the process has been read: what an older
	// guard left there is known from then on.
	checked bool
	// orphans are runs at the runner that this account doesn't hold; true while a
	// stop of one is under way.
	orphans map[work.RunName]bool
	// seen is the highest end taken note of.
	seen int64
}

// Process returns the runner's process, nil when there is none.
func (b *Table) Process() *Process {
	if b.runner == nil {
		return nil
	}
	return &b.runner.Process
}

// Adopt takes a new process of the runner, which has been fenced with a token above that of
// the one before. The runs of the older process are over, but for those that the new one
// lists: their starts reached it before the fence did.
func (b *Table) Adopt(now time.Duration, p Process, listed ...work.RunName) []Report {
	moved := b.take(listed)
	reports := b.Replace(now)
	for _, r := range moved {
		b.enterAgain(r)
	}
	b.runner = &known{Process: p, orphans: map[work.RunName]bool{}}
	return reports
}

// take takes the runs of the names out of the account. One that has been reported as over
// stays: its task may have been started elsewhere, so it is an orphan at the next process.
func (b *Table) take(names []work.RunName) []*run {
	var taken []*run
	for _, n := range names {
		if r := b.find(n); r != nil && !r.reported {
			delete(b.runs, n.Task)
			b.used = b.used.Sub(r.need)
			taken = append(taken, r)
		}
	}
	return taken
}

// enterAgain takes a run into the account that runs at another process than its start was
// sent to.
func (b *Table) enterAgain(r *run) {
	r.settled, r.until = 0, 0
	r.barred, r.stopSent, r.inDoubt = false, false, false
	b.runs[r.id.Task] = r
	b.used = b.used.Add(r.need)
}

// Lose ends the runner's process without a successor; its runs are over, but for starts
// without an answer where the runner may come back under its id.
func (b *Table) Lose(now time.Duration) []Report {
	var reports []Report
	for _, r := range b.runs {
		if !b.doubt(r) {
			reports = append(reports, b.over(now, r, Stopped)...)
		}
	}
	b.runner = nil
	return reports
}

// doubt reports whether a process that is started under the id of this one may carry out the
// run's start. Where processes don't say when they were started, each has an id of its own.
func (b *Table) doubt(r *run) bool {
	r.inDoubt = r.inDoubt || b.runner != nil && b.runner.Born > 0 && !r.started
	return r.inDoubt
}

// Describe takes what the current process says of itself.
func (b *Table) Describe(total work.Amounts, labels []string, draining bool) {
	if b.runner == nil {
		return
	}
	b.runner.described = true
	b.runner.Total = total
	b.runner.Labels = labels
	// A process that leaves never comes back, so an older report that arrives late must
	// not open it again.
	b.runner.draining = b.runner.draining || draining
}

// Serves takes the service that the current process says it is of.
func (b *Table) Serves(service string) {
	if b.runner != nil {
		b.runner.Service = service
	}
}

// Expire reports on the starts in doubt whose callers no longer wait: no other start of their
// tasks comes after that.
func (b *Table) Expire(now time.Duration) []Report {
	var reports []Report
	for _, r := range b.runs {
		if !r.inDoubt || now < r.expires {
			continue
		}
		if b.runner == nil {
			reports = append(reports, b.over(now, r, Stopped)...)
			continue
		}
		reports = append(reports, b.report(now, r, Stopped, Unwell)...)
	}
	return reports
}
