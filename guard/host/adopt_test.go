package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/platform/runner"
	"almondstand.dev/telemetry/uptime"
)

// Guards against a run that is reported as over while its runner holds a lease: a delayed start
// began it at the next process under its runner's id, whose clock starts anew, so that the lease
// is the longest that runners grant. The process then answers neither polls nor stops.
func TestLeaseOfRunAtTheNextProcessIsTheLongest(t *testing.T) {
	const longest = 1500 * time.Millisecond
	f := newFakeRunner()
	h, sink := startHost(t, f)
	h.mu.Lock()
	h.opt.MaxLease = longest
	h.mu.Unlock()
	keepAlive(t, h)
	run := order(h)
	_, _ = sink.waitFor(t, runs.Running)
	f.set(func() { f.dropCalls["poll"], f.dropCalls["stop"] = 1000, 1000 })
	next := work.Incarnation{ID: "i", StartedMilli: 1}
	listing := work.Listing{Clock: time.Second, Running: []work.RunnerRunID{run}}
	h.install(runner.Report{Instance: next.ID, StartedMilli: next.StartedMilli, Seq: 1, Capacity: work.Amounts{CPUMilli: 32000}},
		&process{Incarnation: next, api: f, requestedAt: uptime.Now(), listingClock: listing.Clock}, 1, listing)
	h.Submit(uptime.Now(), owner, nil, []work.RunID{{Task: run.Task, Attempt: 1}})
	begin := uptime.Now()
	time.Sleep(longest)
	sink.mu.Lock()
	defer sink.mu.Unlock()
	for _, r := range sink.reports {
		assert.Equal(t, r.State, runs.Running, "%v %v", r, r.EndedAt-begin)
	}
}
