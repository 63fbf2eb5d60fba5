package side

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventStarted = eventlog.Define(2241, "guard.side_started", slog.LevelInfo,
		"The guard of a runner that reports its resources is listening.", "None.")
	eventDraining = eventlog.Define(2242, "guard.side_draining", slog.LevelInfo,
		"The guard is shutting down: it accepts no more starts and waits for running tasks.", "None.")
	eventDrainTimeout = eventlog.Define(2243, "guard.side_drain_cut", slog.LevelWarn,
		"Tasks were still running when the drain time ended; their leases will expire.",
		"None if tasks may run longer than the grace period.")
	eventStopped      = eventlog.Define(2244, "guard.side_stopped", slog.LevelInfo, "The guard has stopped.", "None.")
	eventReloaded     = eventlog.Define(2245, "guard.side_reloaded", slog.LevelInfo, "The settings file was reloaded.", "None.")
	eventReloadFailed = eventlog.Define(2246, "guard.side_reload_failed", slog.LevelError,
		"The settings file can't be loaded; the guard keeps its current settings.", "Correct the file.")
	eventMalformedEntries = eventlog.Define(2247, "guard.side_malformed_entries", slog.LevelWarn,
		"Some values in the store under the entries' keys are not addresses of entries; they are ignored and the others are used.",
		"Find the program that writes these values under the entries' keys.")
)
