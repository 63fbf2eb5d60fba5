// Package handover decides which jobs an entry hands over to another entry, and to which one.
// It has no clock and does no I/O.
//
// It serves entries behind one load balancer on hosts of unequal size: one that is short of
// processor time, that reaches no guard or that shuts down has jobs that another entry can still
// answer in time.
package handover

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Load is the load of another entry as it reported it.
type Load struct {
	// Address is where the entry accepts connections from other entries.
	Address string
	// Lag is the mean time by which it has lately handled events late.
	Lag time.Duration
	// SpareMilli is the processor time that it did not use, in thousandths of a core.
	SpareMilli int
}

// State is the state of this entry.
type State struct {
	// Lag is the mean time by which this entry has lately handled events late.
	Lag time.Duration
	// UsedPermille is the share of its processor time that this entry has lately used, in
	// thousandths; zero if it is not known.
	UsedPermille int
	// Draining is true once the entry takes no new jobs because it shuts down.
	Draining bool
	// Unreachable is true while no endpoint of the job's service can be reached from this entry.
	Unreachable bool
}

// Job is what a decision needs of a job.
type Job struct {
	// Slack is the time that is left beyond the expected run time until the response-time target.
	Slack time.Duration
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
}

// Reason is why a job is handed over.
type Reason string

// Values of Reason.
const (
	ReasonLag         Reason = "lag"
	ReasonDraining    Reason = "draining"
	ReasonUnreachable Reason = "no_endpoint_reached"
)

// Outcome is how a handover ended.
type Outcome int

// Values of Outcome.
const (
	// Answered: the other entry answered with the job's outcome.
	Answered Outcome = iota + 1
	// NotTaken: the other entry did not take the job over, or could not be reached.
	NotTaken
	// Lost: the connection ended after the job was sent.
	Lost
)

// Limits on what is handed over.
const (
	// maxInFlight and maxPerEntry bound the jobs in flight from one entry, in all and to one other
	// entry. They bound the damage of load reports that are old or false.
	maxInFlight = 64
	maxPerEntry = 16
	// jobMilli is the spare processor time, in thousandths of a core, that a job in flight takes: a
	// job of 300 ms costs an entry 1 to 3 ms.
	jobMilli = 10
	// maxEntries bounds the loads that are kept.
	maxEntries = 64
)

// Times of the decision.
const (
	// loadMaxAge is the age from which a load no longer counts.
	loadMaxAge = 1500 * time.Millisecond
	// avoidFor is how long an entry that did not take a job, or whose connection was lost, is not
	// chosen.
	avoidFor = time.Second
	// networkLatency is that of both ways between two data centres, 0.9 ms each.
	networkLatency = 2 * time.Millisecond
)

// Thresholds of the lag. Between them the entry stays in the state in which it is.
const (
	highLag = 5 * time.Millisecond
	lowLag  = highLag / 2
	// highFor is how long the lag must have been high: one late event raises the mean for a moment.
	highFor = 30 * time.Millisecond
	// observedWithin is the longest time between two observations of a lag that stayed high.
	observedWithin = 500 * time.Millisecond
)

// Shares of its processor time that an entry uses, in thousandths, at which it starts to hand jobs over
// and at which it hands over all that it can. In between it hands over a share of them, so that the use
// settles. The loads of the others are wanted before, at wantedUsed.
const (
	wantedUsed = 400
	someUsed   = 500
	allUsed    = 700
)

// Numbers of times that an entry's lag delays a job.
const (
	// stayEvents: after its request has been read, a job that stays waits for the decision, the
	// reports on its tasks and the answer. The entry that takes a job over handles the same events.
	stayEvents = 3
	// sendEvents: a job that is handed over waits to be sent, and its answer to be read.
	sendEvents = 2
)

// Policy is the state of the decisions of one entry. It is not safe for concurrent use.
type Policy struct {
	random   *rand.Rand
	others   map[string]*other
	inFlight int
	// highSince is when the lag became high; zero while it is low. observedAt is the time of the
	// last observation.
	highSince, observedAt time.Duration
}

// other is what is known of another entry.
type other struct {
	Load
	// heardAt is the time of the last load; zero if there is none.
	heardAt      time.Duration
	inFlight     int
	avoidedUntil time.Duration
}

// New returns a policy that knows no other entry. seed is the random seed for the choice between
// entries.
func New(seed uint64) *Policy {
	return &Policy{random: rand.New(rand.NewPCG(seed, 0)), others: map[string]*other{}}
}

