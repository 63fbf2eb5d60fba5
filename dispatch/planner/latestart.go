package planner

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// lateStart is a start of a task that went unanswered and may be executed at an endpoint until the
// given time.
type lateStart struct {
	endpoint string
	until    time.Duration
	// fromPeer is true if another entry reported it, and not the endpoint's guard.
	fromPeer bool
}

// RecordLateStart handles a guard's report that a start of a task may still be executed by its
// runner within the time left. The guard may have sent the start for another entry, to which the
// caller submitted the job before.
func (p *Planner) RecordLateStart(now time.Duration, endpoint string, task work.TaskID, left time.Duration) {
	p.recordLateStart(task, lateStart{endpoint: endpoint, until: now + left})
}

// RecordPeerLateStart is RecordLateStart for a late start that another entry reported.
func (p *Planner) RecordPeerLateStart(now time.Duration, l EndpointLateStart) {
	p.recordLateStart(l.Task, lateStart{endpoint: l.Endpoint, until: now + l.Left, fromPeer: true})
}

func (p *Planner) recordLateStart(task work.TaskID, l lateStart) {
	late := p.lateStarts[task]
	same := slices.IndexFunc(late, func(o lateStart) bool { return o.endpoint == l.endpoint && o.fromPeer == l.fromPeer })
	if same >= 0 {
		late[same].until = max(late[same].until, l.until)
	} else {
		p.lateStarts[task] = append(late, l)
	}
	if j := p.jobs[task.Job]; j != nil && j.started {
		// It may be one of the job's own.
		j.mayHaveRun = true
	}
}

// mayRunElsewhere reports whether a start of a task may still be executed at another endpoint than
// the given one. At that one the task may be started: its guard starts nothing while its runner
// executes an earlier start of the task.
func (p *Planner) mayRunElsewhere(now time.Duration, t *task, e *endpoint) bool {
	return slices.ContainsFunc(p.lateStarts[t.id()], func(l lateStart) bool { return l.endpoint != e.id && l.until > now })
}

// hasLateStart reports whether a start of a task may still be executed.
func (p *Planner) hasLateStart(now time.Duration, t *task) bool {
	return slices.ContainsFunc(p.lateStarts[t.id()], func(l lateStart) bool { return l.until > now })
}

// lateStartPruneInterval is the time between two removals of late starts.
const lateStartPruneInterval = time.Second

// forgetLateStarts removes the late starts that can't be executed any more.
func (p *Planner) forgetLateStarts(now time.Duration) {
	if now-p.lateStartsPruned < lateStartPruneInterval {
		return
	}
	p.lateStartsPruned = now
	for task, late := range p.lateStarts {
		late = slices.DeleteFunc(late, func(l lateStart) bool { return l.until <= now })
		if len(late) == 0 {
			delete(p.lateStarts, task)
		} else {
			p.lateStarts[task] = late
		}
	}
}
