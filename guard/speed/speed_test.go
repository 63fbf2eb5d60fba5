package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/guard/speed"
)

const expected = 170 * time.Millisecond

// runner draws run times of a contract: spread by 0.4, expectations off by 0.2, and three jobs in a
// hundred seven times as long.
type runner struct {
	random *rand.Rand
	jobs   int
}

func (r *runner) add(e *speed.Estimate, factor float64, jobs int) {
	for range jobs {
		r.jobs++
		ratio := factor * math.Exp(0.4*r.random.NormFloat64()+0.2*r.random.NormFloat64())
		if r.random.Float64() < 0.03 {
			ratio *= 7
		}
		for range 1 + r.random.IntN(4) {
			e.Add(fmt.Sprint(r.jobs), time.Duration(ratio*float64(expected)), expected)
		}
	}
}

func ratio(e *speed.Estimate) float64 {
	permille, _ := e.Permille()
	return float64(permille) / 1000
}

// TestEstimate guards against estimates that jobs with a long tail, a fault of some seconds or a
// wrong first estimate move away from the lasting ratio.
func TestEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &runner{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		lasting := rapid.Float64Range(0.3, 4).Draw(t, "lasting")
		var e speed.Estimate
		check := func(when string, tolerance float64) {
			t.Helper()
			assert.Assert(t, math.Abs(math.Log(ratio(&e)/lasting)) < tolerance, "%s: %.3f of %.3f", when, ratio(&e), lasting)
		}
		r.add(&e, lasting, 16)
		check("first estimate", 0.6)
		r.add(&e, lasting, 300)
		check("lasting", 0.2)
		before := ratio(&e)
		r.add(&e, 5*lasting, 90)
		assert.Assert(t, math.Abs(math.Log(ratio(&e)/before)) < 0.1, "a fault moved it from %.3f to %.3f", before, ratio(&e))

		e = speed.Estimate{}
		r.add(&e, 5*lasting, 40)
		r.add(&e, lasting, 600)
		check("after a fault at the start", 0.25)
	})
}

// TestFewWrongSamples guards against a first estimate that stays wrong for minutes at low load, because
// the runner was faulty, or an entry had not learnt its run times yet, during the first few runs.
func TestFewWrongSamples(t *testing.T) {
	for _, wrong := range []float64{0.25, 5} {
		learnt := 0
		for seed := range uint64(200) {
			r := &runner{random: rand.New(rand.NewPCG(seed, 1))}
			var e speed.Estimate
			r.add(&e, wrong, 16)
			r.add(&e, 1, 100)
			if math.Abs(math.Log(ratio(&e))) < 0.4 {
				learnt++
			}
		}
		assert.Assert(t, learnt >= 190, "%d of 200 estimates after runs of %.2f", learnt, wrong)
	}
}

// TestSamples: runs without an expectation don't count, and runs of one job count once.
func TestSamples(t *testing.T) {
	var e speed.Estimate
	e.Add("a", time.Second, 0)
	permille, samples := e.Permille()
	assert.Equal(t, permille, 0)
	assert.Equal(t, samples, 0)
	for range 3 {
		e.Add("a", expected, expected)
		e.Add("b", 2*expected, 2*expected)
	}
	permille, samples = e.Permille()
	assert.Equal(t, permille, 1000)
	assert.Equal(t, samples, 2)
}
