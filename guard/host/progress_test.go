package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/guard/runs"
)

// Guards against a stalled run of which the entry is notified only with some later message, and against a
// run that is taken as stalled because the polls of its runner go unanswered.
func TestStalledRunIsSignalledAtOnce(t *testing.T) {
	f := newFakeRunner()
	h, sink := startHost(t, f)
	keepAlive(t, h)
	start, stalledAt := time.Now(), time.Duration(0)
	f.set(func() {
		// A percent takes 10 ms, until the run stops moving.
		f.percent = func() int {
			at := time.Since(start)
			if stalledAt > 0 {
				at = min(at, stalledAt)
			}
			return min(int(at/(10*time.Millisecond)), 99)
		}
	})
	order(h)
	sink.waitFor(t, runs.Running)
	time.Sleep(150 * time.Millisecond)
	signalled := func() int {
		sink.mu.Lock()
		defer sink.mu.Unlock()
		return len(sink.progressDue)
	}
	f.set(func() { f.dropCalls["poll"] = 2 })
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, signalled(), 0, "polls unanswered")
	f.set(func() { stalledAt = time.Since(start) })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if signalled() == 0 {
			return poll.Continue("not signalled")
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
	due := h.Progress(owner)
	assert.Assert(t, len(due) == 1 && due[0].Stalled, "%v", due)
	assert.Equal(t, len(h.Progress(owner)), 0)
}
