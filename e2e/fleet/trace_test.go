package fleet

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/standin/worker"
)

// Guards against reports of failed seeds that lack the lines about the violations, or about the sessions
// in which a guard's late starts reach an entry.
func TestTraceHoldsLinesOfViolatedJobsAndRunnerProcesses(t *testing.T) {
	const violated, other = "00000000000000aa", "00000000000000bb"
	jobs := jobsOf([]string{"  1.000 s: task " + violated + ".0.0.0 is running at [] and was started at {} as well", "no recovery"})
	assert.Equal(t, len(jobs), 1)

	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lines := runnerLines([]worker.TraceEvent{
		{At: at.Add(1500 * time.Millisecond), Job: violated, Text: "start"},
		{At: at.Add(1500 * time.Millisecond), Job: other, Text: "other start"},
		{At: at.Add(2500 * time.Millisecond), Text: "process started"},
	}, jobs)
	log := `{"time":"2026-01-01T00:00:03Z","msg":"guard.runner_adopted"}
{"time":"2026-01-01T00:00:01Z","msg":"job.taken","job":"` + violated + `"}
{"time":"2026-01-01T00:00:02Z","msg":"job.taken","jobs":["` + other + `","` + violated + `"]}
{"time":"2026-01-01T00:00:02Z","msg":"job.taken","job":"` + other + `"}
{"time":"2026-01-01T00:00:04Z","msg":"session.guard_lost"}
{"time":"2026-01-01T00:00:05Z","msg":"guard.entry_lost"}
SIGQUIT: quit` + strings.Repeat("\ngoroutine 1 [running]:", 100_000)
	lines = append(lines, processLines("guard-1 (1)", log, jobs)...)

	assert.Equal(t, formatTrace(lines), `00:00:01.000000 guard-1 (1): {"time":"2026-01-01T00:00:01Z","msg":"job.taken","job":"`+violated+`"}
00:00:01.500000 runner: start
00:00:02.000000 guard-1 (1): {"time":"2026-01-01T00:00:02Z","msg":"job.taken","jobs":["`+other+`","`+violated+`"]}
00:00:02.500000 runner: process started
00:00:03.000000 guard-1 (1): {"time":"2026-01-01T00:00:03Z","msg":"guard.runner_adopted"}
00:00:04.000000 guard-1 (1): {"time":"2026-01-01T00:00:04Z","msg":"session.guard_lost"}
00:00:05.000000 guard-1 (1): {"time":"2026-01-01T00:00:05Z","msg":"guard.entry_lost"}
`)
}
