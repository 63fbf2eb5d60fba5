package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowRatio is the ratio of run times to the peers' above which an endpoint is slow and used
	// last.
	slowRatio = 1.7
	// maxSlowDivisor limits the slow endpoints of a service to one in three; of two it is one.
	maxSlowDivisor = 3
	// minProbeInterval and maxProbeInterval are the bounds of the interval between two probes of
	// a slow endpoint.
	minProbeInterval = time.Second
	maxProbeInterval = 32 * time.Second
	// fastRunsToRecover is the number of consecutive runs at the peers' speed after which an
	// endpoint is no longer slow: a single short run may be chance.
	fastRunsToRecover = 3
)

// Bounds of the ratio of a run time to its service's level: a single run must not decide.
const (
	minRunTimeRatio = 0.1
	maxRunTimeRatio = 10
)

// Bounds of the level: declared run times are off by less.
const (
	minLevel level = 0.01
	maxLevel level = 100
)

// level is the mean ratio of actual to expected run times in the last runs of a service, without
// those on slow endpoints. Ratios to the level stay comparable when the expectations change, also
// those of an endpoint that has no runs in the meantime.
type level float64

func newLevel() level { return 1 }

// relative returns the ratio to the level of a ratio of actual to expected run time.
func (l level) relative(ratio float64) float64 {
	return min(max(ratio/float64(l), minRunTimeRatio), maxRunTimeRatio)
}

// add adds a run, given the ratio of its run time to the level. The weight is that of an endpoint's
// averages: an endpoint that gets all the runs is at the level.
func (l *level) add(relative float64) {
	*l = min(max(*l*level(1+endpointAverageWeight*(relative-1)), minLevel), maxLevel)
}

// speed compares an endpoint's run times with those of its peers: the usable endpoints of its
// service. Where the tasks themselves take longer than expected, no endpoint is slow.
type speed struct {
	slow bool
	// peers is the mean of the peers' speeds, the reciprocal of their run time ratios; zero if
	// none of them has a run time yet.
	peers float64
	// fastRuns is the number of consecutive runs at the peers' speed since the endpoint became
	// slow.
	fastRuns int
	// probeAt is the earliest time of the next probe: a task of a job that has no time for a slow
	// endpoint. probeInterval is the last interval, which doubles with each probe.
	probeAt, probeInterval time.Duration
}

// relative returns the ratio of a run time to the peers', given its ratio to the service's level;
// 1 if there is nothing to compare with.
func (s *speed) relative(ratio float64) float64 {
	if s.peers == 0 || ratio == 0 {
		return 1
	}
	return ratio * s.peers
}

// maxSlow returns how many of a number of endpoints may be slow at the same time. A lone
// endpoint is never slow.
func maxSlow(endpoints int) int {
	if endpoints == 2 {
		return 1
	}
	return endpoints / maxSlowDivisor
}

// updateSlow determines which endpoints of the service are slow: of those that take more than
// slowRatio times as long as their peers, the slowest, up to maxSlow.
func (s *service) updateSlow(now time.Duration) {
	usable, known, speeds := 0, 0, 0.0
	for _, e := range s.endpoints {
		if !e.usable() {
			continue
		}
		usable++
		if r := e.health.meanRatio; r > 0 {
			known++
			speeds += 1 / r
		}
	}
	var slow []*endpoint
	for _, e := range s.endpoints {
		peers, sum := known, speeds
		if r := e.health.meanRatio; r > 0 && e.usable() {
			peers, sum = known-1, speeds-1/r
		}
		e.speed.peers = 0
		if peers > 0 {
			e.speed.peers = sum / float64(peers)
		}
		if e.usable() && e.relativeRunTime() > slowRatio {
			slow = append(slow, e)
		} else {
			e.speed.slow = false
		}
	}
	limit := maxSlow(usable)
	if len(slow) > limit {
		slices.SortStableFunc(slow, func(a, b *endpoint) int { return cmp.Compare(b.health.meanRatio, a.health.meanRatio) })
	}
	for i, e := range slow {
		e.setSlow(now, i < limit)
	}
}

// usable reports whether an endpoint accepts starts and is not ejected.
func (e *endpoint) usable() bool { return e.acceptsStarts() && !e.health.ejected }

func (e *endpoint) setSlow(now time.Duration, slow bool) {
	if slow && !e.speed.slow {
		e.speed.fastRuns = 0
		e.speed.probeInterval = minProbeInterval
		e.speed.probeAt = now + minProbeInterval
	}
	e.speed.slow = slow
}

// relativeRunTime returns the ratio of the endpoint's run times to its peers'.
func (e *endpoint) relativeRunTime() float64 { return e.speed.relative(e.health.meanRatio) }

// probeDue reports whether a slow endpoint is to get a task of a job that has no time for it.
// Without probes, an endpoint for which all jobs have too little time would stay slow for good.
func (e *endpoint) probeDue(now time.Duration) bool {
	return e.speed.slow && now >= e.speed.probeAt && len(e.runs) == 0
}

// startProbe schedules the probe after the one that is started now.
func (s *speed) startProbe(now time.Duration) {
	s.probeInterval = min(2*s.probeInterval, maxProbeInterval)
	s.probeAt = now + s.probeInterval
}

// recordSlowRun records a run of a slow endpoint, given the ratio of its run time to the service's
// level. After a run at the peers' speed the next probe is due at once.
func (e *endpoint) recordSlowRun(now time.Duration, ratio float64) {
	if e.speed.relative(ratio) > slowRatio {
		e.speed.fastRuns = 0
		e.speed.probeAt = now + e.speed.probeInterval
		return
	}
	e.speed.fastRuns++
	e.speed.probeAt = now
	if e.speed.fastRuns >= fastRunsToRecover {
		e.health.meanRatio = 1 / e.speed.peers
		e.speed.slow = false
	}
}

// CountSlow counts the endpoints that are used last because they take longer than their peers.
func (p *Planner) CountSlow() int {
	n := 0
	for _, e := range p.endpoints {
		if e.speed.slow && e.usable() {
			n++
		}
	}
	return n
}
