package eventlog

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// sectionHeading matches the heading of an event's section in the catalogue.
var sectionHeading = regexp.MustCompile(`(?m)^### (\d+) `)

// Render returns the catalogue sections of the events, in the order given.
func Render(events []Event) string {
	var b strings.Builder
	for _, e := range events {
		b.WriteString(e.section())
	}
	return b.String()
}

func (e Event) section() string {
	return fmt.Sprintf("### %d `%s`\n\nLevel %s. %s\n\nWhat to do: %s\n\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
}

// Update returns the catalogue text with all sections whose number owns accepts
// replaced by the sections of events. Several programs share one catalogue, and each
// program registers only its own events.
func Update(doc string, events []Event, owns func(number int) bool) string {
	intro, sections := splitSections(doc)
	for number := range sections {
		if owns(number) {
			delete(sections, number)
		}
	}
	for _, e := range events {
		if owns(e.Number) {
			sections[e.Number] = e.section()
		}
	}
	numbers := make([]int, 0, len(sections))
	for number := range sections {
		numbers = append(numbers, number)
	}
	sort.Ints(numbers)
	var b strings.Builder
	b.WriteString(intro)
	for _, number := range numbers {
		b.WriteString(sections[number])
	}
	return b.String()
}

// splitSections splits a catalogue into the introduction before the first event and the
// sections by event number.
func splitSections(doc string) (intro string, sections map[int]string) {
	sections = map[int]string{}
	headings := sectionHeading.FindAllStringSubmatchIndex(doc, -1)
	if len(headings) == 0 {
		return doc, sections
	}
	for i, m := range headings {
		end := len(doc)
		if i+1 < len(headings) {
			end = headings[i+1][0]
		}
		number, _ := strconv.Atoi(doc[m[2]:m[3]])
		sections[number] += doc[m[0]:end]
	}
	return doc[:headings[0][0]], sections
}

// NumberRange returns a function that reports whether a number is in the range from first to
// last, inclusive.
func NumberRange(first, last int) func(number int) bool {
	return func(number int) bool { return number >= first && number <= last }
}

// ErrCatalogueMismatch means that a catalogue file does not match the registered events, or that
// an event lacks a text or has another program's number.
var ErrCatalogueMismatch = errors.New("eventlog: catalogue mismatch")

// CheckFile checks the events of this program and a catalogue file: each event must have
// a meaning, an action and a number that owned or shared accepts, and the file's sections
// that owned accepts must match the events. If write is true, outdated sections of the
// file are rewritten instead.
func CheckFile(path string, owned, shared func(number int) bool, write bool) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	events := Catalogue()
	for _, e := range events {
		if !owned(e.Number) && !shared(e.Number) || e.Meaning == "" || e.Action == "" {
			return fmt.Errorf("%w: event %d %s: its number is another program's, or its text is missing", ErrCatalogueMismatch, e.Number, e.Name)
		}
	}
	expected := Update(string(raw), events, owned)
	if expected == string(raw) {
		return nil
	}
	if write {
		return os.WriteFile(path, []byte(expected), 0o644)
	}
	return fmt.Errorf("%w: %s: run the test with -docs.update", ErrCatalogueMismatch, path)
}
