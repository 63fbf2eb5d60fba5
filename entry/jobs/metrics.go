package jobs

import (
	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/planner"
)

// metrics count jobs and runs.
type metrics struct {
	scope   tally.Scope
	changes map[planner.Change]tally.Counter
	ends    map[endKey]*endMetrics
}

type endKey struct {
	contract string
	outcome  planner.Outcome
	why      planner.Why
}

type endMetrics struct {
	count  tally.Counter
	waited tally.Timer
}

var changeNames = map[planner.Change]string{
	planner.Running:    "running",
	planner.Done:       "done",
	planner.TaskFailed: "failed",
	planner.Stopped:    "stopped",
	planner.NoRoom:     "no_room",
	planner.NotTaken:   "not_taken",
	planner.Unknown:    "unknown",
	planner.NotStarted: "not_started",
	planner.Crashed:    "crashed",
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{scope: scope, changes: map[planner.Change]tally.Counter{}, ends: map[endKey]*endMetrics{}}
	for c, name := range changeNames {
		m.changes[c] = scope.Tagged(map[string]string{"change": name}).Counter("run_changes_total")
	}
	return m
}

func (m *metrics) change(c planner.Change) { m.changes[c].Inc(1) }

func (m *metrics) ended(contract string, d planner.Ended) {
	k := endKey{contract, d.Outcome, d.Why}
	e := m.ends[k]
	if e == nil {
		s := m.scope.Tagged(map[string]string{"contract": contract, "outcome": d.Outcome.String(), "why": string(d.Why)})
		e = &endMetrics{count: s.Counter("jobs_ended_total"), waited: s.Timer("job_wait_seconds")}
		m.ends[k] = e
	}
	e.count.Inc(1)
	e.waited.Record(d.Waited)
}
