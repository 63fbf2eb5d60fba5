package host

import (
	"log/slog"

	"almondstand.dev/guard/runs"
	"almondstand.dev/telemetry/uptime"
)

// Progress returns the progress reports that are to be sent to an owner with the next message. They
// count as sent.
func (h *Host) Progress(o runs.Owner) []runs.Progress {
	h.mu.Lock()
	due, omitted := h.table.DueProgress(uptime.Now(), o)
	h.mu.Unlock()
	h.opt.Metrics.countProgress(len(due), omitted)
	return due
}

// signalStalled logs and counts runs that have become stalled, and signals the sink.
func (h *Host) signalStalled(stalled []runs.StalledRun) {
	for _, r := range stalled {
		runStalled.Log(h.ctx, h.logger, slog.String("job", r.Run.Task.Job), slog.Int("index", r.Run.Task.Index),
			slog.Int("attempt", r.Run.Attempt), slog.Int("percent", r.Percent), slog.String("entry", r.Owner.Entry))
		h.opt.Metrics.stalled.Inc(1)
		h.sink.ProgressDue(r.Owner)
	}
}
