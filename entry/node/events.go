package node

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventStarted = eventlog.Define(1001, "entry.started", slog.LevelInfo,
		"The entry listens; it accepts jobs once it has loaded the contracts.", "None.")
	eventDraining = eventlog.Define(1002, "entry.draining", slog.LevelInfo,
		"The entry was asked to shut down: it reports not ready and completes its open jobs.", "None.")
	eventStopped = eventlog.Define(1003, "entry.stopped", slog.LevelInfo,
		"The entry has stopped; every accepted job was answered.", "None.")
	eventFailed = eventlog.Define(1004, "entry.failed", slog.LevelError,
		"The entry stopped because one of its components failed, or before every job had ended.",
		"See the logged error. The callers of its open jobs are answered that the outcome is unknown.")
	eventLeaveFailed = eventlog.Define(1005, "entry.leave_failed", slog.LevelWarn,
		"The entry could not announce to its peers that it releases its share of the clients' quotas.",
		"None; the peers take the share over when the lease of the entry expires.")
)
