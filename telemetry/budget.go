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

// Limits of log lines per event and second. A busy entry completes about 100 jobs a second
// and sends about 300 requests to start their tasks. Warnings report rejections and
// failures, so they have the higher limit.
const (
	infoLimit = 400
	warnLimit = 1200
	window    = time.Second
)

// RateLimiter is a slog.Handler that limits the rate of lines of each event. It counts the
// lines dropped and logs the counts in a separate record.
type RateLimiter struct {
	inner slog.Handler
	state *limiterState
}

type limiterState struct {
	mu           sync.Mutex
	windowStart  time.Time
	lines        map[int64]int
	dropped      map[int64]int
	totalDropped int64
}

// NewRateLimiter returns a rate limiter that passes records on to inner.
func NewRateLimiter(inner slog.Handler) *RateLimiter {
	return &RateLimiter{inner: inner, state: &limiterState{lines: map[int64]int{}, dropped: map[int64]int{}}}
}

// Dropped returns the number of lines dropped so far.
func (b *RateLimiter) Dropped() int64 {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.state.totalDropped
}

// Enabled implements slog.Handler.
func (b *RateLimiter) Enabled(ctx context.Context, l slog.Level) bool { return b.inner.Enabled(ctx, l) }

// WithAttrs implements slog.Handler.
func (b *RateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RateLimiter{inner: b.inner.WithAttrs(attrs), state: b.state}
}

// WithGroup implements slog.Handler.
func (b *RateLimiter) WithGroup(name string) slog.Handler {
	return &RateLimiter{inner: b.inner.WithGroup(name), state: b.state}
}

// Handle implements slog.Handler.
func (b *RateLimiter) Handle(ctx context.Context, r slog.Record) error {
	number := eventNumber(r)
	allowed, summary := b.state.allow(r.Time, number, r.Level)
	if summary != "" {
		record := slog.NewRecord(r.Time, linesDropped.Level, linesDropped.Name, 0)
		record.AddAttrs(slog.Int("event", linesDropped.Number), slog.String("by_event", summary))
		if err := b.inner.Handle(ctx, record); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return b.inner.Handle(ctx, r)
}

// eventNumber returns the event number of a record, 0 if it has none.
func eventNumber(r slog.Record) (number int64) {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "event" {
			return true
		}
		number = a.Value.Int64()
		return false
	})
	return number
}

// allow reports whether a line may be written. At the start of a new window it also returns
// a summary of the lines dropped in the previous one.
func (s *limiterState) allow(now time.Time, number int64, level slog.Level) (allowed bool, summary string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) >= window || now.Before(s.windowStart) {
		summary = s.summary()
		s.windowStart = now
		clear(s.lines)
		clear(s.dropped)
	}
	limit := infoLimit
	if level >= slog.LevelWarn {
		limit = warnLimit
	}
	s.lines[number]++
	if s.lines[number] <= limit {
		return true, summary
	}
	s.dropped[number]++
	s.totalDropped++
	return false, summary
}

func (s *limiterState) summary() string {
	var parts []string
	for number, n := range s.dropped {
		parts = append(parts, fmt.Sprintf("%d:%d", number, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
