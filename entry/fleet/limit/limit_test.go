package limit

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func newLimit() *Limit {
	return New(Options{Initial: 4, Min: 2, Max: 16, FastLatency: 50 * ms, SlowLatency: 100 * ms})
}

func acquire(t *testing.T, l *Limit, n int) {
	t.Helper()
	for range n {
		assert.Assert(t, l.Acquire(t.Context()))
	}
}

// isFull reports whether the next call would have to wait.
func isFull(l *Limit) bool {
	admitted := l.enqueue()
	return l.dequeue(admitted)
}

func TestLimitGrowsWithFastResponses(t *testing.T) {
	l := newLimit()
	acquire(t, l, 4)
	assert.Assert(t, isFull(l))
	for range 4 {
		l.ReleaseAnswered(10 * ms)
	}
	acquire(t, l, 8)
	assert.Assert(t, isFull(l))
	for range 100 {
		l.ReleaseAnswered(10 * ms)
		acquire(t, l, 1)
	}
	assert.Equal(t, l.Value(), 16)
}

// Verifies that an overloaded process starts fewer concurrent calls than one that is
// not.
func TestLimitShrinksWithSlowResponses(t *testing.T) {
	l := newLimit()
	acquire(t, l, 4)
	l.ReleaseAnswered(70 * ms)
	assert.Equal(t, l.Value(), 4)
	for range 3 {
		l.ReleaseAnswered(200 * ms)
	}
	assert.Equal(t, l.Value(), 2)
	assert.Assert(t, l.Latency() > 70*ms && l.Latency() < 200*ms, "%s", l.Latency())
	acquire(t, l, 2)
	assert.Assert(t, isFull(l))
}

// Verifies that the limit decreases even if the responses of an overloaded process
// arrive only after their calls were released.
func TestLateResponsesLowerTheLimit(t *testing.T) {
	l := newLimit()
	acquire(t, l, 4)
	for range 4 {
		l.Release()
		l.RecordLateResponse(300 * ms)
	}
	assert.Equal(t, l.Value(), 2)
	acquire(t, l, 2)
	assert.Assert(t, isFull(l))
}

// Verifies that a caller that gave up waiting is not admitted, because nobody would
// release its call.
func TestCancelledAcquireHoldsNothing(t *testing.T) {
	l := newLimit()
	acquire(t, l, 4)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	assert.Assert(t, !l.Acquire(ctx))
	next := l.enqueue()
	l.Release()
	<-next
	assert.Assert(t, isFull(l))
}

// Verifies that unresponsive guards, such as those of a failed rack, do not delay the
// handshakes with all others.
func TestMissingResponsesKeepTheLimit(t *testing.T) {
	l := newLimit()
	for range 100 {
		acquire(t, l, 4)
		assert.Assert(t, isFull(l))
		for range 4 {
			l.Release()
		}
	}
	assert.Equal(t, l.Value(), 4)
}
