package placement

import (
	"math"
	"time"
)

// othersTimeConstant is the time constant over which reports of others' tasks are averaged.
const othersTimeConstant = time.Second

// Endpoint is what an entry knows about the slots of one endpoint.
type Endpoint struct {
	// ID is the name of the endpoint, DataCentre its data centre.
	ID         string
	DataCentre string

	slots    int
	ownLimit int
	draining bool
	noQueue  bool
	own      int
	others   int
	version  uint64
	reported time.Time
	// meanOthers is the moving average of the number of tasks held for other entries.
	meanOthers float64
	// slotWeight is the fraction of the slots that counts, below 1 for a slow endpoint.
	slotWeight float64
	excluded   bool
	// probing is true while only one task at a time may be open there, to test the endpoint.
	probing bool

	local bool
	// level and index are the endpoint's position in the Set's index; level is noLevel while
	// the endpoint cannot take a task.
	level int
	index int
	// all is the position among all endpoints of the Set.
	all int
}

// Slots returns the number of tasks that the endpoint runs at once.
func (e *Endpoint) Slots() int { return e.slots }

// Own returns the number of this entry's open starts there.
func (e *Endpoint) Own() int { return e.own }

// Others returns the number of tasks held there for other entries, by the last report.
func (e *Endpoint) Others() int { return e.others }

// Draining reports whether the endpoint is draining: no new task may be started there.
func (e *Endpoint) Draining() bool { return e.draining }

// Excluded reports whether the endpoint is excluded from placement by SetExcluded.
func (e *Endpoint) Excluded() bool { return e.excluded }

// Unavailable reports whether no task may be started there, whatever its load.
func (e *Endpoint) Unavailable() bool {
	return !e.Usable() || e.ownLimit > 0 && e.own >= e.ownLimit
}

// usableSlots returns the number of slots that this entry can count on: what others usually
// leave, but at least one, because the guard's queue serves the entries in turn.
//
// For an endpoint without a queue it is at least what this entry holds now. A refusal there is
// read as others holding all other slots; if that were believed against the entry's own open
// starts, jobs would be refused for a backlog that these slots work off in a moment. At an
// endpoint with a guard, the report counts what others hold, and an own start may still be
// waiting there.
func (e *Endpoint) usableSlots() float64 {
	if !e.Usable() {
		return 0
	}
	usable := max(1, float64(e.slots)-e.meanOthers)
	if e.noQueue {
		usable = max(usable, float64(min(e.own, e.slots)))
	}
	if e.ownLimit > 0 {
		usable = min(usable, float64(e.ownLimit))
	}
	return usable * e.slotWeight
}

// Usable reports whether the endpoint accepts tasks at all.
func (e *Endpoint) Usable() bool { return !e.draining && e.slots > 0 }

// averageOthers adds a report's count of others' tasks to the moving average.
func (e *Endpoint) averageOthers(now time.Time, others int) {
	weight := 1.0
	if !e.reported.IsZero() {
		age := max(0, now.Sub(e.reported))
		weight = 1 - math.Exp(-age.Seconds()/othersTimeConstant.Seconds())
	}
	e.meanOthers += (float64(others) - e.meanOthers) * weight
	e.reported = now
}

// effectiveSlots returns the number of slots scaled by slotWeight: an endpoint that runs at a
// quarter of its peers' speed does the work of a quarter of its slots.
func (e *Endpoint) effectiveSlots() int {
	if e.slotWeight >= 1 {
		return e.slots
	}
	return max(1, int(math.Floor(float64(e.slots)*e.slotWeight)))
}

// freeSlots returns the number of slots believed free, negative when the endpoint has more tasks
// than slots.
func (e *Endpoint) freeSlots() int { return e.effectiveSlots() - e.own - e.others }

// rank returns the level by which the endpoint is chosen, noLevel if it cannot be. A slow
// endpoint comes after all normal ones, also after those that are full but have fewer own
// starts than minInFlight: a task waiting for a normal endpoint is mostly answered sooner. One on
// trial comes last.
func (e *Endpoint) rank(minInFlight int) int {
	if e.excluded || e.Unavailable() {
		return noLevel
	}
	free := e.freeSlots()
	switch {
	case e.probing && e.own == 0:
		return probingLevel
	case e.probing:
		return noLevel
	case e.slotWeight < 1 && free > 0:
		return slowLevel
	case e.slotWeight < 1:
		return noLevel
	case free <= 0 && (e.noQueue || e.own >= minInFlight):
		return noLevel
	}
	return min(max(lowestLevel, free), highestLevel)
}
