package front

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var rejectedEarly = eventlog.Define(1182, "front.turned_away", slog.LevelInfo,
	"A request was rejected at once; none of its tasks has run.",
	"why gives the reason: the entry is shutting down and no other entry has taken the job over, or has no configuration or an outdated one; see 1451 and 1453.")

var badRequest = eventlog.Define(1181, "front.bad_request", slog.LevelInfo,
	"An invalid or unsupported request was rejected; none of its tasks has run.", "None; the response tells the caller the reason.")
