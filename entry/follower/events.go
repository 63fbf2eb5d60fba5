package follower

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventApplied = eventlog.Define(1451, "config.applied", slog.LevelInfo,
		"A configuration is in force at this entry.", "None.")
	eventUnreadable = eventlog.Define(1452, "config.unreadable", slog.LevelError,
		"The configuration in the store can't be decoded, or its version is lower than the one in force; the last valid one stays in force.",
		"Write a valid configuration.")
	eventStoreLost = eventlog.Define(1453, "config.store_lost", slog.LevelWarn,
		"A read from the store failed. The configuration stays in force; newer ones arrive from other entries if those reach the store.",
		"If this persists, check the store and the network to it.")
	eventStoreBack = eventlog.Define(1454, "config.store_back", slog.LevelInfo, "The store answers again.", "None.")
	eventCordons   = eventlog.Define(1455, "config.cordons", slog.LevelInfo,
		"The cordoned data centres at this entry: it starts no task at their endpoints. Logged once when they become known, and when they change.",
		"None; if a data centre is listed for longer than planned, remove its key from the store.")
)
