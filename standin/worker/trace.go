package worker

import (
	"cmp"
	"fmt"
	"time"
)

// maxTraceEvents bounds the events that a Checker retains.
const maxTraceEvents = 100_000

// TraceEvent is something that a runner did or received.
type TraceEvent struct {
	At time.Time
	// Job is the job that the event concerns; empty for an event of a runner's process.
	Job  string
	Text string
}

// Trace returns the retained events in the order in which they were recorded: at least the
// latest half of maxTraceEvents.
func (j *Checker) Trace() []TraceEvent {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]TraceEvent(nil), j.events...)
}

func (j *Checker) record(job, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.events) >= maxTraceEvents {
		j.events = append(j.events[:0], j.events[maxTraceEvents/2:]...)
	}
	j.events = append(j.events, TraceEvent{time.Now(), job, fmt.Sprintf(format, args...)})
}

// recordProcess records an event of the current process. The caller holds the lock.
func (r *Runner) recordProcess(event string) {
	r.Checker.record("", "runner %s: process %s of %s: %s", r.address, clockTime(r.processStart), r.instance, event)
}

// recordRequest records what the current process did with a request; polls are not recorded. The
// caller holds the lock.
func (r *Runner) recordRequest(b requestBody, done string) {
	if b.Task == "" {
		return
	}
	r.Checker.record(jobOf(b.Task), "runner %s: process %s of %s: %s %s run %d token %d valid until %d ms, arrived %s at %s: %s; clock %d ms, token %d",
		r.address, clockTime(r.processStart), r.instance, b.path, b.Task, b.Run, b.Token, b.Until, clockTime(b.arrivedAt), r.receiverOf(b), done, r.clock().Milliseconds(), r.token)
}

// receiverOf describes the process at which a request arrived. The caller holds the lock.
func (r *Runner) receiverOf(b requestBody) string {
	if b.receiver.Equal(r.processStart) {
		return "its process"
	}
	return "process " + clockTime(b.receiver)
}

// recordUnexecuted records why a request was not executed.
func (r *Runner) recordUnexecuted(b requestBody, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordRequest(b, reason)
}

// recordExecuted records the result of a request's execution. The caller holds the lock.
func (r *Runner) recordExecuted(b requestBody, a *response) {
	r.recordRequest(b, fmt.Sprintf("executed, status %d %s", a.status, cmp.Or(a.reason, "ok")))
}

func clockTime(t time.Time) string { return t.Format("15:04:05.000000") }
