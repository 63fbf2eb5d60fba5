package engine

import (
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/task"
)

// metrics holds the instruments of an engine. They are created once, because looking one up by
// name for each task would cost more than counting.
type metrics struct {
	scope    tally.Scope
	refused  tally.Counter
	complete tally.Counter
	failed   tally.Counter
	tasks    map[task.Code]tally.Counter
	// latency is the time from acceptance to the answer, wait from acceptance to the start of a
	// task, run the time at the runner, overhead the rest of a start's duration.
	latency  tally.Histogram
	wait     tally.Histogram
	run      tally.Histogram
	overhead tally.Histogram
}

var taskCodes = []task.Code{
	"", task.CodeRefused, task.CodeFailed, task.CodeTruncated, task.CodeRunLimit,
	task.CodeCancelled, task.CodeLost, task.CodeDeadline,
}

const tagOutcome = "outcome"

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("jobs")
	jobs := func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{tagOutcome: outcome}).Counter("ended")
	}
	short := tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)
	long := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	m := &metrics{
		scope:    scope,
		refused:  jobs("refused"),
		complete: jobs("complete"),
		failed:   jobs("failed"),
		tasks:    map[task.Code]tally.Counter{},
		latency:  scope.Histogram("latency", long),
		wait:     scope.Histogram("task_wait", short),
		run:      scope.Histogram("task_run", long),
		overhead: scope.Histogram("task_overhead", short),
	}
	for _, code := range taskCodes {
		m.tasks[code] = scope.Tagged(map[string]string{tagOutcome: outcomeName(code)}).Counter("starts")
	}
	return m
}

func outcomeName(code task.Code) string {
	if code == "" {
		return "completed"
	}
	return string(code)
}

// startEnded records one start of a task after it ended.
func (m *metrics) startEnded(o task.Outcome, wait, took time.Duration) {
	if c := m.tasks[o.Code]; c != nil {
		c.Inc(1)
	}
	m.wait.RecordDuration(wait)
	if o.RunTime > 0 {
		m.run.RecordDuration(o.RunTime)
	}
	if o.OK() {
		m.overhead.RecordDuration(took - o.RunTime - o.WaitTime)
	}
}

func (m *metrics) answered(a *Answer, latency time.Duration) {
	if a.Complete() {
		m.complete.Inc(1)
	} else {
		m.failed.Inc(1)
	}
	m.latency.RecordDuration(latency)
}

func (m *metrics) backlog(service string, b scheduler.QueueStats) {
	scope := m.scope.Tagged(map[string]string{"service": service})
	scope.Gauge("queued").Update(float64(b.Jobs))
	scope.Gauge("tasks_waiting").Update(float64(b.Queued))
	scope.Gauge("tasks_open").Update(float64(b.InFlight))
	scope.Gauge("queue_bytes").Update(float64(b.Bytes))
	scope.Gauge("endpoints").Update(float64(b.Endpoints))
	scope.Gauge("endpoints_set_aside").Update(float64(b.Ejected))
}
