package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// RunEvent is a change in the state of a run, as its guard reports it.
type RunEvent int

// Values of RunEvent.
const (
	Running RunEvent = iota + 1
	Done
	TaskFailed
	// Stopped: ended before its work was done.
	Stopped
	// NoCapacity: never started, the endpoint was full.
	NoCapacity
	// NotAccepted: never started, for a reason that does not reflect on the runner.
	NotAccepted
	// Unknown: the guard has no such run. It never started, unless it ended longer ago than
	// guards keep the ends of runs.
	Unknown
	// NotStarted: never started, the runner refused it or did not answer.
	NotStarted
	// Crashed: its runner crashed while running it; see Crash.
	Crashed
)

// minEndRetention is the minimum time for which a guard keeps the end of a run: a run that it
// does not know has not ended there within that time.
const minEndRetention = 9 * time.Second

// ReportRun handles a guard's report on a run, and returns how long the run lasted. ran is the
// run time that the guard reported; if it is zero, the run time is taken from the arrival
// times of the guard's messages.
func (p *Planner) ReportRun(now time.Duration, id string, run work.RunID, c RunEvent, ran time.Duration) time.Duration {
	e := p.endpoints[id]
	if e == nil {
		return 0
	}
	t := e.runs[run.Task]
	if t == nil || t.attempt != run.Attempt {
		return 0
	}
	if t.orphaned {
		// The guard has no record of the run, which may go on until its runner is reconciled.
		return 0
	}
	if c == Running {
		p.recordRunning(now, t, now-ran)
		return 0
	}
	if ran == 0 && t.running > 0 {
		ran = now - t.running
	}
	stopping := t.stopping
	overran := c == Stopped && t.overranBefore() && e.normalRunTime(ran) > t.job.expected[t.step]
	wasRunning := t.running > 0
	p.closeRun(t)
	if wasRunning {
		p.leaveToGuard(now, e, t.job.work.Steps[t.step].Need)
	}
	switch c {
	case Done:
		p.recordDone(now, t, e, ran)
	case TaskFailed:
		t.job.mayHaveRun = true
		t.failures++
		t.avoid = e
		e.recordTaskFailed(now)
		p.updateFailureRate(e.service, 1)
		if t.failures >= t.job.terms.MaxAttempts && t.job.outcome == 0 {
			p.end(now, t.job, Failed, ReasonTaskFailed)
		}
	case Stopped, Crashed:
		t.job.mayHaveRun = true
		if !stopping {
			e.health.recordFailure(now, e.service.failureRate)
		}
		if overran {
			// The run time is longer still. Without it, a contract whose tasks now take longer
			// than the limits by its older run times would never complete a run.
			p.recordRunTime(now, t.job, e.normalRunTime(ran), t.job.work.Steps[t.step].Declared)
			p.estimate(t.job.terms.Contract).forgetTail(now)
		}
		t.avoid = e
	case NotStarted:
		if !stopping {
			e.health.recordFailure(now, e.service.failureRate)
		}
		t.avoid = e
	case NoCapacity, NotAccepted:
		t.avoid = e
	case Unknown:
		t.job.mayHaveRun = t.job.mayHaveRun || now-t.ordered >= minEndRetention
		t.avoid = e
	}
	p.requeueTask(t)
	return ran
}

// recordRunning records, at now, that a run started at an earlier time.
func (p *Planner) recordRunning(now time.Duration, t *task, at time.Duration) {
	if t.running > 0 {
		return
	}
	t.running = max(at, t.ordered)
	t.job.mayHaveRun = true
	p.nextCheck = min(p.nextCheck, max(now, t.running+t.runTimeLimit()))
	need := t.job.work.Steps[t.step].Need
	t.endpoint.ordered = t.endpoint.ordered.Sub(need)
	// The guard's report of the used capacity may arrive after this one.
	t.endpoint.used = t.endpoint.used.Add(need)
}

// closeRun closes a task's open run.
func (p *Planner) closeRun(t *task) {
	e := t.endpoint
	need := t.job.work.Steps[t.step].Need
	if t.running == 0 {
		e.ordered = e.ordered.Sub(need)
	} else {
		e.used = e.used.Sub(need)
	}
	delete(e.runs, t.id())
	if t.suspect {
		e.suspects--
		t.suspect = false
	}
	t.endpoint = nil
	t.stopping = false
}

// recordDone records that a task is done.
func (p *Planner) recordDone(now time.Duration, t *task, e *endpoint, ran time.Duration) {
	j := t.job
	normal := e.normalRunTime(ran)
	if !t.done {
		t.done = true
		j.unfinished[t.step]--
		j.meanRunTime += (normal - j.meanRunTime) / time.Duration(j.doneTasks+1)
		j.doneTasks++
	}
	expected := j.expected[t.step]
	ratio := e.service.runTimes.relative(float64(normal) / float64(max(expected, time.Millisecond)))
	if e.cold(now - ran) {
		// The run says nothing of the endpoint's speed once it is warm.
		ratio = max(e.health.meanRatio, 1)
	}
	e.health.recordSuccess(ratio)
	p.updateFailureRate(e.service, 0)
	estimate := p.estimate(j.terms.Contract)
	slow := e.speed.slow || e.cold(now-ran)
	switch {
	case e.speed.slow:
		e.recordSlowRun(now, ratio)
	case !slow:
		e.service.runTimes.add(ratio)
		estimate.normalRunAt = now
	}
	if estimate.learnsFrom(now, slow) {
		declared := j.work.Steps[t.step].Declared
		p.recordRunTime(now, j, normal, declared)
		estimate.runTimes.Add(now, e.id, normal, declared)
	}
	if j.outcome != 0 {
		return
	}
	if j.peerRunTimesKnown() {
		p.nextCheck = now
	}
	for _, left := range j.unfinished {
		if left > 0 {
			j.service.requeue(j)
			return
		}
	}
	p.end(now, j, Completed, ReasonDone)
}

