// Package speed estimates how long the runs of a runner lastingly take in relation to what the
// entries expect of an endpoint of normal speed. It has no clock and does no I/O.
//
// The load that it addresses: run times and declarations that each differ by a factor with a spread
// of 0.4, some jobs that take seven times as long, and faults that make a runner several times
// slower for some seconds.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// firstSamples is the number of samples whose median is the first estimate: a mean of so few
	// would be moved by a tenth by one job that takes seven times as long.
	firstSamples = 16
	// window is the number of samples from which on old ones lose their weight exponentially.
	window = 256
	// maxDeviation is the largest deviation from the estimate, as a logarithm, of a sample that
	// counts: a factor of 2.2. It covers 92 % of the samples of a runner without a fault, and 4 %
	// of one that takes five times as long, at a spread of 0.45.
	maxDeviation = 0.8
	// allowedBias is the mean sign of the deviations that is taken for chance: that of an estimate
	// that is wrong by a fifth. maxBias is the sum of the signs, less allowedBias each, above which
	// the estimate is learnt anew: 257 samples in a row on one side of it. A runner that is five
	// times as slow completes as many in some 30 s at full load; one whose first estimate is wrong
	// completes them in some 6 s. An estimate of fewer samples is learnt anew above biasPerSample for
	// each of them, after as many more in a row: at low load, 257 samples take minutes, and the first
	// ones may be wrong because the runner was faulty or an entry had not learnt its run times yet.
	allowedBias   = 0.3
	maxBias       = 180
	biasPerSample = 0.7
	// jobs is the number of the latest jobs of which no further run is a sample.
	jobs = 64
)

// Estimate is the lasting ratio of run times at one process of a runner to the expected ones. Its
// zero value has no samples.
type Estimate struct {
	// mean is the mean logarithm of the ratios that count, and samples their number.
	mean    float64
	samples int
	// first holds the first samples, until there are firstSamples.
	first []float64
	// above and below are the sums of the signs of the deviations to either side, less allowedBias
	// each, and zero at least.
	above, below float64
	// recent holds the latest jobs that were sampled, the oldest at next once it is full.
	recent []string
	next   int
}

// Add adds a run of a job that completed. The runs of one job are one sample, as they take long or
// short together. An expected run time of zero is unknown, and the run does not count.
func (e *Estimate) Add(job string, ran, expected time.Duration) {
	if ran <= 0 || expected <= 0 || slices.Contains(e.recent, job) {
		return
	}
	e.remember(job)
	x := math.Log(float64(ran) / float64(expected))
	if e.samples < firstSamples {
		e.addFirst(x)
		return
	}
	d := x - e.mean
	sign := math.Copysign(1, d)
	e.above = max(e.above+sign-allowedBias, 0)
	e.below = max(e.below-sign-allowedBias, 0)
	if max(e.above, e.below) > min(maxBias, biasPerSample*float64(e.samples)) {
		*e = Estimate{recent: e.recent, next: e.next}
		return
	}
	if math.Abs(d) > maxDeviation {
		return
	}
	e.samples++
	e.mean += d / float64(min(e.samples, window))
}

func (e *Estimate) addFirst(x float64) {
	at, _ := slices.BinarySearch(e.first, x)
	e.first = slices.Insert(e.first, at, x)
	e.samples = len(e.first)
	e.mean = (e.first[(e.samples-1)/2] + e.first[e.samples/2]) / 2
	if e.samples == firstSamples {
		e.first = nil
	}
}

func (e *Estimate) remember(job string) {
	if len(e.recent) < jobs {
		e.recent = append(e.recent, job)
		return
	}
	e.recent[e.next] = job
	e.next = (e.next + 1) % jobs
}

// Permille returns the ratio in thousandths, and the number of samples that it covers; zero if
// there are none.
func (e *Estimate) Permille() (ratio, samples int) {
	if e.samples == 0 {
		return 0, 0
	}
	return max(int(math.Round(1000*math.Exp(min(e.mean, maxLogRatio)))), 1), e.samples
}

// maxLogRatio keeps the ratio in thousandths within the range of the wire's field.
const maxLogRatio = 10
