package planner

import (
	"math"
	"slices"
	"time"
)

// Endpoints of one service may lastingly differ in speed, as machines of several generations do.
// Their guards report the ratio of run times to expectations; its ratio to that of a normal
// endpoint, the mean of the middle third, is the endpoint's run time factor. Run times are learnt in units of a normal
// endpoint, and an endpoint counts as slow (a fault) only in relation to its own factor.
const (
	// minSpeedSamples is the least number of samples with which a reported ratio is used.
	minSpeedSamples = 16
	// maxSpeedSamples is the number of samples over which guards average.
	maxSpeedSamples = 256
	// minSpeedRatio is the least ratio to the normal one, in either direction, of an endpoint that
	// differs from a normal one.
	minSpeedRatio = 1.25
	// speedErrorFactor divided by the root of the number of samples is added to the logarithm of
	// minSpeedRatio: the mean of n ratios with a spread of 0.45 is off by 0.45/√n, so that of many
	// equal endpoints some would exceed the least ratio by chance.
	speedErrorFactor = 1.0
	// minFactor and maxFactor are the bounds of the factor.
	minFactor = 0.4
	maxFactor = 2.5
	// minRatioChange is the relative change of a reported ratio, and minSamplesChange that of the
	// number of samples, after which the factors are computed again: each guard reports some fifty
	// times a second.
	minRatioChange   = 0.02
	minSamplesChange = 1.25
	// maxReportedRatio bounds a reported ratio; a larger one is malformed.
	maxReportedRatio = 1000
	// factorBurst is the time of sumInterval intervals for which factors may be computed at once, as
	// when endpoints attach. After that they are computed once per interval: for 990 endpoints it
	// takes 0.2 ms of processor time, and their guards may report several hundred changes a second.
	factorBurst = time.Second
)

// lastingSpeed is the lasting speed of an endpoint.
type lastingSpeed struct {
	// ratio is the reported ratio of run times to the expected ones, and samples the number of runs
	// that it covers; zero if unknown.
	ratio   float64
	samples int
	// factor is the run time factor; zero stands for 1.
	factor float64
	// decided is true if the speed decided the last choice of the endpoint.
	decided bool
}

// serviceSpeeds are the speeds of a service's endpoints.
type serviceSpeeds struct {
	// differ is true if an endpoint has a run time factor other than 1, and least is the least
	// factor of an endpoint.
	differ bool
	least  float64
	// mean is the mean factor of the endpoints by capacity; zero stands for 1.
	mean float64
	// stale is true while the factors are to be computed again, and computedUntil is the time up to
	// which the intervals of earlier computations reach.
	stale         bool
	computedUntil time.Duration
	// changed is true if a report since the last computation changes a factor, in relation to normal,
	// the ratio of a normal endpoint then.
	changed bool
	normal  float64
}

// runTimeFactor returns the lasting ratio of the endpoint's run times to those of a normal endpoint
// of its service; 1 for an endpoint that does not differ.
func (e *endpoint) runTimeFactor() float64 {
	if e.lasting.factor == 0 {
		return 1
	}
	return e.lasting.factor
}

// meanFactor returns the mean run time factor of the service's endpoints.
func (s *service) meanFactor() float64 {
	if s.speeds.mean == 0 {
		return 1
	}
	return s.speeds.mean
}

// leastFactor returns the least run time factor of the service's endpoints, at most 1.
func (s *service) leastFactor() float64 {
	if !s.speeds.differ {
		return 1
	}
	return min(s.speeds.least, 1)
}

// updateSpeed updates an endpoint's lasting speed from its guard's report.
func (p *Planner) updateSpeed(e *endpoint, r EndpointStatus) {
	ratio, samples := float64(r.RunTimePermille)/milli, min(r.RunTimeSamples, maxSpeedSamples)
	if p.opt.Disabled.EndpointSpeeds || samples < minSpeedSamples || ratio <= 0 || ratio > maxReportedRatio {
		ratio, samples = 0, 0
	}
	l := &e.lasting
	if math.Abs(ratio-l.ratio) <= minRatioChange*l.ratio && samples >= l.samples && float64(samples) <= minSamplesChange*float64(l.samples) {
		return
	}
	l.ratio, l.samples = ratio, samples
	if s := e.service; s != nil {
		s.speeds.stale = true
		s.speeds.changed = s.speeds.changed || s.speeds.normal > 0 && l.factorOf(s.speeds.normal) != e.runTimeFactor()
	}
}

