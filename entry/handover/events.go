package handover

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	streamOpened = eventlog.Define(1361, "handover.stream_opened", slog.LevelInfo,
		"A stream for jobs that are handed over was opened, by this entry (side out) or by the other one (side in).", "None.")
	streamEnded = eventlog.Define(1362, "handover.stream_ended", slog.LevelInfo,
		"A stream for jobs that are handed over ended while no job was in flight on it.", "None.")
	streamLost = eventlog.Define(1363, "handover.stream_lost", slog.LevelWarn,
		"A stream ended with jobs in flight. side out: the callers of these jobs are answered that tasks may have run. side in: the jobs are cancelled.",
		"If it persists, check the other entry and the network to it.")
	notConnected = eventlog.Define(1364, "handover.not_connected", slog.LevelWarn,
		"The other entry could not be reached in time, or does not take jobs over. The jobs that waited for the stream stay at this entry.",
		"None if the other entry is an older release or was just shut down; otherwise check it and the network to it.")
	foreignMessage = eventlog.Define(1365, "handover.foreign_message", slog.LevelWarn,
		"Another entry sent a message that can't be read, or that does not belong to the protocol. A job in it is not taken; an answer in it counts as lost.",
		"Check that only entries reach the port for guards and entries, and which release the other one runs.")
)
