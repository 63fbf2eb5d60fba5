package scheduler_test

import (
	"encoding/json"
	"flag"
	"os"
	"regexp"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/baseline"
)

var modelRun = flag.String("model", "", "run and print the cases of the model that match")

// modelSeeds and modelSeconds are the number of seeds and the simulated seconds of a
// case that is printed.
const (
	modelSeeds   = 4
	modelSeconds = 500
)

func ptr[T any](v T) *T { return &v }

// runSeeds runs a case with several seeds and combines the results.
func runSeeds(c modelCase, seeds int) modelResult {
	results := make([]modelResult, seeds)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			seeded := c
			seeded.Seed = uint64(i + 1)
			results[i] = runModel(seeded)
		})
	}
	group.Wait()
	sum := modelResult{}
	for _, r := range results {
		sum.add(r)
	}
	return sum
}

// TestModelCases prints the model's results; it asserts nothing about them.
func TestModelCases(t *testing.T) {
	if *modelRun == "" {
		t.Skip("runs with -model <pattern>")
	}
	text, err := os.ReadFile("testdata/model.json")
	assert.NilError(t, err)
	var cases []modelCase
	assert.NilError(t, json.Unmarshal(text, &cases))
	pattern := regexp.MustCompile(*modelRun)
	for _, c := range cases {
		if pattern.MatchString(c.Name) {
			setDefault(&c.Seconds, modelSeconds)
			setDefault(&c.Seeds, modelSeeds)
			t.Logf("%-28s %v", c.Name, runSeeds(c, c.Seeds))
		}
	}
}

// TestModelDesignChoices runs short cases and checks that the results which decided the
// design still hold, with a margin for changes of detail.
func TestModelDesignChoices(t *testing.T) {
	run := func(c modelCase) modelResult { return runSeeds(c, 2) }
	shipped := run(modelCase{})
	assert.Assert(t, mean(shipped.slowdowns) < 1.4, "%v", shipped)
	assert.Equal(t, shipped.failed, 0)
	fifo := run(modelCase{FIFO: true, Variant: baseline.Variant{Placement: "two_choices", Order: "fifo"}})
	assert.Assert(t, mean(fifo.slowdowns) > 1.5*mean(shipped.slowdowns), "%v", fifo)
	noMinInFlight := run(modelCase{Variant: baseline.Variant{MinInFlight: ptr(0)}})
	assert.Assert(t, mean(noMinInFlight.slowdowns) > 1.1*mean(shipped.slowdowns), "%v", noMinInFlight)
}

// TestModelSlowGuard: one guard runs everything at a tenth of the normal speed, and its
// slots look as free as those of others. Without the measured speed, nearly every large
// job and a tenth of the small ones would take ten times as long.
func TestModelSlowGuard(t *testing.T) {
	r := runSeeds(modelCase{Load: 0.5, Pace: 10}, 2)
	assert.Assert(t, quantile(r.slowdowns, 0.99) < 5, "%v", r)
	assert.Equal(t, r.failed, 0)
}

// TestModelFailingGuard: one guard fails every task at once and so always has the most
// free slots. Each entry may lose a few jobs before it ejects the guard, and one more
// for each probe that uses a job which can't be retried.
func TestModelFailingGuard(t *testing.T) {
	r := runSeeds(modelCase{Load: 0.8, Failing: true}, 2)
	entries := 2 * 4
	assert.Assert(t, r.failed <= 6*entries, "%v", r)
}

// TestModelGuardThatBreaks: one guard begins to fail every task at once after a long
// healthy period, and so always has the most free slots. Only few jobs may be lost
// until all entries have ejected it, and few to probes.
func TestModelGuardThatBreaks(t *testing.T) {
	r := runSeeds(modelCase{Load: 0.8, Failing: true, FaultAt: 30, OnceOnly: true}, 2)
	assert.Assert(t, r.failed <= 30, "%v", r)
}

// TestModelOneOfTwoBreaks: a service has two guards, and one begins to fail every task
// at once. From then on it has the most free slots, so it would receive nearly all
// tasks and fail nearly all jobs unless it is ejected.
func TestModelOneOfTwoBreaks(t *testing.T) {
	r := runSeeds(modelCase{Load: 0.3, Guards: 2, Failing: true, FaultAt: 30, OnceOnly: true}, 4)
	assert.Assert(t, r.failed <= 4*15, "%v", r)
	assert.Assert(t, r.submitted-r.failed-r.rejected-r.expired > r.submitted/2, "%v", r)
}

// TestModelFailingClient: all tasks of one client fail wherever they run, in large jobs
// and in small ones. No endpoint is at fault, so hardly any may be ejected.
func TestModelFailingClient(t *testing.T) {
	for _, load := range []float64{0.02, 0.2} {
		r := runSeeds(modelCase{Load: 0.6, FailingCustomer: load}, 2)
		samples := 2 * 120 * 4
		assert.Equal(t, r.failed, 0, "%v", r)
		assert.Assert(t, r.ejected <= samples/100, "%v", r)
	}
}

// TestModelFlood: one client submits more than the whole service can run, and retries
// after the RetryAfter it was given. The other clients' jobs must hardly be delayed,
// and none of them be rejected in its favour.
func TestModelFlood(t *testing.T) {
	r := runSeeds(modelCase{Load: 0.5, Flood: 1, ComeBack: true}, 2)
	assert.Assert(t, mean(r.protected) < 1.8, "%v", r)
	assert.Assert(t, float64(r.protectedRejected) < 0.01*float64(r.submitted), "%v", r)
}

// TestModelFullGuards: guards refuse tasks that exceed their short queue. Such a
// refusal is not the job's fault and must not fail it.
func TestModelFullGuards(t *testing.T) {
	r := runSeeds(modelCase{Entries: 8, Bound: 1}, 2)
	assert.Assert(t, r.refusals > 0)
	assert.Equal(t, r.failed, 0, "%v", r)
}

// TestModelColdStart: no run times are learnt yet and declared run times are wrong by
// up to a factor of 100. At half load no job may be rejected, and no endpoint be
// ejected as slow because its tasks were declared too short. A burst of ten times that
// load is more than can be answered: most of the excess must be rejected at once rather
// than expire after the answer time.
func TestModelColdStart(t *testing.T) {
	steadyLoad := runSeeds(modelCase{Cold: true, Declared: 100, Load: 0.5}, 2)
	assert.Equal(t, steadyLoad.rejected+steadyLoad.expired+steadyLoad.ejected, 0, "%v", steadyLoad)
	burst := runSeeds(modelCase{Cold: true, Declared: 100, Load: 0.5, Burst: 10, Stretch: 0.1, Seconds: 60}, 2)
	assert.Assert(t, burst.expired < burst.submitted/200, "%v", burst)
	assert.Assert(t, burst.rejected < burst.submitted/10, "%v", burst)
}
