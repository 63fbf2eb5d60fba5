package sessions

import (
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// groupByStep combines consecutive starts of the same job and step, decided for the same revision of the
// runner, into one order. The time left
// until the caller's deadline is that at the given uptime.
func groupByStep(now time.Duration, starts []planner.Start) []*wirev1.StartOrder {
	var out []*wirev1.StartOrder
	for _, s := range starts {
		t := &wirev1.TaskStart{Index: uint32(s.Run.Task.Index), Attempt: uint32(s.Run.Attempt)}
		if n := len(out); n > 0 && out[n-1].Job == s.Run.Task.Job && out[n-1].Step == uint32(s.Run.Task.Step) && out[n-1].RunnerRevision == s.RunnerRevision {
			out[n-1].Tasks = append(out[n-1].Tasks, t)
			continue
		}
		out = append(out, &wirev1.StartOrder{
			Job:    s.Run.Task.Job,
			Step:   uint32(s.Run.Task.Step),
			Spec:   s.Spec,
			Need:   fleetwire.ToAmounts(s.Need),
			LifeMs: uint32(max((s.TimeLeft - max(now-s.DecidedAt, 0)).Milliseconds(), 0)),
			Tasks:  []*wirev1.TaskStart{t},

			ExpectedMs: uint32(max(s.Expected.Milliseconds(), 0)),
			Priority:   uint32(max(s.Priority, 0)),

			RunnerRevision: s.RunnerRevision,
		})
	}
	return out
}

func capacityOf(r *wirev1.Capacity) *planner.EndpointStatus {
	if r == nil {
		return nil
	}
	return &planner.EndpointStatus{
		Service:        r.GetService(),
		Runner:         work.Incarnation{ID: r.GetRunner(), StartedMilli: r.GetRunnerBornMs()},
		RunnerRevision: r.GetRunnerRevision(),
		AcceptsStarts:  r.GetOpen(),
		Total:          fleetwire.FromAmounts(r.GetTotal()),
		Used:           fleetwire.FromAmounts(r.GetAllocated()),
		Labels:         r.GetLabels(),
		Reconciled:     r.GetCleared(),
		ColdLeft:       time.Duration(r.GetColdLeftMs()) * time.Millisecond,

		ReleasesMilli:            r.GetReleasesMilli(),
		RunTimePermille:          int(r.GetRunTimePermille()),
		RunTimeSamples:           int(r.GetRunTimeSamples()),
		AllocatedByPriorityMilli: r.GetAllocatedByPriorityMilli(),
		OthersDemand:             fleetwire.FromDemands(r.GetOthersDemand()),
		OthersEntries:            int(r.GetOthersEntries()),
	}
}

// progressOf converts a guard's reports on the progress of runs.
func progressOf(reports []*wirev1.RunProgress) []planner.RunProgress {
	var out []planner.RunProgress
	for _, r := range reports {
		out = append(out, planner.RunProgress{
			Run:     fleetwire.ToRunID(r.GetTask(), r.GetAttempt()),
			Percent: int(r.GetPercent()),
			Left:    time.Duration(r.GetLeftUs()) * time.Microsecond,
			Stalled: r.GetStalled(),
		})
	}
	return out
}

func changeOf(r *wirev1.RunReport) planner.RunEvent {
	switch r.GetState() {
	case wirev1.RunState_RUN_STATE_RUNNING:
		return planner.Running
	case wirev1.RunState_RUN_STATE_DONE:
		return planner.Done
	case wirev1.RunState_RUN_STATE_FAILED:
		return planner.TaskFailed
	case wirev1.RunState_RUN_STATE_CRASHED:
		return planner.Crashed
	case wirev1.RunState_RUN_STATE_NOT_STARTED:
		return refusalOf(r.GetRefusal())
	default:
		return planner.Stopped
	}
}

// crashOf converts a guard's crash report; nil for a run that ended otherwise.
func crashOf(c *wirev1.Crash) *jobs.Crash {
	if c == nil {
		return nil
	}
	crash := &jobs.Crash{Crash: planner.Crash{
		Runner:     work.Incarnation{ID: c.GetRunner(), StartedMilli: c.GetRunnerBornMs()},
		OtherCount: int(c.GetOthers()),
		Newest:     c.GetNewest(),
	}}
	for _, t := range c.GetBeside() {
		crash.OtherJobs = append(crash.OtherJobs, t.GetJob())
	}
	return crash
}

func refusalOf(r wirev1.Refusal) planner.RunEvent {
	switch r {
	case wirev1.Refusal_REFUSAL_ROOM:
		return planner.NoCapacity
	case wirev1.Refusal_REFUSAL_RUNNER:
		return planner.NotStarted
	case wirev1.Refusal_REFUSAL_UNKNOWN:
		return planner.Unknown
	default:
		return planner.NotAccepted
	}
}
