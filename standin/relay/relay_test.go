package relay_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/standin/relay"
)

// quietPeriod is how long a test waits to verify that no bytes arrive.
const quietPeriod = 50 * time.Millisecond

// echoServer starts a server that echoes the bytes of each connection, and returns its
// address.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func serve(t *testing.T) (*relay.Relay, func() net.Conn) {
	t.Helper()
	r := relay.New(echoServer(t))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	return r, dial
}

func send(t *testing.T, conn net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(conn, s)
	assert.NilError(t, err)
}

func expect(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	buf := make([]byte, len(want))
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
	_, err := io.ReadFull(conn, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), want)
}

func expectNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(quietPeriod)))
	n, err := conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	assert.Assert(t, n == 0 && ok && timeout.Timeout(), "read %d, %v", n, err)
}

// Both ends keep their connection open, but no bytes are forwarded any more, while a new
// connection works: this happens when a middlebox loses its connection table.
func TestBlackholedConnectionStaysSilent(t *testing.T) {
	r, dial := serve(t)
	existing := dial()
	send(t, existing, "a")
	expect(t, existing, "a")
	assert.Equal(t, r.Blackhole(true, true), 1)
	send(t, existing, "b")
	expectNothing(t, existing)
	newConn := dial()
	send(t, newConn, "c")
	expect(t, newConn, "c")
	send(t, existing, "d")
	expectNothing(t, existing)
}

// The request arrives and the response is lost, so the caller can't know whether its task
// ran: the case reported as "may have run".
func TestDropOneDirection(t *testing.T) {
	r, dial := serve(t)
	conn := dial()
	send(t, conn, "a")
	expect(t, conn, "a")
	assert.NilError(t, r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Drop}))
	send(t, conn, "b")
	expectNothing(t, conn)
	assert.NilError(t, r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}))
	send(t, conn, "c")
	expectNothing(t, conn)
}

// A stalled request arrives late, when its sender may have retried elsewhere already.
func TestStalledBytesArriveLate(t *testing.T) {
	r, dial := serve(t)
	conn := dial()
	assert.NilError(t, r.Set(relay.State{ToTarget: relay.Stall, ToClient: relay.Pass}))
	send(t, conn, "late")
	expectNothing(t, conn)
	assert.NilError(t, r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}))
	expect(t, conn, "late")
}

func TestDelayKeepsOrder(t *testing.T) {
	r, dial := serve(t)
	assert.NilError(t, r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass, Delay: 5 * time.Millisecond}))
	conn := dial()
	start := time.Now()
	for _, s := range []string{"1", "2", "3"} {
		send(t, conn, s)
	}
	expect(t, conn, "123")
	assert.Assert(t, time.Since(start) >= 10*time.Millisecond)
}

func TestEndOfStreamIsForwarded(t *testing.T) {
	r, dial := serve(t)
	conn := dial()
	send(t, conn, "a")
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	all, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(all), "a")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.OpenConnections() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d open", r.OpenConnections())
	})
}

// A blackholed connection must be freed once both ends have closed it; otherwise the
// relay leaks memory.
func TestBlackholedConnectionIsFreedWhenBothEndsClose(t *testing.T) {
	r, dial := serve(t)
	conn := dial()
	send(t, conn, "a")
	expect(t, conn, "a")
	r.Blackhole(false, true)
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.OpenConnections() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d open", r.OpenConnections())
	})
}

func TestSwitchesOverHTTP(t *testing.T) {
	r, dial := serve(t)
	server := httptest.NewServer(r.Handler())
	t.Cleanup(server.Close)
	call := func(method, path, body string) int {
		req, err := http.NewRequest(method, server.URL+path, bytes.NewBufferString(body))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	assert.Equal(t, call(http.MethodPut, "/standin/switches", `{"to_target":"drop","delay":"2ms"}`), http.StatusNoContent)
	assert.Equal(t, r.State(), relay.State{ToTarget: relay.Drop, ToClient: relay.Pass, Delay: 2 * time.Millisecond})
	assert.Equal(t, call(http.MethodPut, "/standin/switches", `{"to_target":"sideways"}`), http.StatusBadRequest)
	assert.Equal(t, call(http.MethodPut, "/standin/switches", `{}`), http.StatusNoContent)
	conn := dial()
	send(t, conn, "a")
	expect(t, conn, "a")
	assert.Equal(t, call(http.MethodPost, "/standin/forget", `{"to_client":true}`), http.StatusOK)
	send(t, conn, "b")
	expectNothing(t, conn)
	assert.Equal(t, call(http.MethodPost, "/standin/reset", ``), http.StatusOK)
}
