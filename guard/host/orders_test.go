package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against hedging a call whose answer has arrived, when the timer has fired too.
func TestReceivedAnswerIsNotHedged(t *testing.T) {
	for range 200 {
		answers := make(chan int, 1)
		answers <- 1
		_, ok := awaitFor(answers, 0)
		assert.Assert(t, ok)
	}
}

// Guards against sending most calls twice to a runner that answers slowly because its host is
// short of CPU time.
func TestHedgeDelayGrowsWithNeedlessHedges(t *testing.T) {
	var h hedge
	assert.Equal(t, h.delay(), minHedgeDelay)
	for range 10 {
		h.record(true)
	}
	assert.Equal(t, h.delay(), maxHedgeDelay)
	for range 200 {
		h.record(false)
	}
	assert.Assert(t, h.delay() < minHedgeDelay+time.Millisecond, "%v", h.delay())
}
