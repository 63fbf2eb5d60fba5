package lag

import (
	"math"
	"time"
)

// Delays keeps the mean of the delays that were observed lately. The zero value is empty. It has no
// clock and is not safe for concurrent use.
//
// It serves the decision to hand jobs over: a maximum would follow a single late event, and a mean over
// a second would come too late for jobs that are to be answered within 100 ms.
type Delays struct {
	spans [delaySpans]delaySpan
}

// The mean covers the current span and the ones before it: 150 to 200 ms.
const (
	delaySpans = 4
	spanLength = 50 * time.Millisecond
)

// delaySpan sums the delays that were observed in one span of time, by its number.
type delaySpan struct {
	number int64
	sum    time.Duration
	count  int64
}

// Observe adds a delay; a negative one counts as zero.
func (d *Delays) Observe(now, delay time.Duration) {
	n := int64(now / spanLength)
	s := &d.spans[n%delaySpans]
	if s.number != n {
		*s = delaySpan{number: n}
	}
	s.sum += max(delay, 0)
	s.count++
}

// Mean returns the mean of the recent delays; zero if there is none.
func (d *Delays) Mean(now time.Duration) time.Duration {
	var sum time.Duration
	var count int64
	for _, s := range d.spans {
		if int64(now/spanLength)-s.number < delaySpans {
			sum += s.sum
			count += s.count
		}
	}
	return sum / time.Duration(max(count, 1))
}

// Usage keeps the processor time that a process used lately. The zero value is empty. It has no clock
// and is not safe for concurrent use.
type Usage struct {
	samples [usageSamples]usageSample
	next    int
}

// usageSamples is the number of samples, taken at probeInterval, between the ends of which the usage is
// measured: half a second.
const usageSamples = 6

type usageSample struct{ at, cpu time.Duration }

// Observe records the processor time that the process had used by now.
func (u *Usage) Observe(now, cpu time.Duration) {
	u.samples[u.next] = usageSample{at: now, cpu: cpu}
	u.next = (u.next + 1) % usageSamples
}

// UsedPermille returns the share that the process used of a number of cores, in thousandths; zero if the
// number is not known, and until there are enough samples.
func (u *Usage) UsedPermille(cores float64) int {
	used, known := u.used()
	if !known || cores <= 0 {
		return 0
	}
	return int(math.Min(used/cores, 1) * 1000)
}

// SpareMilli returns the processor time that the process left unused of a number of cores, in
// thousandths of a core; zero until there are enough samples.
func (u *Usage) SpareMilli(cores float64) int {
	used, known := u.used()
	if !known {
		return 0
	}
	return int(math.Max(cores-used, 0) * 1000)
}

// used returns the number of cores that the process used; known is false until there are enough samples.
func (u *Usage) used() (cores float64, known bool) {
	oldest, newest := u.samples[u.next], u.samples[(u.next+usageSamples-1)%usageSamples]
	span := newest.at - oldest.at
	if oldest.at == 0 || span <= 0 {
		return 0, false
	}
	return float64(newest.cpu-oldest.cpu) / float64(span), true
}
