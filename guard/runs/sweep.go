package runs

import (
	"math"
	"time"

	"almondstand.dev/dispatch/work"
)

// clockMargin covers the runner's clock being read before it answers, and its
// granularity of a millisecond.
const clockMargin = 50 * time.Millisecond

// Read takes the runner's account, asked for at the uptime given, and returns
// what became of runs. Accounts must be read in the order in which they were asked for, one at a time; they may be of
// moments in another order.
func (b *Table) Read(now, asked time.Duration, v work.Account) []Report {
	if b.runner == nil {
		return nil
	}
	var reports []Report
	for _, e := range v.Ends {
		b.runner.seen = max(b.runner.seen, e.Seq)
		delete(b.runner.orphans, e.Run)
		if r := b.find(e.Run); r != nil {
			reports = append(reports, b.over(now, r, stateOf(e.How))...)
		}
	}
	present := make(map[work.RunName]bool, len(v.Running))
	for _, n := range v.Running {
		present[n] = true
		if report, news := b.present(now, asked, n); news {
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
		if present[r.name] || !b.gone(r, asked, v.Clock) {
			continue
		}
		state := Stopped
		if !r.started {
			state = NotStarted
		}
		reports = append(reports, b.over(now, r, state)...)
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

// present takes note of a run that the runner lists.
func (b *Table) present(now, asked time.Duration, n work.RunName) (Report, bool) {
	r := b.find(n)
	if r == nil {
		// Left by an older guard, whose account is lost: what it takes is not
		// known, so nothing else is started until it is over.
		if _, listed := b.runner.orphans[n]; !listed {
			b.runner.orphans[n] = false
		}
		return Report{}, false
	}
	if r.started || r.reported {
		return Report{}, false
	}
	if r.settled == 0 {
		// Not when this account was asked for: several are, side by side, and wait at
		// the runner for an end. One that was asked for later may be of an earlier
		// moment; taken for the newer, it would end a run that goes on, and its entry
		// would start the task a second time. Only one that is asked for from now on
		// is surely newer.
		r.settled = now
	}
	return r.begin(max(asked, r.entered)), true
}

// gone reports whether a run that is neither listed nor ended is over. Its
// start or its bar was answered before the account was asked for, so the
// account would hold it; or the start is valid no longer, on the runner's own
// clock, so the runner will turn it down when it comes.
func (b *Table) gone(r *run, asked, clock time.Duration) bool {
	if r.settled > 0 && r.settled < asked {
		return true
	}
	return !r.started && r.until > 0 && r.stopping > 0 && clock > r.until+clockMargin
}

// Stops returns the stops to be sent now: of runs that are to end, whose caller
// no longer waits, or whose entry is silent, and of orphans.
func (b *Table) Stops(now time.Duration) []Stop {
	var stops []Stop
	for _, r := range b.runs {
		if r.stopping == 0 && now >= b.lastsUntil(r) {
			b.stop(now, r)
		}
		// A run whose lease has run out with its runner silent needs no stop.
		if r.stopping > 0 && !r.barred && !r.stopSent && !r.reported {
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

// lastsUntil is the uptime until which a run is wanted.
func (b *Table) lastsUntil(r *run) time.Duration {
	return min(r.expires, b.alive[r.owner]+b.opt.Silence)
}

// endBound is the uptime by which a run must be over, answered or not.
func (b *Table) endBound(r *run) time.Duration {
	grace := b.opt.EndBound - b.opt.Silence
	bound := b.lastsUntil(r) + grace
	if r.stopping > 0 {
		bound = min(bound, r.stopping+grace)
	}
	return bound
}

// HoldUntil is the uptime to which the runner's lease may be extended now. A
// lease is the runner's as a whole: while a run's end is due and its stop isn't
// acknowledged, the lease of all ends with it. Where only orphans run it is left to lapse,
// which ends them also if their stops go unanswered.
func (b *Table) HoldUntil(now time.Duration) time.Duration {
	if len(b.runs) == 0 && b.orphans() > 0 {
		return now
	}
	until := now + b.opt.Hold
	for _, r := range b.runs {
		if !r.barred {
			until = min(until, b.endBound(r))
		}
	}
	return until
}

// Next is the uptime at which Stops has something new to say, the largest value
// when nothing is due.
func (b *Table) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, r := range b.runs {
		if r.stopping == 0 {
			next = min(next, b.lastsUntil(r))
		}
	}
	return next
}

// Forget drops what nobody will ask for any more.
func (b *Table) Forget(now time.Duration) {
	n := 0
	for _, id := range b.order {
		if f, ok := b.ended[id]; ok && now-f.at < keepEnded {
			break
		}
		delete(b.ended, id)
		n++
	}
	b.order = b.order[n:]
	for task, v := range b.numbers {
		if _, here := b.runs[task]; !here && now-v.at > 6*keepEnded {
			delete(b.numbers, task)
		}
	}
	for o, at := range b.alive {
		if now-at > 6*keepEnded && !b.owns(o) {
			delete(b.alive, o)
		}
	}
}

func (b *Table) owns(o Owner) bool {
	for _, r := range b.runs {
		if r.owner == o {
			return true
		}
	}
	return false
}

// Old raises the number that the task's next run takes, after the runner knew
// a higher one.
func (b *Table) Old(now time.Duration, task work.TaskID) {
	n := b.numbers[task]
	b.numbers[task] = numbered{n.number + oldStep, now}
}

// oldStep skips the numbers that earlier guards may have used for the task; a
// task is tried a handful of times.
const oldStep = 8
