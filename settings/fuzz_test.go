package settings_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/settings"
)

// FuzzDecode checks that any input either decodes to settings that are unchanged by
// encoding and decoding them, or yields a non-empty list of errors.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"zone":"z","listen":"127.0.0.1:1","seeds":["[::1]:2"],"shares":{"a":1},"extra":{"wait":"1m","tasks":1}}`))
	f.Add([]byte(`{"zone":null,"limits":{"limits":{}},"seeds":[{}],"shares":[],"extra":null}`))
	f.Add([]byte(`{"zone":"a","zone":"b"}{}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := defaults()
		err := settings.Decode(raw, s)
		var list settings.Errors
		if err != nil {
			assert.Assert(t, errors.As(err, &list) && len(list) > 0, "%v", err)
			return
		}
		encoded, err := json.Marshal(s)
		assert.NilError(t, err)
		decoded := defaults()
		if s.Extra == nil || s.Seeds == nil || s.Shares == nil {
			return // Go encodes these as null, which Decode rejects
		}
		assert.NilError(t, settings.Decode(encoded, decoded), "%s", encoded)
		assert.Assert(t, reflect.DeepEqual(decoded, s), "%s", encoded)
	})
}