// recordRunTime adds the run time of a task on a normal endpoint to the contract's estimate. The first one of a
// retest replaces what was learnt before.
func (p *Planner) recordRunTime(now time.Duration, j *job, ran, declared time.Duration) {
	e := p.estimate(j.terms.Contract)
	if j.retest {
		j.retest = false
		e.reset()
	}
	e.learn(now, ran, declared)
}

func (p *Planner) updateFailureRate(s *service, failed float64) {
	s.failureRate += averageWeight * (failed - s.failureRate)
}

// requeueTask makes a task wait for another run, or settles its job if that has ended.
func (p *Planner) requeueTask(t *task) {
	j := t.job
	if j.outcome != 0 {
		p.settle(j)
		return
	}
	if !t.done && j.neverRan() {
		// No run has ever started, so the job may again be refused as not run.
		j.started = false
	}
	j.service.remove(j)
	j.service.requeue(j)
}

// neverRan reports whether no task of the job has run or may be running.
func (j *job) neverRan() bool {
	if j.mayHaveRun {
		return false
	}
	for _, t := range j.tasks {
		if t.open() || t.done {
			return false
		}
	}
	return true
}

// Limits of the run time.
const (
	// runTimeLimitFactor times the expected run time plus runTimeLimitMargin is the limit while
	// the run times of the job's other tasks are unknown: run times of one contract differ by a
	// factor of two.
	runTimeLimitFactor = 3
	runTimeLimitMargin = 60 * time.Millisecond
	// peerLimitFactor applies instead to the mean of the job's finished tasks, normalised by the
	// lasting speeds of their endpoints: tasks of one job differ by some 15 %.
	peerLimitFactor = 2
	// maxLimitDoublings keeps the doubled limit from overflowing; a caller waits only some
	// seconds.
	maxLimitDoublings = 8
)

// stopLongRuns stops runs that take far too long, if a run elsewhere would still end before the
// caller's deadline. It returns the time of the next check.
func (p *Planner) stopLongRuns(now time.Duration, j *job) time.Duration {
	next := now + time.Second
	for _, t := range j.tasks {
		if !t.open() || t.running == 0 || t.stopping || !t.endpoint.attached {
			continue
		}
		expected := j.expected[t.step]
		if j.peerRunTimesKnown() {
			expected = j.meanRunTime
		}
		switch decision, until := p.judgeProgress(now, t); decision {
		case keepsRunning:
			next = min(next, until)
			continue
		case stopSlow:
			if t.endpointIsCause() {
				p.recordOverrun(now, t)
			}
			t.overruns++
			p.stop(t, decision.reason())
			continue
		case stopStalled:
			p.stopLongRun(now, t, decision.reason())
			continue
		}
		due := t.running + t.runTimeLimit()
		if now < due {
			next = min(next, due)
			continue
		}
		if now+expected+startMargin+stopLatency > j.deadline-answerMargin || !j.service.hasAlternative(t.endpoint) || p.hasLateStart(now, t) {
			continue
		}
		p.stopLongRun(now, t, ReasonRunTooLong)
	}
	return next
}

// stopLongRun stops a run that takes too long or has stalled.
func (p *Planner) stopLongRun(now time.Duration, t *task, reason Reason) {
	p.recordOverrun(now, t)
	t.overruns++
	p.stop(t, reason)
}

// recordOverrun records a run that is stopped against its endpoint. If a second run, at another
// endpoint, takes too long as well, the task is the cause.
func (p *Planner) recordOverrun(now time.Duration, t *task) {
	if t.overruns == 0 {
		t.endpoint.health.recordFailure(now, t.job.service.failureRate)
	}
}

// overranBefore reports whether an earlier run of the task than the open one was stopped for taking
// too long: then the task is the cause, not the endpoint.
func (t *task) overranBefore() bool {
	return t.overruns > 1 || t.overruns == 1 && t.stopReason != ReasonRunTooLong && t.stopReason != ReasonRunStalled
}

// peerRunTimesKnown reports whether enough of the job's tasks have finished to tell how long
// one runs.
func (j *job) peerRunTimesKnown() bool {
	return len(j.work.Steps) == 1 && 2*j.doneTasks >= len(j.tasks)
}

// runTimeLimit is the run time from which a run is considered hung if nothing is known of its
// progress. It doubles with each run
// of the task stopped for this: otherwise a task that simply takes long would be stopped at
// one endpoint after another and never end.
func (t *task) runTimeLimit() time.Duration {
	normal := t.job.runTimeLimits[t.step]
	if t.job.peerRunTimesKnown() {
		normal = min(normal, time.Duration(peerLimitFactor*float64(t.job.meanRunTime)))
	}
	limit := time.Duration(float64(normal)*t.endpoint.runTimeFactor()) + runTimeLimitMargin
	return limit << min(t.overruns, maxLimitDoublings)
}

// stopLatency is how long it takes to stop a run, messages included.
const stopLatency = 60 * time.Millisecond
