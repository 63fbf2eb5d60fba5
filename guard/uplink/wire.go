package uplink

import (
	"time"

	"almondstand.dev/guard/runs"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// wireCapacity converts a capacity that is sent at the uptime now.
func wireCapacity(now time.Duration, r runs.Capacity) *wirev1.Capacity {
	return &wirev1.Capacity{
		Service:   r.Service,
		Runner:    r.ID,
		Open:      r.AcceptsStarts,
		Total:     fleetwire.ToAmounts(r.Total),
		Allocated: fleetwire.ToAmounts(r.Used),
		Labels:    r.Labels,
		Cleared:   r.Reconciled,

		RunnerBornMs:   r.StartedMilli,
		RunnerRevision: r.RunnerRevision,
		ColdLeftMs:     uint32(max(r.ColdUntil-now, 0).Milliseconds()),

		ReleasesMilli:            r.ReleasesMilli,
		RunTimePermille:          uint32(r.RunTimePermille),
		RunTimeSamples:           uint32(r.RunTimeSamples),
		AllocatedByPriorityMilli: r.AllocatedByPriorityMilli,
	}
}

var wireStates = map[runs.State]wirev1.RunState{
	runs.Running:    wirev1.RunState_RUN_STATE_RUNNING,
	runs.Done:       wirev1.RunState_RUN_STATE_DONE,
	runs.Failed:     wirev1.RunState_RUN_STATE_FAILED,
	runs.Stopped:    wirev1.RunState_RUN_STATE_STOPPED,
	runs.NotStarted: wirev1.RunState_RUN_STATE_NOT_STARTED,
	runs.Crashed:    wirev1.RunState_RUN_STATE_CRASHED,
}

var wireRefusals = map[runs.Refusal]wirev1.Refusal{
	runs.InsufficientCapacity: wirev1.Refusal_REFUSAL_ROOM,
	runs.StaleOrder:           wirev1.Refusal_REFUSAL_STALE,
	runs.NotAccepting:         wirev1.Refusal_REFUSAL_CLOSED,
	runs.RunnerFailed:         wirev1.Refusal_REFUSAL_RUNNER,
	runs.UnknownRun:           wirev1.Refusal_REFUSAL_UNKNOWN,
	runs.RunnerReplaced:       wirev1.Refusal_REFUSAL_REPLACED,
}

func wireReport(r runs.Report, now time.Duration) *wirev1.RunReport {
	return &wirev1.RunReport{
		Task:    fleetwire.ToTaskName(r.Run.Task),
		Attempt: uint32(r.Run.Attempt),
		State:   wireStates[r.State],
		Refusal: wireRefusals[r.Refusal],
		RanUs:   r.RunTime(now).Microseconds(),
		Crash:   wireCrash(r.Crash),
	}
}

func wireCrash(c *runs.Crash) *wirev1.Crash {
	if c == nil {
		return nil
	}
	m := &wirev1.Crash{Others: uint32(c.OtherCount), Newest: c.Newest, Runner: c.Runner.ID, RunnerBornMs: c.Runner.StartedMilli}
	for _, t := range c.OtherTasks {
		m.Beside = append(m.Beside, fleetwire.ToTaskName(t))
	}
	return m
}
