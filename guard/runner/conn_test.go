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

// slowConn holds a write until the test lets it go on.
type slowConn struct {
	net.Conn
	writing, release chan struct{}
	halves           int
}

func (c *slowConn) Write(p []byte) (int, error) {
	close(c.writing)
	<-c.release
	return len(p), nil
}

func (c *slowConn) CloseWrite() error {
	c.halves++
	return nil
}

func (c *slowConn) Close() error { return nil }

func newSlowConn() *slowConn {
	return &slowConn{writing: make(chan struct{}), release: make(chan struct{})}
}

// A call breaks off while its first write is on the way to the kernel. Its
// bytes may arrive, so the call must not be reported as never sent.
func TestWriteUnderWayCountsAsSent(t *testing.T) {
	slow := newSlowConn()
	c := &conn{Conn: slow}
	k := newCall(time.Minute)
	k.took(c)
	written := make(chan struct{})
	go func() {
		_, _ = c.Write([]byte("POST"))
		close(written)
	}()
	<-slow.writing
	out := k.broken(errors.New("broken"))
	close(slow.release)
	<-written
	assert.Equal(t, out.Verdict, Lost)
}

// A stop comes when the transport has handed the connection to the next call,
// or when its own call has ended: neither may close it.
func TestStopLeavesOthersConnection(t *testing.T) {
	slow := newSlowConn()
	c := &conn{Conn: slow}
	first, second := newCall(time.Minute), newCall(time.Minute)
	first.took(c)
	second.took(c)
	first.stop(Cancelled)
	assert.Equal(t, slow.halves, 0)
	second.end()
	second.stop(Cancelled)
	assert.Equal(t, slow.halves, 0)
}

// A stop has closed a connection for writing just before the transport hands it
// on: the next call must find out before it counts as sent.
func TestClosedConnectionTakesNoWrite(t *testing.T) {
	slow := newSlowConn()
	close(slow.release)
	c := &conn{Conn: slow}
	first, second := newCall(time.Minute), newCall(time.Minute)
	first.took(c)
	first.stop(Cancelled)
	second.took(c)
	_, err := c.Write([]byte("POST"))
	assert.ErrorIs(t, err, errStopped)
	assert.Equal(t, second.broken(err).Verdict, unsent)
}

// Callers cancel a wave of jobs: several connections to one runner are closed for
// writing just before the transport hands them on. The next call breaks on one after
// the other before a byte is sent. The runner is well: taken for absent, it would get
// no work until it registers again.
func TestWaveOfClosedConnections(t *testing.T) {
	const connections = 6
	entered, release := make(chan struct{}), make(chan struct{})
	var together sync.WaitGroup
	together.Add(connections)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	defer s.Close()
	client := New(Options{
		Address:     s.Listener.Addr().String(),
		Connections: connections,
		MaxAnswer:   1 << 10,
		CancelGrace: time.Minute,
		Idle:        time.Minute,
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
			defer together.Done()
			call()
		}()
	}
	for range connections {
		<-entered
	}
	close(release)
	together.Wait()
	for range connections {
		c := <-opened
		c.mu.Lock()
		c.halved = true
		c.mu.Unlock()
	}
	go func() { <-entered }()
	assert.Equal(t, call().Verdict, Completed)
}

// A call breaks on connection after connection before a byte is sent, however many
// are tried. Each was opened, so the runner is there: the call is given back as not
// run, and the runner is not reported as absent.
func TestClosedConnectionsAreNoAbsence(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	client := New(Options{Address: s.Listener.Addr().String(), Connections: 1, MaxAnswer: 1 << 10, CancelGrace: time.Minute})
	defer client.Close()
	client.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err == nil {
			raw.(*conn).halved = true
		}
		return raw, err
	}
	out := client.Run(t.Context(), Request{Task: "s/0", Payload: []byte("in"), Digest: make([]byte, sha256.Size), RunLimit: time.Minute})
	assert.Equal(t, out.Verdict, Busy)
}
