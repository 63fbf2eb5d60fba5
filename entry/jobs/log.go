package jobs

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	entryhandover "almondstand.dev/entry/handover"
)

func millis(key string, d time.Duration) slog.Attr { return slog.Int64(key, d.Milliseconds()) }

func logAccepted(l *slog.Logger, job work.Job, t planner.Terms, wait time.Duration, o planner.JobForecast) {
	jobAccepted.Log(context.Background(), l, slog.String("job", job.ID), slog.String("contract", t.Contract), slog.String("service", t.Service),
		slog.Int("tasks", job.Tasks()), millis("caller_waits_ms", wait), millis("expected_ms", o.ExpectedRunTime),
		millis("start_in_ms", o.StartIn), millis("keep_for_ms", o.MaxWait), slog.Int("jobs_ahead", o.JobsAhead))
}

// logOrders logs the orders sent to one guard: one line for each group of starts of the same job
// and step, one for each stop.
func logOrders(l *slog.Logger, guard string, starts []planner.Start, stops []planner.Stop) {
	for i := 0; i < len(starts); {
		first := starts[i]
		var indexes []int
		for ; i < len(starts) && starts[i].Run.Task.Job == first.Run.Task.Job && starts[i].Run.Task.Step == first.Run.Task.Step; i++ {
			indexes = append(indexes, starts[i].Run.Task.Index)
		}
		attrs := []slog.Attr{
			slog.String("job", first.Run.Task.Job), slog.Int("step", first.Run.Task.Step),
			slog.Any("tasks", indexes), slog.Int("attempt", first.Run.Attempt), slog.String("guard", guard),
			slog.Int64("free_milli", first.FreeMilli), slog.Int64("need_milli", first.Need.CPUMilli), millis("room_age_ms", first.ReportAge),
		}
		if first.Speed > 0 {
			attrs = append(attrs, slog.Float64("chosen_for_speed", first.Speed))
		}
		taskOrdered.Log(context.Background(), l, attrs...)
	}
	for _, s := range stops {
		runStopped.Log(context.Background(), l, slog.String("job", s.Run.Task.Job), slog.Int("step", s.Run.Task.Step),
			slog.Int("index", s.Run.Task.Index), slog.Int("attempt", s.Run.Attempt), slog.String("guard", guard), slog.String("why", string(s.Reason)))
	}
}

// logKept logs the runs that are kept beyond their limit.
func logKept(l *slog.Logger, kept []planner.Kept) {
	for _, k := range kept {
		runKept.Log(context.Background(), l, slog.String("job", k.Run.Task.Job), slog.Int("step", k.Run.Task.Step), slog.Int("index", k.Run.Task.Index),
			slog.Int("attempt", k.Run.Attempt), slog.String("guard", k.Endpoint), millis("ran_ms", k.Ran), millis("left_ms", k.Left))
	}
}

func logSpeedChanges(l *slog.Logger, changes []planner.SpeedChange) {
	for _, c := range changes {
		endpointSpeed.Log(context.Background(), l, slog.String("guard", c.Endpoint), slog.String("speed", string(c.Speed)),
			slog.Float64("run_time_factor", c.Factor), slog.Int("samples", c.Samples))
	}
}

// maxLoggedJobs bounds the jobs in one line.
const maxLoggedJobs = 20

// appendJob appends a job that is not in the list yet, up to maxLoggedJobs.
func appendJob(jobs []string, id string) []string {
	if len(jobs) >= maxLoggedJobs || slices.Contains(jobs, id) {
		return jobs
	}
	return append(jobs, id)
}

func logLateStarts(l *slog.Logger, guard string, late []LateStart) {
	if len(late) == 0 {
		return
	}
	var jobs []string
	var left time.Duration
	for _, x := range late {
		jobs = appendJob(jobs, x.Task.Job)
		left = max(left, x.Left)
	}
	lateStartsReceived.Log(context.Background(), l, slog.String("guard", guard), slog.Int("tasks", len(late)), slog.Any("jobs", jobs), millis("left_ms", left))
}

func logHeldBack(l *slog.Logger, job string) {
	jobHeldBack.Log(context.Background(), l, slog.String("job", job))
}

func logChange(l *slog.Logger, guard string, r Report, ran time.Duration) {
	event := runEnded
	switch r.Change {
	case planner.Running:
		return
	case planner.Done, planner.NoCapacity:
	default:
		event = runFailed
	}
	attrs := []slog.Attr{
		slog.String("job", r.Run.Task.Job), slog.Int("step", r.Run.Task.Step), slog.Int("index", r.Run.Task.Index),
		slog.Int("attempt", r.Run.Attempt), slog.String("guard", guard), slog.String("change", changeNames[r.Change]), millis("ran_ms", ran),
	}
	if c := r.Crash; c != nil {
		attrs = append(attrs, slog.Int("others", c.OtherCount), slog.Bool("newest", c.Newest), slog.Any("beside", c.OtherJobs))
	}
	event.Log(context.Background(), l, attrs...)
}

func logEnded(l *slog.Logger, d planner.Ended, t planner.Terms, took time.Duration) {
	if x := d.Prediction; x != nil && x.Rule != "" {
		rejectedEarly.Log(context.Background(), l, slog.String("job", d.Job), slog.String("contract", t.Contract), slog.String("rule", string(x.Rule)),
			slog.Bool("on_arrival", x.OnArrival), slog.Float64("work_ahead", math.Round(x.WorkAhead*100)/100),
			millis("predicted_wait_ms", x.Wait), millis("time_left_ms", x.TimeLeft))
	}
	if d.Returned {
		jobReturned.Log(context.Background(), l, slog.String("job", d.Job), slog.String("contract", t.Contract), slog.String("outcome", d.Outcome.String()))
	}
	event := jobFailed
	if d.Outcome == planner.Completed {
		event = jobCompleted
	}
	event.Log(context.Background(), l, slog.String("job", d.Job), slog.String("contract", t.Contract),
		slog.String("outcome", d.Outcome.String()), slog.String("why", string(d.Reason)),
		millis("waited_ms", d.Waited), millis("took_ms", took), millis("retry_after_ms", d.RetryAfter))
}

func logHandedOver(l *slog.Logger, h *jobHandover, lag time.Duration) {
	jobHandedOver.Log(context.Background(), l, slog.String("job", h.submission.job.ID), slog.String("contract", h.submission.terms.Contract),
		slog.String("to", h.address), slog.String("why", string(h.why)), millis("lag_ms", lag), millis("time_left_ms", h.submission.deadline-h.startedAt))
}

func logHandoverEnded(l *slog.Logger, h *jobHandover, end handoverEnd, a planner.Answer, took time.Duration) {
	attrs := []slog.Attr{slog.String("job", h.submission.job.ID), slog.String("to", h.address), slog.String("end", string(end)), millis("took_ms", took)}
	if end == handoverAnswered {
		attrs = append(attrs, slog.String("outcome", a.Outcome.String()), slog.String("why", string(a.Reason)))
	}
	handoverEnded.Log(context.Background(), l, attrs...)
}

func logTakenOver(l *slog.Logger, j entryhandover.Job, from string) {
	jobTakenOver.Log(context.Background(), l, slog.String("job", j.Work.ID), slog.String("contract", j.Contract), slog.String("from", from),
		millis("waited_ms", j.Waited), millis("time_left_ms", j.TimeLeft))
}
