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

// reportInterval is how often counters and gauges reach the reporter. Zero
// would turn the reporting off: every counter would be scraped as absent.
const reportInterval = time.Second

// Buckets of a timer: from 0.5 ms, doubling, to about 65 s.
const (
	firstBucket  = 0.0005 // seconds
	bucketFactor = 2
	bucketCount  = 18
)

// Metrics is a process's root scope and the handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
	// lines counts the log lines left out, nil when nobody counts them.
	lines func() int64
}

// Close stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// NewMetrics returns metrics under the given prefix, with a registry of its own.
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
		// Names that the scrape format forbids would be rejected one by one.
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// LinesLeftOut counts the log lines left out.
func (m *Metrics) LinesLeftOut() int64 {
	if m.lines == nil {
		return 0
	}
	return m.lines()
}

// logRejected replaces the reporter's panic: a metric that clashes with
// another must not end a process that holds its callers' jobs.
func logRejected(err error) {
	metricRejected.Log(context.Background(), slog.Default(), slog.String("error", err.Error()))
}
