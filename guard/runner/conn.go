package runner

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	keepAlive   = 15 * time.Second
)

var errStopped = errors.New("connection closed by the stop of a call")

// conn is a connection to the runner. It records which call uses it and whether
// that call attempted to write.
//
// It wraps the net.Conn interface instead of *net.TCPConn, whose ReadFrom would
// let a request bypass Write.
type conn struct {
	net.Conn

	mu             sync.Mutex
	owner          *call
	writeAttempted bool
	writeClosed    bool
}

// Write implements net.Conn. It sets writeAttempted before it writes: a call
// counts as never sent only if no byte can have left the process.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writeClosed {
		c.mu.Unlock()
		return 0, errStopped
	}
	c.writeAttempted = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// assign assigns the connection to a call.
func (c *conn) assign(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = k
	c.writeAttempted = false
}

// closeWrite closes the connection for writing if the call still owns it. The
// transport passes a connection on as soon as a response is read, so a stop at
// that moment must not affect the next call.
func (c *conn) closeWrite(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != k || c.writeClosed {
		return
	}
	c.writeClosed = true
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// closeOwned closes the connection if the call still owns it, and reports whether
// the call attempted to write. Nothing can be sent on the connection afterwards.
func (c *conn) closeOwned(k *call) (writeAttempted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != k {
		return true
	}
	c.writeClosed = true
	_ = c.Conn.Close()
	return c.writeAttempted
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw}, nil
}
