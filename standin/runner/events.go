package runner

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var announceFailed = eventlog.Define(9100, "runner.announce_failed", slog.LevelWarn,
	"The stand-in runner failed to announce itself to a target.",
	"Check that the guard or entry at the target is running; the announcement is retried.")
