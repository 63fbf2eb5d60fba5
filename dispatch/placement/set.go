// Package placement chooses the endpoint for the next task, from what one entry knows about
// the slots: it knows its own open starts exactly, and those of other entries by the last
// report.
package placement

import (
	"math/rand/v2"
	"time"
)

const (
	highestLevel = 255
	lowestLevel  = -255
	slowLevel    = lowestLevel - 1
	probingLevel = slowLevel - 1
	noLevel      = probingLevel - 1
	levels       = highestLevel - probingLevel + 1
)

// Chooser chooses the endpoint for the next task; nil if none can take one now. avoid, if not
// nil, is an endpoint to choose only if there is no other.
type Chooser interface {
	Choose(s *Set, avoid *Endpoint) *Endpoint
}

// Report is an endpoint's report of what it holds for other entries.
type Report struct {
	// Version orders the reports of one endpoint.
	Version uint64
	Others  int
	// Slots is the endpoint's number of slots, zero if not reported.
	Slots   int
	Leaving bool
}

// Options configure a Set.
type Options struct {
	// DataCentre is this entry's data centre; its endpoints are preferred on a tie.
	DataCentre string
	// MinInFlight is the number of own starts that may be open on an endpoint whatever its last
	// report says. Without it a report of a full endpoint would never be corrected, since only
	// replies bring new reports, and the entry would starve. Starts above the slots wait in the
	// guard's queue.
	MinInFlight int
	// Chooser is the placement policy; nil takes KnownFree.
	Chooser Chooser
}

// Set holds the endpoints of one service. It is not safe for concurrent use.
type Set struct {
	opts   Options
	random *rand.Rand
	all    []*Endpoint
	// index holds the endpoints that can take a task by level, with those in the own data
	// centre apart. top is at least the highest level in use; ready counts the endpoints in the
	// index.
	index [levels]level
	top   int
	ready int
}

// level holds the endpoints of one level: local those in the own data centre, remote the others.
type level struct{ local, remote []*Endpoint }

// New returns an empty Set.
func New(o Options, random *rand.Rand) *Set {
	if o.Chooser == nil {
		o.Chooser = KnownFree{}
	}
	return &Set{opts: o, random: random, top: probingLevel}
}

// Add adds a new endpoint.
func (s *Set) Add(id, dataCentre string) *Endpoint {
	e := &Endpoint{ID: id, DataCentre: dataCentre, slotWeight: 1, level: noLevel, all: len(s.all)}
	e.local = dataCentre == s.opts.DataCentre
	s.all = append(s.all, e)
	return e
}

// Remove removes an endpoint.
func (s *Set) Remove(e *Endpoint) {
	s.unlink(e)
	last := len(s.all) - 1
	s.all[e.all] = s.all[last]
	s.all[e.all].all = e.all
	s.all[last] = nil
	s.all = s.all[:last]
}

// Configure sets what the endpoint announced.
func (s *Set) Configure(e *Endpoint, slots, ownLimit int, draining bool) {
	e.slots = slots
	e.ownLimit = ownLimit
	e.draining = draining
	s.relink(e)
}

// SetNoQueue sets whether a start above the endpoint's slots would be refused instead of
// queued there. If so, MinInFlight does not apply to the endpoint.
func (s *Set) SetNoQueue(e *Endpoint, noQueue bool) {
	e.noQueue = noQueue
	s.relink(e)
}

// Report records an endpoint's report of what it holds for others. It returns false if the
// report is not newer than the last one.
func (s *Set) Report(now time.Time, e *Endpoint, r Report) bool {
	if !e.reported.IsZero() && r.Version <= e.version {
		return false
	}
	e.averageOthers(now, r.Others)
	e.version = r.Version
	e.others = r.Others
	if r.Slots > 0 {
		e.slots = r.Slots
	}
	e.draining = r.Leaving
	s.relink(e)
	return true
}

// CountStart counts one more open start of this entry.
func (s *Set) CountStart(e *Endpoint) {
	e.own++
	s.relink(e)
}

// CountEnd counts the end of one open start of this entry.
func (s *Set) CountEnd(e *Endpoint) {
	e.own--
	s.relink(e)
}

