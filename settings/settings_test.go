package settings_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/settings"
)

type limits struct {
	Wait  settings.Duration `json:"wait" validate:"min=10ms,max=1m"`
	Tasks int               `json:"tasks" validate:"min=1,max=100"`
}

type sample struct {
	Zone   string             `json:"zone" validate:"required"`
	Listen settings.Address   `json:"listen" validate:"required"`
	Admin  settings.Address   `json:"admin"`
	Level  string             `json:"level" validate:"oneof=info warn"`
	Limits limits             `json:"limits"`
	Seeds  []settings.Address `json:"seeds"`
	Shares map[string]float64 `json:"shares"`
	Extra  *limits            `json:"extra"`
}

func (s *sample) Check() settings.Errors {
	return settings.CheckPortConflicts(
		settings.Listener{Path: "listen", Address: s.Listen},
		settings.Listener{Path: "admin", Address: s.Admin},
	)
}

func defaults() *sample {
	return &sample{
		Level:  "info",
		Limits: limits{Wait: settings.Duration(time.Second), Tasks: 5},
	}
}

func TestDecodeKeepsDefaults(t *testing.T) {
	s := defaults()
	raw := `{"zone":"zagreb","listen":"127.0.0.1:7001","limits":{"tasks":7},
		"seeds":["10.0.0.1:1"],"shares":{"a":0.5},"extra":{"wait":"20ms","tasks":1}}`
	assert.NilError(t, settings.Decode([]byte(raw), s))
	assert.Equal(t, s.Limits, limits{Wait: settings.Duration(time.Second), Tasks: 7})
	assert.Equal(t, s.Seeds[0].String(), "10.0.0.1:1")
	assert.Equal(t, s.Shares["a"], 0.5)
	assert.Equal(t, s.Extra.Wait.Std(), 20*time.Millisecond)
}

func TestDecodeReportsTheError(t *testing.T) {
	const valid = `"zone":"zagreb","listen":"127.0.0.1:7001"`
	cases := []struct {
		name, raw string
		want      settings.Error
	}{
		{"unknown field", `{` + valid + `,"limits":{"waitt":"1s"}}`,
			settings.Error{Path: "limits.waitt", Found: "an unknown field", Allowed: "one of tasks, wait"}},
		{"field twice", `{` + valid + `,"level":"info","level":"warn"}`,
			settings.Error{Path: "level", Found: "the field twice", Allowed: "each field once"}},
		{"case matters", `{` + valid + `,"Level":"info"}`,
			settings.Error{Path: "Level", Found: "an unknown field", Allowed: "one of admin, extra, level, limits, listen, seeds, shares, zone"}},
		{"wrong type", `{` + valid + `,"limits":{"tasks":"7"}}`,
			settings.Error{Path: "limits.tasks", Found: `"7"`, Allowed: "a whole number"}},
		{"null", `{` + valid + `,"limits":{"tasks":null}}`,
			settings.Error{Path: "limits.tasks", Found: "null", Allowed: "a whole number"}},
		{"no unit", `{` + valid + `,"limits":{"wait":"250"}}`,
			settings.Error{Path: "limits.wait", Found: `"250"`, Allowed: `duration "250": write a number and a unit of ms, s, m or h`}},
		{"host name", `{` + valid + `,"seeds":["10.0.0.1:1","example:1"]}`,
			settings.Error{Path: "seeds[1]", Found: `"example:1"`, Allowed: `address "example:1": write an IP number and a port, such as "10.0.0.7:7001"`}},
		{"over the bound", `{` + valid + `,"limits":{"wait":"2m"}}`,
			settings.Error{Path: "limits.wait", Found: "2m0s", Allowed: "at most 1m"}},
		{"missing", `{"listen":"127.0.0.1:7001"}`,
			settings.Error{Path: "zone", Allowed: "a value (required)"}},
		{"missing address", `{"zone":"zagreb"}`,
			settings.Error{Path: "listen", Allowed: "a value (required)"}},
		{"not in the list", `{` + valid + `,"level":"loud"}`,
			settings.Error{Path: "level", Found: `"loud"`, Allowed: "one of info, warn"}},
		{"in a pointer", `{` + valid + `,"extra":{"wait":"20ms","tasks":0}}`,
			settings.Error{Path: "extra.tasks", Found: "0", Allowed: "at least 1"}},
		{"port clash", `{` + valid + `,"admin":"0.0.0.0:7001"}`,
			settings.Error{Path: "admin", Found: "0.0.0.0:7001", Allowed: "a port of its own: listen listens on 127.0.0.1:7001"}},
		{"syntax", "{\n \"zone\" 1}",
			settings.Error{Path: "line 2 column 9", Found: "invalid character '1' after object key", Allowed: "one JSON object"}},
		{"two values", "{} {}",
			settings.Error{Path: "line 1 column 4", Found: "text after the end of the JSON value", Allowed: "one JSON object"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := settings.Decode([]byte(c.raw), defaults())
			var errs settings.Errors
			assert.Assert(t, errors.As(err, &errs), "got %v", err)
			assert.Equal(t, len(errs), 1, "got %v", errs)
			assert.Equal(t, errs[0], c.want)
		})
	}
}

