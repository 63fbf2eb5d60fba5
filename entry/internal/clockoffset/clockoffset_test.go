package clockoffset

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a guard that counts as out of contact although its messages arrive in time: the clocks of
// the two hosts drift apart for hours.
func TestDriftOfClocksIsNotTakenForAge(t *testing.T) {
	const transit, drift = 2 * time.Millisecond, 50e-6
	var e Estimate
	for clock := time.Duration(0); clock < 6*time.Hour; clock += time.Second {
		arrived := clock + time.Duration(drift*float64(clock)) + transit
		age := e.Age(arrived, clock)
		assert.Assert(t, age >= 0 && age < 2*time.Millisecond, "%v after %v", age, clock)
	}
}

// Guards against a message that lay unread, while this host or the network stood still, and counts as new.
func TestMessagesThatWaitedHaveTheirAge(t *testing.T) {
	var e Estimate
	for clock := time.Duration(0); clock < time.Minute; clock += time.Second {
		e.Age(clock+time.Hour, clock)
	}
	for clock := time.Minute; clock < time.Minute+30*time.Second; clock += time.Second {
		assert.Equal(t, e.Age(time.Hour+90*time.Second, clock), 90*time.Second-clock)
	}
}