// SetExcluded excludes the endpoint from placement, or includes it again.
func (s *Set) SetExcluded(e *Endpoint, excluded bool) {
	if e.excluded != excluded {
		e.excluded = excluded
		s.relink(e)
	}
}

// SetSlotWeight sets the fraction of the endpoint's slots that counts: 1 for a normal endpoint, less
// for a slow one.
func (s *Set) SetSlotWeight(e *Endpoint, slotWeight float64) {
	e.slotWeight = slotWeight
	s.relink(e)
}

// SetProbing makes the endpoint the last choice, with one task at a time.
func (s *Set) SetProbing(e *Endpoint, probing bool) {
	if e.probing != probing {
		e.probing = probing
		s.relink(e)
	}
}

// Choose chooses the endpoint for the next task; nil if none can take one.
func (s *Set) Choose(avoid *Endpoint) *Endpoint { return s.opts.Chooser.Choose(s, avoid) }

// Capacity returns the number of slots that this entry can count on, and the number of
// endpoints that accept tasks at all.
func (s *Set) Capacity() (slots float64, usable int) {
	for _, e := range s.all {
		slots += e.usableSlots()
		if e.Usable() {
			usable++
		}
	}
	return slots, usable
}

// All returns all endpoints. The caller must not change the slice.
func (s *Set) All() []*Endpoint { return s.all }

// IntN returns a random number from 0 to n-1.
func (s *Set) IntN(n int) int { return s.random.IntN(n) }

// relink moves the endpoint to its current level in the index.
func (s *Set) relink(e *Endpoint) {
	rank := e.rank(s.opts.MinInFlight)
	if rank == e.level {
		return
	}
	s.unlink(e)
	if rank == noLevel {
		return
	}
	bucket := s.bucket(rank, e.local)
	e.level = rank
	e.index = len(*bucket)
	*bucket = append(*bucket, e)
	s.ready++
	s.top = max(s.top, rank)
}

func (s *Set) unlink(e *Endpoint) {
	if e.level == noLevel {
		return
	}
	bucket := s.bucket(e.level, e.local)
	last := len(*bucket) - 1
	(*bucket)[e.index] = (*bucket)[last]
	(*bucket)[e.index].index = e.index
	(*bucket)[last] = nil
	*bucket = (*bucket)[:last]
	e.level = noLevel
	s.ready--
}

func (s *Set) bucket(rank int, local bool) *[]*Endpoint {
	l := &s.index[rank-probingLevel]
	if local {
		return &l.local
	}
	return &l.remote
}

// KnownFree chooses the endpoint with the most slots believed free, then the least overloaded
// of those with fewer own starts than MinInFlight, then a slow one, then one being probed; on
// a tie one in the own data centre, else at random.
type KnownFree struct{}

// Choose implements Chooser.
func (KnownFree) Choose(s *Set, avoid *Endpoint) *Endpoint {
	if s.ready == 0 {
		return nil
	}
	if s.ready == 1 && avoid != nil && avoid.level != noLevel {
		return avoid
	}
	s.lowerTop()
	for rank := s.top; rank >= probingLevel; rank-- {
		for _, local := range []bool{true, false} {
			if e := s.pick(*s.bucket(rank, local), avoid); e != nil {
				return e
			}
		}
	}
	return nil
}

// lowerTop lowers top to the highest level in use.
func (s *Set) lowerTop() {
	for s.top > probingLevel && s.empty(s.top) {
		s.top--
	}
}

func (s *Set) empty(rank int) bool {
	l := &s.index[rank-probingLevel]
	return len(l.local) == 0 && len(l.remote) == 0
}

// pick returns a random endpoint of the bucket other than avoid.
func (s *Set) pick(bucket []*Endpoint, avoid *Endpoint) *Endpoint {
	n := len(bucket)
	if n == 0 {
		return nil
	}
	first := s.random.IntN(n)
	if bucket[first] != avoid {
		return bucket[first]
	}
	if n == 1 {
		return nil
	}
	return bucket[(first+1)%n]
}
