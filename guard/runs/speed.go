package runs

import "time"

// recordRunTime adds a run that completed to the estimate of the runner's speed. Runs that were
// marked for stopping, were reported as over while the runner was unresponsive, began while it was cold
// or are not known to have started don't count; neither do those that began at another process.
func (t *Table) recordRunTime(now time.Duration, r *run, s State) {
	if t.opt.DisableEndpointSpeeds || s != Done || !r.started || r.stoppingSince > 0 || r.endReported || r.reattached || r.startedAt < t.runner.coldUntil {
		return
	}
	t.runner.speed.Add(r.id.Task.Job, now-r.startedAt, r.expected)
}
