package runs

import (
	"math"
	"time"

	"almondstand.dev/dispatch/work"
)

// clockMargin covers the delay between the runner reading its clock and sending its answer,
// and the clock's granularity of a millisecond.
const clockMargin = 50 * time.Millisecond

// ApplyListing applies a run listing of the runner that was requested at the uptime asked, and
// returns reports on the runs whose state changed. Listings must be read one at a time in the order
// of their requests; the moments at which the runner took them may be in another order.
func (t *Table) ApplyListing(now, asked time.Duration, v work.Listing) []Report {
	if t.runner == nil {
		return nil
	}
	var reports []Report
	for _, e := range v.Ends {
		t.runner.lastEndSeq = max(t.runner.lastEndSeq, e.Seq)
		delete(t.runner.orphans, e.Run)
		if r := t.find(e.Run); r != nil {
			t.recordRunTime(now, r, stateOf(e.State))
			reports = append(reports, t.end(now, r, stateOf(e.State))...)
		}
	}
	present := make(map[work.RunnerRunID]bool, len(v.Running))
	for _, n := range v.Running {
		present[n] = true
		if report, changed := t.markPresent(now, asked, n); changed {
			reports = append(reports, report)
		}
	}
	t.recordProgress(now, asked, v)
	t.runner.unreadableRuns = v.UnreadableRuns
	if v.UnreadableEnds > 0 {
		for _, r := range t.runs {
			r.endUnreadable = r.endUnreadable || !present[r.name]
		}
	}
	if v.More || v.UnreadableRuns > 0 {
		return reports
	}
	for n := range t.runner.orphans {
		if !present[n] {
			delete(t.runner.orphans, n)
		}
	}
	for _, r := range t.runs {
		if present[r.name] || !t.confirmedOver(r, asked, v.Clock) {
			continue
		}
		state := Stopped
		if !r.started && !r.endUnreadable {
			state = NotStarted
		}
		reports = append(reports, t.end(now, r, state)...)
	}
	t.runner.listingRead = true
	return reports
}

func stateOf(h work.EndState) State {
	switch h {
	case work.Done:
		return Done
	case work.Failed:
		return Failed
	default:
		return Stopped
	}
}

// markPresent records that the runner lists a run.
func (t *Table) markPresent(now, asked time.Duration, n work.RunnerRunID) (Report, bool) {
	r := t.find(n)
	if r != nil && r.endReported {
		// Its task may have been started elsewhere, so it is stopped like an orphan.
		t.release(r)
		r = nil
	}
	if r == nil {
		// A previous guard process started it, and its table is lost. How many resources the
		// run uses is unknown, so nothing else is started until it is over.
		if _, listed := t.runner.orphans[n]; !listed {
			t.runner.orphans[n] = false
		}
		return Report{}, false
	}
	if r.started {
		return Report{}, false
	}
	if r.answeredAt == 0 {
		// The time must be now, not the time of this listing's request. Several listings are
		// requested concurrently and wait at the runner for a run to end, so one that was
		// requested later may describe an earlier moment. If it were taken for the newer one,
		// it would end a run that is still running, and the entry would start the task a
		// second time. Only a listing requested from now on is certainly newer.
		r.answeredAt = now
	}
	return r.markRunning(max(asked, r.orderedAt)), true
}

// confirmedOver reports whether a run that is neither listed nor ended is over. Either its
// start or stop was answered before the listing was requested, so the listing would contain
// it; or the start has expired on the runner's own clock, so the runner will reject it if it
// arrives. A start that was sent without a lease is valid at no time.
func (t *Table) confirmedOver(r *run, asked, clock time.Duration) bool {
	if r.answeredAt > 0 && r.answeredAt < asked {
		return true
	}
	return !r.started && r.stoppingSince > 0 && clock > r.startValidUntil+clockMargin
}

