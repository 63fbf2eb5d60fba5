// Package explain reconstructs what happened to one request from the logs of
// several processes.
package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// ErrUnknownRequest means that no log line contains the id of the request.
var ErrUnknownRequest = errors.New("explain: no log line contains this request id")

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// contextWindow is the time before the first and after the last line of a request
// within which lines about the guards involved are included.
const contextWindow = 2 * time.Second

// LogEvent is one logged event.
type LogEvent struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   int       `json:"event"`
	Name    string    `json:"name"`
	// AboutRequest is true for an event that contains the request's id, and false for an
	// event about an involved process during the same period.
	AboutRequest bool              `json:"about_request"`
	Fields       map[string]string `json:"fields"`
}

// Timeline holds the log lines of a request in order of time, and the cause of its
// outcome.
type Timeline struct {
	Request string     `json:"request"`
	Events  []LogEvent `json:"lines"`
	// Cause is a sentence that explains the outcome.
	Cause string `json:"cause"`
}

// FromLogs builds the Timeline of a request from logs, one reader for each file.
func FromLogs(request string, logs ...io.Reader) (Timeline, error) {
	var allLines []LogEvent
	for _, log := range logs {
		lines, err := scanLines(log)
		if err != nil {
			return Timeline{}, err
		}
		allLines = append(allLines, lines...)
	}
	sort.SliceStable(allLines, func(i, j int) bool { return allLines[i].Time.Before(allLines[j].Time) })
	s := Timeline{Request: request, Events: selectLines(request, allLines)}
	if len(s.Events) == 0 {
		return Timeline{}, fmt.Errorf("%w: %s", ErrUnknownRequest, request)
	}
	s.Cause = cause(s.Events)
	return s, nil
}

// scanLines parses the lines that are events. It skips text before the JSON,
// such as a prefix added by a log collector, and lines of other programs.
func scanLines(r io.Reader) ([]LogEvent, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	var lines []LogEvent
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		if l, ok := parse("{" + text); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("explain: read log: %w", err)
	}
	return lines, nil
}

func parse(text string) (LogEvent, bool) {
	var raw map[string]json.RawMessage
	if json.Unmarshal([]byte(text), &raw) != nil {
		return LogEvent{}, false
	}
	l := LogEvent{Fields: map[string]string{}}
	if json.Unmarshal(raw["time"], &l.Time) != nil || json.Unmarshal(raw["event"], &l.Event) != nil || json.Unmarshal(raw["msg"], &l.Name) != nil {
		return LogEvent{}, false
	}
	for key, value := range raw {
		if key == "time" || key == "event" || key == "msg" || key == "level" {
			continue
		}
		l.Fields[key] = strings.Trim(string(value), `"`)
	}
	l.Process = l.process()
	return l, true
}

// process returns the id of the process that wrote the line. Guards log "guard"
// on each line and entries log "entry"; either may also log the id of the other.
func (l LogEvent) process() string {
	if strings.HasPrefix(l.Name, "guard.") {
		return l.Fields["guard"]
	}
	if e := l.Fields["entry"]; e != "" {
		return e
	}
	return l.Fields["guard"]
}

// selectLines returns the lines about the request, and those without a request id
// that the involved processes logged about themselves or each other within the
// context window.
func selectLines(request string, allLines []LogEvent) []LogEvent {
	involved := map[string]bool{}
	var first, last time.Time
	for _, l := range allLines {
		if l.Fields["job"] != request {
			continue
		}
		involved[l.Process] = true
		involved[l.Fields["guard"]] = true
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
	}
	var lines []LogEvent
	for _, l := range allLines {
		l.AboutRequest = l.Fields["job"] == request
		inWindow := !first.IsZero() && l.Time.After(first.Add(-contextWindow)) && l.Time.Before(last.Add(contextWindow))
		if l.AboutRequest || inWindow && l.Fields["job"] == "" && involved[l.Process] && (l.Fields["guard"] == "" || involved[l.Fields["guard"]]) {
			lines = append(lines, l)
		}
	}
	return lines
}

// Print writes the events as a table, with times relative to the first one, and
// then the cause. Events of the request are marked with an asterisk.
func (s Timeline) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	start := s.Events[0].Time
	for _, l := range s.Events {
		mark := " "
		if l.AboutRequest {
			mark = "*"
		}
		_, _ = fmt.Fprintf(t, "%s\t%+.1f ms\t%s\t%d\t%s\t%s\n", mark, float64(l.Time.Sub(start).Microseconds())/1000, l.Process, l.Event, l.Name, l.fields())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s: %s\n", s.Request, s.Cause)
	return err
}

func (l LogEvent) fields() string {
	var parts []string
	for key, value := range l.Fields {
		if key == "job" || value == l.Process {
			continue
		}
		parts = append(parts, key+"="+value)
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
