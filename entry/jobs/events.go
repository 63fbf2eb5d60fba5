package jobs

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	jobTaken = eventlog.Define(1251, "job.taken", slog.LevelInfo,
		"A job was taken. expected_ms is the run time foreseen for a task, start_in_ms the time left for a start whose answer comes as "+
			"its contract wants, keep_for_ms how long it may wait at all, jobs_ahead the jobs that wait here.", "None.")
	taskOrdered = eventlog.Define(1252, "job.task_ordered", slog.LevelInfo,
		"Tasks of a job were ordered at a guard, which was believed to have free_milli thousandths of a core free, as told room_age_ms before.",
		"None.")
	runOver = eventlog.Define(1253, "job.run_over", slog.LevelInfo,
		"A run is done, or was not started for want of room and is ordered again.", "None.")
	runWrong = eventlog.Define(1254, "job.run_wrong", slog.LevelWarn,
		"A run failed (failed), ended before its work was done (stopped), its runner crashed under it (crashed), or it was not started: its guard took no order (not_taken) or has no such run (unknown), or its runner "+
			"turned it down or left it unanswered (not_started). With a crash come the number of other runs there, the jobs of some of them, and whether this one began last.",
		"If one guard stands out, look at its runner; if one job's runs crash at several guards, look at that job.")
	runStopped = eventlog.Define(1255, "job.run_stopped", slog.LevelInfo,
		"A run is to end: its job has ended, or it takes far longer than it should (runs_too_long).", "As for job.run_wrong.")
	jobEnded = eventlog.Define(1256, "job.completed", slog.LevelInfo,
		"Every task of a job is done.", "None.")
	jobFailed = eventlog.Define(1257, "job.not_completed", slog.LevelWarn,
		"A job has ended otherwise: failed, refused (no task has started), expired (some has) or cancelled, with the reason, "+
			"how long it waited for its first start, and how long it took.",
		"fits_no_runner: the caller asks for more than any runner has; no_runner: look at the guards' sessions; "+
			"too_little_time: the caller allows less than half of the expected time, or a run went wrong too late for another; "+
			"crashes_runners: runners crashed under the same task, see its job.run_wrong lines; no_room_in_time: load is above what the runners carry; guard_unreachable: look at the network to the guards.")
	stoodStillFor = eventlog.Define(1258, "entry.stood_still", slog.LevelWarn,
		"The process did not run for a while; it orders nothing for a moment, until it has read what came meanwhile.",
		"If it repeats, look at the host: processor time, memory, suspension.")
)
