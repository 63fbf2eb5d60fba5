package host

import (
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/guard/runs"
)

// Metrics counts the calls to the runner.
type Metrics struct {
	starts, startErrors, stops, stopErrors, polls, pollErrors tally.Counter
	// leasesLate counts lease extensions that came after the lease had expired, and leaseLeft
	// records the time that was left of it at each extension.
	leasesLate tally.Counter
	leaseLeft  tally.Timer
	refusals   map[runs.Refusal]tally.Counter
	// malformed counts malformed runner reports.
	malformed tally.Counter
	// unreadableRows counts rows of run listings that could not be read.
	unreadableRows tally.Counter
	// unknown counts reports that the guard has no such run.
	unknown tally.Counter
	// crashes counts crashes of a runner that had runs.
	crashes tally.Counter
	// stalled counts runs that became stalled, progress counts progress reports sent, and
	// progressOmitted those that exceeded the limit of a message.
	stalled, progress, progressOmitted tally.Counter
	// cordoned is 1 while the data centre is cordoned, 0 otherwise.
	cordoned tally.Gauge
}

// NewMetrics returns metrics in the scope.
func NewMetrics(s tally.Scope) *Metrics {
	m := &Metrics{
		starts:      s.Counter("runner_starts_total"),
		startErrors: s.Counter("runner_start_errors_total"),
		stops:       s.Counter("runner_stops_total"),
		stopErrors:  s.Counter("runner_stop_errors_total"),
		polls:       s.Counter("runner_looks_total"),
		pollErrors:  s.Counter("runner_look_errors_total"),
		leasesLate:  s.Counter("runner_leases_late_total"),
		leaseLeft:   s.Timer("runner_lease_left_seconds"),
		malformed:   s.Counter("runner_reports_malformed_total"),

		unreadableRows: s.Counter("runner_rows_unreadable_total"),

		unknown:  s.Counter("runs_unknown_total"),
		crashes:  s.Counter("runner_crashes_total"),
		stalled:  s.Counter("runs_stalled_total"),
		progress: s.Counter("progress_reports_total"),
		cordoned: s.Gauge("cordoned"),

		progressOmitted: s.Counter("progress_reports_omitted_total"),

		refusals: map[runs.Refusal]tally.Counter{},
	}
	for _, reason := range runs.Refusals() {
		m.refusals[reason] = s.Tagged(map[string]string{"reason": reason.String()}).Counter("orders_refused_total")
	}
	return m
}

func count(all, errs tally.Counter, err error) {
	all.Inc(1)
	if err != nil {
		errs.Inc(1)
	}
}

func (m *Metrics) start(err error) { count(m.starts, m.startErrors, err) }
func (m *Metrics) stop(err error)  { count(m.stops, m.stopErrors, err) }
func (m *Metrics) poll(err error)  { count(m.polls, m.pollErrors, err) }

// leaseExtended records that the runner's lease was extended when it had the given time left,
// negative if it had expired.
func (m *Metrics) leaseExtended(left time.Duration) {
	if left < 0 {
		m.leasesLate.Inc(1)
	}
	m.leaseLeft.Record(max(left, 0))
}

func (m *Metrics) setCordoned(cordoned bool) {
	value := 0.0
	if cordoned {
		value = 1
	}
	m.cordoned.Update(value)
}

func (m *Metrics) countMalformed() { m.malformed.Inc(1) }

func (m *Metrics) countUnreadableRows(n int) { m.unreadableRows.Inc(int64(n)) }

// countProgress counts the progress reports sent and omitted.
func (m *Metrics) countProgress(sent, omitted int) {
	if sent > 0 {
		m.progress.Inc(int64(sent))
		m.progressOmitted.Inc(int64(omitted))
	}
}

func (m *Metrics) countUnknown() { m.unknown.Inc(1) }

func (m *Metrics) countRefusal(reason runs.Refusal) { m.refusals[reason].Inc(1) }
