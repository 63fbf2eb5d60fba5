package quota

import (
	"context"
	"log/slog"
	"time"

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
	shareRejected = eventlog.Define(1603, "quota.rejected", slog.LevelInfo,
		"Jobs were rejected because this entry's part of a client account's limits was used up; the figures are those of the last one. At most one line per second and client account.",
		"None if the client account exceeds its contract. With used and tokens far below the limits, this entry's share is suspended (1601) or its token bucket is still filling.")
)

func logShare(logger *slog.Logger, old, next Share) {
	if old.Entries == next.Entries && old.Holding == next.Holding {
		return
	}
	shareChanged.Log(context.Background(), logger,
		slog.Int("entries", next.Entries), slog.Bool("holding", next.Holding))
}

// rejectionInterval is the shortest time between two log records of a client account's rejected
// jobs.
const rejectionInterval = time.Second

// rejections rate-limits the log records of an account's rejected jobs. It is guarded by the
// account's lock.
type rejections struct {
	loggedAt time.Time
	// count is the number of jobs rejected since loggedAt.
	count int
}

// logRejection logs the limits that led to the rejection of a job. The caller holds the lock.
func (a *account) logRejection(tasks int) {
	r := &a.rejections
	r.count++
	if !r.loggedAt.IsZero() && a.last.Sub(r.loggedAt) < rejectionInterval {
		return
	}
	available := a.allowance.at(a.last, "")
	shareRejected.Log(context.Background(), a.opts.Logger,
		slog.String("client", a.name), slog.Int("jobs", r.count), slog.Int("tasks", tasks),
		slog.Int("used", a.used), slog.Float64("in_flight", a.maxInFlight()),
		slog.Float64("tokens", a.tokens), slog.Float64("burst", available.burst), slog.Float64("rate", available.rate))
	r.count, r.loggedAt = 0, a.last
}
