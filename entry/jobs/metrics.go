package jobs

import (
	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/handover"
	"almondstand.dev/dispatch/planner"
)

// metrics counts ended jobs and state changes of runs.
type metrics struct {
	scope    tally.Scope
	changes  map[planner.RunEvent]tally.Counter
	outcomes map[outcomeKey]*outcomeMetrics
	// waitError is the wait of jobs less that predicted on their arrival, in seconds.
	waitError tally.Histogram
	takenOver tally.Counter
}

type outcomeKey struct {
	contract string
	outcome  planner.Outcome
	reason   planner.Reason
}

type outcomeMetrics struct {
	count  tally.Counter
	waited tally.Timer
}

var changeNames = map[planner.RunEvent]string{
	planner.Running:     "running",
	planner.Done:        "done",
	planner.TaskFailed:  "failed",
	planner.Stopped:     "stopped",
	planner.NoCapacity:  "no_room",
	planner.NotAccepted: "not_taken",
	planner.Unknown:     "unknown",
	planner.NotStarted:  "not_started",
	planner.Crashed:     "crashed",
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{scope: scope, changes: map[planner.RunEvent]tally.Counter{}, outcomes: map[outcomeKey]*outcomeMetrics{}}
	m.waitError = scope.Histogram("job_wait_less_predicted_seconds", tally.ValueBuckets{-2, -1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2})
	m.takenOver = scope.Counter("jobs_taken_over_total")
	for c, name := range changeNames {
		m.changes[c] = scope.Tagged(map[string]string{"change": name}).Counter("run_changes_total")
	}
	return m
}

func (m *metrics) countChange(c planner.RunEvent) { m.changes[c].Inc(1) }

func (m *metrics) countEnded(contract string, d planner.Ended) {
	k := outcomeKey{contract, d.Outcome, d.Reason}
	e := m.outcomes[k]
	if e == nil {
		s := m.scope.Tagged(map[string]string{"contract": contract, "outcome": d.Outcome.String(), "why": string(d.Reason)})
		e = &outcomeMetrics{count: s.Counter("jobs_ended_total"), waited: s.Timer("job_wait_seconds")}
		m.outcomes[k] = e
	}
	e.count.Inc(1)
	e.waited.Record(d.Waited)
	m.countPrediction(contract, d)
}

// countPrediction counts a job by what was predicted of its wait.
func (m *metrics) countPrediction(contract string, d planner.Ended) {
	if d.Returned {
		m.scope.Tagged(map[string]string{"contract": contract, "outcome": d.Outcome.String()}).Counter("jobs_returned_total").Inc(1)
	}
	switch x := d.Prediction; {
	case x == nil:
	case x.Rule != "":
		m.scope.Tagged(map[string]string{"contract": contract, "rule": string(x.Rule)}).Counter("jobs_rejected_early_total").Inc(1)
	case d.Started:
		m.waitError.RecordValue((d.Waited - x.Wait).Seconds())
	}
}

// countHandover counts a job that was handed over, by why and by how that ended.
func (m *metrics) countHandover(why handover.Reason, end handoverEnd) {
	m.scope.Tagged(map[string]string{"why": string(why), "outcome": string(end)}).Counter("jobs_handed_over_total").Inc(1)
}

// countNotTaken counts a job that another entry handed over and that was not taken.
func (m *metrics) countNotTaken(why string) {
	m.scope.Tagged(map[string]string{"why": why}).Counter("job_handovers_not_taken_total").Inc(1)
}
