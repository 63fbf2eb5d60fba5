package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against unbounded request latency: if no one reads the process's standard output,
// the pipe fills and every log call blocks. Lines must be dropped and counted instead.
func TestQueueNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	q := NewBufferedWriter(writer)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 4 * maxBufferedBytes / len(line) {
		_, err := q.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Assert(t, q.Dropped() > 0)
	q.Close()
}

// Checks that at ten times its limit an event's lines are cut to the limit, that the number
// of dropped lines is logged, and that a rare event loses no lines.
func TestLineLimitPerEvent(t *testing.T) {
	var out strings.Builder
	logger := slog.New(NewRateLimiter(slog.NewJSONHandler(&out, nil)))
	for range 10 * infoLimit {
		logger.Info("often", slog.Int("event", 7))
	}
	logger.Info("rare", slog.Int("event", 8))
	assert.Equal(t, strings.Count(out.String(), `"often"`), infoLimit)
	assert.Equal(t, strings.Count(out.String(), `"rare"`), 1)
	time.Sleep(window)
	logger.Info("rare", slog.Int("event", 8))
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"by_event":"7:%d"`, 9*infoLimit)), out.String()[out.Len()-300:])
}

// Checks that warnings, which report rejected and failed requests, have the higher limit.
func TestWarningsHaveHigherLineLimit(t *testing.T) {
	b := NewRateLimiter(slog.NewJSONHandler(io.Discard, nil))
	logger := slog.New(b)
	for range warnLimit {
		logger.LogAttrs(context.Background(), slog.LevelWarn, "refused", slog.Int("event", 9))
	}
	assert.Equal(t, b.Dropped(), int64(0))
}
