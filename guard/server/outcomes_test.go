package server

import (
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/guard/runner"
)

// A runner breaks while older calls still run, and these complete after the first
// failures. They must not clear the failures; only a successful call that began
// later may.
func TestOnlyLaterSuccessClearsFailures(t *testing.T) {
	var o callStats
	old := callRecord{submission: "c", client: "x", call: o.begin()}
	o.end(callRecord{submission: "a", client: "x", call: o.begin()}, runner.Failed)
	o.end(callRecord{submission: "b", client: "y", call: o.begin()}, runner.ConnectionLost)
	o.end(old, runner.Completed)
	assert.Equal(t, o.snapshot(), callSnapshot{completed: 1, failed: 2, consecutiveFailures: 2})
	o.end(callRecord{submission: "d", client: "x", call: o.begin()}, runner.Completed)
	assert.Equal(t, o.snapshot(), callSnapshot{completed: 2, failed: 2})
}

// A submission whose tasks all fail counts as one failure, a client whose
// submissions all fail as two, and cancelled calls and exceeded run limits as
// none.
func TestFailuresAreCappedPerClient(t *testing.T) {
	var o callStats
	for _, v := range []runner.Verdict{runner.Failed, runner.Truncated, runner.Cancelled, runner.RunLimit} {
		o.end(callRecord{submission: "a", client: "x", call: o.begin()}, v)
	}
	assert.Equal(t, o.snapshot(), callSnapshot{failed: 2, consecutiveFailures: 1})
	for _, submission := range []string{"b", "c", "d"} {
		o.end(callRecord{submission: submission, client: "x", call: o.begin()}, runner.Failed)
	}
	assert.Equal(t, o.snapshot(), callSnapshot{failed: 5, consecutiveFailures: 2})
	o.end(callRecord{submission: "e", client: "y", call: o.begin()}, runner.Failed)
	assert.Equal(t, o.snapshot().consecutiveFailures, 3)
}
