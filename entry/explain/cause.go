package explain

import (
	"fmt"
	"sort"
	"strings"
)

// Names of the events from which the cause is derived. docs/EVENTS.md explains
// them.
const (
	jobAccepted     = "job.taken"
	taskOrdered     = "job.task_ordered"
	runEnded        = "job.run_over"
	runWrong        = "job.run_wrong"
	jobCompleted    = "job.completed"
	jobFailed       = "job.not_completed"
	runStopped      = "job.run_stopped"
	runKept         = "job.run_kept"
	jobHeldBack     = "job.held_back"
	requestInvalid  = "front.bad_request"
	requestRejected = "front.turned_away"
	rejectedEarly   = "job.rejected_early"
	jobHandedOver   = "job.handed_over"
	handoverEnded   = "job.handover_ended"
)

// cause returns a sentence that explains the outcome of a request.
func cause(lines []LogEvent) string {
	var outcomes []string
	var last LogEvent
	answeredElsewhere := ""
	for _, l := range lines {
		if !l.AboutRequest {
			continue
		}
		switch l.Name {
		case jobCompleted:
			outcomes = append(outcomes, fmt.Sprintf("completed at %s after %s ms, of which %s ms waiting for the first start", l.Process, l.Fields["took_ms"], l.Fields["waited_ms"]))
		case jobFailed:
			outcomes = append(outcomes, failureCause(l, lines))
		case requestInvalid:
			outcomes = append(outcomes, fmt.Sprintf("turned away at %s for what it says: %s", l.Process, l.Fields["error"]))
		case requestRejected:
			outcomes = append(outcomes, fmt.Sprintf("turned away at %s: %s; nothing has run", l.Process, l.Fields["why"]))
		case handoverEnded:
			if l.Fields["end"] == "answered" {
				answeredElsewhere = fmt.Sprintf("%s (%s) by the answer of the entry at %s, whose log is not given", l.Fields["outcome"], l.Fields["why"], l.Fields["to"])
			}
		}
		last = l
	}
	if len(outcomes) == 0 && answeredElsewhere != "" {
		outcomes = append(outcomes, answeredElsewhere)
	}
	if len(outcomes) == 0 {
		return fmt.Sprintf("no outcome was logged; the last word is %s at %s. Its entry may have ended before it: look for the end of its log", last.Name, last.Process)
	}
	return strings.Join(outcomes, "; then ") + problems(lines)
}

var reasonTexts = map[string]string{
	"no_room_in_time":       "no runner had room before the latest start that would have been of use; nothing has run",
	"data_centres_cordoned": "only endpoints in cordoned data centres could run it",
	"no_runner":             "no runner of its service was known at this entry; nothing has run",
	"late_starts_unknown":   "a guard was not heard, and no other entry answered which starts its runner may still execute; nothing has run",
	"fits_no_runner":        "it asks for more than any runner has",
	"crashes_runners":       "runners crashed under the same task at several guards, so it is not started again",
	"task_failed":           "a task failed as often as its contract allows",
	"caller_time_over":      "its caller's time was over with tasks still open",
	"too_little_time":       "its caller would have left before the work could be done",
	"caller_gone":           "its caller broke the connection off",
	"entry_unreachable":     "the connection to the entry that it was handed over to was lost; tasks may have run there",
	"guard_unreachable":     "its caller's time was over while a guard with its tasks could not be reached",
}

func failureCause(l LogEvent, lines []LogEvent) string {
	text := reasonTexts[l.Fields["why"]]
	if text == "" {
		text = l.Fields["why"]
	}
	text = fmt.Sprintf("%s at %s after %s ms: %s", l.Fields["outcome"], l.Process, l.Fields["took_ms"], text) + earlyRejection(l, lines)
	if unfinished := unfinishedRuns(lines); unfinished != "" {
		text += "; not over then: " + unfinished
	}
	return text
}

// earlyRejection says why a job was rejected before its time was over; empty if it was not. A job that
// returned may have been rejected several times: the line of this rejection is the last before it.
func earlyRejection(rejection LogEvent, lines []LogEvent) string {
	var text string
	for _, l := range lines {
		if !l.AboutRequest || l.Process != rejection.Process || l.Time.After(rejection.Time) {
			continue
		}
		switch l.Name {
		case jobAccepted:
			text = ""
		case rejectedEarly:
			when := "while it waited"
			if l.Fields["on_arrival"] == "true" {
				when = "on arrival"
			}
			whose := "work ahead of it"
			if l.Fields["rule"] == "backlog_limit" {
				whose = "waiting work of its contract, more than its share of the capacity allows"
			}
			text = fmt.Sprintf("; rejected %s: %s core-seconds of %s, predicted wait %s ms, time left %s ms",
				when, l.Fields["work_ahead"], whose, l.Fields["predicted_wait_ms"], l.Fields["time_left_ms"])
		}
	}
	return text
}

// unfinishedRuns counts, by guard, the runs that were ordered and for which no
// end was logged before the end of the job.
func unfinishedRuns(lines []LogEvent) string {
	unfinished := map[string]string{}
	for _, l := range lines {
		if !l.AboutRequest {
			continue
		}
		key := l.Fields["step"] + "/" + l.Fields["index"]
		switch l.Name {
		case taskOrdered:
			for _, index := range strings.Split(strings.Trim(l.Fields["tasks"], "[]"), ",") {
				unfinished[l.Fields["step"]+"/"+index] = l.Fields["guard"]
			}
		case runEnded, runWrong:
			delete(unfinished, key)
		case jobFailed:
			return countByGuard(unfinished)
		}
	}
	return ""
}

func countByGuard(unfinished map[string]string) string {
	count := map[string]int{}
	for _, guard := range unfinished {
		count[guard]++
	}
	var parts []string
	for guard, n := range count {
		parts = append(parts, fmt.Sprintf("%d at %s", n, guard))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// problems counts the problems logged while the request was processed, and the orders for which the
// speed of the endpoint was decisive.
func problems(lines []LogEvent) string {
	count := map[string]int{}
	for _, l := range lines {
		switch {
		case l.AboutRequest && l.Name == runWrong:
			count[l.Fields["change"]+" at "+l.Fields["guard"]]++
		case l.AboutRequest && l.Name == taskOrdered && l.Fields["chosen_for_speed"] != "":
			count["chosen for its speed: "+l.Fields["guard"]]++
		case l.AboutRequest && l.Name == runStopped && l.Fields["why"] == "runs_too_long":
			count["ran too long at "+l.Fields["guard"]]++
		case l.AboutRequest && l.Name == runStopped && l.Fields["why"] == "run_stalled":
			count["stopped without progress at "+l.Fields["guard"]]++
		case l.AboutRequest && l.Name == runKept:
			count["kept beyond the limit because of progress at "+l.Fields["guard"]]++
		case l.AboutRequest && l.Name == jobHandedOver:
			count[fmt.Sprintf("handed over by %s to %s (%s)", l.Process, l.Fields["to"], l.Fields["why"])]++
		case l.AboutRequest && l.Name == handoverEnded && l.Fields["end"] != "answered":
			count[fmt.Sprintf("handover to %s ended as %s", l.Fields["to"], l.Fields["end"])]++
		case l.AboutRequest && l.Name == jobHeldBack:
			count["waited for capacity reserved for more urgent work"]++
		case !l.AboutRequest && (l.Name == "session.guard_lost" || l.Name == "guard.look_failed"):
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
