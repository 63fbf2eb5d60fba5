package planner

import (
	"math"
	"time"
)

// placementSteps is the number of steps per factor of two into which run time factors are rounded
// for a placement: endpoints of about the same speed are chosen by their free capacity, and not the
// fastest of them by all entries.
const placementSteps = 3

// inTimeAt reports whether the job is expected to meet its response-time target if a step, and those that
// depend on it, start now on endpoints with the given run time factor.
func (j *job) inTimeAt(now time.Duration, step int, factor float64) bool {
	return now+time.Duration(float64(j.left[step])*factor) <= j.inTimeEnd
}

// predictedEnd returns when a task of a step that starts now at the endpoint is expected to end.
func (j *job) predictedEnd(now time.Duration, step int, e *endpoint) time.Duration {
	factor := math.Exp2(math.Round(placementSteps*math.Log2(e.runTimeFactor())) / placementSteps)
	return now + time.Duration(float64(j.expected[step])*factor)
}

// decidedSpeed returns the endpoint's run time factor if its speed decided its last choice; zero
// otherwise.
func (e *endpoint) decidedSpeed() float64 {
	if !e.lasting.decided {
		return 0
	}
	return e.runTimeFactor()
}

// Speed is the lasting speed of an endpoint, for metrics.
type Speed string

// Values of Speed.
const (
	Fast   Speed = "fast"
	Normal Speed = "normal"
	// LastinglySlow: slow by nature, not by a fault.
	LastinglySlow Speed = "slow"
)

// Speeds returns all values of Speed.
func Speeds() []Speed { return []Speed{Fast, Normal, LastinglySlow} }

// SpeedChange is a change of an endpoint's lasting speed.
type SpeedChange struct {
	Endpoint string
	Speed    Speed
	// Factor is the ratio of its run times to those of a normal endpoint, and Samples the number of
	// runs that it covers, at most 256; zero if its speed is not known any more.
	Factor  float64
	Samples int
}

// CountSpeeds counts the attached endpoints by speed; every speed is in the result.
func (p *Planner) CountSpeeds() map[Speed]int {
	n := map[Speed]int{Fast: 0, Normal: 0, LastinglySlow: 0}
	for _, e := range p.endpoints {
		if e.attached {
			n[speedOf(e.runTimeFactor())]++
		}
	}
	return n
}

// speedOf returns the speed of an endpoint with the given run time factor.
func speedOf(factor float64) Speed {
	switch {
	case factor < 1:
		return Fast
	case factor > 1:
		return LastinglySlow
	default:
		return Normal
	}
}
