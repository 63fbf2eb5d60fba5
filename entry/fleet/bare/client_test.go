package bare

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newRunner(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	c := New(Options{Address: server.Listener.Addr().String(), Connections: 8, MaxResponseBytes: 1 << 20})
	t.Cleanup(c.Close)
	return c
}

func request(payload string) Request {
	return Request{Task: "j1/3", Kind: "lookup", ClientAccount: "c1", RunLimit: time.Minute, Payload: []byte(payload)}
}

// closeConnection writes the given text and closes the connection of a handler.
func closeConnection(w http.ResponseWriter, before string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, before)
	_ = conn.Close()
}

func TestCall(t *testing.T) {
	cases := []struct {
		name   string
		runner http.HandlerFunc
		want   error
	}{
		{"whole answer", func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}, nil},
		{"refusal", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRan, ranNo)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, ErrRejected},
		{"503 that does not say it did not run", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, ErrFailed},
		{"an error is no refusal whatever it says", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRan, ranNo)
			w.WriteHeader(http.StatusInternalServerError)
		}, ErrFailed},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/v1/run", http.StatusTemporaryRedirect)
		}, ErrFailed},
		{"cut before an answer", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w, "") }, ErrLost},
		{"cut in the answer", func(w http.ResponseWriter, _ *http.Request) {
			closeConnection(w, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
		}, ErrTruncated},
		{"no length", func(w http.ResponseWriter, _ *http.Request) {
			closeConnection(w, "HTTP/1.1 200 OK\r\n\r\npart")
		}, ErrTruncated},
		{"wrong digest", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerDigest, "sha-256=:AAAA:")
			_, _ = io.WriteString(w, "part")
		}, ErrTruncated},
		{"too long", func(w http.ResponseWriter, _ *http.Request) {
			closeConnection(w, "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
		}, ErrTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			client := newRunner(t, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				assert.Check(t, r.Header.Get(headerTask) == "j1/3")
				c.runner(w, r)
			})
			answer, err := client.Call(context.Background(), request("part 4711"))
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			if c.want == nil {
				assert.Equal(t, string(answer.Payload), "part 4711")
			}
			assert.Equal(t, calls.Load(), int64(1))
		})
	}
}

// The run limit or the caller ends a call that the runner has started to execute. The
// task may have run; the runner sees its connection close.
func TestCallIsInterrupted(t *testing.T) {
	stopped := make(chan struct{}, 2)
	client := newRunner(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		stopped <- struct{}{}
	})
	limited := request("part")
	limited.RunLimit = 20 * time.Millisecond
	_, err := client.Call(context.Background(), limited)
	assert.Assert(t, errors.Is(err, ErrRunLimit), "%v", err)
	<-stopped

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Call(ctx, request("part"))
	assert.Assert(t, errors.Is(err, ErrLost), "%v", err)
	<-stopped
}

// Nothing listens at the address: the task did not start.
func TestCallNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client := New(Options{Address: address})
	defer client.Close()

	_, err = client.Call(context.Background(), request("part"))

	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

// A runner closes connections at arbitrary points: between requests, after the request
// line, after the body, during the response. net/http resends some requests if a reused
// connection fails. A call must reach the runner at most once, and "not sent" must be
// true.
func TestCallIsSentOnceOverBrokenConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var mu sync.Mutex
	seen := map[string]int{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		seen[r.Header.Get(headerTask)]++
		mu.Unlock()
		if len(body)%5 == 0 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body)
	})}
	go func() { _ = server.Serve(&breakingListener{Listener: listener}) }()
	defer func() { _ = server.Close() }()
	client := New(Options{Address: listener.Addr().String(), Connections: 8})
	defer client.Close()

	outcomes := make([]error, 400)
	var all sync.WaitGroup
	for caller := range 8 {
		all.Go(func() {
			for n := caller; n < len(outcomes); n += 8 {
				r := request(string(bytes.Repeat([]byte{'p'}, n%23)))
				r.Task = fmt.Sprint("j1/", n)
				_, outcomes[n] = client.Call(context.Background(), r)
			}
		})
	}
	all.Wait()
	// A request whose call failed may still reach the handler.
	assert.NilError(t, server.Shutdown(context.Background()))

	mu.Lock()
	defer mu.Unlock()
	failures := 0
	for n, err := range outcomes {
		count := seen[fmt.Sprint("j1/", n)]
		assert.Assert(t, count <= 1, "task %d arrived %d times", n, count)
		assert.Assert(t, !errors.Is(err, ErrNotSent) || count == 0, "task %d ran but was reported as not sent", n)
		if err != nil {
			failures++
		}
	}
	assert.Assert(t, failures > 0 && failures < len(outcomes), "%d of %d failed", failures, len(outcomes))
}

// breakingListener closes each connection after a different number of bytes.
type breakingListener struct {
	net.Listener
	count atomic.Int64
}

func (l *breakingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &breakingConn{Conn: c, left: 100 + 131*l.count.Add(1)%1900}, nil
}

type breakingConn struct {
	net.Conn
	left int64
}

func (c *breakingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 64)])
	c.left -= int64(n)
	if c.left <= 0 {
		_ = c.Conn.Close()
	}
	return n, err
}