// RecordLoad records the load of another entry. A load without an address or with impossible amounts is
// ignored.
func (p *Policy) RecordLoad(now time.Duration, l Load) {
	if l.Address == "" || l.Lag < 0 || l.SpareMilli < 0 {
		return
	}
	if p.others[l.Address] == nil {
		maps.DeleteFunc(p.others, func(_ string, o *other) bool { return o.expired(now) })
		if len(p.others) >= maxEntries {
			return
		}
		p.others[l.Address] = &other{}
	}
	o := p.others[l.Address]
	o.Load, o.heardAt = l, now
}

// expired reports whether nothing of what is known of an entry counts any more.
func (o *other) expired(now time.Duration) bool {
	return o.inFlight == 0 && now >= o.avoidedUntil && now-o.heardAt > loadMaxAge
}

// Wanted reports whether this entry hands jobs over or soon will, so that it needs the loads of the
// other entries.
func (p *Policy) Wanted(now time.Duration, s State) bool {
	p.observe(now, s.Lag)
	return s.Draining || s.Unreachable || p.highSince > 0 || s.UsedPermille >= wantedUsed
}

// observe records the lag of this entry.
func (p *Policy) observe(now, lag time.Duration) {
	stale := now-p.observedAt > observedWithin
	p.observedAt = now
	switch {
	case lag < lowLag:
		p.highSince = 0
	case lag >= highLag && (p.highSince == 0 || stale):
		p.highSince = now
	case stale:
		p.highSince = 0
	}
}

// Choose returns the entry that a job is handed over to, and why; ok is false if the job stays here. A
// chosen job counts as under way until Ended is called for it.
func (p *Policy) Choose(now time.Duration, s State, j Job) (address string, why Reason, ok bool) {
	p.observe(now, s.Lag)
	why = p.reason(now, s, j)
	if why == "" || p.inFlight >= maxInFlight {
		return "", "", false
	}
	o := p.draw(now, func(o *other) bool { return o.helps(s, j, why) })
	if o == nil {
		return "", "", false
	}
	o.inFlight++
	p.inFlight++
	return o.Address, why, true
}

// reason returns why a job is to be handed over; empty if it is not.
func (p *Policy) reason(now time.Duration, s State, j Job) Reason {
	switch {
	case s.Draining:
		return ReasonDraining
	case s.Unreachable:
		return ReasonUnreachable
	case p.short(now, s):
		return ReasonLag
	}
	return ""
}

// short reports whether the entry is too short of processor time for a job. That a job would be late by
// the lag is not asked: the lag of an entry that uses all of its processor time can stay at 10 ms,
// because guards then send it less of their free capacity, so that its jobs are rejected.
func (p *Policy) short(now time.Duration, s State) bool {
	if p.highSince > 0 && now-p.highSince >= highFor {
		return true
	}
	return s.UsedPermille > someUsed && p.random.IntN(allUsed-someUsed) < s.UsedPermille-someUsed
}

// helps reports whether a job that is handed over to an entry is still answered, and is in time or
// earlier than if it stayed.
func (o *other) helps(s State, j Job, why Reason) bool {
	delay := sendEvents*s.Lag + networkLatency + stayEvents*o.Lag
	if delay > j.TimeLeft {
		return false
	}
	return why != ReasonLag || delay <= j.Slack || delay < stayEvents*s.Lag
}

// free returns the spare processor time of an entry less that of the jobs in flight there.
func (o *other) free() int { return o.SpareMilli - jobMilli*o.inFlight }

// draw returns the entry with more free processor time of two that are drawn from those that can take a
// job; nil if there is none. Always choosing the first would send the jobs of all entries there.
func (p *Policy) draw(now time.Duration, helps func(*other) bool) *other {
	var candidates []*other
	for _, o := range p.others {
		if now-o.heardAt <= loadMaxAge && now >= o.avoidedUntil && o.inFlight < maxPerEntry && o.free() >= jobMilli && helps(o) {
			candidates = append(candidates, o)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *other) int { return strings.Compare(a.Address, b.Address) })
	a, b := candidates[p.random.IntN(len(candidates))], candidates[p.random.IntN(len(candidates))]
	if b.free() > a.free() {
		return b
	}
	return a
}

// Ended records the end of a handover.
func (p *Policy) Ended(now time.Duration, address string, o Outcome) {
	e := p.others[address]
	if e == nil || e.inFlight == 0 {
		return
	}
	e.inFlight--
	p.inFlight--
	if o != Answered {
		e.avoidedUntil = now + avoidFor
	}
}
