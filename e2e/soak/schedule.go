// Package soak runs a fleet of real processes under random faults that are determined by
// a seed, and checks the system's invariants during the run.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a Fault.
type Kind string

// Kinds of faults. Planned operations, see Planned, must not interrupt any request.
const (
	EntryKill               Kind = "entry killed and restarted"
	EntrySuspend            Kind = "entry suspended"
	EntryTerm               Kind = "entry stopped gracefully and restarted"
	EntryHangup             Kind = "SIGHUP sent to entry"
	GuardKill               Kind = "guard killed and restarted"
	GuardSuspend            Kind = "guard suspended"
	GuardTerm               Kind = "guard stopped gracefully and restarted"
	GuardHangup             Kind = "SIGHUP sent to guard"
	RunnerCrash             Kind = "runner crashed and restarted with a new id"
	RunnerLateRequests      Kind = "requests to a runner take effect late"
	RunnerSlow              Kind = "runner slow"
	RunnerHang              Kind = "runner hangs"
	RunnerFailsTasks        Kind = "runner fails its tasks"
	StoreOutage             Kind = "store down"
	StoreUnavailableToEntry Kind = "store unavailable to one entry"
	StoreSlow               Kind = "store slow"
	StoreLosesResponses     Kind = "store loses responses"
	EntryPartition          Kind = "network partition between an entry and the guards"
	EntryOneWayPartition    Kind = "one-way network partition: data from an entry is dropped"
	EntryStall              Kind = "connections to an entry stalled"
	EntryReset              Kind = "connections to an entry reset"
	EntryBlackhole          Kind = "connections to an entry permanently unresponsive"
	EntryDelay              Kind = "network to an entry delayed"
	RunnerReset             Kind = "connections to a runner reset"
	RunnerBlackhole         Kind = "connections to a runner permanently unresponsive"
	Configure               Kind = "configuration changed"
	Burst                   Kind = "burst of jobs"
	TaskCrashes             Kind = "task crashes the runner that starts it"
	RunnerShrink            Kind = "runner capacity reduced in steps to zero and restored"

	RunnerRestart Kind = "runner restarted with the same id; last report of the old process arrives late"
	RunnerDrain   Kind = "runner drained and restarted with the same id"

	CallersLeave       Kind = "callers leave at the start of their tasks and submit again"
	EntryThrottle      Kind = "entry throttled while its callers leave and submit again"
	GuardThrottle      Kind = "guard throttled while callers leave and submit again"
	CallersHalfOpen    Kind = "callers' connections to an entry half open until their deadline"
	EntryHalfOpen      Kind = "callers' connections to a throttled entry half open until their deadline"
	RunnerUnresponsive Kind = "runner leaves requests unanswered"

	Cordon       Kind = "data centre cordoned until after the bound"
	CordonSeries Kind = "data centre cordoned, taken back and cordoned again within a second"

	RunnerNoProgress Kind = "runner stops reporting progress while its runs go on"

	HandoverEntryKill    Kind = "entry killed while another hands jobs over"
	HandoverEntrySuspend Kind = "entry suspended while another hands jobs over"
	HandoverEntryCut     Kind = "entry cut off while another hands jobs over"
)

var plannedKinds = []Kind{EntryTerm, EntryHangup, GuardTerm, GuardHangup, Configure, Configure}

var mainKinds = []Kind{
	EntryKill, EntryKill, EntrySuspend, EntryTerm, EntryHangup, GuardKill, GuardKill, GuardSuspend, GuardTerm, GuardHangup,
	RunnerCrash, RunnerLateRequests, RunnerLateRequests, RunnerSlow, RunnerHang, RunnerFailsTasks, StoreOutage, StoreUnavailableToEntry, StoreSlow, StoreLosesResponses,
	EntryPartition, EntryOneWayPartition, EntryStall, EntryReset, EntryBlackhole, EntryDelay, RunnerReset, RunnerBlackhole, Configure, Burst,
}

// Fault is one scheduled fault.
type Fault struct {
	// At is the time since the start of the run, Duration the duration of the fault.
	At   time.Duration
	Kind Kind
	// Index selects the process that the fault affects, modulo the number of processes, and
	// the variant of the fault.
	Index    int
	Duration time.Duration
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%7.3f s: %s, number %d, for %v", f.At.Seconds(), f.Kind, f.Index+1, f.Duration)
}

// plannedSeedInterval is the interval of the seeds whose schedule has only planned
// operations.
const plannedSeedInterval = 5

// Planned reports whether a seed's schedule has only planned operations: graceful restarts,
// SIGHUP and changes of the configuration.
func Planned(seed uint64) bool { return seed%plannedSeedInterval == 0 }

// Schedule returns the faults determined by a seed, sorted by time. Faults may overlap.
func Schedule(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds, minInterval, maxInterval := mainKinds, 150*time.Millisecond, 900*time.Millisecond
	if Planned(seed) {
		kinds, minInterval, maxInterval = plannedKinds, 700*time.Millisecond, 1800*time.Millisecond
	}
	var faults []Fault
	for at := 300 * time.Millisecond; at < length; {
		faults = append(faults, Fault{
			At:       at,
			Kind:     kinds[r.IntN(len(kinds))],
			Index:    r.IntN(64),
			Duration: 300*time.Millisecond + time.Duration(r.Int64N(int64(2500*time.Millisecond))),
		})
		at += minInterval + time.Duration(r.Int64N(int64(maxInterval-minInterval)))
	}
	if !Planned(seed) {
		for i, kinds := range additionalKinds {
			faults = append(faults, additionalFaults(seed, uint64(2+i), kinds, length)...)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// additionalKinds are the kinds added later. Each group is drawn from a
// separate random stream, so that the main faults of seeds that once found a bug are unchanged.
var additionalKinds = [][]Kind{
	{TaskCrashes, RunnerShrink},
	{RunnerRestart, RunnerRestart, RunnerDrain},
	{CallersLeave, EntryThrottle, EntryThrottle, GuardThrottle},
	{CallersHalfOpen, EntryHalfOpen, RunnerUnresponsive},
	{Cordon, CordonSeries},
	{RunnerNoProgress},
	{HandoverEntryKill, HandoverEntrySuspend, HandoverEntryCut},
}

// additionalFaults returns the faults for one group of additionalKinds.
func additionalFaults(seed, stream uint64, kinds []Kind, length time.Duration) []Fault {
	const minInterval, jitter = 800 * time.Millisecond, 2500 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, stream))
	var faults []Fault
	for at := minInterval; at < length; at += minInterval + time.Duration(r.Int64N(int64(jitter))) {
		faults = append(faults, Fault{
			At:       at,
			Kind:     kinds[r.IntN(len(kinds))],
			Index:    r.IntN(64),
			Duration: minInterval + time.Duration(r.Int64N(int64(jitter))),
		})
	}
	return faults
}
