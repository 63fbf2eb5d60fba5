package runs

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/progress"
	"almondstand.dev/guard/speed"
)

// processState is what the current runner process has reported. It is replaced as a whole, so
// that no state of one process is attributed to another.
type processState struct {
	Process
	// described is true once the process has reported its capacity.
	described bool
	// draining is true once the process has reported that it is shutting down.
	draining bool
	// coldUntil is the uptime until which the runner is slow after its start.
	coldUntil time.Duration
	// expiring is true while the lease is left to expire: see SetExpiring.
	expiring bool
	// listingRead is true once a run listing of the process has been read: from then on the runs
	// that a previous guard process left there are known.
	listingRead bool
	// unreadableRuns is the number of runs in the last listing that could not be identified. What they use is
	// unknown, and each may be one of the table.
	unreadableRuns int
	// orphans are runs at the runner that this table does not hold; the value is true while a
	// stop of the run is in flight.
	orphans map[work.RunnerRunID]bool
	// lastEndSeq is the highest sequence number of an ended run that has been read.
	lastEndSeq int64
	// progress is what is known of the progress of all runs.
	progress progress.Process
	// speed estimates the run times at this process.
	speed speed.Estimate
}

// Process returns the current runner process, nil if there is none.
func (t *Table) Process() *Process {
	if t.runner == nil {
		return nil
	}
	return &t.runner.Process
}

// Adopt makes p the current runner process. The previous process, if any, has ended or its lease
// has expired, and p has been fenced with a token above that of a previous process under its id.
// All runs of the previous process are over, except those that the new one lists: their starts
// reached it before the fencing token did.
func (t *Table) Adopt(now time.Duration, p Process, listed ...work.RunnerRunID) []Report {
	listedRuns := t.detach(listed)
	reports := t.ReplaceProcess(now)
	for _, r := range listedRuns {
		t.reattach(r)
	}
	t.runner = &processState{Process: p, orphans: map[work.RunnerRunID]bool{}}
	t.runnerRevision++
	return reports
}

// detach removes the named runs from the table and returns them. A run that was already
// reported as over stays: its task may have been started elsewhere, so the run counts as an
// orphan at the next process.
func (t *Table) detach(names []work.RunnerRunID) []*run {
	var detached []*run
	for _, n := range names {
		if r := t.find(n); r != nil && !r.endReported {
			t.release(r)
			detached = append(detached, r)
		}
	}
	return detached
}

// reattach returns a detached run to the table; it runs at another process than the one its
// start was sent to.
func (t *Table) reattach(r *run) {
	r.answeredAt, r.startValidUntil = 0, 0
	r.reattached = true
	r.stopAcked, r.stopSent, r.unresolved = false, false, false
	r.progress, r.reported, r.stalled = progress.Run{}, reportedProgress{}, false
	t.runs[r.id.Task] = r
	t.used = t.used.Add(r.need)
}

// RemoveProcess removes the runner process without a successor. Its runs are over, except for
// unanswered starts if the runner may restart under the same id.
func (t *Table) RemoveProcess(now time.Duration) []Report {
	var reports []Report
	for _, r := range t.runs {
		if !t.markUnresolved(r) {
			reports = append(reports, t.end(now, r, Stopped)...)
		}
	}
	t.runner = nil
	return reports
}

// markUnresolved reports whether a process that is started under the id of the current one may
// still execute the run's start, and remembers it in the run. Processes that do not report
// their start time have an id of their own each, so for them it returns false.
func (t *Table) markUnresolved(r *run) bool {
	r.unresolved = r.unresolved || t.runner != nil && t.runner.StartedMilli > 0 && !r.started
	return r.unresolved
}

// SetCapacity records the capacity, labels and drain state that the current process reports.
func (t *Table) SetCapacity(total work.Amounts, labels []string, draining bool) {
	if t.runner == nil {
		return
	}
	t.runner.described = true
	t.runner.Total = total
	if !slices.Equal(t.runner.Labels, labels) {
		t.runner.Labels = labels
		t.runnerRevision++
	}
	// A draining process never returns to service, so an older report that arrives late must
	// not reopen it.
	t.runner.draining = t.runner.draining || draining
}

// SetColdUntil records the uptime until which the runner is slow after its start.
func (t *Table) SetColdUntil(until time.Duration) {
	if t.runner != nil {
		t.runner.coldUntil = until
	}
}

// SetExpiring records whether the lease is left to expire, because the current process does not
// answer and has deregistered or seems to be replaced. While it is set, no starts are accepted and
// no lease is extended, so that the runs are over once the lease has expired.
func (t *Table) SetExpiring(expiring bool) {
	if t.runner != nil {
		t.runner.expiring = expiring
	}
}

// Drained reports whether the current process is draining and has no runs left, including
// orphans.
func (t *Table) Drained() bool {
	return t.runner != nil && t.runner.draining && t.runner.listingRead && t.Idle()
}

// SetService records the service that the current process reports.
func (t *Table) SetService(service string) {
	if t.runner != nil && t.runner.Service != service {
		t.runner.Service = service
		t.runnerRevision++
	}
}

// ExpireUnresolved reports on unresolved starts whose callers no longer wait: their tasks are not
// started again after that.
func (t *Table) ExpireUnresolved(now time.Duration) []Report {
	var reports []Report
	for _, r := range t.runs {
		if !r.unresolved || now < r.deadline {
			continue
		}
		if t.runner == nil {
			reports = append(reports, t.end(now, r, Stopped)...)
			continue
		}
		reports = append(reports, t.report(now, r, Stopped, RunnerFailed)...)
	}
	return reports
}
