package host

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	runnerAdopted = eventlog.Define(2201, "guard.runner_adopted", slog.LevelInfo,
		"A runner process that announced itself has answered. It receives starts once the runs of a previous guard process are over. born_ms is its start time, zero if it does not report one: the same id with another start time is a restart.",
		"None.")
	runnerLeft = eventlog.Define(2202, "guard.runner_left", slog.LevelInfo,
		"The runner has shut down as planned; its runs are over.", "None.")
	confirmFailed = eventlog.Define(2203, "guard.greet_failed", slog.LevelWarn,
		"A runner process that announced itself did not answer, or another process answered: the report was a delayed one of a process that has ended.",
		"If it persists, check the runner: it announces an address at which nothing answers.")
	startFailed = eventlog.Define(2204, "guard.start_failed", slog.LevelWarn,
		"The runner rejected a start or did not answer it. An unanswered start is followed by a stop, and its resources stay reserved until the run is known to be over.",
		"If it is frequent at one runner, check that runner.")
	stopFailed = eventlog.Define(2205, "guard.stop_failed", slog.LevelWarn,
		"A stop was not acknowledged; it is sent again, and the lease is not extended beyond the run's end deadline.",
		"As for start_failed.")
	pollFailed = eventlog.Define(2206, "guard.look_failed", slog.LevelWarn,
		"The runner did not answer a poll for its run listing; the lease was not extended.",
		"As for start_failed.")
	runStarted = eventlog.Define(2208, "guard.run_started", slog.LevelInfo,
		"The runner has started a run.", "None.")
	runEnded = eventlog.Define(2209, "guard.run_ended", slog.LevelInfo,
		"A run is over, according to the runner's run listing or because its lease expired; its entry is notified.", "None.")
	reportMalformed = eventlog.Define(2210, "guard.report_malformed", slog.LevelWarn,
		"A report could not be parsed, lacks a field or holds an invalid value, so it was ignored; the recorded state of the runner is unchanged. Logged at most once in 5 s.",
		"Find the program that sends to the guard's address for runner reports.")
	runnerCrashed = eventlog.Define(2211, "guard.runner_crashed", slog.LevelWarn,
		"The runner crashed: its process has ended, or another process answers under its id, without a notice of shutdown. runs is the number of runs that it had; newest is the job of the run that started last.",
		"If several of these lines name the same job, its task crashes the runners that start it: its entry fails the job after two or three crashes (job.not_completed, crashes_runners).")
	runUnknown = eventlog.Define(2212, "guard.run_unknown", slog.LevelWarn,
		"The guard reported to an entry that it has no such run, so that the entry counts the run as never started: the entry ordered its stop (asked stop) or listed it as open when it attached (asked attach).",
		"None for single lines: orders were lost or arrived in another order. A later guard.run_started of the same job, index and attempt by the same entry is a fault of the guard.")
	stopOrdered = eventlog.Define(2213, "guard.stop_ordered", slog.LevelInfo,
		"An entry ordered the stop of a run. age_ms is the age of the order's message.", "See job.run_stopped at the entry.")
	adoptPostponed = eventlog.Define(2214, "guard.adopt_postponed", slog.LevelWarn,
		"A runner process announced itself at another address than the current one, which has not been shown to be over: it answers, or, if silent is true, its lease has not expired. The new process receives no starts until then. Logged once for each such process.",
		"If the current process goes on to answer, two runners report to one guard: end one of them.")
	startLate = eventlog.Define(2215, "guard.start_late", slog.LevelInfo,
		"A copy of a start went unanswered and may still be executed by a later process under the runner's id. For 14 s the entries start its task at this runner only.",
		"As for start_failed.")
	cordonChanged = eventlog.Define(2216, "guard.cordon", slog.LevelInfo,
		"The guard's data centre is cordoned, or is not any more, as an entry has read from the store at this revision. While it is cordoned the guard rejects every start; what runs goes on.",
		"None.")
	runStalled = eventlog.Define(2231, "guard.run_stalled", slog.LevelWarn,
		"The runner lists a run with the same percentage for far longer than one percent took before; the entry of the run is notified at once, and starts it elsewhere if that is still in time. percent is the percentage.",
		"If it is frequent at one runner, check that runner. If the runs end well afterwards, the runner's progress is not even: set capacity.scheduling.run_progress of the guard to false.")
	rowsUnreadable = eventlog.Define(2232, "guard.listing_rows_unreadable", slog.LevelWarn,
		"The runner's list of runs has rows that can't be read, of running and of ended runs. The other rows stay in force. While a running one can't be read nothing is started there, as what it uses is unknown.",
		"Find the program beside the guard that starts runs there, or check the runner. Rows of running runs go once the guard's own runs there have ended and the lease has expired.")
	orderRefused = eventlog.Define(2207, "guard.order_refused", slog.LevelInfo,
		"The guard rejected an entry's order without sending it to the runner.",
		"reason full: the entry's view of the capacity was outdated, or load is high; stale: the network or the entry is slow, or the run was reported as over before its order arrived; closed: the runner is draining or not adopted yet, or its data centre is cordoned; replaced: the entry did not know yet that another process of the runner, or one with other labels, had taken its place.")
)
