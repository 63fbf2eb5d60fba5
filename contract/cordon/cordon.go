// Package cordon holds the data centres that are cordoned: their endpoints get no new starts, and
// what runs there goes on. It has no clock and does no I/O.
package cordon

import (
	"maps"
	"slices"
)

// Set is the set of cordoned data centres at one revision of the store. It does not change. A nil
// Set is unknown; a Set without data centres is known to be empty.
type Set struct {
	// Revision is the store's revision at which the set was read. A set with a higher revision is
	// newer.
	Revision    int64
	dataCentres map[string]struct{}
}

// New returns the set of the given data centres.
func New(revision int64, dataCentres []string) *Set {
	s := &Set{Revision: revision, dataCentres: make(map[string]struct{}, len(dataCentres))}
	for _, dc := range dataCentres {
		s.dataCentres[dc] = struct{}{}
	}
	return s
}

// RevisionOrZero returns the set's revision, and zero for an unknown set.
func (s *Set) RevisionOrZero() int64 {
	if s == nil {
		return 0
	}
	return s.Revision
}

// Contains reports whether a data centre is cordoned. It is false for all of an unknown set.
func (s *Set) Contains(dataCentre string) bool {
	if s == nil {
		return false
	}
	_, found := s.dataCentres[dataCentre]
	return found
}

// DataCentres returns the cordoned data centres in order.
func (s *Set) DataCentres() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.dataCentres))
}

// Newer reports whether the set replaces another one, which may be nil.
func (s *Set) Newer(other *Set) bool {
	return s != nil && (other == nil || s.Revision > other.Revision)
}

// Same reports whether two sets hold the same data centres, whatever their revisions. An unknown
// set is the same as an unknown one only.
func (s *Set) Same(other *Set) bool {
	if s == nil || other == nil {
		return s == other
	}
	return maps.Equal(s.dataCentres, other.dataCentres)
}
