// Package explain tells one request's story from the logs of several processes.
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

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("explain: no line names this request")

// maxLine bounds a line that is read, bytes.
const maxLine = 1 << 20

// context is the time before a request's first line and after its last in
// which lines about the guards that it met are told too.
const context = 2 * time.Second

// Line is one event of the story.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   int       `json:"event"`
	Name    string    `json:"name"`
	// About is true for a line that names the request, false for one that tells
	// what a process that it met went through meanwhile.
	About  bool              `json:"about_request"`
	Fields map[string]string `json:"fields"`
}

// Story of a request.
type Story struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Cause says in a sentence why it ended as it did.
	Cause string `json:"cause"`
}

// Read tells a request's story from logs, one reader a file.
func Read(request string, logs ...io.Reader) (Story, error) {
	var all []Line
	for _, log := range logs {
		lines, err := scan(log)
		if err != nil {
			return Story{}, err
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	s := Story{Request: request, Lines: choose(request, all)}
	if len(s.Lines) == 0 {
		return Story{}, fmt.Errorf("%w: %s", ErrUnknown, request)
	}
	s.Cause = cause(s.Lines)
	return s, nil
}

// scan reads the lines that are events. What stands before the JSON, as a
// collector puts it there, and lines of other programs are passed over.
func scan(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	var lines []Line
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
		return nil, fmt.Errorf("explain: read: %w", err)
	}
	return lines, nil
}

func parse(text string) (Line, bool) {
	var raw map[string]json.RawMessage
	if json.Unmarshal([]byte(text), &raw) != nil {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}}
	if json.Unmarshal(raw["time"], &l.Time) != nil || json.Unmarshal(raw["event"], &l.Event) != nil || json.Unmarshal(raw["msg"], &l.Name) != nil {
		return Line{}, false
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

// process names the writer: guards write "guard" on each line, entries "entry",
// and either may name the other.
func (l Line) process() string {
	if strings.HasPrefix(l.Name, "guard.") {
		return l.Fields["guard"]
	}
	if e := l.Fields["entry"]; e != "" {
		return e
	}
	return l.Fields["guard"]
}

// choose takes the lines about the request, and those without any request that
// the processes it met wrote about themselves or each other meanwhile.
func choose(request string, all []Line) []Line {
	met := map[string]bool{}
	var first, last time.Time
	for _, l := range all {
		if l.Fields["job"] != request {
			continue
		}
		met[l.Process] = true
		met[l.Fields["guard"]] = true
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
	}
	var lines []Line
	for _, l := range all {
		l.About = l.Fields["job"] == request
		near := !first.IsZero() && l.Time.After(first.Add(-context)) && l.Time.Before(last.Add(context))
		if l.About || near && l.Fields["job"] == "" && met[l.Process] && (l.Fields["guard"] == "" || met[l.Fields["guard"]]) {
			lines = append(lines, l)
		}
	}
	return lines
}

// Print writes the story as a table.
func (s Story) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	began := s.Lines[0].Time
	for _, l := range s.Lines {
		mark := " "
		if l.About {
			mark = "*"
		}
		_, _ = fmt.Fprintf(t, "%s\t%+.1f ms\t%s\t%d\t%s\t%s\n", mark, float64(l.Time.Sub(began).Microseconds())/1000, l.Process, l.Event, l.Name, l.fields())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s: %s\n", s.Request, s.Cause)
	return err
}

func (l Line) fields() string {
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
