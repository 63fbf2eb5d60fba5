package server

import (
	"slices"
	"sync"

	"almondstand.dev/guard/runner"
)

// callStats counts the outcomes of the calls to the runner across all sessions,
// so that failures seen by one entry protect the others as well.
type callStats struct {
	mu        sync.Mutex
	calls     uint64
	completed uint64
	failed    uint64
	// failures holds the failed calls that began after the most recent successful
	// one.
	failures []callRecord
}

// callRecord identifies a call that has ended.
type callRecord struct {
	submission string
	client     string
	call       uint64
}

const (
	// maxFailures caps the length of failures: more of them give no further
	// evidence.
	maxFailures = 16
	// maxFailuresPerClient caps the failures of one client: all of its tasks may
	// fail on any endpoint through a fault of their own.
	maxFailuresPerClient = 2
)

// callSnapshot is a snapshot of callStats.
type callSnapshot struct {
	completed, failed   uint64
	consecutiveFailures int
}

// begin returns the sequence number of a call that starts now.
func (o *callStats) begin() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	return o.calls
}

// end counts the outcome v of the call f. A call that was cancelled or exceeded
// its run limit counts neither as a success nor as a failure of the runner.
func (o *callStats) end(f callRecord, v runner.Verdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch v {
	case runner.Completed:
		o.completed++
		// A call that began before a failure says nothing about a runner that
		// broke afterwards, even if the call succeeds.
		o.failures = slices.DeleteFunc(o.failures, func(old callRecord) bool { return old.call < f.call })
	case runner.Failed, runner.Truncated, runner.ConnectionLost:
		o.failed++
		o.addFailure(f)
	}
}

// addFailure counts each submission once and each client at most twice. It keeps
// the most recent call of each, because only a success that began later clears
// the entry.
func (o *callStats) addFailure(f callRecord) {
	ofClient, last := 0, 0
	for i, known := range o.failures {
		if known.submission == f.submission {
			o.failures[i].call = max(known.call, f.call)
			return
		}
		if known.client == f.client {
			ofClient++
			last = i
		}
	}
	switch {
	case ofClient >= maxFailuresPerClient:
		o.failures[last].call = max(o.failures[last].call, f.call)
	case len(o.failures) < maxFailures:
		o.failures = append(o.failures, f)
	}
}

func (o *callStats) snapshot() callSnapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	return callSnapshot{completed: o.completed, failed: o.failed, consecutiveFailures: len(o.failures)}
}
