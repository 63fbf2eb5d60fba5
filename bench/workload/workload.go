// Package workload generates the jobs of an experiment from a seed: the arrival time,
// client and entry of each job, and how long its tasks really run.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Spec describes a stream of jobs.
type Spec struct {
	Seed uint64
	// Slots is the number of slots available to the stream.
	Slots int
	// Load is the offered work as a fraction of Slots.
	Load float64
	// Duration is the length of the stream.
	Duration time.Duration
	// Bursts temporarily multiply the load.
	Bursts []Burst
	// Clients lists the clients that share the stream by weight.
	Clients []ClientShare
	// Entries is the number of entries. FirstEntryShare is the fraction of all jobs that is sent
	// to the first one in addition to its equal share.
	Entries         int
	FirstEntryShare float64
	// MinRun, MeanRun and MaxRun describe the distribution of run times over all kinds
	// of tasks.
	MinRun, MeanRun, MaxRun time.Duration
	// Impossible is the fraction of jobs that can never run.
	Impossible float64
	// DeclaredError is the maximum factor by which declared run times are wrong, too long
	// or too short at random; with 0, none are declared.
	DeclaredError float64
}

// Burst multiplies the load from At on for the duration For.
type Burst struct {
	At, For time.Duration
	Factor  float64
}

// ClientShare is one client's weight in the stream.
type ClientShare struct {
	Client string
	Weight float64
}

// Job is one job of the stream.
type Job struct {
	At     time.Duration
	Client string
	Entry  int
	// Kinds, Runs and Declared hold the kind, run time and declared run time of each
	// task.
	Kinds    []string
	Runs     []time.Duration
	Declared []time.Duration
	// Impossible is true for a job that can never run.
	Impossible bool
}

// kinds lists the kinds of tasks with their frequencies and their mean run times
// relative to the mean over all kinds.
var kinds = []struct {
	name   string
	weight float64
	mean   float64
}{
	{"lookup", 0.55, 0.45},
	{"check", 0.35, 1.2},
	{"card", 0.10, 3.325},
}

// Work returns the sum of the run times.
func (j Job) Work() time.Duration {
	var sum time.Duration
	for _, r := range j.Runs {
		sum += r
	}
	return sum
}

// sizes lists ranges of the number of tasks of a job with their frequencies.
var sizes = []struct {
	weight   float64
	from, to int
}{
	{0.50, 1, 1},
	{0.30, 2, 10},
	{0.15, 11, 40},
	{0.05, 41, 100},
}

// meanSize returns the mean number of tasks of a job according to sizes.
func meanSize() float64 {
	sum := 0.0
	for _, s := range sizes {
		sum += s.weight * float64(s.from+s.to) / 2
	}
	return sum
}

// Generate returns the jobs in order of arrival.
func Generate(s Spec) []Job {
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed))
	mean := meanSize() * s.MeanRun.Seconds()
	base := s.Load * float64(s.Slots) / mean
	var jobs []Job
	at := 0.0
	for {
		now := time.Duration(at * float64(time.Second))
		at += rng.ExpFloat64() / (base * factor(s.Bursts, now))
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= s.Duration {
			return jobs
		}
		jobs = append(jobs, makeJob(rng, s, arrival))
	}
}

func factor(bursts []Burst, now time.Duration) float64 {
	f := 1.0
	for _, b := range bursts {
		if now >= b.At && now < b.At+b.For {
			f *= b.Factor
		}
	}
	return f
}

func makeJob(rng *rand.Rand, s Spec, at time.Duration) Job {
	j := Job{At: at, Client: pickClient(rng, s.Clients), Entry: pickEntry(rng, s)}
	j.Impossible = s.Impossible > 0 && rng.Float64() < s.Impossible
	for range pickSize(rng) {
		kind, mean := pickKind(rng)
		run := pickRun(rng, s, mean)
		j.Kinds = append(j.Kinds, kind)
		j.Runs = append(j.Runs, run)
		j.Declared = append(j.Declared, declaredRunTime(rng, run, s.DeclaredError))
	}
	return j
}

func pickClient(rng *rand.Rand, all []ClientShare) string {
	sum := 0.0
	for _, c := range all {
		sum += c.Weight
	}
	x := rng.Float64() * sum
	for _, c := range all {
		x -= c.Weight
		if x < 0 {
			return c.Client
		}
	}
	return all[len(all)-1].Client
}

func pickEntry(rng *rand.Rand, s Spec) int {
	if rng.Float64() < s.FirstEntryShare {
		return 0
	}
	return rng.IntN(s.Entries)
}

func pickSize(rng *rand.Rand) int {
	x := rng.Float64()
	for _, one := range sizes {
		x -= one.weight
		if x < 0 {
			return one.from + rng.IntN(one.to-one.from+1)
		}
	}
	return 1
}

func pickKind(rng *rand.Rand) (name string, mean float64) {
	x := rng.Float64()
	for _, k := range kinds {
		x -= k.weight
		if x < 0 {
			return k.name, k.mean
		}
	}
	return kinds[0].name, kinds[0].mean
}

// pickRun draws a run time of a kind: the minimum plus an exponentially distributed
// part, truncated at the maximum. Most run times are below a second and a few are
// several seconds.
func pickRun(rng *rand.Rand, s Spec, mean float64) time.Duration {
	extra := rng.ExpFloat64() * max(0, mean*float64(s.MeanRun)-float64(s.MinRun))
	return min(s.MinRun+time.Duration(extra), s.MaxRun)
}

func declaredRunTime(rng *rand.Rand, run time.Duration, maxError float64) time.Duration {
	if maxError == 0 {
		return 0
	}
	return time.Duration(float64(run) * math.Pow(maxError, 2*rng.Float64()-1))
}

// Ideal returns the response time of a job that runs alone on idle slots, scheduled
// longest task first with known run times, including the given time for messages.
func Ideal(j Job, slots int, messageTime time.Duration) time.Duration {
	runs := append([]time.Duration(nil), j.Runs...)
	sort.Slice(runs, func(a, b int) bool { return runs[a] > runs[b] })
	slotEnds := make([]time.Duration, slots)
	var end time.Duration
	for _, r := range runs {
		i := leastLoaded(slotEnds)
		slotEnds[i] += r
		end = max(end, slotEnds[i])
	}
	return end + messageTime
}

func leastLoaded(slotEnds []time.Duration) int {
	best := 0
	for i, b := range slotEnds {
		if b < slotEnds[best] {
			best = i
		}
	}
	return best
}
