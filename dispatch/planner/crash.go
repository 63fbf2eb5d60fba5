package planner

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// Any task running at a crash is a suspect; at most one of them caused it. A suspect is
// started again, each time at another runner, until
//   - it ends there: it is sound;
//   - a second runner crashes under it with nothing else there, or it was the one that began
//     last both times: its job is given up;
//   - a third crashes under it: its job is given up, whatever else was there.

const (
	// sureCrashes is the number of crashes under a task from which it may be given up,
	// mostCrashes that from which it always is: each more costs another runner.
	sureCrashes = 2
	mostCrashes = 3
)

// Crashes with one cause: a rack or a data centre that goes down is no evidence against a
// task.
const (
	// commonWindow is the time within which such crashes become known: leases run out some
	// 0.7 s after them.
	commonWindow = 2 * time.Second
	// commonLeast is the least number of them, and one in commonSpared at the most of the
	// endpoints of the failure domain stays. Tasks that crash runners hit racks at random.
	commonLeast  = 3
	commonSpared = 5
)

// Crash is what a guard reports of a run on a runner that crashed.
type Crash struct {
	// Runner is the process that crashed; empty from guards that don't say.
	Runner work.Incarnation
	// Others counts the other runs that were there.
	Others int
	// Newest is true for the run that began last.
	Newest bool
}

// crash of one incarnation of a runner.
type crash struct {
	at          time.Duration
	endpoint    *endpoint
	incarnation work.Incarnation
	suspects    []suspect
	// common is true once it is known to have one cause with others.
	common bool
}

// suspect is one task under which a runner crashed.
type suspect struct {
	task   *task
	newest bool
}

// CrashCounts are what became of the crashes that guards have reported, a run each.
type CrashCounts struct {
	// Attributed counts against their tasks, Common had one cause with others and does not.
	Attributed, Common int
	// Suspects are the tasks of open jobs under which a runner has crashed and that are
	// not done.
	Suspects int
}

// CrashCounts returns the counts since the start, and the suspects of now.
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

// Crash takes a guard's report that its runner crashed under a run, and returns how long
// the run lasted.
func (p *Planner) Crash(now time.Duration, id string, run work.RunID, ran time.Duration, c Crash) time.Duration {
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
		// It takes nothing until its next incarnation.
		e.health.bad(now, e.service.failRate)
	}
	p.over(t)
	t.job.ran = true
	t.avoid = e
	p.attribute(now, t, e, c)
	p.again(t)
	return ran
}

// attributeLate counts a crash of which the guard knew only after the run had been reported as over.
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

// attribute counts a crash against a task, and gives its job up when that is conclusive.
func (p *Planner) attribute(now time.Duration, t *task, e *endpoint, c Crash) {
	x := p.crashOf(now, e, c.Runner)
	x.suspects = append(x.suspects, suspect{t, c.Newest})
	if x.common {
		p.crashCounts.Common++
		return
	}
	p.crashCounts.Attributed++
	t.addCrashes(1, c.Newest)
	p.discountCommon(x)
	if t.job.outcome == 0 && t.crashesConclusive(c) {
		p.end(now, t.job, Failed, WhyCrashes)
	}
}

// addCrashes adds to a task's crashes, or takes them back.
func (t *task) addCrashes(n int, newest bool) {
	t.crashes += n
	if newest {
		t.newest += n
	}
}

// crashesConclusive reports whether the task is not to be started again.
func (t *task) crashesConclusive(c Crash) bool {
	if t.crashes >= mostCrashes {
		return true
	}
	return t.crashes >= sureCrashes && (c.Others == 0 || t.newest == t.crashes)
}

// crashOf returns the crash of an incarnation at an endpoint: of the one that the entry knows of
// where the guard doesn't say.
func (p *Planner) crashOf(now time.Duration, e *endpoint, runner work.Incarnation) *crash {
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

// discountCommon takes back what crashes with one cause were counted for.
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
			p.crashCounts.Common += len(c.suspects)
			for _, s := range c.suspects {
				s.task.addCrashes(-1, s.newest)
			}
		}
	}
}

// failureDomains returns the sets of endpoints that the endpoint may fail together with:
// its data centre, and each of its labels.
func (e *endpoint) failureDomains() []func(*endpoint) bool {
	all := []func(*endpoint) bool{func(o *endpoint) bool { return o.zone == e.zone }}
	for _, label := range e.labels {
		all = append(all, func(o *endpoint) bool { return slices.Contains(o.labels, label) })
	}
	return all
}

// commonCause reports whether nearly all endpoints of a failure domain crashed a moment ago.
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
	return down >= commonLeast && (all-down)*commonSpared <= all
}

// alike counts the first tasks that are placed together: a suspect is placed by itself.
func alike(waiting []*task) int {
	if waiting[0].crashes > 0 {
		return 1
	}
	n := slices.IndexFunc(waiting, func(t *task) bool { return t.crashes > 0 })
	if n < 0 {
		return len(waiting)
	}
	return n
}

// forSuspect rates an endpoint for a suspect: not where another one runs, so that a crash
// is evidence against one of them only, and where least else runs.
func (s score) forSuspect(e *endpoint) score {
	if e.suspects > 0 {
		return score{}
	}
	s.here = false
	return s
}
