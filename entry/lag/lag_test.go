package lag

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Each report covers only its own interval: maxima and counters are reset after it.
func TestReportCoversOnlyItsInterval(t *testing.T) {
	var out bytes.Buffer
	m := New(tally.NoopScope, slog.New(slog.NewJSONHandler(&out, nil)), 0)
	m.ObserveMessage(30 * time.Millisecond)
	m.ObserveMessage(400 * time.Millisecond)
	m.ObserveSend(3, 70*time.Millisecond)
	m.ObserveSend(0, time.Hour)
	m.CountRejectedStart()
	m.report(context.Background(), time.Second, 120*time.Millisecond)
	line := logLine(t, &out)
	for key, want := range map[string]float64{
		"message_age_ms": 400, "order_delay_ms": 70, "cpu_ms": 120,
		"messages_read": 2, "messages_sent": 2, "starts": 3, "starts_not_taken": 1,
	} {
		assert.Equal(t, line[key], want, key)
	}
	m.report(context.Background(), time.Second, 0)
	line = logLine(t, &out)
	assert.Equal(t, line["message_age_ms"], 0.0)
	assert.Equal(t, line["messages_read"], 0.0)
}

// Run logs one report per second.
func TestRunReportsEverySecond(t *testing.T) {
	var out bytes.Buffer
	m := New(tally.NoopScope, slog.New(slog.NewJSONHandler(&out, nil)), 0)
	ctx, cancel := context.WithTimeout(t.Context(), reportInterval+reportInterval/2)
	defer cancel()
	assert.NilError(t, m.Run(ctx))
	line := logLine(t, &out)
	assert.Assert(t, line["span_ms"].(float64) >= 1000)
}

func logLine(t *testing.T, out *bytes.Buffer) map[string]any {
	t.Helper()
	line := map[string]any{}
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	out.Reset()
	return line
}
