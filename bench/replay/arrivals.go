package replay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Streams of random numbers of one seed. Callers and run times are drawn apart, so
// that every way of deciding gets the same callers.
const (
	callerStream = 1
	runStream    = 2
	// addressStream is the same for every seed: addresses stay with their entries.
	addressStream = 3
)

// arrival is one job that a caller submits.
type arrival struct {
	at   time.Duration
	kind int
	// zone of the caller, and the number of the entry there that takes the job.
	zone  string
	entry int
	// size is the run time of its tasks against the kind's mean, declared what the
	// caller says of it.
	size, declared float64
	// crashAfter is the time after its start at which the job's first task crashes its
	// runner; zero for a sound job.
	crashAfter time.Duration
}

// arrivals draws a load's callers, in the order of their times.
func arrivals(l Load, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, callerStream))
	next := make([]time.Duration, len(l.Kinds))
	for k := range l.Kinds {
		next[k] = begin + l.gap(random, k, 0)
	}
	var all []arrival
	for {
		k := soonest(next)
		if next[k] > begin+l.For {
			return l.withPoison(random, all)
		}
		all = append(all, l.draw(random, k, next[k]))
		next[k] += l.gap(random, k, next[k]-begin)
	}
}

// withPoison puts the jobs that crash runners among the others.
func (l Load) withPoison(random *rand.Rand, all []arrival) []arrival {
	for _, p := range l.Poison {
		for range p.Jobs {
			a := l.draw(random, p.Kind, begin+p.At+time.Duration(random.Int64N(int64(time.Second))))
			a.crashAfter = p.After
			all = append(all, a)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

func soonest(next []time.Duration) int {
	best := 0
	for k := range next {
		if next[k] < next[best] {
			best = k
		}
	}
	return best
}

// gap draws the time until the next job of a kind.
func (l Load) gap(random *rand.Rand, kind int, at time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() / l.rate(kind, at) * float64(time.Second))
}

// rate of a kind at a time, jobs a second.
func (l Load) rate(kind int, at time.Duration) float64 {
	k := l.Kinds[kind]
	r := k.PerSecond
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.For && (b.Kind == "" || b.Kind == k.Name) {
			r *= b.Times
		}
	}
	return r
}

// Sizes of jobs against their kind's mean, and how far declarations are off.
const (
	leastSize, sizeSpread         = 0.6, 0.9
	leastDeclared, declaredSpread = 0.6, 0.8
)

func (l Load) draw(random *rand.Rand, kind int, at time.Duration) arrival {
	z := l.drawZone(random)
	size := leastSize + random.Float64()*sizeSpread
	declared := size * (leastDeclared + declaredSpread*random.Float64())
	return arrival{at: at, kind: kind, zone: z.Name, entry: z.drawEntry(random), size: size, declared: declared}
}

// drawEntry returns the number of the entry that takes a job. The entry of an address
// is drawn from the address alone, as a balancer does.
func (z Zone) drawEntry(random *rand.Rand) int {
	if z.Clients == 0 {
		return random.IntN(z.Entries)
	}
	address := rand.New(rand.NewPCG(addressStream, uint64(random.IntN(z.Clients))))
	return address.IntN(z.Entries)
}

func (l Load) drawZone(random *rand.Rand) Zone {
	x := random.Float64()
	for _, z := range l.Zones {
		if x -= z.Callers; x < 0 {
			return z
		}
	}
	return l.Zones[0]
}
