package api

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/contract"
	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/engine"
	"almondstand.dev/entry/task"
)

// echoStarter completes each task with its own payload after the given run time.
type echoStarter struct{ run time.Duration }

func (s echoStarter) Start(ctx context.Context, c task.Call) task.Outcome {
	if s.run > 0 {
		select {
		case <-time.After(s.run):
		case <-ctx.Done():
			return task.Outcome{Code: task.CodeCancelled, Ran: task.RanYes}
		}
	}
	digest := sha256.Sum256(c.Payload)
	return task.Outcome{Ran: task.RanYes, Payload: c.Payload, Digest: digest[:], RunTime: s.run}
}

// newTestServer serves the API over TCP with a real engine and scheduler.
func newTestServer(t testing.TB, starter task.Starter, options ...func(*Server, *http.Server)) (*httptest.Server, *engine.Engine) {
	f := newFakes()
	f.decision.Release = func() {}
	c := f.contracts["t-shop"]
	c.AnswerTime = contract.Duration(time.Minute)
	f.contracts["t-shop"] = c
	e := engine.New(engine.Options{Starter: starter, NewPolicy: func(string) scheduler.Policy {
		return scheduler.New(scheduler.Options{}, rand.New(rand.NewPCG(1, 2)))
	}})
	for i := range 11 {
		e.SetEndpoint("teardown", scheduler.Endpoint{ID: scheduler.EndpointID(fmt.Sprintf("g%d#1", i)), Slots: 64})
	}
	s := newServer(f, 1)
	s.opts.Engine = e
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = NewHTTPServer(handler(s), slog.New(slog.DiscardHandler))
	for _, apply := range options {
		apply(s, srv.Config)
	}
	srv.Start()
	t.Cleanup(srv.Close)
	return srv, e
}

func call(t testing.TB, srv *httptest.Server, method, path, body string) (int, http.Header, []byte) {
	req, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer t-shop")
	resp, err := srv.Client().Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Header, b
}

func jobOf(tasks int, payload string) string {
	taskJSON := `{"payload":"` + payload + `"}`
	return `{"service":"teardown","tasks":[` + strings.Repeat(taskJSON+",", tasks-1) + taskJSON + `]}`
}

// TestConcurrentCallersGetTheirOwnAnswers: many concurrent callers, each
// repeating its submission, get the complete answer to their own job and never
// to another.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	srv, _ := newTestServer(t, echoStarter{run: time.Millisecond})
	var wg sync.WaitGroup
	for i := range 40 {
		payload := fmt.Sprintf("%04d", i) // four digits are valid base64
		body := jobOf(1+i%7, payload)
		_, _, mintResponse := call(t, srv, "POST", "/v1/submissions", "")
		var ids mintedBody
		assert.NilError(t, json.Unmarshal(mintResponse, &ids))
		for range 3 {
			wg.Go(func() {
				status, _, b := call(t, srv, "PUT", "/v1/submissions/"+ids.Submissions[0], body)
				var answer completeBody
				assert.Check(t, json.Unmarshal(b, &answer))
				assert.Check(t, status == 200 && answer.Submission == ids.Submissions[0] && len(answer.Tasks) == 1+i%7, "%s", b)
				assert.Check(t, strings.Count(string(b), `"payload":"`+payload+`"`) == 1+i%7, "%s", b)
			})
		}
	}
	wg.Wait()
}

// TestPostIsCancelledOnDisconnect: the answer to POST /v1/jobs cannot be fetched
// later, so its job is cancelled when the caller disconnects and the entry
// becomes idle.
func TestPostIsCancelledOnDisconnect(t *testing.T) {
	started := make(chan struct{})
	srv, e := newTestServer(t, starterFunc(func(ctx context.Context, _ task.Call) task.Outcome {
		close(started)
		<-ctx.Done()
		return task.Outcome{Code: task.CodeCancelled, Ran: task.RanYes}
	}))
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	body := jobOf(1, "AAAA")
	_, err = fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer t-shop\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	<-started
	assert.NilError(t, conn.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second) // much shorter than the answer time
	defer cancel()
	assert.NilError(t, e.Drain(ctx))
}

