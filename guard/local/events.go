package local

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var eventRunnerRejected = eventlog.Define(2200, "local.runner_refused", slog.LevelWarn,
	"A runner's announcement was rejected: another runner is registered, or the service or the data centre (zone) differs from this guard's.",
	"Compare the runner's settings with the guard's; a guard serves one runner only.")
