package sessions

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	guardAttached = eventlog.Define(1351, "session.guard_attached", slog.LevelInfo,
		"A guard attached. open_runs are runs of this entry there whose fate it is asked for.", "None.")
	guardLost = eventlog.Define(1352, "session.guard_lost", slog.LevelWarn,
		"A guard's session ended. Its runs stay open until the guard attaches again or their callers' time is over.",
		"If it goes on, look at that guard and the network between.")
	guardReleased = eventlog.Define(1353, "session.guard_released", slog.LevelInfo,
		"A guard serves other entries from now on; none of this entry's runs is left there.", "None.")
)