type starterFunc func(context.Context, task.Call) task.Outcome

func (f starterFunc) Start(ctx context.Context, c task.Call) task.Outcome { return f(ctx, c) }

// TestDrainingClosesConnections: a draining entry answers with Connection: close,
// since it is about to close the connection.
func TestDrainingClosesConnections(t *testing.T) {
	srv, e := newTestServer(t, echoStarter{})
	assert.NilError(t, e.Drain(context.Background()))
	req, err := http.NewRequest("POST", srv.URL+"/v1/jobs", strings.NewReader(jobOf(1, "AAAA")))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer t-shop")
	resp, err := srv.Client().Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Close)
	assert.Equal(t, resp.Header.Get(headerNext), "")
}

// TestMalformedAndSlowRequests: connections that send malformed, too large, slow
// or no requests get a 4xx status or are closed, and a valid request is served
// meanwhile.
func TestMalformedAndSlowRequests(t *testing.T) {
	srv, _ := newTestServer(t, echoStarter{}, func(_ *Server, s *http.Server) {
		s.ReadHeaderTimeout = 200 * time.Millisecond
		s.ReadTimeout = 300 * time.Millisecond
	})
	head := "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer t-shop\r\n"
	cases := []struct {
		name, send string
		status     string // empty: closed without an answer
	}{
		{"headers too large", head + "X: " + strings.Repeat("x", 2*MaxHeaderBytes) + "\r\n\r\n", "431"},
		{"unfinished headers", head, ""},
		{"nothing", "", ""},
		{"junk", "\x00\x01\x02\r\n\r\n", "400"},
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n{}", "400"},
		{"length and chunks", head + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"declared too large", head + "Content-Length: 99999999\r\n\r\n", "413"},
		{"chunks too large", head + "Transfer-Encoding: chunked\r\n\r\n2000\r\n" + strings.Repeat(" ", 0x2000) + "\r\n", "413"},
		{"slow body", head + "Content-Length: 100\r\n\r\n{", "408"},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
	}
	var wg sync.WaitGroup
	for _, c := range cases {
		wg.Go(func() {
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			assert.Check(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, c.send)
			assert.Check(t, err)
			line, _ := bufio.NewReader(conn).ReadString('\n')
			if c.status == "" {
				assert.Check(t, line == "", "%s: %q", c.name, line)
				return
			}
			assert.Check(t, strings.Contains(line, " "+c.status+" "), "%s: %q", c.name, line)
		})
	}
	status, _, b := call(t, srv, "POST", "/v1/jobs", jobOf(1, "AAAA"))
	assert.Equal(t, status, 200, string(b))
	wg.Wait()
}

// TestSlowReader: a caller requests a large answer and does not read it. Its
// connection is closed after the write timeout; otherwise it would hold the
// answer's memory indefinitely and block a shutdown.
func TestSlowReader(t *testing.T) {
	large := make([]byte, 32<<20)
	digest := sha256.Sum256(large)
	srv, _ := newTestServer(t, starterFunc(func(context.Context, task.Call) task.Outcome {
		return task.Outcome{Ran: task.RanYes, Payload: large, Digest: digest[:]}
	}), func(s *Server, _ *http.Server) { s.opts.WriteTimeout = 500 * time.Millisecond })
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	body := jobOf(1, "AAAA")
	_, err = fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer t-shop\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	_, err = bufio.NewReaderSize(conn, 16).Peek(1) // the server has started to write the answer
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, srv.Config.Shutdown(ctx))
}

// BenchmarkJobs measures the callers' API, the engine and the scheduler over
// TCP, with tasks that complete immediately.
func BenchmarkJobs(b *testing.B) {
	for _, tasks := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(tasks, "tasks"), func(b *testing.B) {
			srv, _ := newTestServer(b, echoStarter{})
			srv.Client().Transport.(*http.Transport).MaxIdleConnsPerHost = 64
			body := jobOf(tasks, "AAAA")
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if status, _, text := call(b, srv, "POST", "/v1/jobs", body); status != 200 {
						b.Errorf("%d %s", status, text)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N*tasks)/b.Elapsed().Seconds(), "tasks/s")
		})
	}
}
