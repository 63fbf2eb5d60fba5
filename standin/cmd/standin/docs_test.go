package main

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/eventlog"
)

var update = flag.Bool("docs.update", false, "rewrite the catalogue of events")

// This program imports all stand-ins, so its event catalogue contains all their events.
func TestEventsCatalogue(t *testing.T) {
	const path = "../../../docs/EVENTS.md"
	raw, err := os.ReadFile(path)
	assert.NilError(t, err)
	standinEvents := eventlog.NumberRange(9000, 9999)
	want := eventlog.Update(string(raw), eventlog.Catalogue(), standinEvents)
	if *update {
		assert.NilError(t, os.WriteFile(path, []byte(want), 0o644))
		return
	}
	assert.Equal(t, string(raw), want, "run: go test ./cmd/standin -run TestEventsCatalogue -docs.update")
}
