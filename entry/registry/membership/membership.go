// Package membership keeps the list of the entries of a deployment. It is pure: it uses no clock
// and does no I/O.
//
// It addresses deployments of hundreds of entries that start together, fail together or are
// together turned away by the store. Entries compare digests of their lists and send one only
// where the digests differ. An entry that the store does not list stays known as long as any
// entry hears from it: its age travels with its address, and only direct contact resets it.
// If entries passed on addresses without an age, none would ever drop that of a host that is
// gone.
package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ttl is how long an entry is kept that nobody has seen again.
	ttl = 15 * time.Second
	// listedTTL is how long an entry counts as listed by the store after the list that
	// contained it. The rest of ttl is left for the other entries to hear of it.
	listedTTL = 5 * time.Second
	// quietExchanges is the number of successive exchanges that add no entry after which discovery
	// ends, and maxDiscovery is its longest duration.
	quietExchanges = 3
	maxDiscovery   = 2 * time.Second
)

// Phase is the phase in which this entry's list is.
//
//	phase       | event                                        | next
//	------------|----------------------------------------------|------------
//	Discovering | an entry is added                            | Discovering
//	Discovering | quietExchanges in a row added none           | Settled
//	Discovering | maxDiscovery has passed since the start      | Settled
//	Settled     | any                                          | Settled
type Phase int

// Phases of a list.
const (
	// Discovering: the entry has started, and each exchange may name many unknown entries.
	Discovering Phase = iota
	// Settled: the list is complete except for single entries that come and go.
	Settled
)

// String returns the name used in logs.
func (p Phase) String() string {
	if p == Settled {
		return "settled"
	}
	return "discovering"
}

// Known is an entry and how long ago it was last seen.
type Known struct {
	Address string
	Age     time.Duration
}

// Answer is what an entry answers another one that asks it for its list.
type Answer struct {
	// Known are all entries if the lists differ, and otherwise those that the store has not listed
	// lately.
	Known []Known
	// SameEntries is true if the lists are equal. All entries that are not in Known were then last
	// seen at most OthersAge ago.
	SameEntries bool
	OthersAge   time.Duration
}

// Snapshot is a list at one moment.
type Snapshot struct {
	// Addresses are the known entries, sorted; they must not be changed.
	Addresses []string
	// Version rises with each change of the other fields.
	Version uint64
	Phase   Phase
}

// Change is the difference between two lists.
type Change struct {
	// Added and Removed are sorted.
	Added, Removed []string
}

// IsZero reports whether the lists are equal.
func (c Change) IsZero() bool { return len(c.Added)+len(c.Removed) == 0 }

// List is what one entry knows of all entries, itself included.
type List struct {
	self    string
	entries map[string]times
	// addresses are the known entries, sorted, and digest is the digest of them. A slice that
	// was returned is never changed.
	addresses []string
	digest    uint64
	phase     Phase
	// version rises with each change of the addresses or the phase.
	version   uint64
	startedAt time.Time
	// added is true if an entry was added since the last Update, and no entry is to be dropped
	// before expiry.
	added  bool
	expiry time.Time
	// quiet is the number of exchanges since an entry was last added.
	quiet int
}

// times are when an entry was last seen, and when the store last listed it. The latter is zero
// for an entry that the store has never listed.
type times struct{ seen, listed time.Time }

// New returns a list that contains only the entry itself.
func New(self string, now time.Time) *List {
	return &List{
		self: self, entries: map[string]times{}, addresses: []string{self}, digest: xxhash.Sum64String(self),
		version: 1, startedAt: now, expiry: now.Add(ttl),
	}
}

// Addresses returns the known entries, sorted. The caller must not change them.
func (l *List) Addresses() []string { return l.addresses }

// Snapshot returns the list as of the last Update.
func (l *List) Snapshot() Snapshot {
	return Snapshot{Addresses: l.addresses, Version: l.version, Phase: l.phase}
}

// Digest returns a hash that is equal for equal lists.
func (l *List) Digest() uint64 { return l.digest }

// Phase returns the phase at the last Update.
func (l *List) Phase() Phase { return l.phase }

// Listed records entries that the store lists now. Update must be called afterwards.
func (l *List) Listed(addresses []string, now time.Time) {
	for _, a := range addresses {
		l.record(a, times{seen: now, listed: now})
	}
}

