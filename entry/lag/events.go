package lag

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var lagReport = eventlog.Define(1061, "entry.lag", slog.LevelInfo,
	"How late the entry ran in the last span_ms, as maxima: lateness of its own timers (timer_late_ms), age of a guard's message when it was processed (message_age_ms), and "+
		"time from a planner decision to the message with the order (order_delay_ms); and its activity: processor time (cpu_ms), messages from and to guards, starts ordered and starts "+
		"that guards rejected.",
	"All three high and cpu_ms at the host's capacity: too many callers for this host, or another process is using it. Only message_age_ms high: check the network to the guards. "+
		"Only order_delay_ms high: a guard is not reading its stream.")
