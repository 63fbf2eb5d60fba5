package uplink

import "github.com/uber-go/tally/v4"

// metrics are the metrics of the sessions with entries.
type metrics struct {
	// entries is the number of known entries, sessions the number of open sessions, and opened
	// counts the sessions since the start.
	entries, sessions tally.Gauge
	opened            tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return metrics{entries: s.Gauge("known_entries"), sessions: s.Gauge("entry_sessions"), opened: s.Counter("entry_sessions_opened_total")}
}
