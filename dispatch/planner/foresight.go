package planner

import (
	"math"
	"slices"
	"time"

	"almondstand.dev/dispatch/backlog"
	"almondstand.dev/dispatch/work"
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

// completionRate is the rate at which this entry's runs complete work, in cores of a normal
// endpoint, and whether there are enough of them to know it.
func (s *service) completionRate() (cores float64, known bool) {
	var running, total float64
	for _, e := range s.endpoints {
		if e.cordoned {
			continue
		}
		var held int64
		for _, t := range e.runs {
			held += t.job.work.Steps[t.step].Need.CPUMilli
		}
		running += float64(held) / e.runTimeFactor()
		total += float64(e.total.CPUMilli) / e.runTimeFactor()
	}
	return running / milli, running >= minKnownShare*total
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

const (
	// maxReleaseAge is the age up to which a guard's estimate of releases is used: it then covers
	// hardly any time to come.
	maxReleaseAge = 1500 * time.Millisecond
	// minReportedShare is the least share of a service's capacity of which the releases must be
	// known.
	minReportedShare = 0.5
	// outlookInterval is the least interval at which the endpoints are summed, and
	// outlookIntervalEach that for each endpoint: there can be 990 of them, for which a sum takes
	// 0.14 ms of processor time, and hosts with 0.14 of a core.
	outlookInterval     = 10 * time.Millisecond
	outlookIntervalEach = 50 * time.Microsecond
	// returnTime is how long capacity that was lost may come back: a runner that was restarted
	// is adopted with its next report, which come 1.5 s apart, or within 3 s after a crash.
	returnTime = 3 * time.Second
	// maxLostShare is the share of the capacity that may be lost within returnTime for a
	// forecast. With less, forecasts are wrong by no more than their margin if it comes back.
	maxLostShare = 1 - 1/backlog.ErrorFactor
)

// releases is a guard's estimate of the CPU that the runs at its endpoint release.
type releases struct {
	// milli is the cumulative CPU by work.ReleaseHorizons; nil if unknown.
	milli []int64
	at    time.Duration
}

// update sets a new estimate. One that has the wrong length, is negative or decreases is unknown.
func (r *releases) update(now time.Duration, milli []int64) {
	*r = releases{at: now}
	if len(milli) != len(work.ReleaseHorizons) || milli[0] < 0 || !slices.IsSorted(milli) {
		return
	}
	r.milli = slices.Clone(milli)
}

func (r *releases) known(now time.Duration) bool { return r.milli != nil && now-r.at <= maxReleaseAge }

// within returns the CPU released between the report and the given time after it, interpolated
// between the horizons. Past the last one all that was used is released. The time must not be
// before the horizon that precedes the given first one.
func (r *releases) within(d time.Duration, used float64, first int) float64 {
	for i := first; i < len(work.ReleaseHorizons); i++ {
		h := work.ReleaseHorizons[i]
		if d > h {
			continue
		}
		from, released := time.Duration(0), 0.0
		if i > 0 {
			from, released = work.ReleaseHorizons[i-1], min(float64(r.milli[i-1]), used)
		}
		return released + (min(float64(r.milli[i]), used)-released)*float64(d-from)/float64(h-from)
	}
	return used
}

// outlook is the capacity that becomes free, summed over the endpoints of a service.
type outlook struct {
	at    time.Duration
	known bool
	// free is the capacity that is free now or is released within each of work.ReleaseHorizons,
	// total all capacity, in cores of a normal endpoint; the first element of free is now.
	free  [len(work.ReleaseHorizons) + 1]float64
	total float64
}

// sumInterval is the least interval at which the endpoints are summed.
func (s *service) sumInterval() time.Duration {
	return max(outlookInterval, time.Duration(len(s.endpoints))*outlookIntervalEach)
}

// outlookAt returns the outlook, computed at most every sumInterval.
func (s *service) outlookAt(now time.Duration) *outlook {
	if s.outlook.at == 0 || now-s.outlook.at >= s.sumInterval() {
		s.outlook = s.sumReleases(now)
	}
	return &s.outlook
}

func (s *service) sumReleases(now time.Duration) outlook {
	o := outlook{at: now}
	// Sums over the endpoints with reports, and over the others.
	var reported, unreported, reportedUsed, unreportedUsed, lost float64
	for _, e := range s.endpoints {
		if !e.acceptsStarts() {
			if !e.cordoned && now-e.acceptedAt < returnTime {
				lost += float64(e.acceptedMilli) / milli
			}
			continue
		}
		factor := milli * e.runTimeFactor()
		cores := float64(e.total.CPUMilli) / factor
		free := float64(max(e.free().CPUMilli, 0)) / factor
		o.total += cores
		for i := range o.free {
			o.free[i] += free
		}
		if !e.releases.known(now) {
			unreported += cores
			unreportedUsed += cores - free
			continue
		}
		reported += cores
		reportedUsed += cores - free
		used := float64(max(e.total.CPUMilli-max(e.free().CPUMilli, 0), 0))
		age := now - e.releases.at
		before := e.releases.within(age, used, 0)
		// What was released since the report is in use again, and is released like the rest was:
		// without it a report that is 0.1 s old would predict half the capacity for runs of 0.2 s.
		again := 0.0
		if used > 0 {
			again = before / used
		}
		for i, h := range work.ReleaseHorizons {
			o.free[i+1] += (e.releases.within(age+h, used, i) - before + again*min(float64(e.releases.milli[i]), used)) / factor
		}
	}
	o.known = reported > 0 && reported >= minReportedShare*(o.total+lost) && lost <= maxLostShare*(o.total+lost)
	if o.known && reportedUsed > 0 {
		// The other endpoints are assumed to release as much of what they use.
		for i := 1; i < len(o.free); i++ {
			o.free[i] += unreportedUsed * (o.free[i] - o.free[0]) / reportedUsed
		}
	}
	return o
}

// drainTime returns the time until the given waiting work, in core-seconds of a normal endpoint, has
// been started so that the next task can start; known is false if the guards do not estimate when
// their runs end. The capacity that becomes free works on waiting work from then on.
func (s *service) drainTime(now time.Duration, coreSeconds float64) (in time.Duration, known bool) {
	o := s.outlookAt(now)
	if !o.known || o.total <= 0 {
		return 0, false
	}
	return o.drain(coreSeconds), true
}

func (o *outlook) drain(coreSeconds float64) time.Duration {
	from := time.Duration(0)
	for i, h := range work.ReleaseHorizons {
		length := (h - from).Seconds()
		a, b := o.free[i], o.free[i+1]
		if done := (a + b) / 2 * length; done < coreSeconds {
			coreSeconds -= done
			from = h
			continue
		}
		if coreSeconds <= 0 {
			return from
		}
		// The capacity grows linearly from a to b: solves a*t + (b-a)/length*t*t/2 = coreSeconds.
		slope := (b - a) / length
		t := 2 * coreSeconds / (a + math.Sqrt(a*a+2*slope*coreSeconds))
		// Squares of tiny capacities are zero, which would give more than the length.
		return from + seconds(min(t, length))
	}
	return from + seconds(min(coreSeconds/o.total, maxDrainSeconds))
}

// maxDrainSeconds bounds forecasts, which would overflow a time.Duration for tiny capacities.
const maxDrainSeconds = 3600
