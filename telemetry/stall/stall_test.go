package stall

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// Guards against missing a stall in code that runs before the next sample, and against
// counting one twice.
func TestStallIsCountedBeforeNextSample(t *testing.T) {
	var now time.Duration
	m := &Meter{now: func() time.Duration { return now }}
	assert.Equal(t, m.Total(), time.Duration(0))
	m.sample()
	now += sampleInterval + 2000*ms
	assert.Equal(t, m.Total(), 2000*ms)
	m.sample()
	assert.Equal(t, m.Total(), 2000*ms)
	now += sampleInterval
	assert.Equal(t, m.Total(), 2000*ms)
}

// Guards against normal timer delays adding up to a stall.
func TestNormalTimerDelayIsNoStall(t *testing.T) {
	var now time.Duration
	m := &Meter{now: func() time.Duration { return now }}
	for range 100 {
		m.sample()
		now += sampleInterval + tolerance
	}
	assert.Equal(t, m.Total(), time.Duration(0))
}
