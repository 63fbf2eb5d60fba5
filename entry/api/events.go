package api

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventFault = eventlog.Define(1100, "api.fault", slog.LevelError,
		"The code that ran a job panicked; its callers were answered that the job may have run.",
		"Report this as a bug, with the stack trace from the log record.")
	eventForwardFailed = eventlog.Define(1101, "api.forward_failed", slog.LevelWarn,
		"A request forwarded to the entry that owns a submission failed or timed out; the caller was answered that the job may have run, and to ask again unless the owner is gone.",
		"Check the owner and the network between the two entries.")
)
