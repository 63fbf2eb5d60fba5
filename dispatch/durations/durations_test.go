package durations

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	ms        = time.Millisecond
	endpoints = 12
)

// contract draws run times and declarations with a spread of 0.4, of jobs of four tasks.
type contract struct {
	random *rand.Rand
	now    time.Duration
	// mean is the run time of most jobs; one job in every takes seven times as long, none if it is
	// zero.
	mean  time.Duration
	every int
	jobs  int
	// slow is the number of endpoints at which runs take five times as long.
	slow int
}

func (c *contract) spread() float64 { return math.Exp(0.4 * c.random.NormFloat64()) }

func (c *contract) run(d *Distribution, jobs int) {
	for range jobs {
		size := c.spread()
		c.jobs++
		if c.every > 0 && c.jobs%c.every == 0 {
			size *= 7
		}
		declared := size * c.spread()
		for range 4 {
			c.now += 10 * ms
			ran := size * (0.85 + 0.3*c.random.Float64())
			endpoint := c.random.IntN(endpoints)
			if endpoint < c.slow {
				ran *= 5
			}
			d.Add(c.now, fmt.Sprint(endpoint), time.Duration(ran*float64(c.mean)), time.Duration(declared*float64(c.mean)))
		}
	}
}

// Guards against a job of the tail that is expected to take four times the mean: its declaration is
// averaged with the mean of all jobs. A contract learns from some fifteen to thirty jobs of the tail, whose
// run times and declarations have a spread of 0.4, so that the estimate of one contract in some four
// hundred is off by 30 %. The mean over contracts shows a bias, and few of them may be off that far.
func TestTailIsExpectedAsDeclared(t *testing.T) {
	const contracts = 100
	var sum, off float64
	for seed := range contracts {
		c := &contract{random: rand.New(rand.NewPCG(uint64(seed), 1)), mean: 60 * ms, every: 33}
		d := New()
		c.run(d, 2000+20*seed)
		assert.Assert(t, d.HasTail())
		tail, known := d.Expected(7 * 60 * ms)
		assert.Assert(t, known)
		sum += tail.Seconds()
		if tail < 5*60*ms || tail > 9*60*ms {
			off++
		}
		usual, _ := d.Expected(60 * ms)
		assert.Assert(t, usual > 45*ms && usual < 85*ms, "usual %v", usual)
		limit, known := d.Limit(7 * 60 * ms)
		assert.Assert(t, !known || limit > tail, "limit %v of %v", limit, tail)
	}
	mean := seconds(sum / contracts)
	assert.Assert(t, mean > 6*60*ms && mean < 8*60*ms, "mean %v", mean)
	assert.Assert(t, off <= contracts/50, "%v of %d contracts are off", off, contracts)
}

// Guards against changed decisions where there is no tail, where single endpoints are slow, and
// where all run times have changed.
func TestNoTailIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &contract{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), mean: 60 * ms}
		d := New()
		c.run(d, 300)
		c.slow = rapid.IntRange(0, endpoints/maxFaultyDivisor).Draw(t, "slow")
		for range 10 {
			c.run(d, 30)
			assert.Assert(t, !d.HasTail())
		}
		c.slow, c.mean = 0, 600*ms
		for range 2 {
			c.run(d, 600)
			_, known := d.Expected(60 * ms)
			assert.Assert(t, !known, "run times have changed as a whole")
		}
	})
}

// Guards against old observations that keep their effect: the tail has ended.
func TestOldRunsLoseTheirEffect(t *testing.T) {
	c := &contract{random: rand.New(rand.NewPCG(1, 1)), mean: 60 * ms, every: 33}
	d := New()
	c.run(d, 1000)
	assert.Assert(t, d.HasTail())
	c.every = 0
	c.run(d, 3000)
	assert.Assert(t, !d.HasTail())
}

// Guards against quantiles of a few runs, and a nil Distribution.
func TestFewRuns(t *testing.T) {
	var none *Distribution
	none.Add(time.Second, "a", ms, ms)
	_, known := none.Expected(ms)
	assert.Assert(t, !known)
	c := &contract{random: rand.New(rand.NewPCG(2, 1)), mean: 60 * ms, every: 33}
	d := New()
	c.run(d, 1000)
	expected, known := d.Expected(100 * 60 * ms)
	assert.Assert(t, known && expected > 0)
	_, known = d.Limit(100 * 60 * ms)
	assert.Assert(t, !known, "hardly any run was declared so long")
}

// Guards against processor time per run that grows with the number of endpoints, and against a tail that
// is learnt later with few endpoints.
func TestJudgementsOfManyEndpointsAreFew(t *testing.T) {
	for endpoints, least := range map[int]int{12: judgeInterval, 128: judgeInterval, 990: 100} {
		d, judged := New(), 0
		for i := range 20 * 990 {
			before := -1.0
			if d.older != nil {
				before, d.older.median = d.older.median, -1
			}
			d.Add(time.Duration(i)*ms, fmt.Sprint(i%endpoints), 20*ms, 20*ms)
			if d.older.medianIsSet() {
				judged++
			} else if d.older != nil {
				d.older.median = before
			}
		}
		// A generation has few endpoints at first, and is then judged more often.
		assert.Assert(t, judged > 0 && judged <= 20*990/least+200, "%d endpoints: judged %d times", endpoints, judged)
	}
}

func (g *generation) medianIsSet() bool { return g != nil && g.median >= 0 }

// TestMemoryOfManyEndpoints guards against an entry on a small host whose memory grows by 0.18 MB for each
// contract of a deployment with 990 endpoints.
func TestMemoryOfManyEndpoints(t *testing.T) {
	names := make([]string, 990)
	for i := range names {
		names[i] = fmt.Sprintf("guard-%04d.yard.example:7443", i)
	}
	inUse := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	c := &contract{random: rand.New(rand.NewPCG(3, 1)), mean: 60 * ms, every: 33}
	all := make([]*Distribution, 10)
	before := inUse()
	for i := range all {
		all[i] = New()
		for range 3000 {
			size := c.spread()
			if c.jobs++; c.jobs%c.every == 0 {
				size *= 7
			}
			for range 4 {
				c.now += 2 * ms
				all[i].Add(c.now, names[c.random.IntN(len(names))], time.Duration(size*float64(c.mean)), time.Duration(size*c.spread()*float64(c.mean)))
			}
		}
	}
	used := (inUse() - before) / int64(len(all))
	t.Logf("%d bytes", used)
	assert.Assert(t, used > 10_000 && used <= 50_000, "%d bytes", used)
	runtime.KeepAlive(all)
}
