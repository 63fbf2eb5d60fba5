package fleet

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

// Events of the fleet.
var (
	eventGuardJoined = eventlog.Define(1300, "fleet.guard_joined", slog.LevelInfo,
		"A session with a guard was opened; its endpoint accepts starts from now on.",
		"None.")
	eventGuardLost = eventlog.Define(1301, "fleet.guard_lost", slog.LevelWarn,
		"A guard did not respond for the configured time, or its address refuses connections, and was removed.",
		"Check whether the host or its network is down. If several hosts of one rack or data centre are affected, check that first.")
	eventGuardLeaving = eventlog.Define(1302, "fleet.guard_leaving", slog.LevelInfo,
		"A guard announced that it is leaving; it gets no new tasks.",
		"None, unless no replacement for that host is planned.")
	eventSessionLost = eventlog.Define(1303, "fleet.session_lost", slog.LevelWarn,
		"A guard no longer knows the entry's session; a new one is opened. Open starts without a reply end as unknown.",
		"If it repeats, check for pauses of the entry process that exceed the guard's session lease.")
	eventGuardReplaced = eventlog.Define(1304, "fleet.guard_replaced", slog.LevelInfo,
		"A newer incarnation of a guard announced itself; the older one gets no new tasks.",
		"None after a restart. If two incarnations alternate, two guards share one ID: give each its own.")
	eventLinkReplaced = eventlog.Define(1305, "fleet.link_replaced", slog.LevelInfo,
		"A connection to a guard stopped responding and was replaced; its open starts are resolved.",
		"If it repeats, check for a network device between the hosts that drops connection state.")
	eventReplyDropped = eventlog.Define(1306, "fleet.reply_dropped", slog.LevelWarn,
		"A reply matched no open start, or its length or digest was wrong; it was dropped and the start is resolved.",
		"Check for faulty memory or network hardware on the path, or mixed software versions.")
	eventHelloFailed = eventlog.Define(1307, "fleet.hello_failed", slog.LevelInfo,
		"An attempt to open a session with a guard failed; it is retried.",
		"If it repeats, check the guard's announced address, the cluster secret, and firewalls.")
	eventAnnouncementRejected = eventlog.Define(1308, "fleet.announcement_rejected", slog.LevelWarn,
		"An announcement was malformed and was rejected.",
		"Correct the settings of the guard or runner named in the log record.")
	eventHintDropped = eventlog.Define(1320, "fleet.named_guard_dropped", slog.LevelInfo,
		"A guard that a peer reported to this joining entry did not match that report, did not respond or is leaving, and was dropped.",
		"None: a guard that is alive announces itself.")
	eventBareJoined = eventlog.Define(1310, "fleet.bare_joined", slog.LevelInfo,
		"A runner without a guard announced itself.",
		"None.")
	eventBareLost = eventlog.Define(1311, "fleet.bare_lost", slog.LevelWarn,
		"A runner without a guard stopped announcing itself, or refuses connections, and was removed.",
		"Check whether the host is down.")
	eventBareLeaving = eventlog.Define(1312, "fleet.bare_leaving", slog.LevelInfo,
		"A runner without a guard announced that it is leaving; it gets no new tasks.",
		"None, unless no replacement for that host is planned.")
)
