package planner

import "time"

// A data centre that loses its power or its network takes all its endpoints at once. Each is found
// out by a start that goes unanswered, and its task is lost with it: with many endpoints, the jobs
// of seconds. Instead, all endpoints of a data centre from which nothing is heard after a start was
// sent there get nothing until one of them is heard.

const (
	// silenceTimeout is how long a start may go unanswered, and its data centre unheard, until the
	// data centre is silent. A guard reports a started run within 80 ms and answers within
	// milliseconds otherwise; lost packets are sent again after some 200 ms, but not those of every
	// guard.
	silenceTimeout = 150 * time.Millisecond
	// maxHearingGap is the time without a message of any guard above which the entry counts as
	// stalled: messages that arrived meanwhile are unread.
	maxHearingGap = 50 * time.Millisecond
)

// hearing tracks from which data centres this entry hears.
type hearing struct {
	// last is when the last message was received, and listened the time for which the entry has
	// listened: that between two messages, unless it was stalled.
	last, listened time.Duration
	// heardAt is when a data centre was last heard, and heardListened the value of listened then.
	heardAt, heardListened map[string]time.Duration
}

func newHearing() hearing {
	return hearing{heardAt: map[string]time.Duration{}, heardListened: map[string]time.Duration{}}
}

// hear records a message of a data centre.
func (h *hearing) hear(now time.Duration, dataCentre string) {
	if gap := now - h.last; gap <= maxHearingGap {
		h.listened += gap
	}
	h.last = now
	h.heardAt[dataCentre], h.heardListened[dataCentre] = now, h.listened
}

// Heard records that a message of an endpoint's guard was received.
func (p *Planner) Heard(now time.Duration, id string) {
	if e := p.endpoints[id]; e != nil {
		p.hearing.hear(now, e.dataCentre)
		delete(p.silent, e.dataCentre)
	}
}

// updateSilent determines which data centres of the service's endpoints are silent.
func (p *Planner) updateSilent(now time.Duration, s *service) {
	for _, e := range s.endpoints {
		if !p.silent[e.dataCentre] && p.hearing.unheard(now, e) {
			p.silent[e.dataCentre] = true
		}
	}
}

// unheard reports whether a start was sent to an endpoint at least silenceTimeout ago and nothing
// has been heard from its data centre since, although the entry has listened to others.
func (h *hearing) unheard(now time.Duration, e *endpoint) bool {
	if h.listened-h.heardListened[e.dataCentre] < silenceTimeout {
		return false
	}
	for _, t := range e.runs {
		if t.running == 0 && !t.orphaned && now-t.ordered >= silenceTimeout && h.heardAt[e.dataCentre] < t.ordered {
			return true
		}
	}
	return false
}
