package node_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/guard/config"
	"almondstand.dev/guard/node"
	"almondstand.dev/settings"
	"almondstand.dev/telemetry"
	wirev1 "almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

const service = "teardown"

// entry is a fake entry that records the announcements.
type entry struct {
	wirev1connect.UnimplementedEntryServiceHandler
	address string

	mu            sync.Mutex
	announcements []*wirev1.AnnounceRequest
}

func (e *entry) Announce(_ context.Context, req *connect.Request[wirev1.AnnounceRequest]) (*connect.Response[wirev1.AnnounceResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcements = append(e.announcements, req.Msg)
	return connect.NewResponse(&wirev1.AnnounceResponse{
		EntryId: "e1",
		NextMs:  60_000,
		Attach:  []*wirev1.EntryInfo{{Id: "e1", Incarnation: 1, Address: e.address}},
	}), nil
}

// last returns the latest announcement, nil when there was none.
func (e *entry) last() *wirev1.AnnounceRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.announcements) == 0 {
		return nil
	}
	return e.announcements[len(e.announcements)-1]
}

func h2c() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

func newEntry(t *testing.T) *entry {
	e := &entry{}
	mux := http.NewServeMux()
	mux.Handle(wirev1connect.NewEntryServiceHandler(e))
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = h2c()
	s.Start()
	t.Cleanup(s.Close)
	e.address = s.Listener.Addr().String()
	return e
}

func addr(text string) settings.Address {
	return settings.Address{AddrPort: netip.MustParseAddrPort(text)}
}

// guard is a running node.
type guard struct {
	*node.Node
	stop  context.CancelFunc
	ended chan error
}

func startGuard(t *testing.T, balancer string, linger time.Duration) *guard {
	s := config.Default()
	s.ID = "g1"
	s.DataCentre = "zagreb"
	s.Listen.Internal = addr("127.0.0.1:0")
	s.Listen.Local = addr("127.0.0.1:0")
	s.Balancers = []settings.Address{addr(balancer)}
	s.Linger = settings.Duration(linger)
	n, err := node.New(s, node.Options{
		Logger:  slog.New(slog.DiscardHandler),
		Metrics: &telemetry.Metrics{Scope: tally.NoopScope, Handler: http.NotFoundHandler()},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	g := &guard{Node: n, stop: cancel, ended: make(chan error, 1)}
	go func() { g.ended <- n.Run(ctx) }()
	t.Cleanup(cancel)
	return g
}

// announceRunner announces a runner and returns the response status.
func (g *guard) announceRunner(t *testing.T, address string, leaving bool) int {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":2,"connections":4,"ttl":"1m","leaving":%v}`, service, address, leaving)
	resp, err := http.Post("http://"+g.LocalAddr()+"/v1/announce", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

func (g *guard) client() wirev1connect.GuardServiceClient { return clientOf(g.InternalAddr()) }

func clientOf(address string) wirev1connect.GuardServiceClient {
	hc := &http.Client{Transport: &http.Transport{Protocols: h2c()}}
	return wirev1connect.NewGuardServiceClient(hc, "http://"+address)
}

// slowProxy forwards one connection to a guard and returns its responses slowly,
// in small chunks.
func slowProxy(t *testing.T, target string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		upstream, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer func() { _ = upstream.Close() }()
		_ = upstream.(*net.TCPConn).SetReadBuffer(64 << 10)
		go func() { _, _ = io.Copy(upstream, c) }()
		for err == nil {
			_, err = io.CopyN(c, upstream, 16<<10)
			time.Sleep(time.Millisecond)
		}
	}()
	return l.Addr().String()
}

func hello(t *testing.T, c wirev1connect.GuardServiceClient) string {
	resp, err := c.Hello(t.Context(), connect.NewRequest(&wirev1.HelloRequest{EntryId: "e1", EntryIncarnation: 1}))
	assert.NilError(t, err)
	return resp.Msg.GetSession()
}

// acknowledge acknowledges all starts below a sequence number.
func acknowledge(t *testing.T, c wirev1connect.GuardServiceClient, g *guard, session string, low uint64) {
	_, err := c.Ping(t.Context(), connect.NewRequest(&wirev1.PingRequest{
		Session: session, GuardIncarnation: g.Incarnation(), LowWatermark: low,
	}))
	assert.NilError(t, err)
}

func start(session string, seq uint64, g *guard, payload string) *connect.Request[wirev1.StartRequest] {
	sum := sha256.Sum256([]byte(payload))
	return connect.NewRequest(&wirev1.StartRequest{
		Session:          session,
		Seq:              seq,
		GuardIncarnation: g.Incarnation(),
		BudgetMs:         60_000,
		RunLimitMs:       60_000,
		Task: &wirev1.Task{
			Submission: "s1",
			Service:    service,
			Kind:       "lookup",
			Payload:    []byte(payload),
			Digest:     sum[:],
		},
	})
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// A guard is stopped while a task runs. The entry must get the complete result of
// the running task, a refusal as never started for a new one, and the notice that
// the guard is leaving. Only then may the guard stop.
func TestGracefulShutdownLosesNoResult(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		close(started)
		<-release
		_, _ = w.Write(append([]byte("done "), body...))
	}))
	defer runner.Close()
	e := newEntry(t)
	g := startGuard(t, e.address, time.Minute)
	g.announceRunner(t, runner.Listener.Addr().String(), false)
	waitFor(t, "announcement", func() bool { return e.last() != nil })
	assert.Equal(t, e.last().GetService(), service)
	assert.Equal(t, e.last().GetLoad().GetSlots(), uint32(2))
	ctx, c := t.Context(), g.client()
	session := hello(t, c)
	running := make(chan *wirev1.TaskReport, 1)
	go func() {
		resp, err := c.Start(ctx, start(session, 1, g, "a"))
		if err != nil {
			running <- &wirev1.TaskReport{Result: &wirev1.Result{Message: err.Error()}}
			return
		}
		running <- resp.Msg.GetReport()
	}()
	<-started
	g.stop()
	waitFor(t, "leaving notice", func() bool { return e.last().GetLeaving() })
	refused, err := c.Start(ctx, start(session, 2, g, "b"))
	assert.NilError(t, err)
	assert.Equal(t, refused.Msg.GetReport().GetState(), wirev1.TaskState_TASK_STATE_NEVER_STARTED)
	assert.Equal(t, refused.Msg.GetReport().GetReason(), wirev1.RefusalReason_REFUSAL_REASON_LEAVING)
	select {
	case err := <-g.ended:
		t.Fatalf("stopped while a task was running: %v", err)
	default:
	}
	close(release)
	report := <-running
	assert.Equal(t, string(report.GetResult().GetPayload()), "done a", "%v", report)
	acknowledge(t, c, g, session, 3)
	assert.NilError(t, <-g.ended)
}

// The guard is stopped while a large result is sent over a slow connection. Most
// of it is in the kernel's buffers, where closing the connection can discard it,
// so the guard must wait for the entry's acknowledgement.
func TestShutdownWaitsForSlowReply(t *testing.T) {
	const size = 3 << 20
	started := make(chan struct{})
	runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		close(started)
		_, _ = w.Write(make([]byte, size))
	}))
	defer runner.Close()
	g := startGuard(t, newEntry(t).address, time.Minute)
	g.announceRunner(t, runner.Listener.Addr().String(), false)
	c := clientOf(slowProxy(t, g.InternalAddr()))
	session := hello(t, c)
	go func() {
		<-started
		g.stop()
	}()
	resp, err := c.Start(t.Context(), start(session, 1, g, "a"))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Msg.GetReport().GetResult().GetPayload()), size)
	acknowledge(t, c, g, session, 2)
	assert.NilError(t, <-g.ended)
}

