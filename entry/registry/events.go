package registry

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventRegistered = eventlog.Define(1581, "registry.registered", slog.LevelInfo,
		"This entry's key is registered in the store with a lease.", "None.")
	eventLeaseLost = eventlog.Define(1582, "registry.lease_lost", slog.LevelWarn,
		"The lease has expired; the entry registers again.", "None after an outage of the store.")
	eventMembers = eventlog.Define(1585, "registry.members", slog.LevelInfo,
		"The list of entries known to this one has changed, and the change is sent to the guards. entries is the number of known entries; at most five "+
			"of those added and removed are named.", "None.")
	eventSettled = eventlog.Define(1588, "registry.settled", slog.LevelInfo,
		"This entry, which has started, has discovered the other entries; guards that wait for it open the rest of their sessions.", "None.")
	eventListFailed = eventlog.Define(1586, "registry.list_failed", slog.LevelWarn,
		"The list of entries could not be read from the store; until it can, entries learn of each other by gossip.",
		"If this persists, check the store and the network to it.")
	eventRegisterFailed = eventlog.Define(1584, "registry.register_failed", slog.LevelWarn,
		"This entry's key could not be written to the store, or its lease not renewed; this is retried each second. Guards and other entries learn of "+
			"this entry from the entries that it has gossiped with.",
		"If this persists, check the store and the network to it.")
	eventMeetFailed = eventlog.Define(1583, "registry.meet_failed", slog.LevelInfo,
		"A gossip call to another entry failed or got no answer.", "None.")
	eventMalformedAddress = eventlog.Define(1587, "registry.malformed_address", slog.LevelWarn,
		"A value in the store, or reported by a guard or another entry, is not a valid entry address; it is ignored, and nothing else changes.",
		"Find the program that writes this value under the entries' key prefix or reports it.")
)
