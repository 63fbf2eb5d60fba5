package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against: an order is sent again though its answer has come, as the timer is up too.
func TestAnswerThatIsThereIsNotHedged(t *testing.T) {
	for range 200 {
		answers := make(chan int, 1)
		answers <- 1
		_, ok := awaitFor(answers, 0)
		assert.Assert(t, ok)
	}
}

// Guards against: most orders are sent twice to a runner that answers late, its host being short of
// processor time.
func TestHedgeDelayGrowsWhileHedgesAreInVain(t *testing.T) {
	var h hedge
	assert.Equal(t, h.delay(), hedgeStartAfter)
	for range 10 {
		h.answered(true)
	}
	assert.Equal(t, h.delay(), maxHedgeDelay)
	for range 200 {
		h.answered(false)
	}
	assert.Assert(t, h.delay() < hedgeStartAfter+time.Millisecond, "%v", h.delay())
}
