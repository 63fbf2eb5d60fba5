package fleet

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"almondstand.dev/standin/worker"
)

const (
	// maxTracedJobs bounds the jobs and maxTraceLines the lines of a trace.
	maxTracedJobs = 100
	maxTraceLines = 20_000
)

var (
	tracedJob = regexp.MustCompile(`(?:task|job) ([0-9a-f]{16})`)
	// contextEvent matches the guards' events about the runners' processes, and both ends' events about
	// the sessions of guards with entries.
	contextEvent = regexp.MustCompile(`"msg":"(guard\.(runner_adopted|runner_left|runner_crashed|adopt_postponed|greet_failed|look_failed|start_failed|stop_failed|entry_lost)|session\.guard_(attached|lost|released))"`)
	jobName      = regexp.MustCompile(`[0-9a-f]{16}`)
)

// traceLine is a line of a process or a runner.
type traceLine struct {
	at           time.Time
	source, text string
}

// Trace returns the lines about the jobs that violations name, about the runners' processes and about
// the sessions of guards with entries, from all processes and runners of the fleet, in the order of their
// times.
func (f *Fleet) Trace(violations []string) string {
	jobs := jobsOf(violations)
	lines := runnerLines(f.Checker.Trace(), jobs)
	for _, n := range slices.Concat(f.Entries, f.Guards) {
		for _, p := range n.Processes() {
			lines = append(lines, processLines(fmt.Sprintf("%s (%d)", n.ID, p.PID()), p.FullLog(), jobs)...)
		}
	}
	return formatTrace(lines)
}

// jobsOf returns the jobs that violations name, up to maxTracedJobs.
func jobsOf(violations []string) map[string]bool {
	jobs := map[string]bool{}
	for _, v := range violations {
		if m := tracedJob.FindStringSubmatch(v); m != nil && len(jobs) < maxTracedJobs {
			jobs[m[1]] = true
		}
	}
	return jobs
}

func runnerLines(events []worker.TraceEvent, jobs map[string]bool) []traceLine {
	var lines []traceLine
	for _, e := range events {
		if e.Job == "" || jobs[e.Job] {
			lines = append(lines, traceLine{e.At, "runner", e.Text})
		}
	}
	return lines
}

// processLines returns the lines of a process's log that name one of the jobs or match
// contextEvent.
func processLines(source, log string, jobs map[string]bool) []traceLine {
	var lines []traceLine
	for text := range strings.Lines(log) {
		named := slices.ContainsFunc(jobName.FindAllString(text, -1), func(j string) bool { return jobs[j] })
		if !named && !contextEvent.MatchString(text) {
			continue
		}
		var event struct{ Time time.Time }
		if json.Unmarshal([]byte(text), &event) == nil {
			lines = append(lines, traceLine{event.Time, source, strings.TrimSpace(text)})
		}
	}
	return lines
}

// formatTrace sorts lines by time and returns the last maxTraceLines of them.
func formatTrace(lines []traceLine) string {
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.at.Compare(b.at) })
	var b strings.Builder
	for _, l := range lines[max(len(lines)-maxTraceLines, 0):] {
		_, _ = fmt.Fprintf(&b, "%s %s: %s\n", l.at.Format("15:04:05.000000"), l.source, l.text)
	}
	return b.String()
}
