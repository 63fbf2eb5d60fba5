package planner

import (
	"math"
	"time"

	"almondstand.dev/dispatch/work"
)

// A guard sends its late starts to every entry, but a message that was sent may never arrive: this entry
// may be cut off from the guard, or may have just started. A caller that left another entry may then
// submit the job here, and a task that is started at one endpoint is executed late at another. So tasks
// start only while the entry knows the late starts of all endpoints up to a short time ago, from their
// guards or from the other entries, which were sent them too.

const (
	// maxContactAge is the age of what is known of an endpoint's late starts above which no task is
	// started. A guard sends a message at least once a second, and knows that a start went unanswered
	// 150 ms after it was sent; a caller submits its job again 1.3 s after its connection broke.
	maxContactAge = 1100 * time.Millisecond
	// askAfter is the age at which the other entries are asked, so that tasks rarely have to wait. Messages
	// of a guard that has nothing to tell are not that far apart.
	askAfter = 1040 * time.Millisecond
	// askInterval is the time between two questions while endpoints are out of contact: with the time for
	// the answers it stays below maxContactAge, so that tasks don't have to wait.
	askInterval = 700 * time.Millisecond
	// blockedAskInterval is that time while tasks wait.
	blockedAskInterval = 20 * time.Millisecond
)

// never is a time before all others. Half of the range keeps differences from overflowing.
const never = time.Duration(math.MinInt64 / 2)

// contact is what the entry knows of the late starts of all endpoints.
type contact struct {
	// askedAt is when the other entries were asked last for theirs, of the questions that were answered, and
	// unansweredAt of those that none of them answered.
	askedAt, unansweredAt time.Duration
	// replacedAt is when a guard was replaced last: its successor has no record of its late starts, which
	// the other entries have for LateStartWindow.
	replacedAt time.Duration
	// lateStartsPossible is true once a runner has named its start time: only the next process of such a
	// runner may execute a start late.
	lateStartsPossible bool
	// blocked is true while waiting tasks are held back because contact is too old.
	blocked bool
	// oldest is a lower bound of the oldest time of contact, as of scannedAt: contact only gets newer.
	oldest, scannedAt time.Duration
}

func newContact() contact {
	return contact{askedAt: never, unansweredAt: never, replacedAt: never, oldest: never, scannedAt: never}
}

// lastAsked returns when the other entries were asked last, of the questions that are over.
func (c *contact) lastAsked() time.Duration { return max(c.askedAt, c.unansweredAt) }

// RecordContact records that all late starts that the endpoint's guard had at the given time are known.
func (p *Planner) RecordContact(id string, at time.Duration) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if e.contactAt <= p.contact.oldest {
		p.contact.scannedAt = never
	}
	e.contactAt = max(e.contactAt, at)
}

// RecordGuardReplaced records that the endpoint's guard is another process than before. It must precede
// AttachEndpoint.
func (p *Planner) RecordGuardReplaced(now time.Duration, id string) {
	if e := p.endpoints[id]; p.opt.AsksPeers && e != nil && e.keepsID {
		p.contact.replacedAt = now
	}
}

// RecordPeersAsked records that the late starts that the other entries had at the given time are known.
func (p *Planner) RecordPeersAsked(at time.Duration) {
	p.contact.askedAt = max(p.contact.askedAt, at)
}

// RecordPeersUnanswered records that no other entry has answered a question that was asked at the given time.
// The others may be gone, so jobs that have waited for it wait no longer. Later jobs wait for the next one: this
// entry may have been cut off, and reach the others again.
func (p *Planner) RecordPeersUnanswered(at time.Duration) {
	p.contact.unansweredAt = max(p.contact.unansweredAt, at)
}

// MustAskPeers reports whether the other entries must be asked for their late starts.
func (p *Planner) MustAskPeers(now time.Duration) bool {
	last := p.contact.lastAsked()
	switch {
	case p.contact.replacedAt > last:
		return true
	case p.contact.blocked:
		return now-last >= blockedAskInterval
	default:
		return now-last >= askInterval && p.oldestContact(now) < now-askAfter
	}
}

// AwaitsContact reports whether tasks are held back because the late starts of an endpoint may be unknown.
func (p *Planner) AwaitsContact() bool { return p.contact.blocked }

// oldestContact returns the oldest time of contact of the endpoints whose runners may execute late starts,
// or a lower bound that is recent enough. An entry that has just started doesn't know its endpoints yet.
func (p *Planner) oldestContact(now time.Duration) time.Duration {
	if !p.opt.AsksPeers {
		return now
	}
	if p.inStartupGrace(now) {
		return never
	}
	c := &p.contact
	if c.oldest >= now-askAfter || c.scannedAt == now {
		return c.oldest
	}
	c.oldest, c.scannedAt = now, now
	for _, e := range p.endpoints {
		if e.keepsID {
			c.oldest = min(c.oldest, e.contactAt)
		}
	}
	return c.oldest
}

// knowsLateStarts reports whether the late starts of all endpoints are known, or a job received at the
// given time has waited for them long enough.
func (p *Planner) knowsLateStarts(now, received time.Duration) bool {
	c := &p.contact
	if c.unansweredAt >= max(received, c.replacedAt) {
		return true
	}
	needed := now - maxContactAge
	if p.opt.AsksPeers && p.inStartupGrace(now) {
		// After a loss of power the other entries may not be back, so questions that nobody answered count.
		return c.lastAsked() >= needed
	}
	if c.replacedAt > c.askedAt && now-c.replacedAt < work.LateStartWindow {
		return false
	}
	if c.askedAt >= needed {
		return true
	}
	if c.lateStartsPossible && c.unansweredAt > c.askedAt && now-c.unansweredAt < work.LateStartWindow {
		// This entry was cut off from the others, and may have been from a guard that it does not know.
		return false
	}
	return p.oldestContact(now) >= needed
}

// EndpointLateStart is a late start of an endpoint's runner, and the time left until it can't be executed
// any more.
type EndpointLateStart struct {
	Endpoint string
	Task     work.TaskID
	Left     time.Duration
}

// LateStarts returns the late starts that guards have reported to this entry. Those of other entries are
// not passed on: they would go round, and last longer each time by the time of the transit.
func (p *Planner) LateStarts(now time.Duration) []EndpointLateStart {
	var all []EndpointLateStart
	for task, late := range p.lateStarts {
		for _, l := range late {
			if !l.fromPeer && l.until > now {
				all = append(all, EndpointLateStart{l.endpoint, task, l.until - now})
			}
		}
	}
	return all
}
