package node

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventStarted = eventlog.Define(2300, "guard.started", slog.LevelInfo,
		"The guard is listening and announces itself to the entries.", "None.")
	eventDraining = eventlog.Define(2301, "guard.leaving", slog.LevelInfo,
		"The guard is shutting down: it refuses new starts, notifies the entries and lets running tasks finish.", "None.")
	eventLeaveNotConfirmed = eventlog.Define(2302, "guard.leaving_not_told", slog.LevelWarn,
		"At least one entry did not confirm that this guard is leaving. Starts from it are still refused without being run.",
		"Check the network path to that entry if this persists.")
	eventDrainLimitPassed = eventlog.Define(2303, "guard.drain_cut", slog.LevelError,
		"The drain limit passed while tasks were still running or results unacknowledged; these results are lost.",
		"Set drain_limit higher than the longest run limit of the contracts.")
	eventStopped = eventlog.Define(2304, "guard.stopped", slog.LevelInfo,
		"The guard has stopped.", "None.")
	eventRunnerChanged = eventlog.Define(2305, "guard.runner_changed", slog.LevelInfo,
		"The runner of this guard registered, changed, or announced that it is leaving.", "None.")
	eventRunnerGone = eventlog.Define(2306, "guard.runner_gone", slog.LevelWarn,
		"The runner's announcement expired or nothing listens at its address.",
		"Check the runner on this host, unless it was shut down on purpose.")
)
