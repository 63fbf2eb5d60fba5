package member

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

// Membership events.
var (
	eventJoined = eventlog.Define(1500, "member.joined", slog.LevelInfo,
		"A previously unknown entry, or a newer incarnation of a known one, was discovered.",
		"None.")
	eventGone = eventlog.Define(1501, "member.gone", slog.LevelWarn,
		"An entry's lease expired and no entry has had contact with it since: its jobs are lost with an unknown outcome, and its share of the limits is divided among the others.",
		"Find out why the entry ended. Replace it if the platform does not.")
	eventReturned = eventlog.Define(1502, "member.returned", slog.LevelWarn,
		"An entry that was considered gone responded again; it was paused or partitioned.",
		"Check for a frozen host or a network partition.")
	eventLeft = eventlog.Define(1503, "member.left", slog.LevelInfo,
		"An entry announced that it has drained and ended.",
		"None.")
	eventRegistered = eventlog.Define(1504, "member.registered", slog.LevelInfo,
		"This entry registered in the platform's store with a new lease.",
		"None; many of these point to a store that loses leases or to a paused host.")
	eventLapsed = eventlog.Define(1505, "member.lapsed", slog.LevelWarn,
		"This entry's lease expired, by its own clock or according to the store.",
		"None while the store is down; otherwise check for a paused host.")
	eventStoreFailed = eventlog.Define(1506, "member.store_failed", slog.LevelWarn,
		"A call to the platform's store for the registration failed; it is retried.",
		"Check the platform's store if it persists.")
	eventSuperseded = eventlog.Define(1507, "member.superseded", slog.LevelError,
		"A newer incarnation of this entry's id is registered; this process accepts no more work and exits.",
		"Give each running entry its own id.")
	eventUnreadable = eventlog.Define(1508, "member.unreadable", slog.LevelWarn,
		"A registration in the store could not be read and is ignored.",
		"Remove the key if no entry of this system wrote it.")
)
