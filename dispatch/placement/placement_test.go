package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/placement"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSet(minInFlight int) *placement.Set {
	return placement.New(placement.Options{DataCentre: "near", MinInFlight: minInFlight}, rand.New(rand.NewPCG(1, 2)))
}

func add(s *placement.Set, id, dataCentre string, slots int) *placement.Endpoint {
	e := s.Add(id, dataCentre)
	s.Configure(e, slots, 0, false)
	return e
}

// TestKnownFreeOrder: the endpoint with the most free slots goes first, one in the entry's
// data centre on a tie, then a full one with fewer own starts than MinInFlight, then a slow one.
// The one to avoid is chosen only if there is no other.
func TestKnownFreeOrder(t *testing.T) {
	s := newSet(1)
	far := add(s, "far", "far", 3)
	near := add(s, "near", "near", 3)
	full := add(s, "full", "near", 1)
	slow := add(s, "slow", "near", 8)
	s.Report(origin, full, placement.Report{Version: 1, Others: 5})
	s.SetSlotWeight(slow, 0.25)
	assert.Equal(t, s.Choose(near), far)
	var got []string
	for e := s.Choose(nil); e != nil; e = s.Choose(nil) {
		got = append(got, e.ID)
		s.CountStart(e)
	}
	want := []string{"near", "far", "near", "far", "near", "far", "full", "slow", "slow"}
	assert.DeepEqual(t, got, want)
	s.CountEnd(far)
	assert.Equal(t, s.Choose(far), far)
}

func TestReportsInOrder(t *testing.T) {
	s := newSet(0)
	e := add(s, "a", "near", 2)
	assert.Assert(t, s.Report(origin, e, placement.Report{Version: 5, Others: 2}))
	assert.Assert(t, !s.Report(origin, e, placement.Report{Version: 4}))
	assert.Assert(t, s.Choose(nil) == nil)
	assert.Assert(t, s.Report(origin, e, placement.Report{Version: 6, Leaving: true}))
	assert.Assert(t, s.Choose(nil) == nil)
	slots, usable := s.Capacity()
	assert.Assert(t, slots == 0 && usable == 0)
}

// TestOwnLimit: the share of a bare endpoint (one without a guard) caps this entry's starts,
// whatever is free.
func TestOwnLimit(t *testing.T) {
	s := newSet(4)
	e := s.Add("a", "near")
	s.Configure(e, 8, 2, false)
	s.CountStart(e)
	assert.Equal(t, s.Choose(nil), e)
	s.CountStart(e)
	assert.Assert(t, s.Choose(nil) == nil)
	slots, _ := s.Capacity()
	assert.Equal(t, slots, 2.0)
}

// TestHeldSlotsCount: a bare endpoint refuses a start, which is read as others holding all its
// other slots, while four of this entry's tasks run there. The entry can count on these four.
// If they counted as one, callers of a first burst would be told that there is a backlog,
// although all would have been answered within a second.
func TestHeldSlotsCount(t *testing.T) {
	s := newSet(0)
	e := s.Add("a", "near")
	s.SetNoQueue(e, true)
	s.Configure(e, 8, 8, false)
	for range 4 {
		s.CountStart(e)
	}
	s.Report(origin, e, placement.Report{Version: 1, Others: 8})
	slots, usable := s.Capacity()
	assert.Assert(t, slots == 4 && usable == 1, "%v", slots)
}

// TestProbing: an endpoint that is probed comes after all others and has at most one own task,
// including those started before the trial.
func TestProbing(t *testing.T) {
	s := newSet(1)
	trial := add(s, "trial", "near", 8)
	steady := add(s, "steady", "near", 1)
	s.CountStart(trial)
	s.SetProbing(trial, true)
	assert.Equal(t, s.Choose(nil), steady)
	s.CountStart(steady)
	assert.Assert(t, s.Choose(nil) == nil)
	s.CountEnd(trial)
	assert.Equal(t, s.Choose(nil), trial)
	s.SetProbing(trial, false)
	s.CountStart(trial)
	assert.Equal(t, s.Choose(nil), trial)
}

// TestNoQueue: a start above the slots of an endpoint without a queue would be refused, so the
// MinInFlight does not apply there.
func TestNoQueue(t *testing.T) {
	s := newSet(1)
	e := s.Add("a", "near")
	s.SetNoQueue(e, true)
	s.Configure(e, 8, 8, false)
	s.Report(origin, e, placement.Report{Version: 1, Others: 8})
	assert.Assert(t, s.Choose(nil) == nil)
	s.Report(origin, e, placement.Report{Version: 2, Others: 7})
	assert.Equal(t, s.Choose(nil), e)
	s.CountStart(e)
	assert.Assert(t, s.Choose(nil) == nil)
}
