package fleet

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/task"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeGuard is a minimal ledger behind the real protocol. Its hooks break individual
// calls.
type fakeGuard struct {
	wirev1connect.UnimplementedGuardServiceHandler

	name        string
	incarnation uint64
	server      *http.Server
	address     string

	mu         sync.Mutex
	session    string
	sessions   int
	tombstones map[uint64]bool
	started    map[uint64]int
	arrived    map[uint64]int
	results    map[uint64]*wirev1.TaskReport
	pings      int
	resolves   int
	// misdirectedCancels is the number of Cancels to answer with the report of another
	// start.
	misdirectedCancels int
	cancels            int
	lowWatermark       uint64 // the highest watermark that a ping carried
	load               wirev1.Load
	lease              time.Duration

	// run executes the task; nil echoes the payload.
	run func(ctx context.Context, r *wirev1.StartRequest) *wirev1.TaskReport
	// beforeStart runs before the ledger is checked, afterStart before the reply is
	// sent.
	beforeStart func(r *wirev1.StartRequest)
	afterStart  func(ctx context.Context, r *wirev1.StartRequest, reply *wirev1.StartResponse) error
	onResolve   func(r *wirev1.ResolveRequest) *wirev1.ResolveResponse
	onPing      func()
}

func newFakeGuard(t testing.TB, name string, incarnation uint64) *fakeGuard {
	t.Helper()
	g := &fakeGuard{
		name:        name,
		incarnation: incarnation,
		tombstones:  map[uint64]bool{},
		started:     map[uint64]int{},
		arrived:     map[uint64]int{},
		results:     map[uint64]*wirev1.TaskReport{},
		lease:       10 * time.Second,
	}
	g.load = wirev1.Load{Version: 1, Slots: 8, RunnerPresent: true}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g.address = listener.Addr().String()
	g.serve(listener)
	t.Cleanup(func() { _ = g.server.Close() })
	return g
}

func (g *fakeGuard) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.Handle(wirev1connect.NewGuardServiceHandler(g))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	g.server = &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = g.server.Serve(listener) }()
}

// currentLoad returns a copy with a new version. The caller holds g.mu.
func (g *fakeGuard) currentLoad() *wirev1.Load {
	g.load.Version++
	return &wirev1.Load{
		Version:       g.load.Version,
		Slots:         g.load.Slots,
		OthersOpen:    g.load.OthersOpen,
		Leaving:       g.load.Leaving,
		RunnerPresent: g.load.RunnerPresent,
	}
}

func (g *fakeGuard) Hello(_ context.Context, _ *connect.Request[wirev1.HelloRequest]) (*connect.Response[wirev1.HelloResponse], error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions++
	g.session = fmt.Sprintf("s%d", g.sessions)
	return connect.NewResponse(&wirev1.HelloResponse{
		Session:          g.session,
		GuardId:          g.name,
		GuardIncarnation: g.incarnation,
		Service:          "teardown",
		Zone:             "zagreb",
		LeaseMs:          uint32(g.lease.Milliseconds()),
		Load:             g.currentLoad(),
	}), nil
}

func (g *fakeGuard) Start(ctx context.Context, c *connect.Request[wirev1.StartRequest]) (*connect.Response[wirev1.StartResponse], error) {
	r := c.Msg
	if g.beforeStart != nil {
		g.beforeStart(r)
	}
	report := g.admit(r)
	if report == nil {
		report = g.execute(ctx, r)
	}
	g.mu.Lock()
	reply := &wirev1.StartResponse{Session: r.GetSession(), Seq: r.GetSeq(), Report: report, Load: g.currentLoad()}
	g.mu.Unlock()
	if g.afterStart != nil {
		if err := g.afterStart(ctx, r, reply); err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(reply), nil
}

// admit records the sequence number in the ledger. It returns nil if the task is to
// run.
func (g *fakeGuard) admit(r *wirev1.StartRequest) *wirev1.TaskReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrived[r.GetSeq()]++
	switch {
	case r.GetGuardIncarnation() != g.incarnation:
		return state(wirev1.TaskState_TASK_STATE_WRONG_INCARNATION)
	case r.GetSession() != g.session:
		return state(wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION)
	case g.tombstones[r.GetSeq()]:
		return refused(wirev1.RefusalReason_REFUSAL_REASON_BARRED)
	case g.started[r.GetSeq()] > 0:
		return state(wirev1.TaskState_TASK_STATE_RUNNING)
	}
	g.started[r.GetSeq()]++
	return nil
}

