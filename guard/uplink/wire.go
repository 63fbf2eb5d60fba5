package uplink

import (
	"time"

	"almondstand.dev/guard/runs"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

func wireCapacity(r runs.Capacity) *wirev1.Capacity {
	return &wirev1.Capacity{
		Service:   r.Service,
		Runner:    r.ID,
		Open:      r.Open,
		Total:     fleetwire.Amounts(r.Total),
		Allocated: fleetwire.Amounts(r.Used),
		Labels:    r.Labels,
		Cleared:   r.Cleared,

		RunnerBornMs: r.Born,
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
	runs.Full:    wirev1.Refusal_REFUSAL_ROOM,
	runs.Late:    wirev1.Refusal_REFUSAL_STALE,
	runs.Closed:  wirev1.Refusal_REFUSAL_CLOSED,
	runs.Unwell:  wirev1.Refusal_REFUSAL_RUNNER,
	runs.Unknown: wirev1.Refusal_REFUSAL_UNKNOWN,
}

func wireReport(r runs.Report, now time.Duration) *wirev1.RunReport {
	return &wirev1.RunReport{
		Task:    fleetwire.Task(r.Run.Task),
		Attempt: uint32(r.Run.Attempt),
		State:   wireStates[r.State],
		Refusal: wireRefusals[r.Refusal],
		RanUs:   r.Ran(now).Microseconds(),
		Crash:   wireCrash(r.Crash),
	}
}

func wireCrash(c *runs.Crash) *wirev1.Crash {
	if c == nil {
		return nil
	}
	m := &wirev1.Crash{Others: uint32(c.Others), Newest: c.Newest, Runner: c.Runner.ID, RunnerBornMs: c.Runner.Born}
	for _, t := range c.Beside {
		m.Beside = append(m.Beside, fleetwire.Task(t))
	}
	return m
}
