package server

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	eventSessionOpened = eventlog.Define(2000, "guard.session_opened", slog.LevelInfo,
		"An entry opened a session on this guard.",
		"None. Many in succession from one entry indicate an unstable connection.")
	eventHelloRefused = eventlog.Define(2001, "guard.hello_refused", slog.LevelWarn,
		"An entry's request for a session was refused: there are too many sessions, or a newer incarnation of the entry is known.",
		"Check that no two entries share an id and that the clock of the entry's host was not set back.")
	eventRunnerUnreachable = eventlog.Define(2002, "guard.runner_unreachable", slog.LevelWarn,
		"Nothing listens at the runner's address. Starts are refused, without being run, until it announces itself again.",
		"Check the runner on this host.")
	eventSecretRefused = eventlog.Define(2003, "guard.secret_refused", slog.LevelDebug,
		"A call without the correct cluster secret was refused.",
		"Check the secret in the caller's settings. These calls are counted in secret_refused.")
	eventRecordsFull = eventlog.Define(2004, "guard.records_full", slog.LevelDebug,
		"A start was rejected because too many records wait for acknowledgement; counted in records_full.",
		"Look for an entry whose oldest start stays open for long: records are kept until its low watermark passes them.")
)
