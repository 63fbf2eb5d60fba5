package queue_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/queue"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newJob(id, client string, accepted time.Time, tasks int) *queue.Job {
	j := &queue.Job{
		ID:        id,
		Client:    client,
		Weight:    1,
		Accepted:  accepted,
		Deadline:  accepted.Add(10 * time.Second),
		Estimates: make([]time.Duration, tasks),
	}
	for i := range j.Estimates {
		j.Estimates[i] = 100 * time.Millisecond
	}
	return j
}

// TestAClientIsAlwaysEligible: tasks that ran shorter than expected put the virtual times of
// both clients below zero, to the same value. The weighted mean is then rounded, and a client
// at the mean must stay eligible: otherwise tasks wait and none is ever chosen.
func TestAClientIsAlwaysEligible(t *testing.T) {
	q := queue.New(queue.Options{})
	for _, client := range []string{"x", "z"} {
		j := newJob(client, client, origin, 2)
		q.Add(origin, j)
		index := q.Start(origin, j)
		q.Finish(origin, j, index, -2*time.Second)
	}
	assert.Assert(t, q.Peek(origin) != nil)
}

// TestSharesLimitOnlyBeyondTheSlack: the small jobs of a client that floods the queue go first
// by the order, until the client is ahead of its share by the slack; from then on the other
// client gets its half.
func TestSharesLimitOnlyBeyondTheSlack(t *testing.T) {
	q := queue.New(queue.Options{Slack: time.Second})
	q.SetCapacity(2)
	flood := 0
	for i := range 200 {
		q.Add(origin, newJob("flood"+string(rune(i)), "flood", origin, 1))
	}
	large := newJob("large", "other", origin, 100)
	q.Add(origin, large)
	var firstLarge int
	for started := range 100 {
		j := q.Peek(origin)
		q.Start(origin, j)
		if j != large {
			flood++
		} else if firstLarge == 0 {
			firstLarge = started
		}
	}
	// Two slots for a second are 2 s of work, or 20 tasks of 100 ms, by which the flooding
	// client may be above the mean of the two.
	assert.Assert(t, firstLarge >= 20 && firstLarge <= 42, "first task of the other client after %d", firstLarge)
	assert.Assert(t, flood >= 50 && flood <= 71, "flood got %d of 100", flood)
}

// TestEstimateAgain: a job declared a hundred times too long waits behind shorter ones and
// counts against new jobs. Once its tasks are known to be short, its rank and its weight
// against new jobs must be as if that had been known from the start.
func TestEstimateAgain(t *testing.T) {
	now := origin.Add(time.Second)
	loads := map[bool]queue.ClientLoad{}
	for _, known := range []bool{false, true} {
		q := queue.New(queue.Options{})
		short := newJob("short", "c", origin, 4)
		long := newJob("long", "c", origin, 2)
		if !known {
			for i := range long.Estimates {
				long.Estimates[i] = 10 * time.Second
			}
		}
		q.Add(origin, short)
		q.Add(origin, long)
		if !known {
			assert.Equal(t, q.Peek(now), short)
			again := newJob("", "c", origin, 2).Estimates
			q.Estimate(now, long, again, again)
		}
		assert.Equal(t, q.Peek(now), long)
		assert.Equal(t, q.Work(), 600*time.Millisecond)
		loads[known] = q.ClientLoad(now, "c", 1, time.Second)
	}
	off := loads[false].SmallerArrivalRate - loads[true].SmallerArrivalRate
	assert.Assert(t, math.Abs(off) < 1e-9, "%v", loads)
	assert.Equal(t, loads[false].Ahead, loads[true].Ahead)
}

// TestOthersCountFromTheStart: at the beginning of a burst the other clients have used next to
// nothing yet, but hold slots. A client must not count on these.
func TestOthersCountFromTheStart(t *testing.T) {
	q := queue.New(queue.Options{})
	j := newJob("j", "other", origin, 5)
	q.Add(origin, j)
	var started []int
	for range 5 {
		started = append(started, q.Start(origin, j))
	}
	for i, index := range started {
		assert.Equal(t, q.ClientLoad(origin, "c", 1, time.Second).OthersSlots, float64(5-i))
		assert.Equal(t, q.ClientLoad(origin, "other", 1, time.Second).OthersSlots, 0.0)
		q.Finish(origin, j, index, 0)
	}
}
