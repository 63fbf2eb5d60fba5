package telemetry

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"time"
)

// Lines of one event that are written in a second. A busy entry ends some 100
// jobs a second and places their tasks with some 300 orders; warnings tell of
// refusals and failures, and keep their lines longest.
const (
	infoBudget = 400
	warnBudget = 1200
	window     = time.Second
)

// Budget is a handler that bounds the lines of each event. What it leaves out
// is counted, and said in a line of its own.
type Budget struct {
	inner slog.Handler
	state *budgetState
}

type budgetState struct {
	mu    sync.Mutex
	began time.Time
	lines map[int64]int
	left  map[int64]int
	total int64
}

// NewBudget returns a handler in front of another.
func NewBudget(inner slog.Handler) *Budget {
	return &Budget{inner: inner, state: &budgetState{lines: map[int64]int{}, left: map[int64]int{}}}
}

// LeftOut counts the lines left out so far.
func (b *Budget) LeftOut() int64 {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.state.total
}

// Enabled implements slog.Handler.
func (b *Budget) Enabled(ctx context.Context, l slog.Level) bool { return b.inner.Enabled(ctx, l) }

// WithAttrs implements slog.Handler.
func (b *Budget) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Budget{inner: b.inner.WithAttrs(attrs), state: b.state}
}

// WithGroup implements slog.Handler.
func (b *Budget) WithGroup(name string) slog.Handler {
	return &Budget{inner: b.inner.WithGroup(name), state: b.state}
}

// Handle implements slog.Handler.
func (b *Budget) Handle(ctx context.Context, r slog.Record) error {
	number := eventOf(r)
	allowed, summary := b.state.take(r.Time, number, r.Level)
	if summary != "" {
		note := slog.NewRecord(r.Time, linesLeftOut.Level, linesLeftOut.Name, 0)
		note.AddAttrs(slog.Int("event", linesLeftOut.Number), slog.String("by_event", summary))
		if err := b.inner.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return b.inner.Handle(ctx, r)
}

// eventOf returns a record's number, 0 for a record that is no event.
func eventOf(r slog.Record) (number int64) {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "event" {
			return true
		}
		number = a.Value.Int64()
		return false
	})
	return number
}

// take reports whether a line may be written, and what the window that has
// ended left out.
func (s *budgetState) take(now time.Time, number int64, level slog.Level) (allowed bool, summary string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.began) >= window || now.Before(s.began) {
		summary = s.summary()
		s.began = now
		clear(s.lines)
		clear(s.left)
	}
	limit := infoBudget
	if level >= slog.LevelWarn {
		limit = warnBudget
	}
	s.lines[number]++
	if s.lines[number] <= limit {
		return true, summary
	}
	s.left[number]++
	s.total++
	return false, summary
}

func (s *budgetState) summary() string {
	var parts []string
	for number, n := range s.left {
		parts = append(parts, fmt.Sprintf("%d:%d", number, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