// Seen records entries that were reached or have called at the given time. Update must be called
// afterwards.
func (l *List) Seen(addresses []string, at time.Time) {
	for _, a := range addresses {
		l.record(a, times{seen: at})
	}
}

// record advances the times of an entry.
func (l *List) record(address string, t times) {
	old, known := l.entries[address]
	l.added = l.added || !known
	l.entries[address] = times{seen: later(old.seen, t.seen), listed: later(old.listed, t.listed)}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Merge records what another entry answered when this entry had the given addresses. asked is when
// it was asked: the ages count from the answer, which is later, so the recorded times are never
// later than the true ones. Update must be called afterwards.
func (l *List) Merge(a Answer, had []string, asked time.Time) {
	l.quiet++
	named := make(map[string]bool, len(a.Known))
	for _, k := range a.Known {
		named[k.Address] = true
		l.record(k.Address, times{seen: asked.Add(-k.Age)})
	}
	if !a.SameEntries {
		return
	}
	for _, address := range had {
		if !named[address] {
			l.record(address, times{seen: asked.Add(-a.OthersAge)})
		}
	}
}

// Update drops entries that nobody has seen for long, moves on to the next phase if it is time,
// and returns how the list has changed since the last Update.
func (l *List) Update(now time.Time) Change {
	var change Change
	if l.added || now.After(l.expiry) {
		change = l.rebuild(now)
	}
	if l.phase == Discovering && (l.quiet >= quietExchanges || now.Sub(l.startedAt) >= maxDiscovery) {
		l.phase = Settled
		l.version++
	}
	return change
}

func (l *List) rebuild(now time.Time) Change {
	l.added, l.expiry = false, now.Add(ttl)
	current := []string{l.self}
	for a, t := range l.entries {
		if now.Sub(t.seen) > ttl {
			delete(l.entries, a)
			continue
		}
		if expiry := t.seen.Add(ttl); expiry.Before(l.expiry) {
			l.expiry = expiry
		}
		if a != l.self {
			current = append(current, a)
		}
	}
	slices.Sort(current)
	change := Diff(l.addresses, current)
	if !change.IsZero() {
		l.addresses, l.digest = current, digest(current)
		l.version++
	}
	if len(change.Added) > 0 {
		l.quiet = 0
	}
	return change
}

func digest(addresses []string) uint64 {
	var sum uint64
	for _, a := range addresses {
		sum ^= xxhash.Sum64String(a)
	}
	return sum
}

// GossipInterval returns the interval until the next exchange: first during discovery, and twice
// as long with each exchange after that which adds no entry, up to steady. Others may have ended
// their discovery too early, or have just joined.
func (l *List) GossipInterval(first, steady time.Duration) time.Duration {
	interval := first
	if l.phase == Discovering {
		return interval
	}
	for quiet := quietExchanges; quiet <= l.quiet && interval < steady; quiet++ {
		interval *= 2
	}
	return min(interval, steady)
}

// Answer returns what to answer an entry whose list has the given digest.
func (l *List) Answer(digest uint64, now time.Time) Answer {
	a := Answer{SameEntries: digest == l.digest}
	if !a.SameEntries {
		a.Known = append(a.Known, Known{Address: l.self})
	}
	for _, address := range l.addresses {
		if address == l.self {
			continue
		}
		t := l.entries[address]
		age := max(now.Sub(t.seen), 0)
		if a.SameEntries && !t.unlisted(now) {
			a.OthersAge = max(a.OthersAge, age)
			continue
		}
		a.Known = append(a.Known, Known{Address: address, Age: age})
	}
	return a
}

// Unlisted returns the number of other known entries that the store has not listed lately.
func (l *List) Unlisted(now time.Time) int {
	n := 0
	for _, a := range l.addresses {
		if a != l.self && l.entries[a].unlisted(now) {
			n++
		}
	}
	return n
}

func (t times) unlisted(now time.Time) bool { return now.Sub(t.listed) > listedTTL }

// Diff returns the difference between two sorted lists.
func Diff(before, after []string) Change {
	var c Change
	for len(before) > 0 && len(after) > 0 {
		switch {
		case before[0] == after[0]:
			before, after = before[1:], after[1:]
		case before[0] < after[0]:
			c.Removed = append(c.Removed, before[0])
			before = before[1:]
		default:
			c.Added = append(c.Added, after[0])
			after = after[1:]
		}
	}
	c.Removed = append(c.Removed, before...)
	c.Added = append(c.Added, after...)
	return c
}
