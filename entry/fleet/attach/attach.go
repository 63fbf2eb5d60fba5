// Package attach determines to which entries a guard announces itself, and how often.
// Its functions are pure: the same input gives the same result at every entry.
package attach

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondstand.dev/wire/wirev1"
)

// Policy limits the number of entries that a guard attaches to. Every entry must use
// the same policy, otherwise a guard would switch entries with each response.
type Policy struct {
	// AttachAllLimit is the largest number of entries for which a guard attaches to all of
	// them.
	AttachAllLimit int
	// AttachCount is the number of entries that a guard attaches to if there are more.
	AttachCount int
}

// DefaultPolicy attaches a guard to all entries if there are up to eight, otherwise to
// four.
var DefaultPolicy = Policy{AttachAllLimit: 8, AttachCount: 4}

// Choose returns the entries that the guard announces itself to: all if there are few,
// otherwise the highest-ranked by rendezvous hashing of guard and entry, at least one
// of them in the guard's own data centre if there is any. Draining entries are
// excluded. The result depends on neither the order of entries nor the calling entry,
// and adding or removing one entry moves few guards.
func Choose(guardID, dataCentre string, entries []*wirev1.EntryInfo, p Policy) []*wirev1.EntryInfo {
	live := notDraining(entries)
	if len(live) <= p.AttachAllLimit {
		slices.SortFunc(live, func(a, b *wirev1.EntryInfo) int { return cmp.Compare(a.GetId(), b.GetId()) })
		return live
	}
	rank(guardID, live)
	count := min(max(p.AttachCount, 1), len(live))
	ensureSameDataCentre(live, count, dataCentre)
	return live[:count]
}

func notDraining(entries []*wirev1.EntryInfo) []*wirev1.EntryInfo {
	live := make([]*wirev1.EntryInfo, 0, len(entries))
	for _, e := range entries {
		if !e.GetDraining() {
			live = append(live, e)
		}
	}
	return live
}

// rank sorts the entries by descending weight. The incarnation is not hashed, so that a
// restarted entry gets the same guards again.
func rank(guardID string, entries []*wirev1.EntryInfo) {
	weights := make(map[string]uint64, len(entries))
	for _, e := range entries {
		weights[e.GetId()] = weight(guardID, e.GetId())
	}
	slices.SortFunc(entries, func(a, b *wirev1.EntryInfo) int {
		if c := cmp.Compare(weights[b.GetId()], weights[a.GetId()]); c != 0 {
			return c
		}
		return cmp.Compare(a.GetId(), b.GetId())
	})
}

func weight(guardID, entryID string) uint64 {
	return xxhash.Sum64String(guardID + "\x00" + entryID)
}

// ensureSameDataCentre swaps the highest-ranked entry of the data centre into the last
// of the first count places if none of those is in the data centre.
func ensureSameDataCentre(ranked []*wirev1.EntryInfo, count int, dataCentre string) {
	isLocal := func(e *wirev1.EntryInfo) bool { return e.GetZone() == dataCentre }
	best := slices.IndexFunc(ranked, isLocal)
	if best < count {
		return
	}
	ranked[count-1], ranked[best] = ranked[best], ranked[count-1]
}

// IntervalPolicy bounds the interval between two announcements of one endpoint.
type IntervalPolicy struct {
	// Min and Max bound the interval.
	Min time.Duration
	Max time.Duration
	// BytesPerSecond is the bandwidth budget for all announcements at one entry.
	BytesPerSecond int
}

// DefaultIntervalPolicy limits announcements to a third of a budget of 3 KB/s for control
// traffic.
var DefaultIntervalPolicy = IntervalPolicy{Min: time.Second, Max: time.Minute, BytesPerSecond: 1024}

// Interval returns the interval between two announcements of one endpoint at which the
// given number of endpoints, with bytesEach bytes per announcement and response, stays
// within the budget. Announcements only introduce an endpoint and report the load of an
// idle one. An endpoint with a session is monitored through that session, so a long
// interval does not delay the detection that it is lost or leaving.
func Interval(endpoints, bytesEach int, p IntervalPolicy) time.Duration {
	if p.BytesPerSecond <= 0 {
		return p.Max
	}
	seconds := float64(endpoints) * float64(bytesEach) / float64(p.BytesPerSecond)
	interval := time.Duration(seconds * float64(time.Second))
	return min(max(interval, p.Min), p.Max)
}
