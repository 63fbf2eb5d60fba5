package limit

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func newLimit() *Limit {
	return New(Options{First: 4, Least: 2, Most: 16, Fast: 50 * ms, Slow: 100 * ms})
}

func acquire(t *testing.T, l *Limit, n int) {
	t.Helper()
	for range n {
		assert.Assert(t, l.Acquire(t.Context()))
	}
}

// full reports whether the next call would have to wait.
func full(l *Limit) bool {
	turn := l.join()
	return l.leave(turn)
}

func TestLimitGrowsWithFastAnswers(t *testing.T) {
	l := newLimit()
	acquire(t, l, 4)
	assert.Assert(t, full(l))
	for range 4 {
		l.Answered(10 * ms)
	}
	acquire(t, l, 8)
	assert.Assert(t, full(l))
	for range 100 {
		l.Answered(10 * ms)
		acquire(t, l, 1)
	}
	assert.Equal(t, l.Value(), 16)
}

// Guards against a late process that starts as many calls as one that is on time.
func TestLimitShrinksWithSlowAnswers(t *testing.T) {
	l := newLimit()
	acquire(t, l, 4)
	l.Answered(70 * ms)
	assert.Equal(t, l.Value(), 4)
	for range 3 {
		l.Answered(200 * ms)
	}
	assert.Equal(t, l.Value(), 2)
	assert.Assert(t, l.Typical() > 70*ms && l.Typical() < 200*ms, "%s", l.Typical())
	acquire(t, l, 2)
	assert.Assert(t, full(l))
}

// Guards against more calls being started because the answers of a late process come only
// after their places were given back.
func TestAnswersAfterTheReleaseLowerTheLimit(t *testing.T) {
	l := newLimit()
	acquire(t, l, 4)
	for range 4 {
		l.Release()
		l.AnsweredLate(300 * ms)
	}
	assert.Equal(t, l.Value(), 2)
	acquire(t, l, 2)
	assert.Assert(t, full(l))
}

// Guards against a caller that has left and is given room which nobody gives back.
func TestWhoeverLeavesHoldsNothing(t *testing.T) {
	l := newLimit()
	acquire(t, l, 4)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	assert.Assert(t, !l.Acquire(ctx))
	next := l.join()
	l.Release()
	<-next
	assert.Assert(t, full(l))
}

// Guards against a lost rack that holds up the handshakes with all other guards.
func TestSilenceLeavesTheLimit(t *testing.T) {
	l := newLimit()
	for range 100 {
		acquire(t, l, 4)
		assert.Assert(t, full(l))
		for range 4 {
			l.Release()
		}
	}
	assert.Equal(t, l.Value(), 4)
}
