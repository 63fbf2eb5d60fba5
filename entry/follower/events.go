package follower

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	applied = eventlog.Define(1451, "config.applied", slog.LevelInfo,
		"A configuration is in force at this entry.", "None.")
	unreadable = eventlog.Define(1452, "config.unreadable", slog.LevelError,
		"The configuration in the store can't be read, or its version goes back; the last good one stays in force.",
		"Write a correct configuration.")
	storeLost = eventlog.Define(1453, "config.store_lost", slog.LevelWarn,
		"The store did not answer a read. The configuration stays in force; newer ones come from other entries, if these reach the store.",
		"If it goes on, look at the store and the network to it.")
	storeBack = eventlog.Define(1454, "config.store_back", slog.LevelInfo, "The store answers again.", "None.")
)
