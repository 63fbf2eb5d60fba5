// Package stall measures for how long this process was not running because it was suspended
// or got no CPU time. Durations that it measures of other processes, such as the run time
// of a task or the time since a peer's last message, are too long by this amount.
package stall

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// sampleInterval is the interval between readings of the clock.
	sampleInterval = 20 * time.Millisecond
	// tolerance is the delay of a reading up to which it does not count as a stall.
	tolerance = 10 * time.Millisecond
)

// Meter adds up the stalls of this process while Run is running. It is safe for concurrent
// use.
type Meter struct {
	now func() time.Duration
	// last is nil until Run has started.
	last atomic.Pointer[reading]
}

// reading is one sample: the time it was taken and the total stalled time until then.
type reading struct{ at, total time.Duration }

// New returns a Meter. It uses the monotonic clock, like the durations it corrects. This
// clock does not advance while the host is suspended.
func New() *Meter {
	start := time.Now()
	return &Meter{now: func() time.Duration { return time.Since(start) }}
}

// Run measures until the context ends.
func (m *Meter) Run(ctx context.Context) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		m.sample()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (m *Meter) sample() {
	now := m.now()
	m.last.Store(&reading{at: now, total: m.totalAt(now)})
}

// Total returns the time for which this process was not running. It includes a stall that
// has just ended and that no sample has recorded yet.
func (m *Meter) Total() time.Duration { return m.totalAt(m.now()) }

func (m *Meter) totalAt(now time.Duration) time.Duration {
	last := m.last.Load()
	if last == nil {
		return 0
	}
	if delay := now - last.at - sampleInterval; delay > tolerance {
		return last.total + delay
	}
	return last.total
}
