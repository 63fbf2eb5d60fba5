package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/settings"
)

func valid() Settings {
	s := Example()
	s.Operators.TokenDigest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	return s
}

func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Settings)
		path   string
	}{
		"example":            {func(*Settings) {}, ""},
		"id":                 {func(s *Settings) { s.ID = "Entry 1" }, "id"},
		"no address":         {func(s *Settings) { s.Listen.Callers = settings.Address{} }, "listen.callers"},
		"port clash":         {func(s *Settings) { s.Listen.Internal = s.Listen.Callers }, "listen.internal"},
		"advertise":          {func(s *Settings) { s.Listen.Internal = exampleAddress("0.0.0.0:7001") }, "advertise.internal"},
		"lease too long":     {func(s *Settings) { s.Platform.LeaseTTL = settings.Duration(2 * time.Hour) }, "platform.lease_ttl"},
		"isolation too long": {func(s *Settings) { s.Peers.IsolationTimeout = settings.Duration(6 * time.Second) }, "peers.isolation"},
		"negative notice":    {func(s *Settings) { s.ShutdownDelay = -1 }, "drain_notice"},
	} {
		t.Run(name, func(t *testing.T) {
			s := valid()
			c.change(&s)
			found := s.Check()
			if c.path == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Assert(t, len(found) > 0)
			assert.Equal(t, found[0].Path, c.path)
		})
	}
}

// TestZeroFloorIsRejected: with a floor of 0, an entry without open tasks would
// learn of free slots only from pings, and would start nothing while other entries
// keep the guards full.
func TestZeroFloorIsRejected(t *testing.T) {
	s := valid()
	err := settings.Decode([]byte(`{"dispatch":{"floor":0}}`), &s)
	assert.ErrorContains(t, err, "dispatch.floor")
}
