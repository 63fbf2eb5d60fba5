package host

import (
	"errors"
	"time"

	"almondstand.dev/platform/runner"
	"almondstand.dev/telemetry/uptime"
)

const (
	// maxResets is the number of polls in a row whose connections were reset from which the runner
	// is down: a single one may have used an idle connection that the runner was closing.
	maxResets = 2
	// downPollDivisor divides the time for which a runner has been down into the pause between two
	// polls of it, which is retryDelay at least and expiredPollInterval at most.
	downPollDivisor = 8
)

// recordReachability records whether a call shows that the runner can be reached. h.mu is held.
func (h *Host) recordReachability(err error) {
	switch {
	case err == nil:
		h.resets = 0
		h.table.RunnerUp()
		return
	case errors.Is(err, runner.ErrConnectionRefused):
	case errors.Is(err, runner.ErrConnectionReset):
		if h.resets++; h.resets < maxResets {
			return
		}
	default:
		return
	}
	if h.table.RunnerDown() {
		h.downSince = uptime.Now()
	}
}

// downPollPause returns the pause before the next poll of a runner that is down. h.mu is held.
func (h *Host) downPollPause() time.Duration {
	return min(max((uptime.Now()-h.downSince)/downPollDivisor, retryDelay), expiredPollInterval)
}