// Checks that three errors in a file are reported at once, not one per restart.
func TestDecodeListsAllErrors(t *testing.T) {
	err := settings.Decode([]byte(`{"zone":7,"listen":"x","nope":1}`), defaults())
	var errs settings.Errors
	assert.Assert(t, errors.As(err, &errs))
	assert.Equal(t, len(errs), 3)
}

func TestPortZeroNeverConflicts(t *testing.T) {
	var a settings.Address
	assert.NilError(t, json.Unmarshal([]byte(`"127.0.0.1:0"`), &a))
	assert.Equal(t, len(settings.CheckPortConflicts(
		settings.Listener{Path: "a", Address: a},
		settings.Listener{Path: "b", Address: a},
	)), 0)
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	assert.ErrorIs(t, settings.Load(path, defaults()), settings.ErrReadFile)
	assert.NilError(t, os.WriteFile(path, []byte(`{"zone":"z","listen":"127.0.0.1:1"}`), 0o600))
	assert.NilError(t, settings.Load(path, defaults()))
	assert.ErrorIs(t, settings.Load(path, sample{}), settings.ErrNotPointer)
}

func TestFieldsListsAllPaths(t *testing.T) {
	all := settings.Fields(defaults())
	assert.Equal(t, len(all), 9)
	assert.Equal(t, all[4], settings.Field{Path: "limits.wait", Value: `"1s"`})
}

// Checks that encoding and decoding settings leaves them unchanged, including an optional
// address that is not set.
func TestEncodedSettingsDecodeUnchanged(t *testing.T) {
	s := defaults()
	s.Zone = "zagreb"
	s.Limits.Wait = settings.Duration(time.Minute)
	s.Extra = &limits{Wait: settings.Duration(time.Minute), Tasks: 1}
	assert.NilError(t, json.Unmarshal([]byte(`"[::1]:7001"`), &s.Listen))
	s.Seeds, s.Shares = []settings.Address{s.Listen}, map[string]float64{"a": 1}
	raw, err := json.Marshal(s)
	assert.NilError(t, err)
	var decoded sample
	assert.NilError(t, settings.Decode(raw, &decoded), "%s", raw)
	assert.Assert(t, !decoded.Admin.IsValid())
	assert.Equal(t, decoded.Listen, s.Listen)
}

func TestDurationEncodingOmitsZeroUnits(t *testing.T) {
	for _, text := range []string{"1m", "1h", "1h30m", "1m30s", "250ms", "0s", "2h0m5s"} {
		var d settings.Duration
		assert.NilError(t, json.Unmarshal([]byte(`"`+text+`"`), &d))
		raw, err := json.Marshal(d)
		assert.NilError(t, err)
		assert.Equal(t, string(raw), `"`+text+`"`)
	}
}

// Checks that CheckReference reports a field that is missing, listed twice, has a wrong
// default or does not exist, and accepts a correct page.
func TestCheckReference(t *testing.T) {
	defaults := struct {
		Queue int    `json:"queue"`
		Zone  string `json:"zone"`
	}{Queue: 8}
	const head, queue, zone = "# Settings\n\n## Guard\n", "| `queue` | `8` | tasks |\n", "| `zone` | required | a name |\n"
	for _, c := range []struct{ page, errText string }{
		{head + queue + zone + "\n## Other\n| `x` | `1` | not of this section |\n", ""},
		{head + queue, "zone: read"},
		{head + queue + zone + zone, "zone is listed twice"},
		{head + "| `queue` | `9` | tasks |\n" + zone, `queue: read "9", the default is "8"`},
		{head + queue + zone + "| `queu` | `8` | tasks |\n", "queu does not exist"},
		{"# Settings\n", "no section Guard"},
	} {
		err := settings.CheckReference(c.page, "Guard", defaults)
		if c.errText == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorIs(t, err, settings.ErrReferenceMismatch)
		assert.ErrorContains(t, err, c.errText)
	}
}
