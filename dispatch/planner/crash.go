package planner

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// Every task running on a runner when it crashes is a suspect; at most one of them caused the
// crash. A suspect is started again, each time on another runner, until one of these happens:
//   - its run ends there: it did not cause the crash;
//   - a second runner crashes with nothing else running there, or the task was the last one
//     started both times: its job fails;
//   - a third runner crashes while running it: its job fails, whatever else was running.

const (
	// minConclusiveCrashes is the number of crashes from which a task may be given up,
	// maxTaskCrashes the number from which it always is: each further attempt costs another
	// runner.
	minConclusiveCrashes = 2
	maxTaskCrashes       = 3
)

// Crashes with a common cause: a rack or data centre that goes down is no evidence against a
// task.
const (
	// commonWindow is the time within which such crashes become known: leases expire some 0.7 s
	// after them.
	commonWindow = 2 * time.Second
	// minCommonCrashes is the minimum number of such crashes, and at most one in
	// commonSurvivorDivisor endpoints of the failure domain is still up. Tasks that crash their
	// runners hit racks at random.
	minCommonCrashes      = 3
	commonSurvivorDivisor = 5
)

// Crash is a guard's report on a run whose runner crashed.
type Crash struct {
	// Runner is the process that crashed; empty from guards that do not report it.
	Runner work.Incarnation
	// OtherCount counts the other runs on that runner.
	OtherCount int
	// Newest is true for the run that started last.
	Newest bool
}

// crash is the crash of one incarnation of a runner.
type crash struct {
	at          time.Duration
	endpoint    *endpoint
	incarnation work.Incarnation
	suspects    []suspect
	// common is true once the crash is known to share its cause with others.
	common bool
}

// suspect is a task that was running on a runner when it crashed.
type suspect struct {
	task   *task
	newest bool
}

// CrashCounts count what became of the reported crashes, one per run.
type CrashCounts struct {
	// Attributed crashes count against their tasks; those in CommonCause had a common cause and
	// do not.
	Attributed, CommonCause int
	// Suspects counts the unfinished tasks of open jobs that have crashes attributed to them.
	Suspects int
}

// CrashCounts returns the counts since the start of the process, and the current number of
// suspects.
func (p *Planner) CrashCounts() CrashCounts {
	c := p.crashCounts
	for _, j := range p.jobs {
		if j.outcome != 0 {
			continue
		}
		for _, t := range j.tasks {
			if t.crashes > 0 && !t.done {
				c.Suspects++
			}
		}
	}
	return c
}

// ReportCrash handles a guard's report that its runner crashed while running a task, and returns how
// long the run lasted.
func (p *Planner) ReportCrash(now time.Duration, id string, run work.RunID, ran time.Duration, c Crash) time.Duration {
	e := p.endpoints[id]
	if e == nil {
		return 0
	}
	t := e.runs[run.Task]
	if t == nil || t.attempt != run.Attempt {
		p.attributeLate(now, e, run, c)
		return 0
	}
	if !t.stopping {
		// The endpoint gets no starts until its runner's next incarnation.
		e.health.recordFailure(now, e.service.failureRate)
	}
	p.closeRun(t)
	t.job.mayHaveRun = true
	t.avoid = e
	p.attribute(now, t, e, c)
	p.requeueTask(t)
	return ran
}

// attributeLate counts a crash that the guard learnt of only after the run had been reported
// as over.
func (p *Planner) attributeLate(now time.Duration, e *endpoint, run work.RunID, c Crash) {
	j := p.jobs[run.Task.Job]
	if j == nil || j.outcome != 0 {
		return
	}
	for _, t := range j.tasks {
		if t.id() == run.Task && !t.done {
			p.attribute(now, t, e, c)
		}
	}
}

