package replay

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTakenOverJobKeepsItsTimes guards against a replay in which a job that was handed over gets its
// response-time target and its deadline anew, unlike at real entries: the second entry would keep it for
// longer than its caller waits.
func TestTakenOverJobKeepsItsTimes(t *testing.T) {
	loads := Standard()
	l := loads[slices.IndexFunc(loads, func(l Load) bool { return l.Name == "thin-burst" })]
	l.HandOver = true
	s := &sim{load: l, policy: Policies()[0], now: simStart, byID: map[string]*guard{}, byAddress: map[string]*entry{}, result: newResult(l, "")}
	s.build(1)
	first, second := s.entries[0], s.entries[1]
	const waited = 300 * time.Millisecond
	a := arrival{at: simStart - waited, size: 1, declared: 1, deadline: 2 * time.Second}
	second.submitAs(second.nextID(), a, false, nil)
	assert.Equal(t, second.plan.Count(simStart, "").Oldest, time.Duration(0))
	second.submitAs(second.nextID(), a, false, first)
	assert.Equal(t, second.plan.Count(simStart, "").Oldest, waited)
}
