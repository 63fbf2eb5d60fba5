package quota

import "time"

const (
	// windowLength is the interval over which requested tasks are counted.
	windowLength = time.Second
	// decayFactor is what remains of an earlier peak after each window.
	decayFactor = 0.7
	// negligibleDemand is the number of tasks below which a demand counts as zero.
	negligibleDemand = 0.5
)

// demandEstimate estimates one client's demand at one entry: peaks of the last seconds with
// exponential decay.
type demandEstimate struct {
	windowStart time.Time
	// window counts in the current window, peak holds the decayed maximum of the past ones.
	window, peak amounts
	refused      float64
	// oversized is the size of the largest job that exceeds the base share. It is kept for
	// oversizedTTL after the last such job, or for admittedTTL after one as large was admitted.
	oversized   float64
	oversizedAt time.Time
	// largestJob is the size of the largest recent job, kept for retention after the last job of
	// at least that size.
	largestJob   float64
	largestJobAt time.Time
	retention    time.Duration
}

// oversizedTTL is how long an oversized job counts after it was last submitted. It is longer than
// the retry delays given to callers.
const oversizedTTL = 5 * time.Second

// admittedTTL is how long an oversized job counts after it was admitted.
const admittedTTL = 2 * time.Second

// advance closes the windows that have ended.
func (e *demandEstimate) advance(now time.Time) {
	if now.Sub(e.oversizedAt) > oversizedTTL {
		e.oversized = 0
	}
	if now.Sub(e.largestJobAt) > e.retention {
		e.largestJob = 0
	}
	for passed := 0; !now.Before(e.windowStart.Add(windowLength)); passed++ {
		if passed > 60 {
			e.window, e.peak, e.refused, e.windowStart = amounts{}, amounts{}, 0, now
			return
		}
		e.peak = e.peak.times(decayFactor).max(e.window)
		e.peak = e.peak.zeroBelow(negligibleDemand)
		e.window = amounts{}
		e.refused = 0
		e.windowStart = e.windowStart.Add(windowLength)
	}
}

func (a amounts) zeroBelow(threshold float64) amounts {
	cut := func(v float64) float64 {
		if v < threshold {
			return 0
		}
		return v
	}
	return amounts{cut(a.rate), cut(a.burst), cut(a.inFlight)}
}

func (e *demandEstimate) current() amounts { return e.peak.max(e.window) }

// setRetention sets how long largestJob is kept without another such job: several times as long as
// the rate takes to provide the tokens of one. With a shorter retention, the amounts that a small
// contract has accumulated would expire before each of its jobs.
func (e *demandEstimate) setRetention(tasks, rate float64) {
	const times, longest = 4, time.Minute
	e.retention = min(oversizedTTL+time.Duration(times*tasks/rate*float64(time.Second)), longest)
}

// maxJobSize returns the size of the largest recent job.
func (e *demandEstimate) maxJobSize() float64 { return max(e.largestJob, e.oversized) }

func (e *demandEstimate) recordOffered(now time.Time, tasks float64) {
	if tasks >= e.largestJob {
		e.largestJob, e.largestJobAt = tasks, now
	}
	e.window.rate += tasks
	e.window.burst = max(e.window.burst, tasks)
}

func (e *demandEstimate) recordBurstShortfall(burstSize, tasks float64) {
	e.refused += tasks
	e.window.burst = max(e.window.burst, burstSize+e.refused)
}

func (e *demandEstimate) recordInFlightShortfall(used, tasks float64) {
	e.refused += tasks
	e.window.inFlight = max(e.window.inFlight, used+e.refused)
}

func (e *demandEstimate) recordInFlight(used float64) {
	e.window.inFlight = max(e.window.inFlight, used)
}

func (e *demandEstimate) recordOversized(now time.Time, tasks float64) {
	e.oversized, e.oversizedAt = max(e.oversized, tasks), now
}

// recordAdmitted shortens the time for which an admitted oversized job counts, so that an entry
// keeps collecting only while further such jobs arrive.
func (e *demandEstimate) recordAdmitted(now time.Time, tasks float64) {
	if tasks >= e.oversized {
		e.oversizedAt = now.Add(admittedTTL - oversizedTTL)
	}
}
