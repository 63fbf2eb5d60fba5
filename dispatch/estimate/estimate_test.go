package estimate_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/estimate"
)

const ms = time.Millisecond

// TestLearning: a declared run time a hundred times too long counts as one sample among
// the measured ones, and is ignored once the kind is learnt.
func TestLearning(t *testing.T) {
	e := estimate.New(estimate.Options{})
	assert.Equal(t, e.Estimate("c", "k", 0, 0).Mean, estimate.DefaultFallbackRunTime)
	assert.Equal(t, e.Estimate("c", "k", 10_000*ms, 5000*ms).Mean, 5000*ms)
	for range 3 {
		e.Add("c", "k", 100*ms)
	}
	assert.Equal(t, e.Estimate("c", "k", 10_100*ms, 0).Mean, 2600*ms)
	e.Add("c", "k", 100*ms)
	got := e.Estimate("c", "k", 10_000*ms, 0)
	assert.Assert(t, got.FromSamples && got.Mean == 100*ms && got.Deviation == 0)
	assert.Equal(t, e.Estimate("c", "unknown", 0, 0).Mean, 100*ms)
	assert.Equal(t, e.Estimate("other", "unknown", 0, 0).Mean, 100*ms)
	for range 100 {
		e.Add("c", "k", 200*ms)
	}
	assert.Assert(t, e.Estimate("c", "k", 0, 0).Mean > 190*ms)
}

// TestObserved: Shown is the observed mean of the closest of kind, client and service.
// A declared time is used only while there are no samples and it isn't longer than the
// first guess.
func TestObserved(t *testing.T) {
	e := estimate.New(estimate.Options{})
	assert.Equal(t, e.Estimate("c", "k", 10_000*ms, 0).Observed, estimate.DefaultFallbackRunTime)
	assert.Equal(t, e.Estimate("c", "k", ms, 0).Observed, ms)
	assert.Assert(t, e.Add("other", "k", 40*ms))
	assert.Equal(t, e.Estimate("c", "k", ms, 0).Observed, 40*ms)
	assert.Assert(t, e.Add("c", "other", 60*ms))
	assert.Equal(t, e.Estimate("c", "k", 10_000*ms, 0).Observed, 60*ms)
	for _, changed := range []bool{true, false, false, true, false} {
		assert.Equal(t, e.Add("c", "k", 20*ms), changed)
		assert.Equal(t, e.Estimate("c", "k", 10_000*ms, 0).Observed, 20*ms)
	}
	assert.Equal(t, e.Estimate("c", "k", 0, 10*ms).Observed, 10*ms)
}

// TestKindsAreBounded: a caller that names a new kind for each task must not make the
// table grow beyond its limit, nor evict a kind that is in use.
func TestKindsAreBounded(t *testing.T) {
	e := estimate.New(estimate.Options{MaxKinds: 10})
	for i := range 1000 {
		e.Add("c", "steady", 50*ms)
		e.Add("c", strconv.Itoa(i), 100*ms)
	}
	assert.Assert(t, e.Kinds() <= 10)
	assert.Equal(t, e.Estimate("c", "steady", 0, 0).Mean, 50*ms)
	assert.Assert(t, !e.Estimate("c", "0", 0, 0).FromSamples)
}