func (g *fakeGuard) execute(ctx context.Context, r *wirev1.StartRequest) *wirev1.TaskReport {
	report := echo(r)
	if g.run != nil {
		report = g.run(ctx, r)
	}
	g.mu.Lock()
	g.results[r.GetSeq()] = report
	g.mu.Unlock()
	return report
}

func (g *fakeGuard) Resolve(_ context.Context, c *connect.Request[wirev1.ResolveRequest]) (*connect.Response[wirev1.ResolveResponse], error) {
	r := c.Msg
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resolves++
	if g.onResolve != nil {
		if reply := g.onResolve(r); reply != nil {
			return connect.NewResponse(reply), nil
		}
	}
	return connect.NewResponse(&wirev1.ResolveResponse{
		Session: r.GetSession(),
		Seq:     r.GetSeq(),
		Report:  g.lookUp(r.GetSession(), r.GetSeq(), r.GetGuardIncarnation()),
		Load:    g.currentLoad(),
	}), nil
}

// lookUp answers a Resolve or a Cancel. For a number that never arrived it records a
// tombstone, so that a Start that arrives later is refused. The caller holds g.mu.
func (g *fakeGuard) lookUp(session string, seq, incarnation uint64) *wirev1.TaskReport {
	switch {
	case incarnation != g.incarnation:
		return state(wirev1.TaskState_TASK_STATE_WRONG_INCARNATION)
	case session != g.session:
		return state(wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION)
	case g.results[seq] != nil:
		return g.results[seq]
	case g.started[seq] > 0:
		return state(wirev1.TaskState_TASK_STATE_RUNNING)
	}
	g.tombstones[seq] = true
	return refused(wirev1.RefusalReason_REFUSAL_REASON_BARRED)
}

func (g *fakeGuard) Cancel(_ context.Context, c *connect.Request[wirev1.CancelRequest]) (*connect.Response[wirev1.CancelResponse], error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancels++
	if g.misdirectedCancels > 0 {
		g.misdirectedCancels--
		return connect.NewResponse(&wirev1.CancelResponse{
			Session: c.Msg.GetSession(),
			Seq:     c.Msg.GetSeq() + 1,
			Report:  refused(wirev1.RefusalReason_REFUSAL_REASON_CANCELLED),
		}), nil
	}
	return connect.NewResponse(&wirev1.CancelResponse{
		Session: c.Msg.GetSession(),
		Seq:     c.Msg.GetSeq(),
		Report:  g.lookUp(c.Msg.GetSession(), c.Msg.GetSeq(), c.Msg.GetGuardIncarnation()),
		Load:    g.currentLoad(),
	}), nil
}

