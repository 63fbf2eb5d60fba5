package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// RunProgress is a guard's estimate for a run in progress.
type RunProgress struct {
	Run work.RunID
	// Percent is the progress as the runner last listed it, 0 to 100.
	Percent int
	// Left is the time left until the run ends at its own recent pace; zero if it is unknown.
	Left time.Duration
	// Stalled is true if the run makes no progress.
	Stalled bool
}

// RecordProgress records a guard's report on the progress of a run.
func (p *Planner) RecordProgress(_ time.Duration, _ string, _ RunProgress) {}
