package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

const (
	// recentProgress is the time for which a report on a run is recent. Listings are read every
	// 60 ms, but a guard reports only what differs from its last report.
	recentProgress = 400 * time.Millisecond
	// progressMargin is the time after the predicted end of a run for which its last report is
	// still valid: a run ends some milliseconds late, and its guard reports the end at the next
	// listing.
	progressMargin = 150 * time.Millisecond
	// wellBeforeDivisor limits the time until the end of a run elsewhere to the time left to the
	// open run divided by it: less is not worth the work that is lost.
	wellBeforeDivisor = 2
	// maxSlowStops is the number of stops of a task's runs after which a run whose progress moves is
	// not stopped any more: if it ends too late at the third endpoint as well, the task is the
	// cause, and each stop loses the work done.
	maxSlowStops = 2
	// stallWindow is the time for which an endpoint counts as stalled after a run there has stalled,
	// and maxStalledDivisor limits the endpoints at which stalled runs are stopped at once to half of
	// them. If runs stall at more, something that they share is the cause: restarts would only
	// lose the work, and all endpoints would be ejected.
	stallWindow       = time.Second
	maxStalledDivisor = 2
	// maxLeft bounds the time left of a run; a longer one is malformed.
	maxLeft = time.Hour
	// maxPercent is the progress of a run that has done its work.
	maxPercent = 100
)

// RunProgress is a guard's estimate for a run in progress.
type RunProgress struct {
	Run work.RunID
	// Percent is the progress as the runner last listed it, 0 to 100.
	Percent int
	// Left is the time left until the run ends at its own recent pace; zero if it is unknown.
	Left time.Duration
	// Stalled is true if the run makes no progress.
	Stalled bool
}

// progress is what is known of the progress of an open run.
type progress struct {
	// at is when the guard's last report was received; zero if nothing is known.
	at time.Duration
	// endsAt is the predicted end of a run whose progress moves.
	endsAt  time.Duration
	stalled bool
}

// valid reports whether the progress still says how the run goes on. A stalled run stays so until its
// guard reports otherwise.
func (g progress) valid(now time.Duration) bool {
	return g.at > 0 && (g.stalled || now < g.validUntil())
}

func (g progress) validUntil() time.Duration {
	return max(g.at+recentProgress, g.endsAt+progressMargin)
}

// ProgressCounts count the decisions on runs by their progress since the start of the process.
type ProgressCounts struct {
	// Kept counts the runs that went on beyond their run time limit, Stalled those that were stopped
	// because they made no progress, and Slow those stopped because a run elsewhere ends earlier.
	Kept, Stalled, Slow int
}

// ProgressCounts returns the counts since the start of the process.
func (p *Planner) ProgressCounts() ProgressCounts { return p.progressCounts }

// RecordProgress records a guard's report on the progress of a run. Reports on other runs than the
// task's open one, and values out of range, are ignored.
func (p *Planner) RecordProgress(now time.Duration, id string, r RunProgress) {
	e := p.endpoints[id]
	if p.opt.Disabled.RunProgress || e == nil || r.Percent < 0 || r.Percent > maxPercent || r.Left < 0 || r.Left > maxLeft {
		return
	}
	t := e.runs[r.Run.Task]
	if t == nil || t.attempt != r.Run.Attempt || t.orphaned || t.running == 0 {
		return
	}
	switch {
	case r.Stalled:
		t.progress = progress{at: now, stalled: true}
		t.job.service.recordStall(now, e)
		p.nextCheck = min(p.nextCheck, now)
	case r.Left > 0:
		t.progress = progress{at: now, endsAt: now + r.Left}
		if t.progress.endsAt > t.job.deadline-answerMargin || t.endpointIsCause() || now >= t.running+t.runTimeLimit() {
			p.nextCheck = min(p.nextCheck, now)
		}
	default:
		// The guard no longer knows how the run goes on.
		t.progress = progress{}
		p.nextCheck = min(p.nextCheck, now)
	}
}

// recordStall records that a run has stalled at an endpoint. The endpoints are counted once per
// endpoint and stallWindow.
func (s *service) recordStall(now time.Duration, at *endpoint) {
	if at.stalledAt > 0 && now-at.stalledAt < stallWindow {
		return
	}
	at.stalledAt = now
	accepting, stalled := 0, 0
	for _, e := range s.endpoints {
		if !e.acceptsStarts() {
			continue
		}
		accepting++
		if e.stalledAt > 0 && now-e.stalledAt < stallWindow {
			stalled++
		}
	}
	if stalled*maxStalledDivisor > accepting {
		s.stallsUntil = now + stallWindow
	}
}

