package engine

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventDraining = eventlog.Define(1200, "engine.draining", slog.LevelInfo,
		"The entry accepts no new jobs and finishes the open ones.",
		"None; expected on a shutdown.")
	eventDrained = eventlog.Define(1201, "engine.drained", slog.LevelInfo,
		"Every open job has ended.",
		"None.")
	eventDrainCut = eventlog.Define(1202, "engine.drain_cut", slog.LevelWarn,
		"The drain timeout expired while jobs were open; their callers are told that the outcome is unknown.",
		"Set the drain timeout to more than the longest answer time of a contract.")
	eventBadAssignment = eventlog.Define(1203, "engine.bad_assignment", slog.LevelError,
		"The scheduler assigned a task that is not pending; it was not started.",
		"This is a bug. Report it with this log record.")
	eventBadDigest = eventlog.Define(1204, "engine.bad_digest", slog.LevelError,
		"A task's answer did not match its digest; the task failed.",
		"Check the memory and the network of the endpoint's host.")
	eventBacklogRejected = eventlog.Define(1205, "engine.backlog_rejected", slog.LevelInfo,
		"Jobs were rejected because they could not be answered within the answer time of their contract; the figures are those of the last one. At most one line per second and service.",
		"With tasks pending or open: the service is short of slots. With none: the run times estimated from earlier tasks (longest_ms) exceed the answer time; check whether endpoints were slow or this process was suspended. With arriving (the slots that smaller jobs of the client account are expected to take) above rate: the forecast counts work that has not arrived yet.")
)
