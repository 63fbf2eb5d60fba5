package peer

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

// Events of the gossip between entries.
var (
	eventExchangeFailed = eventlog.Define(1550, "peer.exchange_failed", slog.LevelInfo,
		"A gossip call to a peer failed or got no answer in time; it is repeated in each round.",
		"Check the peer if this persists.")
	eventFetched = eventlog.Define(1551, "peer.contracts_fetched", slog.LevelInfo,
		"Contracts that this entry lacked were fetched from a peer.",
		"None; many of these events indicate a broken watch on the platform's store.")
	eventFetchRefused = eventlog.Define(1552, "peer.contracts_refused", slog.LevelWarn,
		"A peer's contracts could not be fetched or were incomplete; nothing of the response was used.",
		"Check the peer if this persists.")
	eventBadSecret = eventlog.Define(1553, "peer.bad_secret", slog.LevelWarn,
		"A call to this entry's internal interface had a missing or wrong cluster secret.",
		"Configure the same secret for every process; if it is, find out who sends these calls.")
	eventServing = eventlog.Define(1554, "peer.serving", slog.LevelInfo,
		"This entry accepts new work.",
		"None.")
	eventNotServing = eventlog.Define(1555, "peer.not_serving", slog.LevelWarn,
		"This entry accepts no new work: it has no contracts or no share of the limits yet, it is still contacting guards, its lease expired while it was paused, it is leaving, or neither the store nor a peer answers.",
		"Check for a network failure or a paused host if this persists.")
	eventGuardsFetched = eventlog.Define(1557, "peer.guards_fetched", slog.LevelInfo,
		"This joining entry fetched from a peer the list of guards that should attach to it, and has contacted them.",
		"None.")
	eventGuardsRefused = eventlog.Define(1558, "peer.guards_refused", slog.LevelInfo,
		"A peer's list of guards could not be fetched or was incomplete; nothing of it was used. Guards also announce themselves.",
		"Check the peer if this persists.")
	eventRechecked = eventlog.Define(1559, "peer.rechecked", slog.LevelInfo,
		"New work waited for an immediate gossip round, because this entry could not tell whether it is isolated. uncertain: no answer settled it in time. For each peer: the age of its last answered call, and of the call in flight (-1 if there is none).",
		"With uncertain, check the peers whose calls stay in flight, and the processor load of their hosts.")
	eventLeaveUnfinished = eventlog.Define(1556, "peer.leave_unfinished", slog.LevelWarn,
		"This entry exited before its tasks and the quota leases it granted had ended; the others wait for its registration lease to expire before they use its share.",
		"Allow more time for a graceful shutdown.")
)
