package handover

import "github.com/uber-go/tally/v4"

// Sides of a stream.
const (
	// sideOut is the entry that hands jobs over.
	sideOut = "out"
	// sideIn is the entry that takes them over.
	sideIn = "in"
)

// metrics counts the streams of one side and what went wrong on them.
type metrics struct {
	// failed are connections that could not be opened; ended and lost are streams that ended without and
	// with jobs in flight.
	opened, failed, ended, lost tally.Counter
	foreign                     tally.Counter
	// withoutJob are answers to jobs that are not in flight, repeated jobs with an id that is in flight.
	withoutJob, repeated tally.Counter
}

func newMetrics(scope tally.Scope, side string) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.Tagged(map[string]string{"side": side})
	ended := func(how string) tally.Counter {
		return scope.Tagged(map[string]string{"how": how}).Counter("handover_streams_ended_total")
	}
	return &metrics{
		opened:     scope.Counter("handover_streams_opened_total"),
		failed:     scope.Counter("handover_connections_failed_total"),
		ended:      ended("idle"),
		lost:       ended("lost"),
		foreign:    scope.Counter("handover_foreign_messages_total"),
		withoutJob: scope.Counter("handover_answers_without_job_total"),
		repeated:   scope.Counter("handover_repeated_jobs_total"),
	}
}
