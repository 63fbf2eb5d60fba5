// Package demand keeps the demand that entries report to a guard and sums it for each of them over
// the others. It has no clock and does no I/O.
//
// It serves loads in which several entries compete for too little capacity: an entry can decide
// about its own jobs only if it knows how much more urgent work waits at the others.
package demand

import (
	"maps"
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// MaxAge is the age from which an entry's demand no longer counts. Entries with runs send a message
// at least every 150 ms.
const MaxAge = 200 * time.Millisecond

// Table holds the demand of each entry as last reported. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	reports map[string]report
}

type report struct {
	rows []work.Demand
	at   time.Duration
}

// Record records the demand of an entry; no rows mean that nothing waits or arrives there. A report
// older than the recorded one is ignored.
func (t *Table) Record(now time.Duration, entry string, rows []work.Demand) {
	r, found := t.reports[entry]
	if found && r.at > now {
		return
	}
	if t.reports == nil {
		t.reports = map[string]report{}
	}
	if !found {
		// The last message of a replaced session can be recorded after Remove.
		maps.DeleteFunc(t.reports, func(_ string, r report) bool { return now-r.at >= MaxAge })
	}
	t.reports[entry] = report{rows: rows, at: now}
}

// Remove removes the demand of an entry whose session has ended.
func (t *Table) Remove(entry string) { delete(t.reports, entry) }

// Others returns the sum of the demand of all entries heard within MaxAge except the receiver, and
// the number of these entries, which includes those without demand.
func (t *Table) Others(now time.Duration, receiver string) (sum []work.Demand, entries int) {
	lists := make([][]work.Demand, 0, len(t.reports))
	for entry, r := range t.reports {
		if entry == receiver || now-r.at >= MaxAge {
			continue
		}
		entries++
		lists = append(lists, r.rows)
	}
	return work.MergeDemands(lists...), entries
}

// MostUrgent returns the most urgent row with waiting tasks; found is false if there is none.
func MostUrgent(rows []work.Demand) (d work.Demand, found bool) {
	i := slices.IndexFunc(rows, func(d work.Demand) bool { return d.WaitingMilli > 0 })
	if i < 0 {
		return work.Demand{}, false
	}
	return rows[i], true
}
