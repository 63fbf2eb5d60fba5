package uplink

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	entriesDiscovered = eventlog.Define(2221, "guard.entries_discovered", slog.LevelInfo,
		"The guard discovered entries and connects to those in its subset. entries is the number of known entries; at most five of those added are named.", "None.")
	entryLost = eventlog.Define(2222, "guard.entry_lost", slog.LevelWarn,
		"A session with an entry ended; the guard reconnects. Runs of an entry that stays silent are stopped.",
		"If it persists, check that entry and the network between it and the guard.")
	sessionRetired = eventlog.Define(2224, "guard.session_retired", slog.LevelInfo,
		"A session with an entry outside this guard's subset has ended; the entry has no runs left here.", "None.")
	lookupFailed = eventlog.Define(2225, "guard.entries_not_read", slog.LevelWarn,
		"The list of entries could not be read from the store when the guard started; the guard discovers them from the entries named in its settings.",
		"None if the store was down. Otherwise check the network to it.")
	lateStartsSent = eventlog.Define(2226, "guard.late_starts_sent", slog.LevelInfo,
		"The guard sent an entry tasks of which its runner may still execute a start; see guard.start_late. first_job is the job of the first.", "None.")
	entryForgotten = eventlog.Define(2223, "guard.entry_forgotten", slog.LevelInfo,
		"An entry that was unreachable and that no settings or other entry name any more was removed.", "None.")
)
