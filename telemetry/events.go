package telemetry

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var metricRejected = eventlog.Define(4100, "telemetry.metric_rejected", slog.LevelError,
	"A metric conflicts with another metric of the same name and is not exported.",
	"Report it as a bug; the process continues without this metric.")

var linesDropped = eventlog.Define(4101, "telemetry.lines_left_out", slog.LevelWarn,
	"Some events exceeded their limit of log lines per second; by_event gives the number of lines dropped for each.",
	"None; the counters on the metrics endpoint include all of them.")
