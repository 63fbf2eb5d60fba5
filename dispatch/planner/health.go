package planner

import "time"

// Limits of outlier ejection.
const (
	// ejectionStreak is the number of failed runs, with no successful one between, that ejects
	// an endpoint: three in a row happen once in 125 where a fifth of the runs fails.
	ejectionStreak = 3
	// ejectionFailureRate is the failure rate that also ejects an endpoint if it is
	// ejectionPeerFactor times that of its service; below that, retries elsewhere cost less
	// than losing its capacity.
	ejectionFailureRate = 0.3
	ejectionPeerFactor  = 3
	// recoveredFailureRate limits the failure rate of an endpoint after a successful probe.
	recoveredFailureRate = ejectionFailureRate / 2
	// taskFailurePeerFactor times the mean failure rate of its peers is the least failure rate at
	// which failed tasks eject an endpoint: a contract whose tasks fail anywhere must not eject
	// all endpoints of its service.
	taskFailurePeerFactor = 2
	// endpointAverageWeight is the weight of a new run in the endpoint's averages, which thus
	// cover the last seven or so.
	endpointAverageWeight = 0.15
	// minEjectionTime and maxEjectionTime are the bounds of the time for which an ejected
	// endpoint gets nothing; after it one task at a time is tried there.
	minEjectionTime = 700 * time.Millisecond
	maxEjectionTime = 4 * time.Second
	// startAnswerTimeout is how long a guard may leave a start order unanswered before nothing
	// more is sent to it. Its own limit for the runner's answer is 150 ms, and it reports a
	// started run at most 80 ms later.
	startAnswerTimeout = 320 * time.Millisecond
)

// health tracks failures and run times of an endpoint, for outlier ejection.
type health struct {
	failureStreak int
	// failureRate is the share of failed runs, meanRatio the mean ratio of run times to the level
	// of the service's run times, zero before the first run.
	failureRate  float64
	meanRatio    float64
	ejectionTime time.Duration
	// ejectedUntil is when an ejected endpoint gets its next task.
	ejectedUntil time.Duration
	ejected      bool
}

// recordSuccess records a successful run, given the ratio of its run time to the service's level.
func (h *health) recordSuccess(ratio float64) {
	h.failureStreak = 0
	h.failureRate += endpointAverageWeight * (0 - h.failureRate)
	if h.meanRatio == 0 {
		h.meanRatio = 1
	}
	h.meanRatio += endpointAverageWeight * (ratio - h.meanRatio)
	if h.ejected {
		h.ejected = false
		h.failureRate = min(h.failureRate, recoveredFailureRate)
	}
	h.ejectionTime = 0
}

// recordFailure records a failed run; serviceFailureRate is the failure rate of the service.
func (h *health) recordFailure(now time.Duration, serviceFailureRate float64) {
	h.countFailure()
	if h.ejected || h.failing(serviceFailureRate) {
		h.eject(now)
	}
}

func (h *health) countFailure() {
	h.failureStreak++
	h.failureRate += endpointAverageWeight * (1 - h.failureRate)
}

// failing reports whether the last runs call for an ejection.
func (h *health) failing(serviceFailureRate float64) bool {
	return h.failureStreak >= ejectionStreak ||
		h.failureRate >= ejectionFailureRate && h.failureRate >= ejectionPeerFactor*serviceFailureRate
}

func (h *health) eject(now time.Duration) {
	h.ejected = true
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now + h.ejectionTime
}

// recordTaskFailed records a run whose task failed, which may be the fault of the endpoint or of the
// task.
func (e *endpoint) recordTaskFailed(now time.Duration) {
	h := &e.health
	h.countFailure()
	peers, known := e.peersFailureRate(now)
	if known && h.failureRate >= taskFailurePeerFactor*peers && (h.ejected || h.failing(e.service.failureRate)) {
		h.eject(now)
	}
}

// peersFailureRate returns the mean failure rate of the other endpoints of the service that accept
// starts; known is false if there are none. An ejected one that is due for its probe may have
// recovered, so it counts with the rate after a successful probe at most.
func (e *endpoint) peersFailureRate(now time.Duration) (rate float64, known bool) {
	n := 0
	for _, o := range e.service.endpoints {
		if o != e && o.acceptsStarts() {
			r := o.health.failureRate
			if o.health.ejected && now >= o.health.ejectedUntil {
				r = min(r, recoveredFailureRate)
			}
			rate += r
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return rate / float64(n), true
}

// tier is the preference tier of an endpoint for a placement; lower is better.
type tier int

const (
	tierNormal tier = iota
	// tierCold: slow for a while after its start.
	tierCold
	tierSlow
	// tierProbe: due for a single trial task, after its ejection or because it is slow.
	tierProbe
	tierUnusable
)

func (e *endpoint) tier(now time.Duration) tier {
	switch {
	case !e.acceptsStarts() || e.unanswered(now):
		return tierUnusable
	case e.health.ejected && (now < e.health.ejectedUntil || len(e.runs) > 0):
		return tierUnusable
	case e.health.ejected:
		return tierProbe
	case e.speed.slow:
		return tierSlow
	case e.cold(now):
		return tierCold
	default:
		return tierNormal
	}
}

// unanswered reports whether a start order has gone without any answer for too long.
func (e *endpoint) unanswered(now time.Duration) bool {
	for _, t := range e.runs {
		if t.running == 0 && !t.orphaned && now-t.ordered > startAnswerTimeout {
			return true
		}
	}
	return false
}