// Stops returns the stops to send now: for runs marked for stopping, runs whose caller no
// longer waits or whose entry is silent, and orphans. There are none while the runner is down.
func (t *Table) Stops(now time.Duration) []Stop {
	var stops []Stop
	for _, r := range t.runs {
		if r.stoppingSince == 0 && now >= t.stopTime(r) {
			t.stop(now, r)
		}
		// A run that was reported as over gets no stop until the runner lists it again: see
		// markPresent.
		if r.stoppingSince > 0 && !r.stopAcked && !r.stopSent && !r.endReported && !t.down {
			r.stopSent = true
			stops = append(stops, Stop{r.name})
		}
	}
	if t.runner == nil || t.down {
		return stops
	}
	for n, sent := range t.runner.orphans {
		if !sent {
			t.runner.orphans[n] = true
			stops = append(stops, Stop{n})
		}
	}
	return stops
}

// stopTime returns the uptime at which a run is to be stopped: when its caller stops waiting,
// or when its entry has been silent for too long.
func (t *Table) stopTime(r *run) time.Duration {
	return min(r.deadline, t.lastHeard[r.owner]+t.opt.EntryTimeout)
}

// endDeadline returns the uptime by which a run must be over, whether or not its stop is
// acknowledged.
func (t *Table) endDeadline(r *run) time.Duration {
	grace := t.opt.EndTimeout - t.opt.EntryTimeout
	bound := t.stopTime(r) + grace
	if r.stoppingSince > 0 {
		bound = min(bound, r.stoppingSince+grace)
	}
	return bound
}

// LeaseUntil returns the uptime to which the runner's lease may be extended now. The lease
// covers the whole runner: while the stop of a run is due and not acknowledged, the lease
// expires for all runs at that run's end deadline. If the runner has an orphan, or a run was
// reported as over that the runner may still have, the lease is left to expire, which ends them
// even if their stops go unanswered. See also SetExpiring.
func (t *Table) LeaseUntil(now time.Duration) time.Duration {
	if t.runner != nil && t.runner.expiring {
		return now
	}
	if t.runner != nil && len(t.runner.orphans) > 0 || t.hasReportedOver() {
		return now
	}
	if len(t.runs) == 0 && t.orphans() > 0 {
		// A run that can't be identified can't be stopped: it ends with its lease.
		return now
	}
	until := now + t.opt.LeaseExtension
	for _, r := range t.runs {
		if !r.stopAcked {
			until = min(until, t.endDeadline(r))
		}
	}
	return until
}

// NextStop returns the earliest uptime at which another run is to be stopped, or the largest value
// if there is none.
func (t *Table) NextStop() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, r := range t.runs {
		if r.stoppingSince == 0 {
			next = min(next, t.stopTime(r))
		}
	}
	return next
}

// Prune removes records past their retention time.
func (t *Table) Prune(now time.Duration) {
	t.pruneLateStarts(now)
	n := 0
	for _, id := range t.endedOrder {
		if f, ok := t.endedRuns[id]; ok && now-f.at < endedRetention {
			break
		}
		delete(t.endedRuns, id)
		n++
	}
	t.endedOrder = t.endedOrder[n:]
	for task, v := range t.lastNumbers {
		if _, found := t.runs[task]; !found && now-v.at > 6*endedRetention {
			delete(t.lastNumbers, task)
		}
	}
	for o, at := range t.lastHeard {
		if now-at > 6*endedRetention && !t.ownsRuns(o) {
			delete(t.lastHeard, o)
		}
	}
}

func (t *Table) ownsRuns(o Owner) bool {
	for _, r := range t.runs {
		if r.owner == o {
			return true
		}
	}
	return false
}

// SkipRunNumbers raises the number that the task's next run uses, after the runner rejected a start
// because it knew a higher one.
func (t *Table) SkipRunNumbers(now time.Duration, task work.TaskID) {
	n := t.lastNumbers[task]
	t.lastNumbers[task] = taskNumber{n.number + runNumberSkip, now}
}

// runNumberSkip is how far SkipRunNumbers raises the number. It skips the numbers that previous guard
// processes may have used for the task; a task is attempted only a handful of times.
const runNumberSkip = 8
