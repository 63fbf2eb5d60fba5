package engine

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"almondstand.dev/dispatch/scheduler"
)

// rejectionInterval is the shortest time between two log records of rejected jobs of a service.
const rejectionInterval = time.Second

// rejections rate-limits the log records of a service's rejected jobs. It is guarded by the
// service's lock.
type rejections struct {
	loggedAt time.Time
	// count is the number of jobs rejected since loggedAt.
	count int
}

// observe counts a rejection. If it is to be logged, shouldLog is true and count is the number of
// rejections that the record represents.
func (r *rejections) observe(now time.Time) (count int, shouldLog bool) {
	r.count++
	if !r.loggedAt.IsZero() && now.Sub(r.loggedAt) < rejectionInterval {
		return 0, false
	}
	count, r.count, r.loggedAt = r.count, 0, now
	return count, true
}

// logRejection logs the assessment that led to the rejection of a job because of the backlog. The
// caller holds the lock.
func (s *service) logRejection(j *job, err error) {
	var r *scheduler.AdmissionError
	if !errors.As(err, &r) || r.Forecast == nil {
		return
	}
	count, shouldLog := s.rejections.observe(j.accepted)
	if !shouldLog {
		return
	}
	a := r.Forecast
	eventBacklogRejected.Log(context.Background(), s.engine.opts.Logger,
		slog.String("service", s.name), slog.String("job", string(j.id)), slog.Int("jobs", count),
		slog.Int("tasks", len(j.Tasks)), slog.Int("pending", a.Queued), slog.Int("open", a.InFlight),
		slog.Float64("slots", a.UsableSlots), slog.Float64("rate", a.ClientSlots), slog.Int("set_aside", a.Ejected),
		millis("work_ms", a.Work), millis("longest_ms", a.Longest), millis("ahead_ms", a.Ahead), slog.Bool("learnt", a.Learnt),
		slog.Float64("arriving", a.SmallerArrivalRate), millis("drain_ms", a.Drain), millis("allowed_ms", a.Allowed), millis("answer_time_ms", a.AnswerTime),
		millis("retry_after_ms", r.RetryAfter))
}

func millis(key string, d time.Duration) slog.Attr { return slog.Int64(key, d.Milliseconds()) }
