package operator

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	changeAccepted = eventlog.Define(1150, "operator.change_accepted", slog.LevelInfo,
		"A contract change by an operator was accepted at the logged revision.",
		"None. These events are the audit log of contract changes made through this entry.")
	changeFailed = eventlog.Define(1151, "operator.change_failed", slog.LevelWarn,
		"A contract change by an operator failed, or its outcome is unknown.",
		"The response to the operator gives the reason. If the outcome is unknown, read the contract and apply the same change again if it is missing.")
)
