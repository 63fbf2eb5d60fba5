package fleetwire

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against guards dialing values that another program has written under the entries'
// prefix. Invalid values must be rejected without affecting the valid ones.
func TestInvalidEntryAddressesAreRejected(t *testing.T) {
	valid, malformed := EntryAddresses([]string{"10.1.0.13:7720", "", "x", "10.1.0.13", "10.1.0.13:0", "0.0.0.0:7720", "224.0.0.1:7720", "host:7720", "10.1.0.14:7720"})
	assert.DeepEqual(t, valid, []string{"10.1.0.13:7720", "10.1.0.14:7720"})
	assert.Equal(t, len(malformed), 7)
}

func FuzzEntryAddress(f *testing.F) {
	for _, s := range []string{"10.1.0.13:7720", "[::1]:1", "", "0.0.0.0:1", "10.1.0.13:70000", "\x00:1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		a, err := EntryAddress(s)
		if err != nil {
			return
		}
		parsed, err := netip.ParseAddrPort(a)
		assert.NilError(t, err)
		assert.Assert(t, parsed.Port() != 0 && !parsed.Addr().IsUnspecified())
		parsedAgain, err := EntryAddress(a)
		assert.NilError(t, err)
		assert.Equal(t, parsedAgain, a)
	})
}
