package result

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func complete(at time.Duration, ratio float64) Observation {
	return Observation{At: at, Client: "c", Outcome: Complete, Took: time.Duration(ratio * float64(time.Second)), Ideal: time.Second}
}

// TestBackToNormal: jobs that arrive during the burst and just after it are slow, and
// in the second part one is rejected. Recovery is the first window whose median is
// close to that before the burst.
func TestBackToNormal(t *testing.T) {
	c := NewCollector()
	for s := range 10 {
		ratio := 1.0
		if s >= 3 && s < 6 {
			ratio = 4
		}
		for range 3 {
			c.Add(complete(time.Duration(s)*time.Second, ratio))
		}
	}
	b := c.Recovery(3*time.Second, 4*time.Second, 10*time.Second)
	assert.Equal(t, b, Recovery{Before: 1, After: 2})
	c = NewCollector()
	c.Add(complete(0, 1))
	c.Add(Observation{At: 5 * time.Second, Client: "c", Outcome: Refused})
	assert.Equal(t, c.Recovery(3*time.Second, 4*time.Second, 10*time.Second).After, -1.0)
}

func TestGroup(t *testing.T) {
	c := NewCollector()
	c.Add(complete(0, 1))
	c.Add(complete(0, 6))
	retried := complete(0, 2)
	retried.Submissions = 2
	c.Add(retried)
	c.Add(Observation{Client: "c", Outcome: Refused, Submissions: 3})
	g := c.Result("x", time.Second).All
	assert.Equal(t, g.Late, 1)
	assert.Equal(t, g.Resubmitted, 2)
	assert.Equal(t, g.AdmittedOnRetry, 1)
	assert.DeepEqual(t, g.Outcomes, map[Outcome]int{Complete: 3, Refused: 1})
}

func TestCompareSetsTheSameExperimentsSideBySide(t *testing.T) {
	one := &Result{Name: "a", WastedPerTask: 1}
	two := &Result{Name: "a", WastedPerTask: 3}
	other := &Result{Name: "b"}
	var out strings.Builder
	assert.NilError(t, Compare(&out, []*Result{one, other}, []*Result{two, two}))
	assert.Assert(t, strings.Contains(out.String(), "1.000 → 3.000"), out.String())
	assert.Assert(t, !strings.Contains(out.String(), "b "), out.String())
}
