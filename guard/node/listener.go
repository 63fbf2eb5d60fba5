package node

import (
	"net"
	"sync"
)

// limitedListener limits the number of open connections, since an unbounded
// number of idle ones would exhaust the memory. Further connections wait in the
// kernel's accept queue, which is bounded too.
type limitedListener struct {
	net.Listener
	places chan struct{}
	done   chan struct{}
	once   sync.Once
}

func limitConns(l net.Listener, connections int) *limitedListener {
	return &limitedListener{
		Listener: l,
		places:   make(chan struct{}, connections),
		done:     make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.places })}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn releases its place when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
