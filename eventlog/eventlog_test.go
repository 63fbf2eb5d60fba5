package eventlog_test

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/eventlog"
)

var (
	first  = eventlog.Define(11, "test.first", slog.LevelWarn, "The part failed.", "Replace the part.")
	second = eventlog.Define(12, "test.second", slog.LevelDebug, "The part works.", "None.")
)

func TestLogIncludesEventNumber(t *testing.T) {
	var out bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&out, nil))
	second.Log(context.Background(), logger)
	assert.Equal(t, out.String(), "")
	first.Log(context.Background(), logger, slog.String("part", "gear"))
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("msg=test.first event=11 part=gear")))
}

func TestDefineTwicePanics(t *testing.T) {
	for _, define := range []func(){
		func() { eventlog.Define(11, "test.other", slog.LevelInfo, "", "") },
		func() { eventlog.Define(13, "test.first", slog.LevelInfo, "", "") },
	} {
		func() {
			defer func() { assert.Assert(t, recover() != nil) }()
			define()
		}()
	}
}

// Checks that two programs can share one catalogue: each replaces its own sections, removes
// those of events that it no longer defines, and keeps the other program's.
func TestUpdateKeepsSectionsOfOtherPrograms(t *testing.T) {
	doc := "# Events\n\n" + eventlog.Render([]eventlog.Event{
		{Number: 11, Name: "test.old", Meaning: "Old.", Action: "None."},
		{Number: 19, Name: "test.gone", Meaning: "Gone.", Action: "None."},
		{Number: 21, Name: "other.kept", Meaning: "Kept.", Action: "None."},
	})
	ownNumbers := eventlog.NumberRange(10, 19)
	updated := eventlog.Update(doc, eventlog.Catalogue(), ownNumbers)
	expected := "# Events\n\n" + eventlog.Render([]eventlog.Event{first, second,
		{Number: 21, Name: "other.kept", Meaning: "Kept.", Action: "None."}})
	assert.Equal(t, updated, expected)
	assert.Equal(t, eventlog.Update(updated, eventlog.Catalogue(), ownNumbers), updated)
}

// Checks that CheckFile reports a catalogue file that lacks an event and an event outside
// the program's number range, and that it accepts the file after updating it.
func TestCheckFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "EVENTS.md")
	assert.NilError(t, os.WriteFile(path, []byte("# Events\n\n"), 0o600))
	ownNumbers, noNumbers := eventlog.NumberRange(10, 19), eventlog.NumberRange(0, 0)
	assert.ErrorIs(t, eventlog.CheckFile(path, ownNumbers, noNumbers, false), eventlog.ErrCatalogueMismatch)
	assert.ErrorIs(t, eventlog.CheckFile(path, eventlog.NumberRange(12, 19), noNumbers, true), eventlog.ErrCatalogueMismatch)
	assert.NilError(t, eventlog.CheckFile(path, ownNumbers, noNumbers, true))
	assert.NilError(t, eventlog.CheckFile(path, ownNumbers, noNumbers, false))
}
