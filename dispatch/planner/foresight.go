package planner

import (
	"math"
	"time"
)

const (
	// arrivalTimeConstant is the time constant over which arriving work is averaged: a burst
	// shows within half of it, and one long job of a contract with little load does not count
	// as a burst.
	arrivalTimeConstant = time.Second
	// minKnownShare is the least share of a service's CPU that this entry's runs must hold for a
	// forecast: with fewer runs, their number does not tell how fast capacity is freed. After a
	// restart they are few, although all capacity is free.
	minKnownShare = 0.04
	// minShortage is how long capacity must have been short before a forecast is made: a
	// shortage by chance, callers that retry together after a restart and one wide job are over
	// by then. Without it 0.6 % more requests go unserved (three entries, eleven runners).
	minShortage = 700 * time.Millisecond
)

// arrivalRate is the rate at which work arrives, in cores: core-seconds per second.
type arrivalRate struct {
	cores     float64
	updatedAt time.Duration
}

func (f *arrivalRate) add(now time.Duration, coreSeconds float64) {
	f.cores = f.value(now) + coreSeconds/arrivalTimeConstant.Seconds()
	f.updatedAt = now
}

func (f *arrivalRate) value(now time.Duration) float64 {
	return f.cores * math.Exp(-(now-f.updatedAt).Seconds()/arrivalTimeConstant.Seconds())
}

// completionRate is the rate at which this entry's runs complete work, in cores, and whether
// there are enough of them to know it.
func (s *service) completionRate() (cores float64, known bool) {
	var running, total int64
	for _, e := range s.endpoints {
		if e.cordoned {
			continue
		}
		total += e.total.CPUMilli
		for _, t := range e.runs {
			running += t.job.work.Steps[t.step].Need.CPUMilli
		}
	}
	return float64(running) / milli, float64(running) >= minKnownShare*float64(total)
}

// milli is the number of thousandths in one core.
const milli = 1000

// forecast is the expected rate at which the waiting work drains.
type forecast struct {
	// known is false if too little is known for a forecast.
	known bool
	// spareRate is the rate, in cores, at which runs complete work beyond what newly arrives,
	// which goes first.
	spareRate float64
}

// forecast computes the forecast once for all waiting jobs: it goes through all runs of this
// entry.
func (s *service) forecast(now time.Duration) forecast {
	if now-s.shortSince < minShortage {
		return forecast{}
	}
	cores, known := s.completionRate()
	return forecast{known: known, spareRate: cores - s.arrivals.value(now)}
}

// drainsWithin reports whether the waiting work is expected to be done within the given time.
// A late answer is of use to a caller who would otherwise get none, but when more work arrives
// than can be done, it takes the capacity of a job that would have been on time.
func (p forecast) drainsWithin(coreSeconds float64, in time.Duration) bool {
	if !p.known {
		return true
	}
	return p.spareRate > 0 && coreSeconds/p.spareRate <= in.Seconds()
}

// drainTime returns the time until the given waiting work, in core-seconds, has been started; known
// is false if the guards do not estimate when their runs end.
func (s *service) drainTime(_ time.Duration, _ float64) (in time.Duration, known bool) {
	return 0, false
}
