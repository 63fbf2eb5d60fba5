package telemetry

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var metricRejected = eventlog.Define(4100, "telemetry.metric_rejected", slog.LevelError,
	"A metric clashes with another of the same name and is not served.",
	"Report it as a fault of the program; the process serves on without this metric.")

var linesLeftOut = eventlog.Define(4101, "telemetry.lines_left_out", slog.LevelWarn,
	"More lines of some events came within a second than are written; by_event gives the number left out for each.",
	"None; the counters on the metrics address hold all of them.")
