package telemetry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters and gauges are passed to the reporter. Zero
// disables reporting: every counter would be missing from scrapes.
const reportInterval = time.Second

// Histogram buckets of timers: from 0.5 ms to about 65 s, doubling.
const (
	firstBucket  = 0.0005 // seconds
	bucketFactor = 2
	bucketCount  = 18
)

// Metrics is a process's root scope and the HTTP handler for scrapes.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
	// droppedLines returns the number of log lines dropped; nil if they are not counted.
	droppedLines func() int64
}

// Close stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// NewMetrics returns metrics with the given name prefix and their own registry.
func NewMetrics(prefix string) *Metrics {
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:              prometheus.NewRegistry(),
		DefaultTimerType:        tallyprom.HistogramTimerType,
		DefaultHistogramBuckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, bucketCount),
		OnRegisterError:         logRejected,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
		// Without sanitizing, each name that is invalid in the scrape format would be rejected.
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// LinesDropped returns the number of log lines dropped.
func (m *Metrics) LinesDropped() int64 {
	if m.droppedLines == nil {
		return 0
	}
	return m.droppedLines()
}

// logRejected replaces the reporter's panic: a metric name conflict must not terminate a
// process that holds its callers' jobs.
func logRejected(err error) {
	metricRejected.Log(context.Background(), slog.Default(), slog.String("error", err.Error()))
}
