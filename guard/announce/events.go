package announce

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventAttached = eventlog.Define(2100, "announce.entry_attached", slog.LevelInfo,
		"The guard started to announce itself to a new entry, or to a new incarnation of a known one.",
		"None.")
	eventDetached = eventlog.Define(2101, "announce.entry_detached", slog.LevelInfo,
		"No entry's response lists this entry any more; the guard stopped announcing to it.",
		"None if the entry was shut down on purpose; otherwise check that entry.")
	eventFailed = eventlog.Define(2102, "announce.failed", slog.LevelWarn,
		"An announcement to an entry or a balancer failed. The guard keeps retrying and logs nothing more until one succeeds.",
		"Check the address in the settings and the network path between the hosts.")
	eventRecovered = eventlog.Define(2103, "announce.recovered", slog.LevelInfo,
		"Announcements to an entry or a balancer succeed again.",
		"None.")
)
