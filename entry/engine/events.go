package engine

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventDraining = eventlog.Define(1200, "engine.draining", slog.LevelInfo,
		"The entry takes no new jobs and finishes the open ones.",
		"None; expected on a shutdown.")
	eventDrained = eventlog.Define(1201, "engine.drained", slog.LevelInfo,
		"Every open job has ended.",
		"None.")
	eventDrainCut = eventlog.Define(1202, "engine.drain_cut", slog.LevelWarn,
		"The time to drain passed while jobs were open; their callers learn that the outcome is unknown.",
		"Allow a longer drain time than the longest answer time of a contract.")
	eventBadAssignment = eventlog.Define(1203, "engine.bad_assignment", slog.LevelError,
		"The scheduler named a task that does not wait; it was not started.",
		"Report it as a fault of the program, with the record.")
	eventBadDigest = eventlog.Define(1204, "engine.bad_digest", slog.LevelError,
		"A task's answer did not match its digest; the task failed.",
		"Look for faulty memory or network on the endpoint's host.")
	eventBacklogRejected = eventlog.Define(1205, "engine.backlog_rejected", slog.LevelInfo,
		"Jobs were rejected because they could not be answered in the answer time of their contract; the figures are those of the last one. At most one line a second and service.",
		"With tasks pending or open: the service is short of slots. With none: the run times learnt from earlier tasks (longest_ms) leave no time; look whether endpoints were slow or this process was suspended.")
)
