package result

import (
	"slices"
	"time"
)

// arrival is one job with its time of arrival.
type arrival struct {
	at       time.Duration
	slowdown float64
}

// Recovery describes the recovery of response times after a burst, in seconds.
type Recovery struct {
	// Before is the median of response time / ideal response time before the burst.
	Before float64 `json:"before"`
	Burst  float64 `json:"burst"`
	// After is the time from the end of the burst to the first window whose median is
	// within a tenth of Before; negative when there was none.
	After float64 `json:"after"`
}

const (
	window = time.Second
	// recoveredFactor is the maximum ratio between the median of a window and that
	// before the burst at which the window counts as recovered.
	recoveredFactor = 1.1
)

// Recovery compares the jobs that arrived after a burst, in windows of a second,
// with those before it. A job without an answer counts as infinitely late.
func (c *Collector) Recovery(begin, end, duration time.Duration) Recovery {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := Recovery{Before: c.median(0, begin), After: -1}
	for at := end; at+window <= duration; at += window {
		m := c.median(at, at+window)
		if m > 0 && m <= recoveredFactor*b.Before {
			b.After = (at - end).Seconds()
			return b
		}
	}
	return b
}

// median returns the median slowdown of the jobs that arrived in the interval, zero when
// there were none.
func (c *Collector) median(from, to time.Duration) float64 {
	var ratios []float64
	for _, a := range c.arrivals {
		if a.at >= from && a.at < to {
			ratios = append(ratios, a.slowdown)
		}
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// Cancellations summarizes the calls that cancelled a job.
type Cancellations struct {
	Calls    int     `json:"calls"`
	Answered int     `json:"answered"`
	MaxMs    float64 `json:"max_ms"`
}

// AddCancellation adds the result of one call that cancelled a job.
func (c *Collector) AddCancellation(took time.Duration, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancellations == nil {
		c.cancellations = &Cancellations{}
	}
	c.cancellations.Calls++
	if answered {
		c.cancellations.Answered++
	}
	c.cancellations.MaxMs = max(c.cancellations.MaxMs, took.Seconds()*1000)
}
