package local

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const valid = `{"service":"teardown","address":"127.0.0.1:9000","slots":8,"connections":64,"zone":"zagreb","ttl":"10s","leaving":false}`

func TestDecode(t *testing.T) {
	a, err := decode([]byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, a.Address.String(), "127.0.0.1:9000")
	assert.Equal(t, a.TTL, 10*time.Second)
	for _, invalid := range []string{
		``, `[]`, `{}`, valid + valid,
		`{"service":"t","address":"host:9","slots":1,"connections":1,"ttl":"10s"}`,
		`{"service":"t","address":"127.0.0.1:0","slots":1,"connections":1,"ttl":"10s"}`,
		`{"service":"t","address":"127.0.0.1:9","slots":0,"connections":1,"ttl":"10s"}`,
		`{"service":"t","address":"127.0.0.1:9","slots":1,"connections":0,"ttl":"10s"}`,
		`{"service":"t","address":"127.0.0.1:9","slots":1,"connections":1,"ttl":"10"}`,
		`{"service":"t","address":"127.0.0.1:9","slots":1,"connections":1,"ttl":"1ms"}`,
		`{"service":"t","address":"127.0.0.1:9","slots":1,"connections":1,"ttl":"10s","slot":2}`,
	} {
		_, err := decode([]byte(invalid))
		assert.Assert(t, err != nil, invalid)
	}
}

// Only valid announcements may be accepted, whatever a process on the host sends.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"ttl":"-1s","slots":1e9,"address":"[::1]:9"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, err := decode(raw)
		if err == nil {
			assert.NilError(t, validate(a))
			assert.Assert(t, a.Address.IsValid() && a.Slots > 0 && a.Connections > 0 && a.TTL > 0)
		}
	})
}