// The reply to the last task of a leaving guard is lost. The guard must keep
// running until the entry has resolved the task and acknowledged its result.
func TestLeavingGuardWaitsForAcknowledgement(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "done")
	}))
	defer runner.Close()
	e := newEntry(t)
	g := startGuard(t, e.address, time.Minute)
	g.announceRunner(t, runner.Listener.Addr().String(), false)
	ctx, c := t.Context(), g.client()
	session := hello(t, c)
	startCtx, cancelStart := context.WithCancel(ctx)
	broken := make(chan error, 1)
	go func() {
		_, err := c.Start(startCtx, start(session, 1, g, "a"))
		broken <- err
	}()
	<-started
	cancelStart()
	assert.Assert(t, <-broken != nil)
	g.stop()
	close(release)
	resp, err := c.Resolve(ctx, connect.NewRequest(&wirev1.ResolveRequest{
		Session: session, Seq: 1, GuardIncarnation: g.Incarnation(), WaitMs: 30_000,
	}))
	assert.NilError(t, err)
	assert.Equal(t, string(resp.Msg.GetReport().GetResult().GetPayload()), "done")
	acknowledge(t, c, g, session, 2)
	assert.NilError(t, <-g.ended)
}

// A second runner on the host must be rejected while the first is registered.
// Once the first has announced that it is leaving, the second must be accepted,
// and the entries must be notified of both changes at once.
func TestSecondRunnerIsRejected(t *testing.T) {
	e := newEntry(t)
	g := startGuard(t, e.address, 0)
	status := g.announceRunner(t, "127.0.0.1:4001", false)
	assert.Equal(t, status, http.StatusOK)
	status = g.announceRunner(t, "127.0.0.1:4002", false)
	assert.Equal(t, status, http.StatusConflict)
	status = g.announceRunner(t, "127.0.0.1:4001", true)
	assert.Equal(t, status, http.StatusOK)
	waitFor(t, "leaving", func() bool { return e.last().GetLeaving() })
	status = g.announceRunner(t, "127.0.0.1:4002", false)
	assert.Equal(t, status, http.StatusOK)
	waitFor(t, "back", func() bool { return !e.last().GetLeaving() })
	g.stop()
	assert.NilError(t, <-g.ended)
}
