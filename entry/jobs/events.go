package jobs

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var jobEnded = eventlog.Define(1251, "job.ended", slog.LevelInfo,
	"A job has its outcome: completed, failed, refused (no task has started), expired (some has) or cancelled, with the reason, "+
		"how long it waited for its first start, and how long it took.",
	"why fits_no_runner: the caller asks for more than any runner has; no_runner: look at the guards' sessions; "+
		"no_room_in_time: load is above what the runners carry; guard_unreachable: look at the network to the guards.")
