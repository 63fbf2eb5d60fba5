package edge

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	started = eventlog.Define(1051, "edge.started", slog.LevelInfo,
		"The entry listens; its runners report their capacity through guards.", "None.")
	draining = eventlog.Define(1052, "edge.draining", slog.LevelInfo,
		"The entry was asked to shut down: it reports not ready and answers the open requests.", "None.")
	drainTimedOut = eventlog.Define(1053, "edge.drain_cut", slog.LevelWarn,
		"Requests were still open when the shutdown grace period ended; their connections are closed.", "None if callers may wait longer than the grace period.")
	stopped  = eventlog.Define(1054, "edge.stopped", slog.LevelInfo, "The entry has stopped.", "None.")
	reloaded = eventlog.Define(1055, "edge.reloaded", slog.LevelInfo, "The settings file was read again.", "None.")

	reloadFailed = eventlog.Define(1056, "edge.reload_failed", slog.LevelError,
		"The settings file could not be read again; the entry keeps its current settings.", "Fix the file and reload it.")
)
