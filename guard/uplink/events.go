package uplink

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	entryLearnt = eventlog.Define(2221, "guard.entry_learnt", slog.LevelInfo,
		"The guard learnt of an entry and attaches to it.", "None.")
	entryLost = eventlog.Define(2222, "guard.entry_lost", slog.LevelWarn,
		"A session with an entry ended; the guard attaches again. Runs of an entry that stays silent are stopped.",
		"If it goes on, look at that entry and the network between.")
	sessionRetired = eventlog.Define(2224, "guard.session_retired", slog.LevelInfo,
		"A session with an entry outside this guard's subset has ended, with no run of the entry left.", "None.")
	lookupFailed = eventlog.Define(2225, "guard.entries_not_read", slog.LevelWarn,
		"The store did not give the list of entries at the guard's start; the guard learns of them from the entries that its settings name.",
		"None, if the store was away. Otherwise look at the network to it.")
	entryForgotten = eventlog.Define(2223, "guard.entry_forgotten", slog.LevelInfo,
		"An entry that could not be reached and that nobody names any more is given up.", "None.")
)
