package registry

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	registered = eventlog.Define(1581, "registry.registered", slog.LevelInfo,
		"This entry's key is in the store, under a lease.", "None.")
	leaseLost = eventlog.Define(1582, "registry.lease_lost", slog.LevelWarn,
		"The lease had ended; the entry registers anew.", "None, after an outage of the store.")
	members = eventlog.Define(1585, "registry.members", slog.LevelInfo,
		"The entries that this one knows of have changed; guards are told.", "None.")
	listFailed = eventlog.Define(1586, "registry.list_failed", slog.LevelWarn,
		"The store did not give the list of entries; entries are learnt from each other until it does.",
		"If it goes on, look at the store and the network to it.")
	registerFailed = eventlog.Define(1584, "registry.register_failed", slog.LevelWarn,
		"The store did not take this entry's key or renew its lease; it is tried again each second. Guards and other entries learn of "+
			"this entry from those that it has met.",
		"If it goes on, look at the store and the network to it.")
	meetFailed = eventlog.Define(1583, "registry.meet_failed", slog.LevelInfo,
		"Another entry did not answer.", "None.")
	malformedAddress = eventlog.Define(1587, "registry.malformed_address", slog.LevelWarn,
		"A value in the store, or what a guard or another entry named, is no entry's address; it is left out, and nothing else changes.",
		"Find the program that writes under the entries' keys.")
)
