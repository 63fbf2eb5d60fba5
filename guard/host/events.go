package host

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	runnerAdopted = eventlog.Define(2201, "guard.runner_adopted", slog.LevelInfo,
		"A process of the runner that announced itself answered, and gets work once what an older guard left running is over. born_ms is when it was started, zero where it doesn't say: the same id with another start time is a restart.",
		"None.")
	runnerLeft = eventlog.Define(2202, "guard.runner_left", slog.LevelInfo,
		"The runner said that it ends; its runs are over.", "None.")
	confirmFailed = eventlog.Define(2203, "guard.greet_failed", slog.LevelWarn,
		"A process of the runner that announced itself did not answer, or another one did: its report was held up since a process that is over.",
		"If it goes on, look at the runner: it announces an address at which nobody answers.")
	startFailed = eventlog.Define(2204, "guard.start_failed", slog.LevelWarn,
		"A start was turned down or got no answer. Without an answer the run is barred, and its room stays taken until that is sure.",
		"If it is frequent at one runner, look at that runner.")
	stopFailed = eventlog.Define(2205, "guard.stop_failed", slog.LevelWarn,
		"A stop got no answer; it is sent again, and the lease is not extended beyond the run's end.",
		"As for start_failed.")
	pollFailed = eventlog.Define(2206, "guard.look_failed", slog.LevelWarn,
		"The runner did not give its account; the lease was not extended.",
		"As for start_failed.")
	runStarted = eventlog.Define(2208, "guard.run_started", slog.LevelInfo,
		"The runner has begun a run.", "None.")
	runEnded = eventlog.Define(2209, "guard.run_ended", slog.LevelInfo,
		"A run is over, by the runner's account or its lease's end; its entry is told.", "None.")
	reportMalformed = eventlog.Define(2210, "guard.report_malformed", slog.LevelWarn,
		"A report came that is no runner's: it can't be read, lacks something or says what can't be. Nothing that is known of the runner has changed; at most one line in 5 s.",
		"Find the program that writes to the guard's address for reports.")
	runnerCrashed = eventlog.Define(2211, "guard.runner_crashed", slog.LevelWarn,
		"The runner crashed: its process has ended, or another life answers, without its word that it leaves. runs are those that were there; newest is the job of the one that began last.",
		"If the same job stands in several of these lines, its task crashes what starts it: its entry gives it up after two or three (job.not_completed, crashes_runners).")
	orderRefused = eventlog.Define(2207, "guard.order_refused", slog.LevelInfo,
		"An entry's order was turned down before it reached the runner.",
		"reason full: the entry's knowledge was late, or load is high; stale: the network or the entry is slow; closed: the runner leaves or is not known yet.")
)
