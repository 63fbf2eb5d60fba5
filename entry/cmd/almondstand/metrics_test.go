package main

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/node"
)

// Guards against two packages of an entry registering metrics with the same name but
// different labels: the second would be rejected at startup and missing from dashboards.
func TestMetricNamesDoNotCollide(t *testing.T) {
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	old := slog.Default()
	slog.SetDefault(logger)
	defer slog.SetDefault(old)
	s := example()
	s.Listen.Callers = address("127.0.0.1:0")
	s.Listen.Internal = address("127.0.0.1:0")
	s.Listen.Operators = address("127.0.0.1:0")
	_, err := node.New(s, node.Options{Logger: logger})
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(log.String(), "telemetry.metric_rejected"), log.String())
}
