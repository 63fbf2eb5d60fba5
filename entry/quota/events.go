package quota

import (
	"context"
	"log/slog"

	"almondstand.dev/eventlog"
)

// Events of quota shares.
var (
	shareChanged = eventlog.Define(1600, "quota.share_changed", slog.LevelInfo,
		"The number of entries that may hold a share of the client accounts' limits changed, or whether this entry holds one.",
		"None. An entry that holds no share for long is waiting for a peer that does not respond: replace or restart that peer.")
	shareSuspended = eventlog.Define(1601, "quota.share_suspended", slog.LevelWarn,
		"This entry has reached neither the store nor a peer for too long and admits nothing.",
		"Check for a network partition or a paused host.")
	shareRejoining = eventlog.Define(1602, "quota.rejoining", slog.LevelWarn,
		"Peers stopped counting this entry while it was isolated; it waits until all of them count it again.",
		"None.")
)

func logShare(logger *slog.Logger, old, next Share) {
	if old.Entries == next.Entries && old.Holding == next.Holding {
		return
	}
	shareChanged.Log(context.Background(), logger,
		slog.Int("entries", next.Entries), slog.Bool("holding", next.Holding))
}
