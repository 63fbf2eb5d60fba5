// Package eventlog logs numbered events. Each package of the project defines
// its events once, with their meaning and the action for operators; the catalogue
// docs/EVENTS.md is generated from these definitions.
//
// Numbers: 1000 entry process and command line, 1100 callers' and operators'
// API, 1200 jobs, 1300 fleet, 1400 contracts, 1500 peers and membership,
// 1600 quota, 2000 guard, 3000 platform client, 4000 settings and telemetry,
// 9000 stand-ins.
package eventlog

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"sync"
)

// Event is a type of log record.
type Event struct {
	Number int
	// Name is a stable identifier of the form package.what_happened.
	Name  string
	Level slog.Level
	// Meaning describes what happened, Action what the operator should do.
	Meaning string
	Action  string
}

var (
	mu         sync.Mutex
	registered = map[int]Event{}
	usedNames  = map[string]bool{}
)

// Define registers an event. It panics if the number or the name is already in use: that
// is a programming error, and any test run of the program finds it.
func Define(number int, name string, level slog.Level, meaning, action string) Event {
	mu.Lock()
	defer mu.Unlock()
	if _, used := registered[number]; used || usedNames[name] {
		panic(fmt.Sprintf("eventlog: event %d %s defined twice", number, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	registered[number] = e
	usedNames[name] = true
	return e
}

// Catalogue returns all registered events, sorted by number.
func Catalogue() []Event {
	mu.Lock()
	defer mu.Unlock()
	all := make([]Event, 0, len(registered))
	for _, e := range registered {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log logs one record of the event.
func (e Event) Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr) {
	if !logger.Enabled(ctx, e.Level) {
		return
	}
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", e.Number))
	all = append(all, attrs...)
	logger.LogAttrs(ctx, e.Level, e.Name, all...)
}
