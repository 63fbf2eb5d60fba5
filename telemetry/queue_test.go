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

// A request's latency goes up without bound: nobody reads the process's
// standard output, the pipe fills, and every line blocks its writer. Lines must
// be left out instead, and counted.
func TestQueueNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	q := NewQueue(writer)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 4 * queueBytes / len(line) {
		_, err := q.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, q.Dropped() > 0)
	q.Close()
}

// At ten times the load the volume stays within the budget, what is left out is
// said, and an event that is rare keeps its lines.
func TestBudgetBoundsEachEvent(t *testing.T) {
	var out strings.Builder
	logger := slog.New(NewBudget(slog.NewJSONHandler(&out, nil)))
	for range 10 * infoBudget {
		logger.Info("often", slog.Int("event", 7))
	}
	logger.Info("rare", slog.Int("event", 8))
	assert.Equal(t, strings.Count(out.String(), `"often"`), infoBudget)
	assert.Equal(t, strings.Count(out.String(), `"rare"`), 1)
	time.Sleep(window)
	logger.Info("rare", slog.Int("event", 8))
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"by_event":"7:%d"`, 9*infoBudget)), out.String()[out.Len()-300:])
}

// Refused and failed requests keep their lines longest.
func TestBudgetKeepsWarnings(t *testing.T) {
	b := NewBudget(slog.NewJSONHandler(io.Discard, nil))
	logger := slog.New(b)
	for range warnBudget {
		logger.LogAttrs(context.Background(), slog.LevelWarn, "refused", slog.Int("event", 9))
	}
	assert.Equal(t, b.LeftOut(), int64(0))
}
