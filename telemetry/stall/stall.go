// Package stall measures for how long this process did not run: suspended, or without
// processor time. A span that is measured for another process, the run time of a task or
// the silence of a peer, is wrong by that.
package stall

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// beatInterval paces the readings of the clock.
	beatInterval = 20 * time.Millisecond
	// tolerance is the lateness of a reading that does not count as a stall.
	tolerance = 10 * time.Millisecond
)

// Meter counts the stalls of this process while Run runs. It is safe for concurrent use.
type Meter struct {
	now func() time.Duration
	// last is nil until Run has begun.
	last atomic.Pointer[reading]
}

// reading is the stalled time at one beat.
type reading struct{ at, total time.Duration }

// New returns a Meter. It reads the monotonic clock, as the spans do that it corrects: that
// clock leaves out the time for which the host was suspended.
func New() *Meter {
	began := time.Now()
	return &Meter{now: func() time.Duration { return time.Since(began) }}
}

// Run measures until the context ends.
func (m *Meter) Run(ctx context.Context) error {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		m.beat()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (m *Meter) beat() {
	now := m.now()
	m.last.Store(&reading{at: now, total: m.until(now)})
}

// Total is the time for which this process has not run, including the part of a stall that has
// just ended and that no beat has seen yet.
func (m *Meter) Total() time.Duration { return m.until(m.now()) }

func (m *Meter) until(now time.Duration) time.Duration {
	last := m.last.Load()
	if last == nil {
		return 0
	}
	if late := now - last.at - beatInterval; late > tolerance {
		return last.total + late
	}
	return last.total
}
