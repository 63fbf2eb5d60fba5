package workload

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func spec() Spec {
	return Spec{
		Seed: 1, Slots: 88, Load: 0.8, Duration: 20 * time.Minute, Entries: 4, FirstEntryShare: 0.5,
		Clients: []ClientShare{{"a", 3}, {"b", 1}},
		MinRun:  50 * time.Millisecond, MeanRun: 300 * time.Millisecond, MaxRun: 5 * time.Second,
	}
}

func TestMakeIsRepeatableAndOffersTheLoad(t *testing.T) {
	jobs := Generate(spec())
	assert.DeepEqual(t, jobs, Generate(spec()))
	var work time.Duration
	atFirstEntry, ofClientA := 0, 0
	for _, j := range jobs {
		work += j.Work()
		if j.Entry == 0 {
			atFirstEntry++
		}
		if j.Client == "a" {
			ofClientA++
		}
	}
	load := work.Seconds() / (20 * 60 * 88)
	assert.Assert(t, math.Abs(load-0.8) < 0.04, "load %.3f", load)
	assert.Assert(t, math.Abs(float64(atFirstEntry)/float64(len(jobs))-0.625) < 0.03)
	assert.Assert(t, math.Abs(float64(ofClientA)/float64(len(jobs))-0.75) < 0.03)
}

func TestIdeal(t *testing.T) {
	s := time.Second
	j := Job{Runs: []time.Duration{s, 3 * s, 2 * s, 2 * s}}
	assert.Equal(t, Ideal(j, 4, 0), 3*s)
	assert.Equal(t, Ideal(j, 2, time.Millisecond), 4*s+time.Millisecond)
}
