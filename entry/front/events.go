package front

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var badRequest = eventlog.Define(1181, "front.bad_request", slog.LevelInfo,
	"A request was turned away for what it says; nothing of it has run.", "None; the caller is told what is wrong.")
