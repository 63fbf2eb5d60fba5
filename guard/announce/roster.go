package announce

import (
	"math/rand/v2"
	"time"

	wirev1 "almondstand.dev/wire/wirev1"
)

const (
	// minInterval and maxInterval bound the interval that an entry may ask for.
	minInterval = 200 * time.Millisecond
	maxInterval = 5 * time.Minute
	// firstRetry is the retry delay after one failure; it doubles with each
	// further failure up to maxRetry.
	firstRetry = 200 * time.Millisecond
	maxRetry   = 5 * time.Second
	// discoveryInterval is the minimum interval of announcements through a
	// balancer while entries are known. They discover entries that no known entry
	// lists.
	discoveryInterval = 30 * time.Second
	// discoveryRounds is the minimum of the same interval in multiples of the
	// interval that the entries ask for. That grows with the fleet, and calls
	// through the balancer would otherwise cost an entry more than all
	// announcements together. An entry that none of the others lists is rare, and
	// if no known entry responds, discovery runs at once.
	discoveryRounds = 5
	// unlistedRounds is the number of intervals after which an entry is removed
	// if no response lists it.
	unlistedRounds = 3
	// maxEntries bounds the number of entries to announce to.
	maxEntries = 256
	// jitter is the maximum fraction by which an interval is shortened at random,
	// so that guards which started together don't announce at the same time.
	jitter = 0.2
)

// target is an address to announce to.
type target struct {
	// id is the entry's id, or the address of a balancer.
	id          string
	address     string
	incarnation uint64
	balancer    bool

	due        time.Time
	inFlight   bool
	repeat     bool
	failures   int
	interval   time.Duration
	lastListed time.Time
}

// roster decides when to announce to which target. It does no I/O: the clock and
// the random source are passed in. Entries are kept while they fail to respond:
// one is removed only when other entries respond and no longer list it.
type roster struct {
	targets map[string]*target
	// balancers is the number of targets that are balancers.
	balancers int
	rand      *rand.Rand
	// lastResponse is the time of the latest response of any target.
	lastResponse time.Time
}

func newRoster(now time.Time, balancers []string, r *rand.Rand) *roster {
	o := &roster{targets: map[string]*target{}, balancers: len(balancers), rand: r}
	for _, address := range balancers {
		o.targets[address] = &target{id: address, address: address, balancer: true, due: now}
	}
	return o
}

// next returns the targets that are due, which it marks as in flight, and the
// time at which the next one will be due.
func (o *roster) next(now time.Time) (due []*target, wake time.Time) {
	for _, t := range o.targets {
		if t.inFlight {
			continue
		}
		if !t.due.After(now) {
			t.inFlight = true
			due = append(due, t)
			continue
		}
		if wake.IsZero() || t.due.Before(wake) {
			wake = t.due
		}
	}
	return due, wake
}

// announceNow makes every entry due because the announced state has changed. An
// entry with a call in flight is called again afterwards, since that call may
// carry the old state.
func (o *roster) announceNow(now time.Time) {
	known := len(o.targets) > o.balancers
	for _, t := range o.targets {
		if t.balancer && known {
			continue
		}
		t.due = now
		t.repeat = t.inFlight
	}
}

// failed records that a target did not respond.
func (o *roster) failed(now time.Time, t *target) {
	t.inFlight = false
	t.failures++
	interval := firstRetry << min(t.failures-1, 10)
	o.schedule(now, t, min(interval, maxRetry))
	if !t.balancer && o.allFailing() {
		o.rediscover(now)
	}
}

func (o *roster) allFailing() bool {
	for _, t := range o.targets {
		if !t.balancer && t.failures == 0 {
			return false
		}
	}
	return true
}

// rediscover schedules an early announcement through the balancers because no
// known entry responds.
func (o *roster) rediscover(now time.Time) {
	for _, t := range o.targets {
		if t.balancer && t.failures == 0 && t.due.After(now.Add(firstRetry)) {
			t.due = now.Add(firstRetry)
		}
	}
}

// changes holds the changes to the set of entries.
type changes struct {
	attached []*target
	detached []*target
}

// responded records the response of a target.
func (o *roster) responded(now time.Time, t *target, resp *wirev1.AnnounceResponse) changes {
	t.inFlight = false
	t.failures = 0
	t.interval = clamp(time.Duration(resp.GetNextMs()) * time.Millisecond)
	o.renewAfterOutage(now, t.interval)
	var c changes
	for _, e := range resp.GetAttach() {
		c.attached = o.list(now, e, t, c.attached)
	}
	interval := t.interval
	if t.balancer && len(o.targets) > o.balancers {
		interval = max(discoveryInterval, min(discoveryRounds*t.interval, maxInterval))
	}
	o.schedule(now, t, interval)
	c.detached = o.removeUnlisted(now)
	return c
}

// renewAfterOutage renews the listing of every entry after a time without any
// response: the first response after it may come from an entry that has just
// started and doesn't know the others yet.
func (o *roster) renewAfterOutage(now time.Time, interval time.Duration) {
	outage := now.Sub(o.lastResponse) > 2*interval
	o.lastResponse = now
	if !outage {
		return
	}
	for _, t := range o.targets {
		t.lastListed = now
	}
}

// list records that a response lists an entry to announce to.
func (o *roster) list(now time.Time, e *wirev1.EntryInfo, source *target, attached []*target) []*target {
	if e.GetId() == "" || e.GetAddress() == "" {
		return attached
	}
	known := o.targets[e.GetId()]
	if known != nil && (known.balancer || known.incarnation > e.GetIncarnation()) {
		return attached
	}
	if known != nil && known.incarnation == e.GetIncarnation() && known.address == e.GetAddress() {
		known.lastListed = now
		return attached
	}
	if known == nil && len(o.targets) >= maxEntries+o.balancers {
		return attached
	}
	added := &target{
		id:          e.GetId(),
		address:     e.GetAddress(),
		incarnation: e.GetIncarnation(),
		due:         now,
		interval:    source.interval,
		lastListed:  now,
	}
	o.targets[added.id] = added
	return append(attached, added)
}

// removeUnlisted removes the entries that no response has listed for
// unlistedRounds intervals.
func (o *roster) removeUnlisted(now time.Time) []*target {
	var removed []*target
	for id, t := range o.targets {
		if t.balancer || now.Sub(t.lastListed) <= unlistedRounds*max(t.interval, firstRetry) {
			continue
		}
		delete(o.targets, id)
		removed = append(removed, t)
	}
	return removed
}

func (o *roster) schedule(now time.Time, t *target, interval time.Duration) {
	if t.repeat {
		t.repeat = false
		t.due = now
		return
	}
	t.due = now.Add(time.Duration(float64(interval) * (1 - jitter*o.rand.Float64())))
}

// entries returns the targets that are entries.
func (o *roster) entries() []*target {
	var all []*target
	for _, t := range o.targets {
		if !t.balancer {
			all = append(all, t)
		}
	}
	return all
}

func clamp(interval time.Duration) time.Duration { return min(max(interval, minInterval), maxInterval) }
