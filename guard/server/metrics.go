package server

import (
	"strings"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/guard/runner"
	wirev1 "almondstand.dev/wire/wirev1"
)

// metrics holds the server's counters and gauges. They are created once: looking
// one up by tag for each task would cost more than updating it.
type metrics struct {
	starts             tally.Counter
	joinedStarts       tally.Counter
	hellos             tally.Counter
	resolves           tally.Counter
	recordsFull        tally.Counter
	secretRefused      tally.Counter
	requestsOverloaded tally.Counter
	refusals           map[wirev1.RefusalReason]tally.Counter
	ends               map[runner.Verdict]tally.Counter

	running, waiting, slots                         tally.Gauge
	sessions, records, unackedResults, unackedBytes tally.Gauge
}

var verdictNames = map[runner.Verdict]string{
	runner.Completed:      "completed",
	runner.Failed:         "failed",
	runner.Truncated:      "truncated",
	runner.RunLimit:       "run_limit",
	runner.Cancelled:      "cancelled",
	runner.ConnectionLost: "runner_lost",
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		starts:             scope.Counter("starts"),
		joinedStarts:       scope.Counter("starts_joined"),
		hellos:             scope.Counter("sessions_opened"),
		resolves:           scope.Counter("resolves"),
		recordsFull:        scope.Counter("records_full"),
		secretRefused:      scope.Counter("secret_refused"),
		requestsOverloaded: scope.Counter("requests_overloaded"),
		refusals:           map[wirev1.RefusalReason]tally.Counter{},
		ends:               map[runner.Verdict]tally.Counter{},
		running:            scope.Gauge("running"),
		waiting:            scope.Gauge("waiting"),
		slots:              scope.Gauge("slots"),
		sessions:           scope.Gauge("sessions"),
		records:            scope.Gauge("records"),
		unackedResults:     scope.Gauge("results_kept"),
		unackedBytes:       scope.Gauge("results_kept_bytes"),
	}
	for value, name := range wirev1.RefusalReason_name {
		reason := strings.ToLower(strings.TrimPrefix(name, "REFUSAL_REASON_"))
		m.refusals[wirev1.RefusalReason(value)] = scope.Tagged(map[string]string{"reason": reason}).Counter("refusals")
	}
	for verdict, name := range verdictNames {
		m.ends[verdict] = scope.Tagged(map[string]string{"outcome": name}).Counter("ends")
	}
	return m
}

func (m *metrics) countRefusal(reason wirev1.RefusalReason) { m.refusals[reason].Inc(1) }

func (m *metrics) countEnd(v runner.Verdict) { m.ends[v].Inc(1) }

// UpdateGauges updates the gauges.
func (s *Server) UpdateGauges() {
	load := s.table.Load("")
	s.metrics.running.Update(float64(load.Running))
	s.metrics.waiting.Update(float64(load.Waiting))
	s.metrics.slots.Update(float64(load.Slots))
	stats := s.opts.Ledger.Stats()
	s.metrics.sessions.Update(float64(stats.Sessions))
	s.metrics.records.Update(float64(stats.Records))
	s.metrics.unackedResults.Update(float64(stats.UnacknowledgedResults))
	s.metrics.unackedBytes.Update(float64(stats.ResultBytes))
}
