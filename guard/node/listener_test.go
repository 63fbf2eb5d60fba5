package node

import (
	"net"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A peer opens connections and leaves them idle. Only as many as the limit may be
// accepted, the next one once another is closed, and Accept must return when the
// listener is closed.
func TestConnectionsAreBounded(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := limitConns(inner, 1)
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	first, err := l.Accept()
	assert.NilError(t, err)
	accepted := make(chan error, 2)
	accept := func() {
		c, err := l.Accept()
		// Close the connection before reporting it, so that its place is free
		// when places are counted.
		if err == nil {
			_ = c.Close()
		}
		accepted <- err
	}
	go accept()
	assert.Equal(t, len(l.places), 1)
	select {
	case <-accepted:
		t.Fatal("a connection over the bound was taken")
	default:
	}
	assert.NilError(t, first.Close())
	_ = first.Close()
	assert.NilError(t, <-accepted)
	assert.Equal(t, len(l.places), 0)
	l.places <- struct{}{}
	go accept()
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, <-accepted, net.ErrClosed)
}
