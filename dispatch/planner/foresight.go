package planner

import (
	"math"
	"time"
)

const (
	// loadMemory is the time over which the work that arrives is averaged: a burst
	// shows within half of it, and one long job of a quiet contract doesn't count as
	// one.
	loadMemory = time.Second
	// knownShare of a service's processors held by this entry's runs is the least from
	// which their number tells how fast room comes free: after a restart they are few,
	// though all room is free.
	knownShare = 0.04
	// shortest is how long capacity is short before anything is foreseen from it: chance,
	// callers that come again together after a restart and one wide job are over by then.
	// Without it 0.6 % more requests go unserved (three entries, eleven runners).
	shortest = 700 * time.Millisecond
)

// inflow is the work that arrives, in cores: core-seconds a second.
type inflow struct {
	cores float64
	at    time.Duration
}

func (f *inflow) add(now time.Duration, coreSeconds float64) {
	f.cores = f.now(now) + coreSeconds/loadMemory.Seconds()
	f.at = now
}

func (f *inflow) now(now time.Duration) float64 {
	return f.cores * math.Exp(-(now-f.at).Seconds()/loadMemory.Seconds())
}

// workOff is what this entry's runs work off, in cores, and whether it is known.
func (s *service) workOff() (cores float64, known bool) {
	var running, total int64
	for _, e := range s.endpoints {
		total += e.total.CPUMilli
		for _, t := range e.runs {
			running += t.job.work.Steps[t.step].Need.CPUMilli
		}
	}
	return float64(running) / milli, float64(running) >= knownShare*float64(total)
}

// milli turns thousandths of a core into cores.
const milli = 1000

// prospect is what is foreseen for work that waits.
type prospect struct {
	// known is false while too little is known to foresee anything.
	known bool
	// spare is what runs work off beside what arrives, which goes first, in cores.
	spare float64
}

// prospect is worked out once for all that waits: it goes through this entry's runs.
func (s *service) prospect(now time.Duration) prospect {
	if now-s.shortAt < shortest {
		return prospect{}
	}
	cores, known := s.workOff()
	return prospect{known: known, spare: cores - s.inflow.now(now)}
}

// clears reports whether work that waits is foreseen to be gone within a time. A late
// answer is of use to a caller who gets none otherwise, but where more work comes than
// can be done it takes the room of one that would have been in time.
func (p prospect) clears(coreSeconds float64, in time.Duration) bool {
	if !p.known {
		return true
	}
	return p.spare > 0 && coreSeconds/p.spare <= in.Seconds()
}
