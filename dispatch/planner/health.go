package planner

import "time"

// Limits of an endpoint's standing.
const (
	// badStreak of runs that went wrong with none done between sets an endpoint
	// aside: three in a row are one in 125 where a fifth of the runs goes wrong.
	badStreak = 3
	// badRate of the runs going wrong sets it aside too, when it is a multiple of
	// what its peers see; below, retries elsewhere cost less than its room.
	badRate   = 0.3
	badFactor = 3
	// rateShare is the weight of a new run in the rates: the last seven or so.
	rateShare = 0.15
	// firstPause and lastPause bound how long an endpoint set aside gets nothing;
	// then one task at a time tells how it does.
	firstPause = 700 * time.Millisecond
	lastPause  = 4 * time.Second
	// slowPace times its peers' run times makes an endpoint the last choice.
	slowPace = 1.7
	// answerIn is how long a guard may leave a start unanswered before nothing
	// more is sent to it; its own limit on the runner's answer is 150 ms, and it
	// tells of a begin 80 ms later at most.
	answerIn = 320 * time.Millisecond
)

// health is how an endpoint does.
type health struct {
	streak int
	// wrong is the share of runs that went wrong, pace the run times against
	// what was expected.
	wrong float64
	pace  float64
	pause time.Duration
	// until is when an endpoint set aside gets its next task.
	until time.Duration
	aside bool
}

// speed is the endpoint's run times against the expected.
func (h *health) speed() float64 {
	if h.pace == 0 {
		return 1
	}
	return h.pace
}

// good takes note of a run that was done.
func (h *health) good(ratio float64) {
	h.streak = 0
	h.wrong += rateShare * (0 - h.wrong)
	if h.pace == 0 {
		h.pace = 1
	}
	h.pace += rateShare * (min(ratio, 10) - h.pace)
	if h.aside {
		h.aside = false
		h.wrong = min(h.wrong, badRate/2)
	}
	h.pause = 0
}

// bad takes note of a run that went wrong.
func (h *health) bad(now time.Duration, peers float64) {
	h.streak++
	h.wrong += rateShare * (1 - h.wrong)
	if h.streak < badStreak && (h.wrong < badRate || h.wrong < badFactor*peers) && !h.aside {
		return
	}
	h.aside = true
	h.pause = min(max(2*h.pause, firstPause), lastPause)
	h.until = now + h.pause
}

// standing of an endpoint for one placement, the lower the better.
type standing int

const (
	steady standing = iota
	slow
	// probe: set aside, but due one task.
	probe
	unusable
)

func (e *endpoint) standing(now time.Duration, s *service) standing {
	switch {
	case !e.attached || !e.open || e.unanswered(now):
		return unusable
	case e.health.aside && (now < e.health.until || len(e.runs) > 0):
		return unusable
	case e.health.aside:
		return probe
	case e.health.speed() > slowPace*s.pace:
		return slow
	default:
		return steady
	}
}

// unanswered reports whether a start has been left without any word for too long.
func (e *endpoint) unanswered(now time.Duration) bool {
	for _, t := range e.runs {
		if t.running == 0 && !t.orphaned && now-t.ordered > answerIn {
			return true
		}
	}
	return false
}
