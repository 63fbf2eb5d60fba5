package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// Demand returns the demand of the tasks that wait for capacity of the endpoint's service, by
// contract, the most urgent first, at most work.MaxDemands of them.
func (p *Planner) Demand(_ time.Duration, _ string) []work.Demand { return nil }

// workAhead returns the waiting work of all entries that goes before a job, in core-seconds; known
// is false if the demand of the other entries is not known.
func (p *Planner) workAhead(_ time.Duration, _ *job) (coreSeconds float64, known bool) {
	return 0, false
}
