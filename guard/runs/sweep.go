package runs

import (
	"math"
	"time"

	"almondstand.dev/dispatch/work"
)

// clockMargin covers the delay between the runner reading its clock and sending its answer,
// and the clock's granularity of a millisecond.
const clockMargin = 50 * time.Millisecond

// Read applies a run listing of the runner that was requested at the uptime asked, and returns
// reports on the runs whose state changed. Listings must be read one at a time in the order of
// their requests; the moments at which the runner took them may be in another order.
func (b *Table) Read(now, asked time.Duration, v work.Account) []Report {
	if b.runner == nil {
		return nil
	}
	var reports []Report
	for _, e := range v.Ends {
		b.runner.lastEndSeq = max(b.runner.lastEndSeq, e.Seq)
		delete(b.runner.orphans, e.Run)
		if r := b.find(e.Run); r != nil {
			reports = append(reports, b.end(now, r, stateOf(e.How))...)
		}
	}
	present := make(map[work.RunName]bool, len(v.Running))
	for _, n := range v.Running {
		present[n] = true
		if report, changed := b.markPresent(now, asked, n); changed {
			reports = append(reports, report)
		}
	}
	if v.More {
		return reports
	}
	for n := range b.runner.orphans {
		if !present[n] {
			delete(b.runner.orphans, n)
		}
	}
	for _, r := range b.runs {
		if present[r.name] || !b.confirmedOver(r, asked, v.Clock) {
			continue
		}
		state := Stopped
		if !r.started {
			state = NotStarted
		}
		reports = append(reports, b.end(now, r, state)...)
	}
	b.runner.checked = true
	return reports
}

func stateOf(h work.How) State {
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
func (b *Table) markPresent(now, asked time.Duration, n work.RunName) (Report, bool) {
	r := b.find(n)
	if r == nil {
		// A previous guard process started it, and its table is lost. How many resources the
		// run uses is unknown, so nothing else is started until it is over.
		if _, listed := b.runner.orphans[n]; !listed {
			b.runner.orphans[n] = false
		}
		return Report{}, false
	}
	if r.started || r.endReported {
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
// arrives.
func (b *Table) confirmedOver(r *run, asked, clock time.Duration) bool {
	if r.answeredAt > 0 && r.answeredAt < asked {
		return true
	}
	return !r.started && r.startValidUntil > 0 && r.stoppingSince > 0 && clock > r.startValidUntil+clockMargin
}

// Stops returns the stops to send now: for runs marked for stopping, runs whose caller no
// longer waits or whose entry is silent, and orphans.
func (b *Table) Stops(now time.Duration) []Stop {
	var stops []Stop
	for _, r := range b.runs {
		if r.stoppingSince == 0 && now >= b.stopTime(r) {
			b.stop(now, r)
		}
		// A run whose lease expired while its runner was unresponsive needs no stop.
		if r.stoppingSince > 0 && !r.stopAcked && !r.stopSent && !r.endReported {
			r.stopSent = true
			stops = append(stops, Stop{r.name})
		}
	}
	if b.runner == nil {
		return stops
	}
	for n, sent := range b.runner.orphans {
		if !sent {
			b.runner.orphans[n] = true
			stops = append(stops, Stop{n})
		}
	}
	return stops
}

// stopTime returns the uptime at which a run is to be stopped: when its caller stops waiting,
// or when its entry has been silent for too long.
func (b *Table) stopTime(r *run) time.Duration {
	return min(r.deadline, b.lastHeard[r.owner]+b.opt.Silence)
}

// endDeadline returns the uptime by which a run must be over, whether or not its stop is
// acknowledged.
func (b *Table) endDeadline(r *run) time.Duration {
	grace := b.opt.EndBound - b.opt.Silence
	bound := b.stopTime(r) + grace
	if r.stoppingSince > 0 {
		bound = min(bound, r.stoppingSince+grace)
	}
	return bound
}

// HoldUntil returns the uptime to which the runner's lease may be extended now. The lease
// covers the whole runner: while the stop of a run is due and not acknowledged, the lease
// expires for all runs at that run's end deadline. If only orphans run, the lease is left to
// expire, which ends them even if their stops go unanswered.
func (b *Table) HoldUntil(now time.Duration) time.Duration {
	if len(b.runs) == 0 && b.orphans() > 0 {
		return now
	}
	until := now + b.opt.Hold
	for _, r := range b.runs {
		if !r.stopAcked {
			until = min(until, b.endDeadline(r))
		}
	}
	return until
}

// Next returns the earliest uptime at which another run is to be stopped, or the largest value
// if there is none.
func (b *Table) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, r := range b.runs {
		if r.stoppingSince == 0 {
			next = min(next, b.stopTime(r))
		}
	}
	return next
}

// Forget removes records past their retention time.
func (b *Table) Forget(now time.Duration) {
	n := 0
	for _, id := range b.endedOrder {
		if f, ok := b.endedRuns[id]; ok && now-f.at < endedRetention {
			break
		}
		delete(b.endedRuns, id)
		n++
	}
	b.endedOrder = b.endedOrder[n:]
	for task, v := range b.lastNumbers {
		if _, found := b.runs[task]; !found && now-v.at > 6*endedRetention {
			delete(b.lastNumbers, task)
		}
	}
	for o, at := range b.lastHeard {
		if now-at > 6*endedRetention && !b.ownsRuns(o) {
			delete(b.lastHeard, o)
		}
	}
}

func (b *Table) ownsRuns(o Owner) bool {
	for _, r := range b.runs {
		if r.owner == o {
			return true
		}
	}
	return false
}

// Old raises the number that the task's next run uses, after the runner rejected a start
// because it knew a higher one.
func (b *Table) Old(now time.Duration, task work.TaskID) {
	n := b.lastNumbers[task]
	b.lastNumbers[task] = taskNumber{n.number + runNumberSkip, now}
}

// runNumberSkip is how far Old raises the number. It skips the numbers that previous guard
// processes may have used for the task; a task is attempted only a handful of times.
const runNumberSkip = 8
