package explain

import (
	"fmt"
	"sort"
	"strings"
)

// Names of the events that decide a story; docs/EVENTS.md has their meaning.
const (
	taken        = "job.taken"
	ordered      = "job.task_ordered"
	over         = "job.run_over"
	wrong        = "job.run_wrong"
	completed    = "job.completed"
	notCompleted = "job.not_completed"
	stopped      = "job.run_stopped"
	badRequest   = "front.bad_request"
	turnedAway   = "front.turned_away"
)

// cause says why a request ended as it did.
func cause(lines []Line) string {
	var ends []string
	var last Line
	for _, l := range lines {
		if !l.About {
			continue
		}
		switch l.Name {
		case completed:
			ends = append(ends, fmt.Sprintf("completed at %s after %s ms, of which %s ms waiting for the first start", l.Process, l.Fields["took_ms"], l.Fields["waited_ms"]))
		case notCompleted:
			ends = append(ends, why(l, lines))
		case badRequest:
			ends = append(ends, fmt.Sprintf("turned away at %s for what it says: %s", l.Process, l.Fields["error"]))
		case turnedAway:
			ends = append(ends, fmt.Sprintf("turned away at %s: %s; nothing has run", l.Process, l.Fields["why"]))
		}
		last = l
	}
	if len(ends) == 0 {
		return fmt.Sprintf("no outcome was logged; the last word is %s at %s. Its entry may have ended before it: look for the end of its log", last.Name, last.Process)
	}
	return strings.Join(ends, "; then ") + trouble(lines)
}

var reasons = map[string]string{
	"no_room_in_time":   "no runner had room before the latest start that would have been of use; nothing has run",
	"no_runner":         "no runner of its service was known at this entry; nothing has run",
	"fits_no_runner":    "it asks for more than any runner has",
	"crashes_runners":   "runners crashed under the same task at several guards, so it is not started again",
	"task_failed":       "a task failed as often as its contract allows",
	"caller_time_over":  "its caller's time was over with tasks still open",
	"too_little_time":   "its caller would have left before the work could be done",
	"caller_gone":       "its caller broke the connection off",
	"guard_unreachable": "its caller's time was over while a guard with its tasks could not be reached",
}

func why(l Line, lines []Line) string {
	text := reasons[l.Fields["why"]]
	if text == "" {
		text = l.Fields["why"]
	}
	text = fmt.Sprintf("%s at %s after %s ms: %s", l.Fields["outcome"], l.Process, l.Fields["took_ms"], text)
	if open := openRuns(lines); open != "" {
		text += "; not over then: " + open
	}
	return text
}

// openRuns lists the runs that were ordered and of which no end came before the
// job's own.
func openRuns(lines []Line) string {
	open := map[string]string{}
	for _, l := range lines {
		if !l.About {
			continue
		}
		key := l.Fields["step"] + "/" + l.Fields["index"]
		switch l.Name {
		case ordered:
			for _, index := range strings.Split(strings.Trim(l.Fields["tasks"], "[]"), ",") {
				open[l.Fields["step"]+"/"+index] = l.Fields["guard"]
			}
		case over, wrong:
			delete(open, key)
		case notCompleted:
			return byGuard(open)
		}
	}
	return ""
}

func byGuard(open map[string]string) string {
	count := map[string]int{}
	for _, guard := range open {
		count[guard]++
	}
	var parts []string
	for guard, n := range count {
		parts = append(parts, fmt.Sprintf("%d at %s", n, guard))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// trouble counts what went wrong on the way.
func trouble(lines []Line) string {
	count := map[string]int{}
	for _, l := range lines {
		switch {
		case l.About && l.Name == wrong:
			count[l.Fields["change"]+" at "+l.Fields["guard"]]++
		case l.About && l.Name == stopped && l.Fields["why"] == "runs_too_long":
			count["ran too long at "+l.Fields["guard"]]++
		case !l.About && (l.Name == "session.guard_lost" || l.Name == "guard.look_failed"):
			count[l.Name+" "+l.Fields["guard"]]++
		}
	}
	if len(count) == 0 {
		return ""
	}
	var parts []string
	for what, n := range count {
		parts = append(parts, fmt.Sprintf("%d times %s", n, what))
	}
	sort.Strings(parts)
	return ". On the way: " + strings.Join(parts, ", ")
}
