package stall

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// Guards against a stall that is missed by whoever runs before the next beat, and against
// one that is counted twice.
func TestStallCountsBeforeTheNextBeat(t *testing.T) {
	var now time.Duration
	m := &Meter{now: func() time.Duration { return now }}
	assert.Equal(t, m.Total(), time.Duration(0))
	m.beat()
	now += beatInterval + 2000*ms
	assert.Equal(t, m.Total(), 2000*ms)
	m.beat()
	assert.Equal(t, m.Total(), 2000*ms)
	now += beatInterval
	assert.Equal(t, m.Total(), 2000*ms)
}

// Guards against ordinary timer lateness that adds up to a stall.
func TestLateBeatsAreNoStall(t *testing.T) {
	var now time.Duration
	m := &Meter{now: func() time.Duration { return now }}
	for range 100 {
		m.beat()
		now += beatInterval + tolerance
	}
	assert.Equal(t, m.Total(), time.Duration(0))
}
