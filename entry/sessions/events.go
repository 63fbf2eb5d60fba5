package sessions

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	guardAttached = eventlog.Define(1351, "session.guard_attached", slog.LevelInfo,
		"A guard attached. open_runs is the number of this entry's open runs there whose state the guard is asked to report.", "None.")
	guardLost = eventlog.Define(1352, "session.guard_lost", slog.LevelWarn,
		"A guard's session ended. Its runs stay open until the guard attaches again or their jobs' deadlines pass.",
		"If it persists, check that guard and the network between it and the entry.")
	ordersLate = eventlog.Define(1354, "session.orders_late", slog.LevelWarn,
		"Start or stop orders waited in this entry for waited_ms before their message was built.",
		"The host is short of CPU time, or the guard does not read its stream; compare entry.lag.")
	startsExpired = eventlog.Define(1355, "session.starts_expired", slog.LevelWarn,
		"Start orders that had waited in this entry for too long, the first for waited_ms since the decision on it, were not sent. Their tasks are scheduled again.",
		"See session.orders_late.")
	guardReleased = eventlog.Define(1353, "session.guard_released", slog.LevelInfo,
		"A retiring guard was released and serves other entries from now on; none of this entry's runs is open there.", "None.")
)