// progressDecision is what the progress of a run decides.
type progressDecision int

const (
	// noProgress: nothing is known, and the run time limit decides.
	noProgress progressDecision = iota
	keepsRunning
	// stopSlow: a run elsewhere ends before this one.
	stopSlow
	stopStalled
)

// reason returns the reason for a stop.
func (d progressDecision) reason() Reason {
	if d == stopStalled {
		return ReasonRunStalled
	}
	return ReasonRunTooLong
}

// judgeProgress decides by its progress whether a run goes on. For a run that does, it returns the
// time of the next check.
func (p *Planner) judgeProgress(now time.Duration, t *task) (progressDecision, time.Duration) {
	g := t.progress
	if !g.valid(now) {
		return noProgress, 0
	}
	if g.stalled {
		// If a second run, at another endpoint, stalls as well, the task is the cause: then the
		// run time limit decides.
		if t.overruns > 0 || now < t.job.service.stallsUntil || !p.mayMove(now, t, t.runTimeElsewhere()) {
			return noProgress, 0
		}
		p.progressCounts.Stalled++
		return stopStalled, 0
	}
	if t.overruns < maxSlowStops && p.endsEarlierElsewhere(now, t) && p.mayMove(now, t, t.runTimeElsewhere()) {
		p.progressCounts.Slow++
		return stopSlow, 0
	}
	due := t.running + t.runTimeLimit()
	if now < due {
		return keepsRunning, due
	}
	if !t.kept {
		t.kept = true
		p.progressCounts.Kept++
		p.out.Kept = append(p.out.Kept, Kept{Endpoint: t.endpoint.id, Run: t.run(), Ran: now - t.running, Left: max(g.endsAt-now, 0)})
	}
	return keepsRunning, g.validUntil()
}

// mayMove reports whether a run may be stopped and run elsewhere in the given time before its
// caller's deadline.
func (p *Planner) mayMove(now time.Duration, t *task, run time.Duration) bool {
	return endElsewhere(now, run) <= t.job.deadline-answerMargin && t.job.service.hasAlternative(t.endpoint) && !p.hasLateStart(now, t)
}

// endElsewhere is the end of a run that is stopped now and started elsewhere.
func endElsewhere(now, run time.Duration) time.Duration { return now + stopLatency + startMargin + run }

// endsEarlierElsewhere reports whether a run whose progress moves ends too late and elsewhere not, or
// its endpoint is the cause of its slowness and a run elsewhere ends well before it.
func (p *Planner) endsEarlierElsewhere(now time.Duration, t *task) bool {
	end := max(t.progress.endsAt, now)
	elsewhere := endElsewhere(now, t.runTimeElsewhere())
	if end > t.job.deadline-answerMargin {
		return elsewhere < end
	}
	return t.endpointIsCause() && elsewhere-now <= (end-now)/wellBeforeDivisor
}

// runTimeElsewhere predicts the run time of a task on a normal endpoint. A task that is long by nature
// takes as long as it does here at its own pace.
func (t *task) runTimeElsewhere() time.Duration {
	total := t.endpoint.normalRunTime(t.progress.endsAt - t.running)
	switch {
	case t.progress.stalled && t.job.peerRunTimesKnown():
		return t.job.meanRunTime
	case t.progress.stalled:
		return t.job.expected[t.step]
	case t.slowerThanPeers():
		return t.job.meanRunTime
	case t.endpoint.speed.slow:
		return time.Duration(float64(total) / t.endpoint.relativeRunTime())
	default:
		return total
	}
}

// endpointIsCause reports whether there is evidence that the endpoint is the cause of a run's slowness:
// other tasks of the job were much faster elsewhere, or it is slow.
func (t *task) endpointIsCause() bool { return t.slowerThanPeers() || t.endpoint.speed.slow }

// slowerThanPeers reports whether the run is much slower than the finished tasks of its job. If an
// earlier run of the task was stopped for it, the task is the cause.
func (t *task) slowerThanPeers() bool {
	total := t.endpoint.normalRunTime(t.progress.endsAt - t.running)
	return t.overruns == 0 && t.job.peerRunTimesKnown() && float64(total) > peerLimitFactor*float64(t.job.meanRunTime)
}
