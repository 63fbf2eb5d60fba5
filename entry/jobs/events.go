package jobs

import (
	"log/slog"

	"almondstand.dev/eventlog"
)

var (
	jobAccepted = eventlog.Define(1251, "job.taken", slog.LevelInfo,
		"A job was accepted. expected_ms is the estimated run time of a task, start_in_ms the time within which it must start to meet "+
			"its contract's target latency, keep_for_ms the longest time it may stay queued, jobs_ahead the number of jobs queued at this entry.", "None.")
	taskOrdered = eventlog.Define(1252, "job.task_ordered", slog.LevelInfo,
		"Start orders for tasks of a job were sent to a guard. free_milli is the estimate of its free CPU in thousandths of a core, room_age_ms the age of the capacity report behind it. "+
			"chosen_for_speed, if present, is the ratio of the endpoint's run times to those of a normal one: elsewhere the job was expected to miss its target latency.",
		"None.")
	runEnded = eventlog.Define(1253, "job.run_over", slog.LevelInfo,
		"A run completed, or its guard had no free capacity to start it and the task is scheduled again.", "None.")
	runFailed = eventlog.Define(1254, "job.run_wrong", slog.LevelWarn,
		"A run failed (failed), ended before its work was done (stopped), lost its runner to a crash (crashed), or was not started: its guard rejected the order or it was too late to be sent (not_taken), its guard has no such run (unknown), or its runner "+
			"rejected the start or did not answer it (not_started). For a crash, others is the number of other runs on that runner, beside the jobs of some of them, and newest whether this run started last.",
		"If most of them come from one guard, check its runner; if one job's runs crash at several guards, check that job.")
	runStopped = eventlog.Define(1255, "job.run_stopped", slog.LevelInfo,
		"A stop order for a run was sent: its job has ended, or the run takes far longer than estimated or than it would elsewhere (runs_too_long), or makes no progress (run_stalled).", "See job.run_wrong.")
	runKept = eventlog.Define(1262, "job.run_kept", slog.LevelInfo,
		"A run has taken ran_ms, longer than its limit, and is not stopped: its progress moves, and at its own pace it ends in left_ms.",
		"None. If many runs of one contract are kept, its callers' declared run times are too short.")
	jobCompleted = eventlog.Define(1256, "job.completed", slog.LevelInfo,
		"Every task of a job completed.", "None.")
	jobFailed = eventlog.Define(1257, "job.not_completed", slog.LevelWarn,
		"A job ended without completing: failed, refused (no task has started), expired (at least one has) or cancelled. The line has the reason, "+
			"the time until its first start, and its total time.",
		"fits_no_runner: the job requests more than any runner has; no_runner: check the guards' sessions; "+
			"too_little_time: the deadline leaves less than half of the estimated time, or a run failed too late for a retry; "+
			"crashes_runners: several runners crashed while running the same task, see its job.run_wrong lines; no_room_in_time: the load exceeds the runners' capacity; late_start: see guard.start_late; late_starts_unknown: see job.late_starts_asked; guard_unreachable: check the network to the guards; "+
			"entry_unreachable: see job.handover_ended.")
	callerGone = eventlog.Define(1259, "job.caller_gone", slog.LevelInfo,
		"A caller's connection ended before its answer, waited_ms after the job was accepted. The job is cancelled if callers_left is zero.", "None.")
	lateStartsReceived = eventlog.Define(1260, "job.late_starts", slog.LevelInfo,
		"The entry has received late starts: tasks of which the guard's runner may still execute a start. Until the time left_ms is over, the longest of them, it starts them at that guard only. "+
			"jobs lists the jobs of some.", "See guard.start_late.")
	peersAsked = eventlog.Define(1261, "job.late_starts_asked", slog.LevelInfo,
		"The entry may have missed late starts: it has just started, or has not heard from a guard for a second, or a guard was replaced. It asked other entries for theirs; "+
			"tasks is the number of late starts that they reported, and jobs lists the jobs of some. Logged only if there were any, or if unanswered entries did not answer in time.",
		"If unanswered is not zero for long, check the network between the entries.")
	endpointSpeed = eventlog.Define(1270, "endpoint.speed", slog.LevelInfo,
		"An endpoint became fast, normal or slow in relation to the median of its service's endpoints. run_time_factor is the ratio of its run times to theirs over a long window, and samples the number of jobs that it covers, "+
			"256 at most; none if its guard or its runner's process is new.",
		"None if its host is of another kind than the others; otherwise compare the host with them: processors, frequency, memory, other programs.")
	rejectedEarly = eventlog.Define(1280, "job.rejected_early", slog.LevelInfo,
		"A job was rejected before its time was over; on_arrival is true if it was at its submission. rule is predicted_wait: its start was predicted too late to be of use, "+
			"or backlog_limit: its contract has as much waiting work as drains at its share of the capacity within their response-time target. work_ahead is the waiting work that goes before it, "+
			"for backlog_limit that of its contract, in core-seconds; predicted_wait_ms the time in which that drains, and time_left_ms that within which a start was of use.",
		"Many of these: the load exceeds the runners' capacity, or that of one contract its share.")
	jobReturned = eventlog.Define(1281, "job.returned", slog.LevelInfo,
		"A job that this entry had rejected returned in its time to retry, and ended with the outcome given. It went before new jobs of its contract.", "None.")
	jobHandedOver = eventlog.Define(1282, "job.handed_over", slog.LevelInfo,
		"A job was handed over to the entry at the address in to. why is lag: this entry is short of processor time; draining: it shuts down; "+
			"or no_endpoint_reached: it reaches no endpoint of the job's service. lag_ms is the mean time by which it has handled events late.",
		"lag: the host is too small for its callers, see entry.lag. no_endpoint_reached: check the network to the guards.")
	handoverEnded = eventlog.Define(1283, "job.handover_ended", slog.LevelInfo,
		"A handover ended after took_ms. end is answered: the other entry answered with outcome and why; not_taken: it ordered no task, and this entry runs the job itself or, if it shuts down, rejects it; "+
			"cancelled: the callers left; or lost: the connection ended, so that tasks may have run, and the callers were answered that.",
		"lost: look for the end of the other entry's log, and check the network between the entries. Many not_taken: job_handovers_not_taken_total at the other entry has the reasons.")
	jobTakenOver = eventlog.Define(1284, "job.taken_over", slog.LevelInfo,
		"This entry has taken over a job from the entry in from, where its request arrived waited_ms before. Its job.taken line follows.", "None.")
	jobHeldBack = eventlog.Define(1290, "job.held_back", slog.LevelInfo,
		"A job is not started although a runner may have free capacity: that is reserved for more urgent work, which arrives at this or other entries and can't wait as long as a run of the job takes. Logged once for a job.",
		"If it is frequent, the capacity is too small for the load.")
	processPaused = eventlog.Define(1258, "entry.stood_still", slog.LevelWarn,
		"The process was paused for for_ms; it sends no orders for a moment, until it has read the messages that arrived meanwhile.",
		"If it repeats, check the host: CPU contention, memory, suspension.")
)