// refreshFactors computes the run time factors again if they are stale and due. It returns the time
// of the next call if an endpoint's factor changes by that, and a later one otherwise: where all
// endpoints are equal, no decision is made at another time than without factors.
func (p *Planner) refreshFactors(now time.Duration, s *service) time.Duration {
	x := &s.speeds
	if !x.stale {
		return now + time.Second
	}
	if due := x.computedUntil - factorBurst; now < due {
		if !x.changed {
			return now + time.Second
		}
		return due
	}
	x.stale, x.changed = false, false
	x.computedUntil = max(x.computedUntil, now) + s.sumInterval()
	p.updateFactors(s)
	return now + time.Second
}

// updateFactors computes the run time factors of the service's endpoints.
func (p *Planner) updateFactors(s *service) {
	var known []float64
	for _, e := range s.endpoints {
		if e.lasting.samples > 0 {
			known = append(known, e.lasting.ratio)
		}
	}
	slices.Sort(known)
	normal := normalRatio(known)
	s.speeds.normal = normal
	s.speeds.differ, s.speeds.least = false, math.Inf(1)
	sum, weights := 0.0, 0.0
	for _, e := range s.endpoints {
		p.setRunTimeFactor(e, e.lasting.factorOf(normal))
		f := e.runTimeFactor()
		s.speeds.differ = s.speeds.differ || f != 1
		s.speeds.least = min(s.speeds.least, f)
		sum += f * float64(e.total.CPUMilli)
		weights += float64(e.total.CPUMilli)
	}
	s.speeds.mean = 1
	if s.speeds.differ && weights > 0 {
		s.speeds.mean = sum / weights
	}
}

// normalRatio returns the ratio of a normal endpoint, zero without any: the geometric mean of the middle
// third of the sorted ratios. The median would jump between the ratios of fast and slow endpoints when
// there are as many of the ones as of the others and an endpoint joins or leaves, and the run times learnt
// before would be in other units. The mean moves by at most 3/n of the difference.
func normalRatio(sorted []float64) float64 {
	n := float64(len(sorted))
	if n == 0 {
		return 0
	}
	sum := 0.0
	for i, ratio := range sorted {
		if weight := min(float64(i+1), 2*n/3) - max(float64(i), n/3); weight > 0 {
			sum += weight * math.Log(ratio)
		}
	}
	return math.Exp(sum / (n / 3))
}

// factorOf returns the run time factor, given the ratio of a normal endpoint.
func (l lastingSpeed) factorOf(normal float64) float64 {
	if l.samples == 0 {
		return 1
	}
	relative := l.ratio / normal
	if math.Abs(math.Log(relative)) < math.Log(minSpeedRatio)+speedErrorFactor/math.Sqrt(float64(l.samples)) {
		return 1
	}
	return min(max(relative, minFactor), maxFactor)
}

// setRunTimeFactor sets the factor. The mean of the endpoint's last runs is in units of the factor.
func (p *Planner) setRunTimeFactor(e *endpoint, f float64) {
	old := e.runTimeFactor()
	if f == old {
		return
	}
	e.health.meanRatio *= old / f
	e.lasting.factor = f
	if speed := speedOf(f); speed != speedOf(old) {
		p.out.SpeedChanges = append(p.out.SpeedChanges, SpeedChange{Endpoint: e.id, Speed: speed, Factor: f, Samples: e.lasting.samples})
	}
}

// normalRunTime converts a run time at the endpoint to that at a normal one.
func (e *endpoint) normalRunTime(ran time.Duration) time.Duration {
	f := e.runTimeFactor()
	if f == 1 {
		return ran
	}
	return time.Duration(float64(ran) / f)
}