// attribute counts a crash against a task, and fails its job if the evidence is conclusive. A
// guard reports a crash again when a stop order of the run crosses its first report.
func (p *Planner) attribute(now time.Duration, t *task, e *endpoint, c Crash) {
	x := p.crashRecord(now, e, c.Runner)
	if slices.ContainsFunc(x.suspects, func(s suspect) bool { return s.task == t }) {
		return
	}
	if t.crashedAt == e && p.hasLateStart(now, t) {
		// A late start kept the task there, so the crash says as much about the runner.
		return
	}
	t.crashedAt = e
	x.suspects = append(x.suspects, suspect{t, c.Newest})
	if x.common {
		p.crashCounts.CommonCause++
		return
	}
	p.crashCounts.Attributed++
	t.addCrashes(1, c.Newest)
	p.discountCommon(x)
	if t.job.outcome == 0 && t.crashesConclusive(c) {
		p.end(now, t.job, Failed, ReasonCrashes)
	}
}

// addCrashes adds to the crash counts of a task; a negative n takes crashes back.
func (t *task) addCrashes(n int, newest bool) {
	t.crashes += n
	if newest {
		t.newestCrashes += n
	}
}

// crashesConclusive reports whether the task must not be started again.
func (t *task) crashesConclusive(c Crash) bool {
	if t.crashes >= maxTaskCrashes {
		return true
	}
	return t.crashes >= minConclusiveCrashes && (c.OtherCount == 0 || t.newestCrashes == t.crashes)
}

// crashRecord returns the crash record of a runner's incarnation at an endpoint, and adds it if
// there is none. If the guard does not report the incarnation, it is the one known to this
// entry.
func (p *Planner) crashRecord(now time.Duration, e *endpoint, runner work.Incarnation) *crash {
	if runner.ID == "" {
		runner = e.runner
	}
	p.crashes = slices.DeleteFunc(p.crashes, func(c *crash) bool { return now-c.at > commonWindow })
	for _, c := range p.crashes {
		if c.endpoint == e && c.incarnation == runner {
			return c
		}
	}
	c := &crash{at: now, endpoint: e, incarnation: runner}
	p.crashes = append(p.crashes, c)
	return c
}

// discountCommon takes back the crashes attributed to tasks if they turn out to have a common
// cause.
func (p *Planner) discountCommon(x *crash) {
	for _, in := range x.endpoint.failureDomains() {
		if !p.commonCause(x.endpoint.service, in) {
			continue
		}
		for _, c := range p.crashes {
			if c.common || !in(c.endpoint) {
				continue
			}
			c.common = true
			p.crashCounts.Attributed -= len(c.suspects)
			p.crashCounts.CommonCause += len(c.suspects)
			for _, s := range c.suspects {
				s.task.addCrashes(-1, s.newest)
			}
		}
	}
}

// failureDomains returns the sets of endpoints that may fail together with this one: its data
// centre, and one for each of its labels.
func (e *endpoint) failureDomains() []func(*endpoint) bool {
	all := []func(*endpoint) bool{func(o *endpoint) bool { return o.dataCentre == e.dataCentre }}
	for _, label := range e.labels {
		all = append(all, func(o *endpoint) bool { return slices.Contains(o.labels, label) })
	}
	return all
}

// commonCause reports whether nearly all endpoints of a failure domain crashed within
// commonWindow.
func (p *Planner) commonCause(s *service, in func(*endpoint) bool) bool {
	if s == nil {
		return false
	}
	all, down := 0, 0
	for _, e := range s.endpoints {
		if in(e) {
			all++
		}
	}
	for _, c := range p.crashes {
		if in(c.endpoint) {
			down++
		}
	}
	return down >= minCommonCrashes && (all-down)*commonSurvivorDivisor <= all
}

// placedTogether returns how many of the first waiting tasks are placed together: a suspect, or a
// task with a late start, is placed alone.
func (p *Planner) placedTogether(now time.Duration, waiting []*task) int {
	alone := func(t *task) bool { return t.crashes > 0 || p.hasLateStart(now, t) }
	if alone(waiting[0]) {
		return 1
	}
	n := slices.IndexFunc(waiting, alone)
	if n < 0 {
		return len(waiting)
	}
	return n
}

// forSuspect adjusts an endpoint's score for a suspect. An endpoint with another suspect is
// excluded, so that a crash is evidence against only one of them; of the rest, the one with
// the most free CPU is preferred, whatever its data centre.
func (s score) forSuspect(e *endpoint) score {
	if e.suspects > 0 {
		return score{}
	}
	s.sameDataCentre = false
	return s
}
