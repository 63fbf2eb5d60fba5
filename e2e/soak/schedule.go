// Package soak runs a fleet of real processes under random faults that follow
// from a seed, and holds the promises while it runs.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind of fault.
type Kind string

// Kinds. Planned ones may cut no request.
const (
	EntryKill    Kind = "entry killed and started"
	EntryFreeze  Kind = "entry frozen"
	EntryTerm    Kind = "entry stopped as planned and started"
	EntryHangup  Kind = "entry hung up"
	GuardKill    Kind = "guard killed and started"
	GuardFreeze  Kind = "guard frozen"
	GuardTerm    Kind = "guard stopped as planned and started"
	GuardHangup  Kind = "guard hung up"
	RunnerCrash  Kind = "runner crashed and reborn"
	RunnerLate   Kind = "orders to a runner carried out late"
	RunnerSlow   Kind = "runner slow"
	RunnerHang   Kind = "runner hangs"
	RunnerFails  Kind = "runner fails its tasks"
	StoreDown    Kind = "store down"
	StoreAway    Kind = "store turns one entry away"
	StoreSlow    Kind = "store slow"
	StoreLoses   Kind = "store loses answers"
	EntryCut     Kind = "entry cut off from guards"
	EntryOneWay  Kind = "entry hears guards, and isn't heard"
	EntryStalls  Kind = "bytes to an entry held up"
	EntryReset   Kind = "connections to an entry reset"
	EntrySilent  Kind = "connections to an entry silent for good"
	EntryDelay   Kind = "network to an entry slow"
	RunnerReset  Kind = "connections to a runner reset"
	RunnerSilent Kind = "connections to a runner silent for good"
	Configure    Kind = "configuration changed"
	Burst        Kind = "many callers"
	TaskCrashes  Kind = "a task that crashes what starts it"
	RunnerShrink Kind = "a runner's capacity shrinks, by steps, and grows again"

	RunnerRestart Kind = "runner ends and starts again under its id, its last words come late"
	RunnerLeaves  Kind = "runner says that it leaves, and starts again under its id"
)

var planned = []Kind{EntryTerm, EntryHangup, GuardTerm, GuardHangup, Configure, Configure}

var all = []Kind{
	EntryKill, EntryKill, EntryFreeze, EntryTerm, EntryHangup, GuardKill, GuardKill, GuardFreeze, GuardTerm, GuardHangup,
	RunnerCrash, RunnerLate, RunnerLate, RunnerSlow, RunnerHang, RunnerFails, StoreDown, StoreAway, StoreSlow, StoreLoses,
	EntryCut, EntryOneWay, EntryStalls, EntryReset, EntrySilent, EntryDelay, RunnerReset, RunnerSilent, Configure, Burst,
}

// Fault is one entry of a schedule.
type Fault struct {
	At    time.Duration
	Kind  Kind
	Which int
	For   time.Duration
}

// String tells the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%7.3f s: %s, number %d, for %v", f.At.Seconds(), f.Kind, f.Which+1, f.For)
}

// plannedEvery seeds only planned work is done.
const plannedEvery = 5

// Planned reports whether a seed's schedule holds planned work only.
func Planned(seed uint64) bool { return seed%plannedEvery == 0 }

// Schedule returns the faults that follow from a seed, by time. Faults overlap.
func Schedule(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds, least, most := all, 150*time.Millisecond, 900*time.Millisecond
	if Planned(seed) {
		kinds, least, most = planned, 700*time.Millisecond, 1800*time.Millisecond
	}
	var faults []Fault
	for at := 300 * time.Millisecond; at < length; {
		faults = append(faults, Fault{
			At:    at,
			Kind:  kinds[r.IntN(len(kinds))],
			Which: r.IntN(64),
			For:   300*time.Millisecond + time.Duration(r.Int64N(int64(2500*time.Millisecond))),
		})
		at += least + time.Duration(r.Int64N(int64(most-least)))
	}
	if !Planned(seed) {
		for i, kinds := range laterKinds {
			faults = append(faults, later(seed, uint64(2+i), kinds, length)...)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// laterKinds are drawn from streams of their own: the schedules of seeds that found a fault
// stay as they were.
var laterKinds = [][]Kind{{TaskCrashes, RunnerShrink}, {RunnerRestart, RunnerRestart, RunnerLeaves}}

// later returns the faults of one of laterKinds.
func later(seed, stream uint64, kinds []Kind, length time.Duration) []Fault {
	const least, spread = 800 * time.Millisecond, 2500 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, stream))
	var faults []Fault
	for at := least; at < length; at += least + time.Duration(r.Int64N(int64(spread))) {
		faults = append(faults, Fault{
			At:    at,
			Kind:  kinds[r.IntN(len(kinds))],
			Which: r.IntN(64),
			For:   least + time.Duration(r.Int64N(int64(spread))),
		})
	}
	return faults
}
