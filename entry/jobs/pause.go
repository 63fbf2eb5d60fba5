package jobs

import (
	"context"
	"time"

	"almondstand.dev/telemetry/uptime"
)

// Detection of a paused process, for example by SIGSTOP or a suspended virtual machine.
const (
	// pauseCheckInterval is the interval between two readings of the clock.
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between two readings above which the process is considered to have
	// been paused. Guards stop the runs of an entry that has sent nothing for 520 ms.
	pauseThreshold = 500 * time.Millisecond
	// resumeDelay is how long no task is started after a pause. The messages that arrived
	// meanwhile are read in no particular order: if the end of a run is read before the disconnect
	// of its caller, the task would be started again although its job already runs through another
	// entry. Processing a message takes microseconds, and a CPU-throttled process gets its share
	// within 100 ms.
	resumeDelay = 100 * time.Millisecond
)

// Run detects pauses of the process, and guards that are out of contact, until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	defer e.actTimer.Stop()
	tick := time.NewTicker(pauseCheckInterval)
	defer tick.Stop()
	e.mu.Lock()
	e.lastCheck = uptime.Now()
	e.askPeersIfDue(e.lastCheck)
	e.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		e.mu.Lock()
		now := uptime.Now()
		e.checkPause(now)
		e.askPeersIfDue(now)
		e.mu.Unlock()
	}
}

// checkPause reads the clock and suspends new starts if the process was paused since the last
// reading. The caller holds the lock.
func (e *Engine) checkPause(now time.Duration) {
	if e.lastCheck == 0 {
		// Run has not been called yet.
		return
	}
	if now-e.lastCheck > pauseThreshold {
		e.pausedUntil = now + resumeDelay
		e.plan.PauseStarts(e.pausedUntil)
		processPaused.Log(context.Background(), e.logger, millis("for_ms", now-e.lastCheck))
	}
	e.lastCheck = now
}
