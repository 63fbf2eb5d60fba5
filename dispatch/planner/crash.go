package planner

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// Who crashed the runner? Every task that ran there may have; one did, or none. A task is
// started again, each time at another runner, until it is known well enough:
//   - it ends elsewhere: it is sound;
//   - a second runner crashes under it with nothing else there, or it was the one that began
//     last both times: it is given up;
//   - a third crashes under it: it is given up, whatever was there.
//
// A task that merely stood beside is in the way of two crashes rarely, and as the newest of
// ten runs of both in one case of a hundred of these.

const (
	// sureCrashes is the number of crashes under a task from which it may be given up,
	// mostCrashes that from which it always is: each more costs another runner.
	sureCrashes = 2
	mostCrashes = 3
)

// Crashes with one cause: a rack or a data centre that goes down speaks against no task.
const (
	// commonWindow is the time within which such crashes become known: leases run out some
	// 0.7 s after them.
	commonWindow = 2 * time.Second
	// commonLeast is the least number of them, and one in commonSpared at the most of the
	// endpoints that share a label or a data centre stays. Poisonous tasks hit racks at
	// random.
	commonLeast  = 3
	commonSpared = 5
)

// Crash is what a guard tells of a run on a runner that crashed.
type Crash struct {
	// Others counts the other runs that were there.
	Others int
	// Newest is true for the run that began last.
	Newest bool
}

// crash of one life of a runner.
type crash struct {
	at       time.Duration
	endpoint *endpoint
	life     string
	blames   []blame
	// common is true once it is known to have one cause with others.
	common bool
}

// blame is one task under which the runner crashed.
type blame struct {
	task   *task
	newest bool
}

// Crash takes a guard's word that its runner crashed under a run, and returns how long the
// run lasted.
func (p *Planner) Crash(now time.Duration, id string, run work.RunID, ran time.Duration, c Crash) time.Duration {
	e := p.endpoints[id]
	if e == nil {
		return 0
	}
	t := e.runs[run.Task]
	if t == nil || t.attempt != run.Attempt {
		p.blameLate(now, e, run, c)
		return 0
	}
	if !t.stopping {
		// It takes nothing until its next life.
		e.health.bad(now, e.service.failRate)
	}
	p.over(t)
	t.job.ran = true
	t.avoid = e
	p.blame(now, t, e, c)
	p.again(t)
	return ran
}

// blameLate counts a crash of which the guard knew only after the run had been reported as over.
func (p *Planner) blameLate(now time.Duration, e *endpoint, run work.RunID, c Crash) {
	j := p.jobs[run.Task.Job]
	if j == nil || j.outcome != 0 {
		return
	}
	for _, t := range j.tasks {
		if t.id() == run.Task && !t.done {
			p.blame(now, t, e, c)
		}
	}
}

// blame counts a crash against a task, and gives its job up when enough is known.
func (p *Planner) blame(now time.Duration, t *task, e *endpoint, c Crash) {
	x := p.crashOf(now, e)
	x.blames = append(x.blames, blame{t, c.Newest})
	if x.common {
		return
	}
	t.count(1, c.Newest)
	p.clearCommon(x)
	if t.job.outcome == 0 && t.guilty(c) {
		p.end(now, t.job, Failed, WhyCrashes)
	}
}

// count adds to a task's crashes, or takes them back.
func (t *task) count(n int, newest bool) {
	t.crashes += n
	if newest {
		t.newest += n
	}
}

// guilty reports whether the task is not to be started again.
func (t *task) guilty(c Crash) bool {
	if t.crashes >= mostCrashes {
		return true
	}
	return t.crashes >= sureCrashes && (c.Others == 0 || t.newest == t.crashes)
}

// crashOf returns the crash of the runner's present life at an endpoint.
func (p *Planner) crashOf(now time.Duration, e *endpoint) *crash {
	p.crashes = slices.DeleteFunc(p.crashes, func(c *crash) bool { return now-c.at > commonWindow })
	for _, c := range p.crashes {
		if c.endpoint == e && c.life == e.runner {
			return c
		}
	}
	c := &crash{at: now, endpoint: e, life: e.runner}
	p.crashes = append(p.crashes, c)
	return c
}

// clearCommon takes back what crashes with one cause were counted for.
func (p *Planner) clearCommon(x *crash) {
	for _, shared := range x.endpoint.shares() {
		if !p.common(x.endpoint.service, shared) {
			continue
		}
		for _, c := range p.crashes {
			if c.common || !shared(c.endpoint) {
				continue
			}
			c.common = true
			for _, b := range c.blames {
				b.task.count(-1, b.newest)
			}
		}
	}
}

// shares returns what an endpoint has in common with others: its data centre, each label.
func (e *endpoint) shares() []func(*endpoint) bool {
	all := []func(*endpoint) bool{func(o *endpoint) bool { return o.zone == e.zone }}
	for _, label := range e.labels {
		all = append(all, func(o *endpoint) bool { return slices.Contains(o.labels, label) })
	}
	return all
}

// common reports whether nearly all endpoints that share something crashed a moment ago.
func (p *Planner) common(s *service, shared func(*endpoint) bool) bool {
	if s == nil {
		return false
	}
	all, down := 0, 0
	for _, e := range s.endpoints {
		if shared(e) {
			all++
		}
	}
	for _, c := range p.crashes {
		if shared(c.endpoint) {
			down++
		}
	}
	return down >= commonLeast && (all-down)*commonSpared <= all
}

// alike counts the first tasks that are placed together: one that may crash its runner is
// placed by itself.
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

// forSuspect rates an endpoint for a task that may crash it: not where another such runs, so
// that a crash speaks against one of them only, and where least else runs.
func (s score) forSuspect(e *endpoint) score {
	if e.suspects > 0 {
		return score{}
	}
	s.here = false
	return s
}
