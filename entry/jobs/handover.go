package jobs

import (
	"context"

	"almondstand.dev/dispatch/handover"
	"almondstand.dev/dispatch/planner"
	entryhandover "almondstand.dev/entry/handover"
	"almondstand.dev/telemetry/uptime"
)

// HandOver hands jobs over to other entries; see entry/handover.
type HandOver interface {
	// HandOver sends a job to the entry at an address and returns its answer.
	HandOver(ctx context.Context, address string, j entryhandover.Job) (planner.Answer, error)
}

// RecordLoads records the loads of other entries that a guard has listed.
func (e *Engine) RecordLoads(loads []handover.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range loads {
		e.policy.RecordLoad(uptime.Now(), l)
	}
}

// WantsSpareEntries reports whether this entry needs the loads of other entries.
func (e *Engine) WantsSpareEntries() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.policy.Wanted(uptime.Now(), e.state())
}

// state returns the state of this entry for the policy of handovers. The caller holds the lock.
func (e *Engine) state() handover.State {
	s := handover.State{}
	if e.lag != nil {
		s.Lag = e.lag()
	}
	if e.used != nil {
		s.UsedPermille = e.used()
	}
	return s
}
