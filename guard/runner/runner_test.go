package runner_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/guard/runner"
)

// noTimeout is longer than any test takes.
const noTimeout = time.Minute

func newClient(address string, connections int) *runner.Client {
	return runner.New(runner.Options{
		Address:          address,
		Connections:      connections,
		MaxResponseBytes: 1 << 16,
		CancelGrace:      noTimeout,
	})
}

func request(task, payload string) runner.Request {
	sum := sha256.Sum256([]byte(payload))
	return runner.Request{Task: task, Kind: "lookup", Client: "c", Payload: []byte(payload), Digest: sum[:], RunLimit: noTimeout}
}

// raw sends the given bytes as the response and closes the connection.
func raw(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}
}

func status(code int, ran string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if ran != "" {
			w.Header().Set(runner.HeaderRan, ran)
		}
		w.WriteHeader(code)
	}
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return runner.FormatDigest(sum[:])
}

// Only a complete response may complete a task, and only an explicit statement of
// the runner may count as a rejection. Forwarding a truncated response, or
// reporting a failed task as not run, would break the guarantees to the caller.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    runner.Verdict
	}{
		{"whole", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), runner.Completed},
		{"empty", raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), runner.Completed},
		{"digest", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Digest: md5=:AA==:, " + digest("ok") + "\r\n\r\nok"), runner.Completed},
		{"wrong digest", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Digest: " + digest("no") + "\r\n\r\nok"), runner.Truncated},
		{"short", raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok"), runner.Truncated},
		{"chunked", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), runner.Completed},
		{"chunked short", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), runner.Truncated},
		{"no length", raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"), runner.Truncated},
		{"no length but digest", raw("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Digest: " + digest("ok") + "\r\n\r\nok"), runner.Completed},
		{"too long", raw("HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 99999)), runner.Truncated},
		{"chunks too long", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1869f\r\n" + strings.Repeat("x", 99999) + "\r\n0\r\n\r\n"), runner.Truncated},
		{"no slot", status(http.StatusServiceUnavailable, "no"), runner.Rejected},
		{"too many", status(http.StatusTooManyRequests, "no"), runner.Rejected},
		{"unavailable", status(http.StatusServiceUnavailable, ""), runner.Failed},
		{"failed", status(http.StatusInternalServerError, "no"), runner.Failed},
		{"no content", status(http.StatusNoContent, ""), runner.Failed},
		{"nothing", raw(""), runner.ConnectionLost},
		{"half a head", raw("HTTP/1.1 200"), runner.ConnectionLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(c.handler)
			defer s.Close()
			client := newClient(s.Listener.Addr().String(), 2)
			defer client.Close()
			out := client.Run(t.Context(), request("s/0", "in"))
			assert.Equal(t, out.Verdict, c.want, out.Message)
			if c.want == runner.Completed && c.name != "empty" {
				assert.Equal(t, string(out.Payload), "ok")
			}
			assert.Assert(t, out.Verdict == runner.Completed || out.Payload == nil)
		})
	}
}

// Nothing listens at the runner's address. No byte was sent, so the task may be
// reported as not run.
func TestAbsentRunner(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	out := newClient(address, 1).Run(t.Context(), request("s/0", "in"))
	assert.Equal(t, out.Verdict, runner.Unreachable)
}

// All connections to the runner are in use until the run limit of a further call
// passes. The runner is healthy: if it were reported as absent, it would lose all
// work.
func TestNoConnectionWithinTheRunLimit(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}))
	defer s.Close()
	client := newClient(s.Listener.Addr().String(), 1)
	defer client.Close()
	first := make(chan runner.Outcome, 1)
	go func() { first <- client.Run(t.Context(), request("s/0", "in")) }()
	<-entered
	short := request("s/1", "in")
	short.RunLimit = 20 * time.Millisecond
	assert.Equal(t, client.Run(t.Context(), short).Verdict, runner.NoConnection)
	close(release)
	assert.Equal(t, (<-first).Verdict, runner.Completed)
}

// A runner responds with a 307 redirect to itself. Following it would send the
// task twice.
func TestRedirectIsNotFollowed(t *testing.T) {
	var arrived atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	out := newClient(s.Listener.Addr().String(), 1).Run(t.Context(), request("s/0", "in"))
	assert.Equal(t, out.Verdict, runner.Failed)
	assert.Equal(t, arrived.Load(), int32(1))
}

// faultyRunner is a runner that breaks its first connection: after responding to
// precedingRequests requests it reads readBytes bytes of the next one, sends
// answer and closes the connection. Later connections respond to every request.
type faultyRunner struct {
	net.Listener
	precedingRequests int
	readBytes         int
	reset             bool
	answer            string

	mu    sync.Mutex
	conns int
	// arrivals counts how often bytes of the interrupted task arrived.
	arrivals int
}

func (c *faultyRunner) serve() {
	for {
		conn, err := c.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		first := c.conns == 0
		c.conns++
		c.mu.Unlock()
		go c.handle(conn.(*net.TCPConn), first)
	}
}

