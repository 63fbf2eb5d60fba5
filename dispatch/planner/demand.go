package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// Demand returns the demand of the tasks that wait for capacity of the endpoint's service, by
// contract, the most urgent first, at most work.MaxDemands of them.
func (p *Planner) Demand(_ time.Duration, _ string) []work.Demand { return nil }
