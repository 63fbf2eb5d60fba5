package runs

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// processState is what the current runner process has reported. It is replaced as a whole, so
// that no state of one process is attributed to another.
type processState struct {
	Process
	// described is true once the process has reported its capacity.
	described bool
	// draining is true once the process has reported that it is shutting down.
	draining bool
	// checked is true once a run listing of the process has been read: from then on the runs
	// that a previous guard process left there are known.
	checked bool
	// orphans are runs at the runner that this table does not hold; the value is true while a
	// stop of the run is in flight.
	orphans map[work.RunName]bool
	// lastEndSeq is the highest sequence number of an ended run that has been read.
	lastEndSeq int64
}

// Process returns the current runner process, nil if there is none.
func (b *Table) Process() *Process {
	if b.runner == nil {
		return nil
	}
	return &b.runner.Process
}

// Adopt makes p the current runner process. It has been fenced with a token above that of the
// previous process. All runs of the previous process are over, except those that the new one
// lists: their starts reached it before the fencing token did.
func (b *Table) Adopt(now time.Duration, p Process, listed ...work.RunName) []Report {
	listedRuns := b.detach(listed)
	reports := b.Replace(now)
	for _, r := range listedRuns {
		b.reattach(r)
	}
	b.runner = &processState{Process: p, orphans: map[work.RunName]bool{}}
	return reports
}

// detach removes the named runs from the table and returns them. A run that was already
// reported as over stays: its task may have been started elsewhere, so the run counts as an
// orphan at the next process.
func (b *Table) detach(names []work.RunName) []*run {
	var detached []*run
	for _, n := range names {
		if r := b.find(n); r != nil && !r.endReported {
			delete(b.runs, n.Task)
			b.used = b.used.Sub(r.need)
			detached = append(detached, r)
		}
	}
	return detached
}

// reattach returns a detached run to the table; it runs at another process than the one its
// start was sent to.
func (b *Table) reattach(r *run) {
	r.answeredAt, r.startValidUntil = 0, 0
	r.stopAcked, r.stopSent, r.unresolved = false, false, false
	b.runs[r.id.Task] = r
	b.used = b.used.Add(r.need)
}

// Lose removes the runner process without a successor. Its runs are over, except for
// unanswered starts if the runner may restart under the same id.
func (b *Table) Lose(now time.Duration) []Report {
	var reports []Report
	for _, r := range b.runs {
		if !b.markUnresolved(r) {
			reports = append(reports, b.end(now, r, Stopped)...)
		}
	}
	b.runner = nil
	return reports
}

// markUnresolved reports whether a process that is started under the id of the current one may
// still execute the run's start, and remembers it in the run. Processes that do not report
// their start time have an id of their own each, so for them it returns false.
func (b *Table) markUnresolved(r *run) bool {
	r.unresolved = r.unresolved || b.runner != nil && b.runner.Born > 0 && !r.started
	return r.unresolved
}

// Describe records the capacity, labels and drain state that the current process reports.
func (b *Table) Describe(total work.Amounts, labels []string, draining bool) {
	if b.runner == nil {
		return
	}
	b.runner.described = true
	b.runner.Total = total
	b.runner.Labels = labels
	// A draining process never returns to service, so an older report that arrives late must
	// not reopen it.
	b.runner.draining = b.runner.draining || draining
}

// Serves records the service that the current process reports.
func (b *Table) Serves(service string) {
	if b.runner != nil {
		b.runner.Service = service
	}
}

// Expire reports on unresolved starts whose callers no longer wait: their tasks are not
// started again after that.
func (b *Table) Expire(now time.Duration) []Report {
	var reports []Report
	for _, r := range b.runs {
		if !r.unresolved || now < r.deadline {
			continue
		}
		if b.runner == nil {
			reports = append(reports, b.end(now, r, Stopped)...)
			continue
		}
		reports = append(reports, b.report(now, r, Stopped, Unwell)...)
	}
	return reports
}