func (c *faultyRunner) handle(conn *net.TCPConn, first bool) {
	defer func() { _ = conn.Close() }()
	if !first {
		c.respondAll(conn)
		return
	}
	for range c.precedingRequests {
		if !readRequest(conn) {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	got, _ := io.ReadFull(conn, make([]byte, c.readBytes))
	if got > 0 {
		c.mu.Lock()
		c.arrivals++
		c.mu.Unlock()
	}
	_, _ = io.WriteString(conn, c.answer)
	if c.reset {
		_ = conn.SetLinger(0)
	}
}

// respondAll responds to every request of a connection that is not broken, and
// counts them.
func (c *faultyRunner) respondAll(conn net.Conn) {
	for readRequest(conn) {
		c.mu.Lock()
		c.arrivals++
		c.mu.Unlock()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// bodyEnd is the suffix of every payload here, by which the end of a request is
// recognised.
const bodyEnd = "<end>"

func readRequest(conn net.Conn) bool {
	var got bytes.Buffer
	one := make([]byte, 1)
	for !bytes.HasSuffix(got.Bytes(), []byte(bodyEnd)) {
		if _, err := conn.Read(one); err != nil {
			return false
		}
		got.Write(one)
	}
	return true
}

// The connection to the runner breaks at any point of a call: before, during or
// after the request, or during the response, on a new or a reused connection. The
// guard must report a loss; a transport that silently retried would run the task
// twice. "Not run" may be reported only if no byte arrived.
func TestCallArrivesAtMostOnce(t *testing.T) {
	lengths := []int{0, 1, 15, 16, 40, 150, 200, 300, 310, 312}
	for _, precedingRequests := range []int{0, 1, 3} {
		for _, readBytes := range lengths {
			for _, reset := range []bool{false, true} {
				for _, answer := range []string{"", "HTTP/1.1 200 OK\r\nContent-Le"} {
					t.Run(fmt.Sprint(precedingRequests, readBytes, reset, len(answer)), func(t *testing.T) {
						t.Parallel()
						runInterruptedCall(t, &faultyRunner{precedingRequests: precedingRequests, readBytes: readBytes, reset: reset, answer: answer})
					})
				}
			}
		}
	}
}

func runInterruptedCall(t *testing.T, c *faultyRunner) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c.Listener = l
	defer func() { _ = l.Close() }()
	go c.serve()
	client := newClient(l.Addr().String(), 4)
	defer client.Close()
	for i := range c.precedingRequests {
		out := client.Run(t.Context(), request(fmt.Sprint("warm/", i), bodyEnd))
		assert.Equal(t, out.Verdict, runner.Completed, out.Message)
	}
	out := client.Run(t.Context(), request("cut/0", strings.Repeat("x", 40)+bodyEnd))
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, c.arrivals <= 1, "arrived %d times", c.arrivals)
	switch out.Verdict {
	case runner.ConnectionLost:
	case runner.Unreachable:
		assert.Equal(t, c.arrivals, 0, "reported as not run, but bytes arrived")
	case runner.Completed:
		// The connection broke before the call, which was sent over a new one.
		assert.Equal(t, c.arrivals, 1)
	default:
		t.Fatalf("verdict %v %s", out.Verdict, out.Message)
	}
}

// A task is cancelled and its runner takes a while to stop. The slot must stay
// occupied until then, or the guard would overload the runner.
func TestCancelWaitsForRunnerToStop(t *testing.T) {
	started, cancelSeen, stop := make(chan struct{}), make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(cancelSeen)
		<-stop
	}))
	defer s.Close()
	finish := sync.OnceFunc(func() { close(stop) })
	defer finish()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan runner.Outcome, 1)
	go func() { ended <- newClient(s.Listener.Addr().String(), 1).Run(ctx, request("s/0", "in")) }()
	<-started
	cancel()
	<-cancelSeen
	select {
	case out := <-ended:
		t.Fatalf("ended before the runner stopped: %v", out)
	case <-time.After(50 * time.Millisecond):
	}
	finish()
	assert.Equal(t, (<-ended).Verdict, runner.Cancelled)
}

// A runner ignores a cancellation or the run limit. After the grace time the
// connection must be closed, so that the slot is not occupied for ever.
func TestUnresponsiveRunnerIsDisconnected(t *testing.T) {
	started, stop := make(chan struct{}, 2), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		started <- struct{}{}
		<-stop
	}))
	defer s.Close()
	defer close(stop)
	client := runner.New(runner.Options{Address: s.Listener.Addr().String(), Connections: 2, MaxResponseBytes: 1, CancelGrace: time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	assert.Equal(t, client.Run(ctx, request("s/0", "in")).Verdict, runner.Cancelled)
	limited := request("s/1", "in")
	limited.RunLimit = 5 * time.Millisecond
	assert.Equal(t, client.Run(t.Context(), limited).Verdict, runner.RunLimit)
}

// A cancellation coincides with the end of its call, whose connection already
// serves the next call. The next call must not be interrupted.
func TestLateCancelAffectsNoOtherCall(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer s.Close()
	client := newClient(s.Listener.Addr().String(), 1)
	var wg sync.WaitGroup
	for i := range 300 {
		ctx, cancel := context.WithCancel(t.Context())
		wg.Go(func() { client.Run(ctx, request("cancelled/0", "in")) })
		wg.Go(func() {
			out := client.Run(t.Context(), request("kept/0", "in"))
			if out.Verdict != runner.Completed {
				t.Errorf("call interrupted by the cancellation of another: %v %s", out.Verdict, out.Message)
			}
		})
		time.Sleep(time.Duration(i) * time.Microsecond)
		cancel()
		wg.Wait()
	}
}
