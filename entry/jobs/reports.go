package jobs

import (
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/telemetry/uptime"
)

// GuardUpdate is the content of one guard message: its capacity, if it changed, late starts and
// reports of runs.
type GuardUpdate struct {
	// SentAt is the uptime of this host at which the guard sent the message; zero if it is not the
	// guard's.
	SentAt     time.Duration
	Status     *planner.EndpointStatus
	LateStarts []LateStart
	Reports    []Report
	Progress   []planner.RunProgress
}

// LateStart is a task of which a start may be executed by the guard's runner within the time left.
type LateStart struct {
	Task work.TaskID
	Left time.Duration
}

// Report is a state change of a run.
type Report struct {
	Run    work.RunID
	Change planner.RunEvent
	// Ran is how long the run has lasted according to its guard; zero if unknown.
	Ran time.Duration
	// Crash is set if the runner crashed during the run.
	Crash *Crash
}

// Crash describes a runner crash that ended a run.
type Crash struct {
	planner.Crash
	// OtherJobs lists the jobs of some of the other runs on that runner.
	OtherJobs []string
}

// ApplyUpdate processes a guard's message, unless a newer session has replaced g.
func (e *Engine) ApplyUpdate(id string, g Guard, n GuardUpdate) {
	now := uptime.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.guards[id] != g {
		return
	}
	e.plan.Heard(now, id)
	// A report on the end of a run may return its job to those that have not started: after that a
	// late start no longer shows that the job may have run.
	logLateStarts(e.logger, id, n.LateStarts)
	for _, l := range n.LateStarts {
		e.plan.RecordLateStart(now, id, l.Task, l.Left)
	}
	if n.SentAt > 0 {
		e.plan.RecordContact(id, n.SentAt)
	}
	for _, r := range n.Reports {
		e.metrics.countChange(r.Change)
		logChange(e.logger, id, r, e.report(now, id, r))
	}
	for _, r := range n.Progress {
		e.plan.RecordProgress(now, id, r)
	}
	if n.Status != nil {
		e.plan.UpdateEndpoint(now, id, *n.Status)
	}
	e.applyActions(now)
}

// Heard records that a message without content was received from a guard, which sent it at the given
// uptime of this host, unless a newer session has replaced g.
func (e *Engine) Heard(id string, g Guard, sentAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.guards[id] != g {
		return
	}
	now := uptime.Now()
	e.plan.Heard(now, id)
	e.plan.RecordContact(id, sentAt)
	if e.plan.AwaitsContact() {
		e.applyActions(now)
	}
}

// report passes one report to the planner and returns how long the run lasted. The caller holds
// the lock.
func (e *Engine) report(now time.Duration, id string, r Report) time.Duration {
	if r.Change == planner.Crashed && r.Crash != nil {
		return e.plan.ReportCrash(now, id, r.Run, r.Ran, r.Crash.Crash)
	}
	return e.plan.ReportRun(now, id, r.Run, r.Change, r.Ran)
}
