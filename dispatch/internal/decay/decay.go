// Package decay implements exponentially decaying sums: the weight of an observation halves
// with each half-life, so that recent ones count most and nothing has to be stored per
// observation.
package decay

import (
	"math"
	"time"
)

// Sum is an exponentially decaying sum. Its zero value is empty. It is not safe for concurrent
// use.
type Sum struct {
	value float64
	at    time.Time
}

// Add adds x at now, with the given half-life.
func (s *Sum) Add(now time.Time, halfLife time.Duration, x float64) {
	s.value = s.Value(now, halfLife) + x
	if now.After(s.at) {
		s.at = now
	}
}

// Value returns the sum decayed to now.
func (s *Sum) Value(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(s.at)
	if s.value == 0 || age <= 0 {
		return s.value
	}
	return s.value * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// Rate returns the rate of observations per second that the sum corresponds to. It is exact
// for a constant rate that has lasted some half-lives.
func (s *Sum) Rate(now time.Time, halfLife time.Duration) float64 {
	return s.Value(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// Reset sets the sum to zero.
func (s *Sum) Reset() { *s = Sum{} }
