package lag

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var measured = eventlog.Define(1061, "entry.lag", slog.LevelInfo,
	"How late the entry ran in the last span_ms, the worst of each: its own timers (timer_late_ms), the age of a guard's message when it was taken in (message_age_ms), and the "+
		"time from a decision to the order's message (order_delay_ms); and what it did: processor time (cpu_ms), messages of and to guards, starts ordered and starts "+
		"that guards did not take.",
	"All three late with cpu_ms at what the host has: too many callers for this host, or another process on it. Only messages late: look at the network to the guards. "+
		"Only orders late: a guard does not read.")
