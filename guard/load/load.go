// Package load keeps the loads that entries report to a guard and lists those with spare processor
// time. It has no clock and does no I/O.
//
// It serves entries that are short of processor time: they hand jobs over to the entries that it
// lists.
package load

import (
	"cmp"
	"slices"
	"time"

	"almondstand.dev/dispatch/handover"
)

const (
	// MaxAge is the age from which a load no longer counts: entries send a message at least once a
	// second.
	MaxAge = 1500 * time.Millisecond
	// ListInterval is the shortest time between two lists for one entry: it may have a fifth of a core
	// and gets hundreds of messages a second.
	ListInterval = 100 * time.Millisecond
	// maxListed is the largest number of entries in a list.
	maxListed = 4
)

// Table holds the load of each entry as last reported. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	reports map[string]report
}

type report struct {
	load handover.Load
	at   time.Duration
}

// Record records the load of an entry. An entry that reports no spare processor time is removed.
func (t *Table) Record(now time.Duration, entry string, l handover.Load) {
	if l.SpareMilli <= 0 || l.Lag < 0 {
		delete(t.reports, entry)
		return
	}
	if t.reports == nil {
		t.reports = map[string]report{}
	}
	t.reports[entry] = report{load: l, at: now}
}

// Remove removes the load of an entry whose session has ended.
func (t *Table) Remove(entry string) { delete(t.reports, entry) }

// Spare lists the entries with the most spare processor time that were heard within MaxAge, except the
// receiver.
func (t *Table) Spare(now time.Duration, receiver string) []handover.Load {
	var list []handover.Load
	for entry, r := range t.reports {
		if entry != receiver && now-r.at <= MaxAge {
			list = append(list, r.load)
		}
	}
	slices.SortFunc(list, func(a, b handover.Load) int {
		return cmp.Or(cmp.Compare(b.SpareMilli, a.SpareMilli), cmp.Compare(a.Address, b.Address))
	})
	return list[:min(len(list), maxListed)]
}
