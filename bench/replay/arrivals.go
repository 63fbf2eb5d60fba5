package replay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Streams of random numbers derived from one seed. Arrivals and run times are drawn
// from separate streams, so that every policy gets the same arrivals.
const (
	callerStream = 1
	runStream    = 2
	// addressStream doesn't depend on the seed, so that every address always uses the
	// same entry.
	addressStream = 3
	// leaveStream draws which callers leave, so that arrivals don't depend on it.
	leaveStream = 4
)

// arrival is one job that a caller submits.
type arrival struct {
	at   time.Duration
	kind int
	// dataCentre is that of the caller, entry the number of the entry there that
	// receives the job.
	dataCentre string
	entry      int
	// size is the run time of its tasks relative to the mean of its kind, declared the
	// run time that the caller declares, relative to the same mean.
	size, declared float64
	// deadline is how long the caller waits.
	deadline time.Duration
	// crashAfter is the time after its start at which the job's first task crashes its
	// runner; zero for a job that crashes none.
	crashAfter time.Duration
	// leaveAfter is the time after which the caller cancels the job; zero for one that stays.
	leaveAfter time.Duration
}

// arrivals draws the jobs of a load, ordered by time.
func arrivals(l Load, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, callerStream))
	leaving := rand.New(rand.NewPCG(seed, leaveStream))
	next := make([]time.Duration, len(l.Kinds))
	for k := range l.Kinds {
		next[k] = simStart + l.interarrival(random, k, 0)
	}
	var all []arrival
	for {
		k := earliest(next)
		if next[k] > simStart+l.For {
			return l.addCrashingJobs(random, all)
		}
		a := l.draw(random, k, next[k])
		a.leaveAfter = l.leaveTime(leaving, a)
		all = append(all, a)
		next[k] += l.interarrival(random, k, next[k]-simStart)
	}
}

// addCrashingJobs adds the jobs that crash runners.
func (l Load) addCrashingJobs(random *rand.Rand, all []arrival) []arrival {
	for _, p := range l.CrashingJobs {
		for range p.Jobs {
			a := l.draw(random, p.Kind, simStart+p.At+time.Duration(random.Int64N(int64(time.Second))))
			a.crashAfter = p.After
			all = append(all, a)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

func earliest(next []time.Duration) int {
	best := 0
	for k := range next {
		if next[k] < next[best] {
			best = k
		}
	}
	return best
}

// interarrival draws the time until the next job of a kind.
func (l Load) interarrival(random *rand.Rand, kind int, at time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() / l.rate(kind, at) * float64(time.Second))
}

// rate returns the arrival rate of a kind at a time, in jobs a second.
func (l Load) rate(kind int, at time.Duration) float64 {
	k := l.Kinds[kind]
	r := k.PerSecond
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.For && (b.Kind == "" || b.Kind == k.Name) {
			r *= b.Times
		}
	}
	if l.Swing.Depth == 0 {
		return r
	}
	callers := 0.0
	for _, z := range l.DataCentres {
		callers += l.callers(z, at)
	}
	return r * callers
}

// callers returns a data centre's share of the callers at a time. The sum over all data centres
// is one on average.
func (l Load) callers(z DataCentre, at time.Duration) float64 {
	if l.Swing.Depth == 0 {
		return z.Callers
	}
	periods := float64(at)/float64(l.Swing.Period) + z.Phase
	return z.Callers * (1 + l.Swing.Depth*math.Sin(2*math.Pi*periods))
}

// Ranges of the size of a job relative to its kind's mean, and of the factor by which a
// declared run time is wrong.
const (
	minSize, sizeRange                     = 0.6, 0.9
	minDeclaredFactor, declaredFactorRange = 0.6, 0.8
)

func (l Load) draw(random *rand.Rand, kind int, at time.Duration) arrival {
	z := l.drawDataCentre(random, at-simStart)
	spread := l.Kinds[kind].Spread
	size := minSize + random.Float64()*sizeRange
	if spread > 0 {
		size = math.Exp(spread * random.NormFloat64())
	}
	deadline := l.Kinds[kind].Deadline
	if share := l.Kinds[kind].TailShare; share > 0 && random.Float64() < share {
		size *= l.Kinds[kind].TailTimes
		deadline = time.Duration(float64(deadline) * l.Kinds[kind].TailTimes)
	}
	declared := size * (minDeclaredFactor + declaredFactorRange*random.Float64())
	if spread > 0 {
		declared = size * math.Exp(spread*random.NormFloat64())
	}
	return arrival{at: at, kind: kind, dataCentre: z.Name, entry: z.drawEntry(random), size: size, declared: declared, deadline: deadline}
}

// drawEntry returns the number of the entry that receives a job. The entry depends on
// the caller's address alone, as with a load balancer that hashes addresses.
func (z DataCentre) drawEntry(random *rand.Rand) int {
	if z.Addresses == 0 {
		return random.IntN(z.Entries)
	}
	address := rand.New(rand.NewPCG(addressStream, uint64(random.IntN(z.Addresses))))
	return address.IntN(z.Entries)
}

func (l Load) drawDataCentre(random *rand.Rand, at time.Duration) DataCentre {
	total := 1.0
	if l.Swing.Depth > 0 {
		total = 0
		for _, z := range l.DataCentres {
			total += l.callers(z, at)
		}
	}
	share := random.Float64() * total
	for _, z := range l.DataCentres {
		if share -= l.callers(z, at); share < 0 {
			return z
		}
	}
	return l.DataCentres[0]
}
