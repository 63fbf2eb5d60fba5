package burn

import (
	"math"
	"time"
)

// Buckets of a histogram: their bounds grow by a factor of the square root of 2 from
// a millisecond, so that a quantile is off by about 20 % at most. The last bucket has
// no upper bound.
const (
	smallestBound      = time.Millisecond
	latencyBucketCount = 34
)

// Histogram holds the number of latencies in each bucket. It is encoded in JSON as
// an array, the bucket of the shortest latencies first.
type Histogram [latencyBucketCount]uint64

// Add adds the counts of another histogram.
func (h *Histogram) Add(other Histogram) {
	for i := range h {
		h[i] += other[i]
	}
}

// bucketOf returns the index of the bucket for a latency.
func bucketOf(d time.Duration) int {
	if d <= smallestBound {
		return 0
	}
	i := int(math.Ceil(2 * math.Log2(float64(d)/float64(smallestBound))))
	return min(i, latencyBucketCount-1)
}

// BucketBound returns the upper bound of bucket i.
func BucketBound(i int) time.Duration {
	return time.Duration(float64(smallestBound) * math.Pow(2, float64(i)/2))
}

// Quantile returns the upper bound of the bucket that contains the quantile, or 0
// if the histogram is empty.
func (h Histogram) Quantile(q float64) time.Duration {
	var total uint64
	for _, n := range h {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(total)))
	var cumulative uint64
	for i, n := range h {
		cumulative += n
		if cumulative >= rank && n > 0 {
			return BucketBound(i)
		}
	}
	return BucketBound(latencyBucketCount - 1)
}
