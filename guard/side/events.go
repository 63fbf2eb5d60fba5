package side

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	started = eventlog.Define(2241, "guard.side_started", slog.LevelInfo,
		"The guard of a runner known by its capacity listens.", "None.")
	draining = eventlog.Define(2242, "guard.side_draining", slog.LevelInfo,
		"The guard takes no starts any more and waits for what runs.", "None.")
	drainCut = eventlog.Define(2243, "guard.side_drain_cut", slog.LevelWarn,
		"Runs were left when the time to end was over; their leases run out.",
		"None, if tasks may last longer than the grace.")
	stopped      = eventlog.Define(2244, "guard.side_stopped", slog.LevelInfo, "The guard has ended.", "None.")
	reloaded     = eventlog.Define(2245, "guard.side_reloaded", slog.LevelInfo, "The settings file was read again.", "None.")
	reloadFailed = eventlog.Define(2246, "guard.side_reload_failed", slog.LevelError,
		"The settings file can't be read; the guard goes on with the settings it has.", "Correct the file.")
	foreignEntries = eventlog.Define(2247, "guard.side_malformed_entries", slog.LevelWarn,
		"Values in the store under the entries' keys are no entries' addresses; they are left out, the others are used.",
		"Find the program that writes under the entries' keys.")
)
