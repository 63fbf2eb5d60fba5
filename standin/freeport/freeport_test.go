package freeport

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a restarted process that can't listen on its address again, because the kernel has
// assigned the port to another program meanwhile.
func TestPortsAreBelowTheEphemeralRange(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("no ephemeral port range to read")
	}
	first, err := strconv.Atoi(strings.Fields(string(text))[0])
	assert.NilError(t, err)
	for range 20 {
		l, err := Listen("127.0.0.1")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		assert.Assert(t, l.Addr().(*net.TCPAddr).Port < first)
	}
}
