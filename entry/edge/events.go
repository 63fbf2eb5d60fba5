package edge

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	started = eventlog.Define(1051, "edge.started", slog.LevelInfo,
		"An entry of runners known by their capacity listens.", "None.")
	draining = eventlog.Define(1052, "edge.draining", slog.LevelInfo,
		"The entry is to end: it says that it isn't ready, and answers what is open.", "None.")
	drainCut = eventlog.Define(1053, "edge.drain_cut", slog.LevelWarn,
		"Requests were open when the time to end was over.", "None, if callers may wait longer than the grace.")
	stopped  = eventlog.Define(1054, "edge.stopped", slog.LevelInfo, "The entry has ended.", "None.")
	reloaded = eventlog.Define(1055, "edge.reloaded", slog.LevelInfo, "The settings file was read again.", "None.")

	reloadFailed = eventlog.Define(1056, "edge.reload_failed", slog.LevelError,
		"The settings file can't be read; the entry goes on with the settings it has.", "Correct the file.")
)
