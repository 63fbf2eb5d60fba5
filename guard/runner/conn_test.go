package runner

import (
	"context"
	"crypto/sha256"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingConn blocks writes until the test releases them.
type blockingConn struct {
	net.Conn
	writing, release chan struct{}
	writeCloses      int
}

func (c *blockingConn) Write(p []byte) (int, error) {
	close(c.writing)
	<-c.release
	return len(p), nil
}

func (c *blockingConn) CloseWrite() error {
	c.writeCloses++
	return nil
}

func (c *blockingConn) Close() error { return nil }

func newBlockingConn() *blockingConn {
	return &blockingConn{writing: make(chan struct{}), release: make(chan struct{})}
}

// A call fails while its first write is in progress in the kernel. Its bytes may
// arrive, so the call must not be reported as never sent.
func TestWriteInProgressCountsAsSent(t *testing.T) {
	blocking := newBlockingConn()
	c := &conn{Conn: blocking}
	k := newCall(time.Minute)
	k.gotConn(c)
	written := make(chan struct{})
	go func() {
		_, _ = c.Write([]byte("POST"))
		close(written)
	}()
	<-blocking.writing
	out := k.failedOutcome(errors.New("broken"))
	close(blocking.release)
	<-written
	assert.Equal(t, out.Verdict, ConnectionLost)
}

// A stop arrives when the transport has passed the connection on to the next
// call, or when its own call has ended. It must not close the connection.
func TestStopKeepsConnectionOfOtherCall(t *testing.T) {
	blocking := newBlockingConn()
	c := &conn{Conn: blocking}
	first, second := newCall(time.Minute), newCall(time.Minute)
	first.gotConn(c)
	second.gotConn(c)
	first.stop(Cancelled)
	assert.Equal(t, blocking.writeCloses, 0)
	second.end()
	second.stop(Cancelled)
	assert.Equal(t, blocking.writeCloses, 0)
}

// A stop has closed a connection for writing just before the transport passes it
// on. The next call must detect this before it counts as sent.
func TestClosedConnectionRejectsWrite(t *testing.T) {
	blocking := newBlockingConn()
	close(blocking.release)
	c := &conn{Conn: blocking}
	first, second := newCall(time.Minute), newCall(time.Minute)
	first.gotConn(c)
	first.stop(Cancelled)
	second.gotConn(c)
	_, err := c.Write([]byte("POST"))
	assert.ErrorIs(t, err, errStopped)
	assert.Equal(t, second.failedOutcome(err).Verdict, notSent)
}

// Callers cancel several jobs at once, and several connections to one runner are
// closed for writing just before the transport passes them on. The next call
// finds one after another broken before a byte is sent. The runner is healthy: if
// it were reported as absent, it would get no work until it registers again.
func TestManyClosedConnections(t *testing.T) {
	const connections = 6
	entered, release := make(chan struct{}), make(chan struct{})
	var calls sync.WaitGroup
	calls.Add(connections)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	defer s.Close()
	client := New(Options{
		Address:          s.Listener.Addr().String(),
		Connections:      connections,
		MaxResponseBytes: 1 << 10,
		CancelGrace:      time.Minute,
		IdleTimeout:      time.Minute,
	})
	defer client.Close()
	opened := make(chan *conn, connections)
	client.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err == nil {
			opened <- raw.(*conn)
		}
		return raw, err
	}
	call := func() Outcome {
		return client.Run(context.Background(), Request{Task: "s/0", Payload: []byte("in"), Digest: make([]byte, sha256.Size), RunLimit: time.Minute})
	}
	for range connections {
		go func() {
			defer calls.Done()
			call()
		}()
	}
	for range connections {
		<-entered
	}
	close(release)
	calls.Wait()
	for range connections {
		c := <-opened
		c.mu.Lock()
		c.writeClosed = true
		c.mu.Unlock()
	}
	go func() { <-entered }()
	assert.Equal(t, call().Verdict, Completed)
}

// A call finds every connection broken before a byte is sent, at every attempt.
// Each connection was opened, so the runner is listening: the call must be
// reported as not run, and the runner must not be reported as absent.
func TestBrokenConnectionsAreNotAbsence(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	client := New(Options{Address: s.Listener.Addr().String(), Connections: 1, MaxResponseBytes: 1 << 10, CancelGrace: time.Minute})
	defer client.Close()
	client.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err == nil {
			raw.(*conn).writeClosed = true
		}
		return raw, err
	}
	out := client.Run(t.Context(), Request{Task: "s/0", Payload: []byte("in"), Digest: make([]byte, sha256.Size), RunLimit: time.Minute})
	assert.Equal(t, out.Verdict, NoConnection)
}
