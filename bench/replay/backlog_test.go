package replay_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/bench/replay"
)

// simulateBacklog simulates a load with the backlog limit on and off.
func simulateBacklog(t *testing.T, name string) (on, off *replay.Result) {
	t.Helper()
	l := load(t, name)
	l.For = 10 * time.Second
	var both sync.WaitGroup
	both.Go(func() { on = replay.Simulate(l, replay.Policies()[0], 1) })
	without := l
	without.Disabled.BacklogLimit = true
	both.Go(func() { off = replay.Simulate(without, replay.Policies()[0], 1) })
	both.Wait()
	for _, r := range []*replay.Result{on, off} {
		lookups := r.Kinds["lookup"]
		t.Logf("%s: on time %.4f, lookups %.4f, rejected early %v, rejected within %s (p90), returned %+v, busiest 100 ms %.1f times the mean",
			name, r.All.OnTimeShare(), lookups.OnTimeShare(), r.RejectedByRule, r.RejectionTime(0.9), r.Returned, r.MaxReturnsTimes())
		assert.Equal(t, r.RejectedAfterStart, 0)
	}
	return on, off
}

// TestReturningCallersAreServed guards against rejected callers that come back in vain or in a second
// wave: the least urgent kind arrives 2.5 times as often for 7 s, and each rejected caller returns once
// after its Retry-After. The most urgent kind must not pay for it.
func TestReturningCallersAreServed(t *testing.T) {
	t.Parallel()
	on, off := simulateBacklog(t, "backlog-retries")
	assert.Assert(t, on.Returned.AnsweredShare() >= on.All.AnsweredShare(), "returned %.3f, new %.3f", on.Returned.AnsweredShare(), on.All.AnsweredShare())
	assert.Assert(t, on.MaxReturnsTimes() <= 3, "%.1f times the mean", on.MaxReturnsTimes())
	assert.Assert(t, on.Kinds["lookup"].OnTimeShare() >= off.Kinds["lookup"].OnTimeShare(), "%.4f and %.4f without the limit", on.Kinds["lookup"].OnTimeShare(), off.Kinds["lookup"].OnTimeShare())
}

// TestBacklogIsToldEarly guards against callers of a burst that learn too late that they are rejected,
// while others leave on their own.
func TestBacklogIsToldEarly(t *testing.T) {
	t.Parallel()
	on, off := simulateBacklog(t, "backlog")
	assert.Assert(t, on.RejectionTime(0.9) <= 250*time.Millisecond, "%s", on.RejectionTime(0.9))
	assert.Assert(t, on.Kinds["lookup"].OnTimeShare() >= off.Kinds["lookup"].OnTimeShare(), "%.4f and %.4f without the limit", on.Kinds["lookup"].OnTimeShare(), off.Kinds["lookup"].OnTimeShare())
}
