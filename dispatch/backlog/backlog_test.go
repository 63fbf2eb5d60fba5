package backlog_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/dispatch/backlog"
)

// Guards against a limit that rejects a contract's only jobs, or rejects where the share is unknown.
func TestLimit(t *testing.T) {
	for name, c := range map[string]struct {
		contract backlog.Contract
		exceeded bool
	}{
		"drains in time":         {backlog.Contract{Waiting: 8, Job: 2, Jobs: 5, Cores: 10, Usable: time.Second}, false},
		"within the error":       {backlog.Contract{Waiting: 8, Job: 5.4, Jobs: 5, Cores: 10, Usable: time.Second}, false},
		"does not drain in time": {backlog.Contract{Waiting: 8, Job: 5.6, Jobs: 5, Cores: 10, Usable: time.Second}, true},
		"second job":             {backlog.Contract{Waiting: 80, Job: 30, Jobs: 1, Cores: 10, Usable: time.Second}, false},
		"third job":              {backlog.Contract{Waiting: 80, Job: 30, Jobs: 2, Cores: 10, Usable: time.Second}, true},
		"unknown share":          {backlog.Contract{Waiting: 80, Job: 30, Jobs: 5, Usable: time.Second}, false},
	} {
		assert.Equal(t, c.contract.Exceeded(), c.exceeded, name)
	}
	assert.Equal(t, backlog.Share(10, 4), 6.0)
	assert.Equal(t, backlog.Share(10, 40), 2.5)
}

// Guards against callers that are all asked to return at the same time, outside the bounds, or before
// their slot, and against bookings that never lapse.
func TestScheduleProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s backlog.Schedule
		now := time.Hour
		cores := rapid.Float64Range(1, 100).Draw(t, "cores")
		booked := map[time.Duration]float64{}
		for range rapid.IntRange(1, 300).Draw(t, "jobs") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond
			earliest := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "earliest")) * time.Millisecond
			work := rapid.Float64Range(0.01, cores/10).Draw(t, "work")
			b := s.Book(now, earliest, work, cores)
			assert.Assert(t, b.After >= backlog.MinRetry && b.After <= backlog.MaxRetry, b.After)
			assert.Assert(t, b.After >= min(earliest, backlog.MaxRetry), "return after %s, free after %s", b.After, earliest)
			assert.Equal(t, b.At, now+b.After)
			assert.Equal(t, b.After%time.Second, time.Duration(0), "not when a caller returns that is given whole seconds")
			slot := b.At / backlog.SlotLength
			booked[slot] += work
			// A slot may exceed its size only if no later one had free capacity.
			if booked[slot] > cores*backlog.SlotLength.Seconds()+1e-9 {
				for after := b.After; after <= backlog.MaxRetry; after += time.Second {
					assert.Assert(t, booked[(now+after)/backlog.SlotLength]+work > cores*backlog.SlotLength.Seconds()-1e-9)
				}
			}
		}
		assert.Equal(t, s.Booked(now+backlog.MaxRetry+backlog.SlotLength), 0.0)
	})
}

// Guards against a herd: a hundred jobs that are rejected at once must not return at once.
func TestJobsRejectedTogetherReturnSpread(t *testing.T) {
	var s backlog.Schedule
	count := map[time.Duration]int{}
	for range 96 {
		count[s.Book(time.Minute, 0, 1, 10).After]++
	}
	assert.Equal(t, len(count), 8)
	for after, n := range count {
		assert.Equal(t, n, 12, "after %s", after)
	}
}

// Guards against work that returned early and stays booked.
func TestCancelledBookingFreesItsSlot(t *testing.T) {
	var s backlog.Schedule
	b := s.Book(time.Minute, 0, 1, 10)
	s.Cancel(time.Minute+backlog.SlotLength, b)
	assert.Equal(t, s.Booked(time.Minute), 0.0)
	s.Cancel(time.Minute+time.Hour, b)
}

// Guards against a job that is recognised too early or too late, and a table without bound.
func TestReturns(t *testing.T) {
	for name, c := range map[string]struct {
		at            time.Duration
		inTime, known bool
	}{
		"too early":       {1500 * time.Millisecond, false, true},
		"in its slot":     {2 * time.Second, true, true},
		"in the window":   {4 * time.Second, true, true},
		"past the window": {4*time.Second + 1, false, false},
	} {
		r := backlog.NewReturns()
		r.Expect(0, "a", backlog.Booking{After: 2 * time.Second, At: 2 * time.Second})
		_, inTime, known := r.Return(c.at, "a")
		assert.Equal(t, inTime, c.inTime, name)
		assert.Equal(t, known, c.known, name)
		_, _, known = r.Return(c.at, "a")
		assert.Assert(t, !known, "%s: recognised twice", name)
	}
	r := backlog.NewReturns()
	for n := range 10_000 {
		r.Expect(0, fmt.Sprint(n), backlog.Booking{At: time.Second})
	}
	assert.Equal(t, r.Len(), 4096)
	r.Expect(10*time.Second, "b", backlog.Booking{At: 12 * time.Second})
	assert.Equal(t, r.Len(), 1)
}

// Guards against returning jobs that overtake another contract or one that has waited longer, and
// against new jobs of the contract that stay ahead of them.
func TestReorderProperties(t *testing.T) {
	type item struct {
		backlog.Queued
		n int
	}
	rapid.Check(t, func(t *rapid.T) {
		var items []item
		for n := range rapid.IntRange(0, 12).Draw(t, "jobs") {
			items = append(items, item{backlog.Queued{
				Contract:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "contract"),
				Priority:  rapid.IntRange(0, 1).Draw(t, "priority"),
				Arrived:   time.Duration(rapid.IntRange(0, 9).Draw(t, "arrived")),
				Returning: rapid.Bool().Draw(t, "returning"),
			}, n})
		}
		after := slices.Clone(items)
		backlog.Reorder(after, func(i item) backlog.Queued { return i.Queued })
		position := map[int]int{}
		for i, x := range after {
			assert.Equal(t, x.Contract, items[i].Contract)
			assert.Equal(t, x.Priority, items[i].Priority)
			position[x.n] = i
		}
		for i, a := range items {
			for _, b := range items[i+1:] {
				if a.Contract != b.Contract || a.Priority != b.Priority || position[a.n] < position[b.n] {
					continue
				}
				assert.Assert(t, !a.Returning && (b.Returning || b.Arrived < a.Arrived), "%v came after %v", a, b)
			}
		}
		for i, a := range after {
			for _, b := range after[i+1:] {
				newer := a.Contract == b.Contract && a.Priority == b.Priority && b.Returning && !a.Returning && a.Arrived > b.Arrived
				assert.Assert(t, !newer, "%v stays ahead of %v", a, b)
			}
		}
	})
}

// Guards against a time that grows with the square of the number of waiting jobs: Reorder is called for
// each message of a guard.
func TestReorderDescribesEachJobAFewTimes(t *testing.T) {
	const jobs = 500
	var items []backlog.Queued
	for n := range jobs {
		items = append(items, backlog.Queued{Contract: fmt.Sprint(n % 3), Arrived: time.Duration(n * 37 % jobs), Returning: n%4 == 0})
	}
	described := 0
	backlog.Reorder(items, func(q backlog.Queued) backlog.Queued {
		described++
		return q
	})
	assert.Assert(t, described <= 3*jobs, "%d jobs were described %d times", jobs, described)
}