func (g *fakeGuard) Ping(_ context.Context, c *connect.Request[wirev1.PingRequest]) (*connect.Response[wirev1.PingResponse], error) {
	if g.onPing != nil {
		g.onPing()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pings++
	g.lowWatermark = max(g.lowWatermark, c.Msg.GetLowWatermark())
	return connect.NewResponse(&wirev1.PingResponse{
		Known:            c.Msg.GetSession() == g.session,
		GuardIncarnation: g.incarnation,
		Load:             g.currentLoad(),
	}), nil
}

func (g *fakeGuard) locked(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// startCounts returns the maximum starts per sequence number, which must be at most
// one, and the total.
func (g *fakeGuard) startCounts() (most, total int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.started {
		most = max(most, n)
		total += n
	}
	return most, total
}

func state(s wirev1.TaskState) *wirev1.TaskReport { return &wirev1.TaskReport{State: s} }

func refused(reason wirev1.RefusalReason) *wirev1.TaskReport {
	return &wirev1.TaskReport{State: wirev1.TaskState_TASK_STATE_NEVER_STARTED, Reason: reason}
}

func echo(r *wirev1.StartRequest) *wirev1.TaskReport {
	return wholeResult(string(r.GetTask().GetPayload()))
}

func wholeResult(text string) *wirev1.TaskReport {
	payload := []byte(text)
	digest := sha256.Sum256(payload)
	return &wirev1.TaskReport{
		State:  wirev1.TaskState_TASK_STATE_FINISHED,
		Result: &wirev1.Result{Ok: true, Payload: payload, Length: uint64(len(payload)), Digest: digest[:]},
	}
}

// fakeSink records what the fleet reported.
type fakeSink struct {
	mu        sync.Mutex
	endpoints map[scheduler.EndpointID]scheduler.Endpoint
	reports   map[scheduler.EndpointID]scheduler.Report
}

func newFakeSink() *fakeSink {
	return &fakeSink{
		endpoints: map[scheduler.EndpointID]scheduler.Endpoint{},
		reports:   map[scheduler.EndpointID]scheduler.Report{},
	}
}

func (s *fakeSink) SetEndpoint(_ string, e scheduler.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints[e.ID] = e
}

func (s *fakeSink) RemoveEndpoint(_ string, id scheduler.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, id)
}

func (s *fakeSink) ApplyReport(_ string, id scheduler.EndpointID, r scheduler.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Version >= s.reports[id].Version {
		s.reports[id] = r
	}
}

func (s *fakeSink) get(id scheduler.EndpointID) (scheduler.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	return e, ok
}

func (s *fakeSink) report(id scheduler.EndpointID) scheduler.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports[id]
}

// fastTiming keeps the tests short; it differs from the defaults only in scale.
func fastTiming() Timing {
	return Timing{
		PingAfter:           60 * time.Millisecond,
		PingTimeout:         100 * time.Millisecond,
		MinIdlePingInterval: 100 * time.Millisecond,
		RemoveAfter:         300 * time.Millisecond,
		ResolveAfter:        150 * time.Millisecond,
		ResolveWait:         100 * time.Millisecond,
		CallTimeout:         200 * time.Millisecond,
		RefusedTimeout:      150 * time.Millisecond,
		CancelTimeout:       500 * time.Millisecond,
		CancelMargin:        50 * time.Millisecond,
		BackoffMin:          5 * time.Millisecond,
		BackoffMax:          40 * time.Millisecond,
		ExpiryInterval:      20 * time.Millisecond,
	}
}

// newTestFleet returns a running fleet that is stopped when the test ends.
func newTestFleet(t *testing.T, sink task.EndpointSink, change ...func(*Options)) *Fleet {
	t.Helper()
	o := Options{EntryID: "e1", Incarnation: 1, DataCentre: "zagreb", Sink: sink, Timing: fastTiming()}
	for _, c := range change {
		c(&o)
	}
	f := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return f
}

func (g *fakeGuard) announcement() *wirev1.AnnounceRequest {
	return &wirev1.AnnounceRequest{
		GuardId:          g.name,
		GuardIncarnation: g.incarnation,
		Address:          g.address,
		Zone:             "zagreb",
		Service:          "teardown",
	}
}

func (g *fakeGuard) id() scheduler.EndpointID { return endpointID(g.name, g.incarnation) }

// join announces the guard and waits until the sink knows it.
func join(t testing.TB, f *Fleet, sink *fakeSink, g *fakeGuard) {
	t.Helper()
	_, err := f.Announce(context.Background(), g.announcement())
	assert.NilError(t, err)
	eventually(t, func() bool { _, ok := sink.get(g.id()); return ok }, "guard joins")
}

func eventually(t testing.TB, ok func() bool, what string) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func callOn(id scheduler.EndpointID, payload string, budget time.Duration) task.Call {
	return task.Call{
		Assignment: scheduler.Assignment{Task: scheduler.TaskRef{Job: "j1", Index: 3}, Endpoint: id, TasksLeft: 2},
		Submission: "j1",
		Client:     "c1",
		Service:    "teardown",
		Kind:       "lookup",
		Payload:    []byte(payload),
		Deadline:   time.Now().Add(budget),
		RunLimit:   time.Second,
	}
}
