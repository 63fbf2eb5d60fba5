package config_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/guard/config"
)

func load(t *testing.T, text string) error {
	path := filepath.Join(t.TempDir(), "guard.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err := config.Load(path)
	return err
}

func example(t *testing.T) string {
	raw, err := json.Marshal(config.Example())
	assert.NilError(t, err)
	return string(raw)
}

func TestExampleIsValid(t *testing.T) {
	assert.NilError(t, load(t, example(t)))
}

// Each invalid setting must be reported with its path before the guard starts.
func TestErrorsNameThePathOfTheSetting(t *testing.T) {
	cases := []struct{ old, mistake, path string }{
		{`"zone":"zagreb"`, `"zone":""`, "zone"},
		{`"local":"127.0.0.1:7102"`, `"local":"127.0.0.1:7101"`, "listen.local"},
		{`"local":"127.0.0.1:7102"`, `"local":"10.0.0.1:7102"`, "listen.local"},
		{`"internal":"127.0.0.1:7101"`, `"internal":"localhost:7101"`, "listen.internal"},
		{`"session_lease":"15s"`, `"session_lease":15`, "session_lease"},
		{`"session_lease":"15s"`, `"session_lease":"1ms"`, "session_lease"},
		{`"id":"guard-1"`, `"id":"guard#1"`, "id"},
		{`"queue":8`, `"queue":-1`, "queue"},
		{`"queue":8`, `"qeue":8`, "qeue"},
		{`"level":"info"`, `"level":"loud"`, "log.level"},
		{`"request_bytes":67108864`, `"request_bytes":65536`, "limits.request_bytes"},
		{`"balancers":["127.0.0.1:7001"]`, `"balancers":[]`, "balancers"},
	}
	for _, c := range cases {
		text := example(t)
		assert.Assert(t, strings.Contains(text, c.old), c.old)
		err := load(t, strings.Replace(text, c.old, c.mistake, 1))
		assert.ErrorContains(t, err, c.path+":")
	}
}
