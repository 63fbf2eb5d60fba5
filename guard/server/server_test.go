package server_test

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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/guard/ledger"
	"almondstand.dev/guard/registration"
	"almondstand.dev/guard/runner"
	"almondstand.dev/guard/server"
	"almondstand.dev/telemetry"
	wirev1 "almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

const (
	service     = "teardown"
	incarnation = 7
	lease       = 10 * time.Minute
	budget      = time.Minute
	queueLen    = 2
	maxPayload  = 1 << 16

	finished     = wirev1.TaskState_TASK_STATE_FINISHED
	neverStarted = wirev1.TaskState_TASK_STATE_NEVER_STARTED
)

// Kinds of tasks, which select the behaviour of the fake runner.
const (
	echo     = "echo"
	hold     = "hold"
	refuse   = "refuse"
	truncate = "cut"
)

// fakeRunner is a runner that counts the starts of each task.
type fakeRunner struct {
	*httptest.Server
	release chan struct{}
	// finish lets the tasks of kind hold return.
	finish func()

	mu           sync.Mutex
	starts       map[string]int
	running      int
	maxRunning   int
	stoppedCalls int
}

func newFakeRunner(t testing.TB) *fakeRunner {
	f := &fakeRunner{release: make(chan struct{}), starts: map[string]int{}}
	f.finish = sync.OnceFunc(func() { close(f.release) })
	f.Server = httptest.NewServer(f)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	kind := r.Header.Get(runner.HeaderKind)
	if kind == refuse {
		w.Header().Set(runner.HeaderRan, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.begin(r.Header.Get(runner.HeaderTask))
	defer f.end()
	switch kind {
	case hold:
		select {
		case <-f.release:
		case <-r.Context().Done():
			f.mu.Lock()
			f.stoppedCalls++
			f.mu.Unlock()
		}
	case truncate:
		w.Header().Set("Content-Length", "100")
	}
	_, _ = w.Write(body)
}

func (f *fakeRunner) begin(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[task]++
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
}

func (f *fakeRunner) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// startCount returns how often a task was started.
func (f *fakeRunner) startCount(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task+"/0"]
}

// harness is a guard server over h2c with a fake runner behind it.
type harness struct {
	t        testing.TB
	server   *server.Server
	runner   *fakeRunner
	registry *registration.Registry
	address  string
	client   wirev1connect.GuardServiceClient
	// clockOffset is added to the clock, in nanoseconds.
	clockOffset atomic.Int64
}

func (h *harness) now() time.Time { return time.Now().Add(time.Duration(h.clockOffset.Load())) }

func newHarness(t testing.TB, slots int, change func(*server.Options)) *harness {
	h := &harness{t: t, runner: newFakeRunner(t)}
	var sessionsCreated atomic.Int32
	opts := server.Options{
		GuardID:         "g1",
		Incarnation:     incarnation,
		DataCentre:      "zagreb",
		Lease:           lease,
		QueueLen:        queueLen,
		MaxRunLimit:     time.Minute,
		MaxPayloadBytes: maxPayload,
		MaxRequestBytes: 1 << 22,
		Now:             h.now,
		Logger:          slog.New(slog.DiscardHandler),
		Scope:           tally.NoopScope,
		Control:         telemetry.NewControlTraffic(tally.NoopScope),
		Ledger: ledger.New(ledger.Options{
			Incarnation: incarnation, Lease: lease, MaxSessions: 100, MaxEntrySessions: 100,
			MaxRecords: 10000, MaxSessionRecords: 1000, MaxResultBytes: 1 << 20,
			NewSessionID: func() string { return fmt.Sprint("session-", sessionsCreated.Add(1)) },
		}),
	}
	h.registry = registration.New(registration.Options{
		DataCentre: "zagreb",
		NewClient: func(address string, connections int) *runner.Client {
			return runner.New(runner.Options{Address: address, Connections: connections, MaxResponseBytes: maxPayload, CancelGrace: time.Minute})
		},
		OnChange: func(r *registration.Runner) { h.server.SetRunner(r.State()) },
	})
	opts.Runners = h.registry
	if change != nil {
		change(&opts)
	}
	h.server = server.New(opts)
	h.announce(slots, false)
	s := httptest.NewUnstartedServer(h.server.Handler())
	s.Config.Protocols = h2c()
	s.Start()
	t.Cleanup(s.Close)
	// Registered last and so run first: the other cleanups wait for running
	// tasks.
	t.Cleanup(h.runner.finish)
	h.address = s.Listener.Addr().String()
	h.client = newClient(h.address)
	return h
}

func h2c() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

func newClient(address string) wirev1connect.GuardServiceClient {
	return wirev1connect.NewGuardServiceClient(&http.Client{Transport: &http.Transport{Protocols: h2c()}}, "http://"+address)
}

func (h *harness) announce(slots int, leaving bool) {
	assert.NilError(h.t, h.registry.Announce(h.now(), registration.Announcement{
		Service:     service,
		Address:     netip.MustParseAddrPort(h.runner.Listener.Addr().String()),
		Slots:       slots,
		Connections: slots + 2,
		TTL:         time.Hour,
		Leaving:     leaving,
	}))
}

func (h *harness) hello(entry string, version uint64) string {
	resp, err := h.client.Hello(h.t.Context(), connect.NewRequest(&wirev1.HelloRequest{EntryId: entry, EntryIncarnation: version}))
	assert.NilError(h.t, err)
	return resp.Msg.GetSession()
}

// request returns a start whose submission id is the task's name.
func request(session string, seq uint64, name, kind string) *wirev1.StartRequest {
	payload := []byte("payload of " + name)
	sum := sha256.Sum256(payload)
	return &wirev1.StartRequest{
		Session: session, Seq: seq, GuardIncarnation: incarnation, BudgetMs: uint32(budget.Milliseconds()), RunLimitMs: 60_000,
		Task: &wirev1.Task{Submission: name, Service: service, Kind: kind, Payload: payload, Digest: sum[:]},
	}
}

func (h *harness) start(m *wirev1.StartRequest) *wirev1.TaskReport {
	resp, err := h.client.Start(h.t.Context(), connect.NewRequest(m))
	if err != nil {
		h.t.Errorf("start %s: %v", m.GetTask().GetSubmission(), err)
		return nil
	}
	return resp.Msg.GetReport()
}

// startAsync starts a task in the background and returns the channel that
// receives its report.
func (h *harness) startAsync(m *wirev1.StartRequest) <-chan *wirev1.TaskReport {
	out := make(chan *wirev1.TaskReport, 1)
	go func() { out <- h.start(m) }()
	return out
}

func (h *harness) resolve(session string, seq uint64) *wirev1.TaskReport {
	resp, err := h.client.Resolve(h.t.Context(), connect.NewRequest(&wirev1.ResolveRequest{
		Session: session, Seq: seq, GuardIncarnation: incarnation, WaitMs: 30_000,
	}))
	assert.NilError(h.t, err)
	return resp.Msg.GetReport()
}

func (h *harness) cancel(session string, seq uint64) *wirev1.TaskReport {
	resp, err := h.client.Cancel(h.t.Context(), connect.NewRequest(&wirev1.CancelRequest{
		Session: session, Seq: seq, GuardIncarnation: incarnation,
	}))
	assert.NilError(h.t, err)
	return resp.Msg.GetReport()
}

func (h *harness) waitFor(what string, ok func() bool) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
}

func (h *harness) waitForOpen(n uint32) {
	h.t.Helper()
	h.waitFor("open tasks", func() bool { return h.server.Load("").GetOthersOpen() == n })
}

func assertRefused(t *testing.T, r *wirev1.TaskReport, reason wirev1.RefusalReason) {
	t.Helper()
	assert.Equal(t, r.GetState(), neverStarted, "%v", r)
	assert.Equal(t, r.GetReason(), reason)
}

// A reply is lost, the entry resolves the start and gets "never started", and
// only then does the delayed start arrive. It must be refused.
func TestDelayedStartAfterResolveIsRefused(t *testing.T) {
	h := newHarness(t, 2, nil)
	session := h.hello("e1", 1)
	assertRefused(t, h.resolve(session, 1), wirev1.RefusalReason_REFUSAL_REASON_BARRED)
	assertRefused(t, h.start(request(session, 1, "late", echo)), wirev1.RefusalReason_REFUSAL_REASON_BARRED)
	assertRefused(t, h.cancel(session, 2), wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	assertRefused(t, h.start(request(session, 2, "late", echo)), wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	assert.Equal(t, h.runner.startCount("late"), 0)
}

// Duplicates of a start arrive while it runs and after its end. The task must run
// once and all of them must get the same report.
func TestCopiesOfAStartRunOnce(t *testing.T) {
	h := newHarness(t, 4, nil)
	session := h.hello("e1", 1)
	m := request(session, 1, "copied", hold)
	var reports []<-chan *wirev1.TaskReport
	for range 8 {
		reports = append(reports, h.startAsync(m))
	}
	h.waitFor("start", func() bool { return h.runner.startCount("copied") == 1 })
	h.runner.finish()
	reports = append(reports, h.startAsync(m))
	for _, r := range reports {
		assert.Equal(t, string((<-r).GetResult().GetPayload()), "payload of copied")
	}
	assert.Equal(t, h.runner.startCount("copied"), 1)
	assert.Equal(t, h.start(request(session, 1, "copied", hold)).GetState(), finished)
}

// The entry's connection breaks while its task runs. The task must continue, and
// the entry must get the result over a new connection.
func TestBrokenConnectionDoesNotEndTheTask(t *testing.T) {
	h := newHarness(t, 1, nil)
	session := h.hello("e1", 1)
	ctx, cancelStart := context.WithCancel(t.Context())
	broken := make(chan error, 1)
	go func() {
		_, err := h.client.Start(ctx, connect.NewRequest(request(session, 1, "kept", hold)))
		broken <- err
	}()
	h.waitFor("start", func() bool { return h.runner.startCount("kept") == 1 })
	cancelStart()
	assert.Equal(t, connect.CodeOf(<-broken), connect.CodeCanceled)
	h.runner.finish()
	r := h.resolve(session, 1)
	assert.Equal(t, string(r.GetResult().GetPayload()), "payload of kept")
	assert.Equal(t, h.runner.stoppedCalls, 0)
}

// A running and a queued task are cancelled. The first must be stopped at the
// runner and end as cancelled, the second must never start, and no slot may leak.
func TestCancel(t *testing.T) {
	h := newHarness(t, 1, nil)
	session := h.hello("e1", 1)
	first := h.startAsync(request(session, 1, "first", hold))
	h.waitFor("start", func() bool { return h.runner.startCount("first") == 1 })
	second := h.startAsync(request(session, 2, "second", echo))
	h.waitForOpen(2)
	assertRefused(t, h.cancel(session, 2), wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	assertRefused(t, <-second, wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	h.waitForOpen(1)
	assert.Equal(t, h.cancel(session, 1).GetState(), wirev1.TaskState_TASK_STATE_RUNNING)
	r := <-first
	assert.Equal(t, r.GetState(), finished)
	assert.Equal(t, r.GetResult().GetFailure(), wirev1.FailureCode_FAILURE_CODE_CANCELLED)
	assert.Equal(t, h.runner.stoppedCalls, 1)
	assert.Equal(t, h.start(request(session, 3, "third", echo)).GetState(), finished)
	assert.Equal(t, h.runner.startCount("second"), 0)
}

// A task's start budget expires in the queue. It must be refused as never started
// while the runner is still busy, and its place in the queue must be freed.
func TestBudgetSpentInQueue(t *testing.T) {
	h := newHarness(t, 1, nil)
	session := h.hello("e1", 1)
	first := h.startAsync(request(session, 1, "first", hold))
	h.waitFor("start", func() bool { return h.runner.startCount("first") == 1 })
	m := request(session, 2, "second", echo)
	m.BudgetMs = 5
	assertRefused(t, h.start(m), wirev1.RefusalReason_REFUSAL_REASON_BUDGET_SPENT)
	h.waitForOpen(1)
	h.runner.finish()
	<-first
	assert.Equal(t, h.runner.startCount("second"), 0)
}

// The guard is suspended beyond the budget of a queued task, or beyond the
// session lease with a start still in its socket buffer. The entry has given up
// on both: neither may run, although the timers that should have ended them fire
// late.
func TestSuspendedGuardStartsNoExpiredTask(t *testing.T) {
	cases := []struct {
		frozen time.Duration
		late   wirev1.TaskState
	}{
		{budget + time.Second, finished},
		{lease + time.Second, wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION},
	}
	for _, c := range cases {
		t.Run(c.frozen.String(), func(t *testing.T) {
			h := newHarness(t, 1, nil)
			session := h.hello("e1", 1)
			first := h.startAsync(request(session, 1, "first", hold))
			h.waitFor("start", func() bool { return h.runner.startCount("first") == 1 })
			queued := h.startAsync(request(session, 2, "queued", echo))
			h.waitForOpen(2)
			h.clockOffset.Store(int64(c.frozen))
			h.runner.finish()
			assert.Equal(t, (<-first).GetState(), finished)
			assert.Equal(t, (<-queued).GetState(), neverStarted)
			assert.Equal(t, h.start(request(session, 3, "late", echo)).GetState(), c.late)
			assert.Equal(t, h.runner.startCount("queued"), 0)
			assert.Equal(t, h.runner.startCount("late") == 1, c.late == finished)
		})
	}
}

// The entry restarts and sends Hello. Queued tasks of its previous incarnation
// must never start; running ones end and free their slots.
func TestNewEntryIncarnationDropsQueuedTasks(t *testing.T) {
	h := newHarness(t, 1, nil)
	old := h.hello("e1", 1)
	first := h.startAsync(request(old, 1, "first", hold))
	h.waitFor("start", func() bool { return h.runner.startCount("first") == 1 })
	queued := h.startAsync(request(old, 2, "queued", echo))
	h.waitForOpen(2)
	fresh := h.hello("e1", 2)
	assertRefused(t, <-queued, wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	h.runner.finish()
	assert.Equal(t, (<-first).GetState(), finished)
	assert.Equal(t, h.start(request(fresh, 1, "fresh", echo)).GetState(), finished)
	assert.Equal(t, h.resolve(old, 1).GetState(), wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION)
	assert.Equal(t, h.runner.startCount("queued"), 0)
}

// Each of these starts is refused before it runs, and the refusal must be
// permanent: a correct duplicate of the start must not run later.
func TestRefusalsArePermanent(t *testing.T) {
	h := newHarness(t, 1, nil)
	session := h.hello("e1", 1)
	damaged := request(session, 1, "damaged", echo)
	damaged.Task.Payload = []byte("other")
	assertRefused(t, h.start(damaged), wirev1.RefusalReason_REFUSAL_REASON_DIGEST_MISMATCH)
	assertRefused(t, h.start(request(session, 1, "damaged", echo)), wirev1.RefusalReason_REFUSAL_REASON_DIGEST_MISMATCH)
	wrongService := request(session, 2, "stray", echo)
	wrongService.Task.Service = "dispatch"
	assertRefused(t, h.start(wrongService), wirev1.RefusalReason_REFUSAL_REASON_WRONG_SERVICE)
	assertRefused(t, h.start(request(session, 3, "busy", refuse)), wirev1.RefusalReason_REFUSAL_REASON_RUNNER_REFUSED)
	assertRefused(t, h.start(request(session, 3, "busy", echo)), wirev1.RefusalReason_REFUSAL_REASON_RUNNER_REFUSED)
	late := request(session, 4, "late", echo)
	late.BudgetMs = 0
	assertRefused(t, h.start(late), wirev1.RefusalReason_REFUSAL_REASON_BUDGET_SPENT)
	assert.Equal(t, len(h.runner.starts), 0)
	short := h.start(request(session, 5, "short", truncate))
	assert.Equal(t, short.GetResult().GetFailure(), wirev1.FailureCode_FAILURE_CODE_TRUNCATED)
}

// The runner announces that it is leaving while one task runs and one is queued.
// The first must end; the second and all new ones must be refused.
func TestRunnerLeaves(t *testing.T) {
	h := newHarness(t, 1, nil)
	session := h.hello("e1", 1)
	first := h.startAsync(request(session, 1, "first", hold))
	h.waitFor("start", func() bool { return h.runner.startCount("first") == 1 })
	queued := h.startAsync(request(session, 2, "queued", echo))
	h.waitForOpen(2)
	h.announce(1, true)
	assertRefused(t, <-queued, wirev1.RefusalReason_REFUSAL_REASON_LEAVING)
	assertRefused(t, h.start(request(session, 3, "new", echo)), wirev1.RefusalReason_REFUSAL_REASON_LEAVING)
	h.runner.finish()
	assert.Equal(t, (<-first).GetState(), finished)
	assert.Assert(t, h.server.Load("").GetLeaving())
	assert.Equal(t, len(h.runner.starts), 1)
}

// A runner returns with another service while a task of the previous one is
// queued: the task must not run there. A start for the wrong service must be
// refused at once, even if no slot is free.
func TestServiceChangesUnderWaitingTask(t *testing.T) {
	h := newHarness(t, 1, nil)
	session := h.hello("e1", 1)
	first := h.startAsync(request(session, 1, "first", hold))
	h.waitFor("start", func() bool { return h.runner.startCount("first") == 1 })
	wrongService := request(session, 2, "stray", echo)
	wrongService.Task.Service = "dispatch"
	assertRefused(t, h.start(wrongService), wirev1.RefusalReason_REFUSAL_REASON_WRONG_SERVICE)
	queued := h.startAsync(request(session, 3, "queued", echo))
	h.waitForOpen(2)
	changed := h.registry.Current(h.now()).Announcement
	changed.Service = "dispatch"
	assert.NilError(t, h.registry.Announce(h.now(), changed))
	h.runner.finish()
	assert.Equal(t, (<-first).GetState(), finished)
	assertRefused(t, <-queued, wirev1.RefusalReason_REFUSAL_REASON_WRONG_SERVICE)
	assert.Equal(t, h.runner.startCount("queued"), 0)
}

// The runner's process dies. The first start gets a refused connection; the next
// ones must be refused without an attempt until the runner announces itself
// again.
func TestRunnerDies(t *testing.T) {
	h := newHarness(t, 1, nil)
	session := h.hello("e1", 1)
	h.runner.Close()
	assertRefused(t, h.start(request(session, 1, "a", echo)), wirev1.RefusalReason_REFUSAL_REASON_RUNNER_ABSENT)
	assert.Assert(t, !h.server.Load("").GetRunnerPresent())
	assertRefused(t, h.start(request(session, 2, "b", echo)), wirev1.RefusalReason_REFUSAL_REASON_RUNNER_ABSENT)
	h.announce(1, false)
	assert.Assert(t, h.server.Load("").GetRunnerPresent())
}

// blockingRegistry blocks the end of a task whose runner is unreachable.
type blockingRegistry struct {
	*registration.Registry
	entered, release chan struct{}
}

func (r *blockingRegistry) MarkUnreachable(gone *registration.Runner) {
	close(r.entered)
	<-r.release
	r.Registry.MarkUnreachable(gone)
}

// The last task has released its slot, but its end is not yet recorded in the
// ledger. A drain that looked only at the slots would lose the report.
func TestDrainWaitsForTheReport(t *testing.T) {
	blocking := &blockingRegistry{entered: make(chan struct{}), release: make(chan struct{})}
	h := newHarness(t, 1, func(o *server.Options) {
		blocking.Registry = o.Runners.(*registration.Registry)
		o.Runners = blocking
	})
	session := h.hello("e1", 1)
	h.runner.Close()
	report := h.startAsync(request(session, 1, "last", echo))
	<-blocking.entered
	drained := make(chan error, 1)
	go func() {
		drained <- h.server.Drain(t.Context(), 0)
		close(drained)
	}()
	select {
	case <-drained:
		t.Error("drained before the report")
	case <-time.After(50 * time.Millisecond):
	}
	close(blocking.release)
	assertRefused(t, <-report, wirev1.RefusalReason_REFUSAL_REASON_RUNNER_ABSENT)
	assert.NilError(t, <-drained)
}

// Two entries send far more starts than there are slots. The runner must never
// have more tasks than slots, and each start must end in one result, if it ran,
// or one refusal.
func TestOverloadNeverExceedsSlots(t *testing.T) {
	const slots, perEntry = 3, 100
	h := newHarness(t, slots, nil)
	var completed atomic.Int32
	var wg sync.WaitGroup
	for _, entry := range []string{"e1", "e2"} {
		session := h.hello(entry, 1)
		for seq := uint64(1); seq <= perEntry; seq++ {
			name := fmt.Sprint(entry, "-", seq)
			wg.Go(func() {
				r := h.start(request(session, seq, name, echo))
				switch {
				case r.GetState() == finished && r.GetResult().GetOk():
					completed.Add(1)
					assert.Check(t, string(r.GetResult().GetPayload()) == "payload of "+name)
				case r.GetReason() != wirev1.RefusalReason_REFUSAL_REASON_QUEUE_FULL:
					t.Errorf("%s: %v", name, r)
				}
			})
		}
	}
	wg.Wait()
	assert.Assert(t, h.runner.maxRunning <= slots, "%d at once", h.runner.maxRunning)
	assert.Equal(t, len(h.runner.starts), int(completed.Load()))
	assert.Equal(t, h.server.Load("").GetOthersOpen(), uint32(0))
}

// A caller without the cluster secret must be able neither to start a task nor to
// block one.
func TestSecret(t *testing.T) {
	h := newHarness(t, 1, func(o *server.Options) { o.Secret = "s3cret" })
	_, err := h.client.Hello(t.Context(), connect.NewRequest(&wirev1.HelloRequest{EntryId: "e1", EntryIncarnation: 1}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	req := connect.NewRequest(&wirev1.HelloRequest{EntryId: "e1", EntryIncarnation: 1})
	req.Header().Set("Authorization", "Bearer s3cret")
	_, err = h.client.Hello(t.Context(), req)
	assert.NilError(t, err)
}

// Payloads over the limit, and requests over the memory limit, must be rejected
// before they reach the ledger; the entry then resolves them as never started.
func TestRequestsAreBounded(t *testing.T) {
	h := newHarness(t, 1, func(o *server.Options) { o.MaxRequestBytes = 150_000 })
	session := h.hello("e1", 1)
	big := request(session, 1, "big", echo)
	big.Task.Payload = make([]byte, 3*maxPayload)
	_, err := h.client.Start(t.Context(), connect.NewRequest(big))
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted, "%v", err)
	assertRefused(t, h.resolve(session, 1), wirev1.RefusalReason_REFUSAL_REASON_BARRED)
	var held []<-chan *wirev1.TaskReport
	for seq := uint64(2); seq <= 3; seq++ {
		m := request(session, seq, fmt.Sprint(seq), hold)
		m.Task.Payload = make([]byte, maxPayload/2)
		sum := sha256.Sum256(m.Task.Payload)
		m.Task.Digest = sum[:]
		held = append(held, h.startAsync(m))
		h.waitForOpen(uint32(seq - 1))
	}
	m := request(session, 4, "over", echo)
	m.Task.Payload = make([]byte, maxPayload)
	_, err = h.client.Start(t.Context(), connect.NewRequest(m))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	h.runner.finish()
	for _, r := range held {
		assert.Equal(t, (<-r).GetState(), finished)
	}
	assertRefused(t, h.resolve(session, 4), wirev1.RefusalReason_REFUSAL_REASON_BARRED)
}

// relay is a TCP proxy to the guard that breaks its first connection after a
// given number of bytes in either direction.
type relay struct {
	net.Listener
	target         string
	maxUp, maxDown int64
	conns          atomic.Int32
}

func (r *relay) serve() {
	for {
		c, err := r.Accept()
		if err != nil {
			return
		}
		go r.forward(c, r.conns.Add(1) == 1)
	}
}

func (r *relay) forward(c net.Conn, first bool) {
	g, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	maxUp, maxDown := int64(1<<40), int64(1<<40)
	if first {
		maxUp, maxDown = r.maxUp, r.maxDown
	}
	closeBoth := func() {
		_ = c.Close()
		_ = g.Close()
	}
	go func() {
		_, _ = io.CopyN(g, c, maxUp)
		closeBoth()
	}()
	_, _ = io.CopyN(c, g, maxDown)
	closeBoth()
}

// The connection from the entry breaks at any point of a start, towards the guard
// or back. Whatever the entry's transport does, the task must run at most once,
// and a later Resolve over a new connection must report what happened.
func TestStartOverBreakingConnections(t *testing.T) {
	h := newHarness(t, 8, nil)
	for i := range int64(60) {
		for _, back := range []bool{false, true} {
			name := fmt.Sprint("cut-", i, back)
			t.Run(name, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer func() { _ = l.Close() }()
				r := &relay{Listener: l, target: h.address, maxUp: 1 << 40, maxDown: 1 << 40}
				if back {
					r.maxDown = i * 6
				} else {
					r.maxUp = i * 12
				}
				go r.serve()
				session := h.hello("e1", 1)
				resp, err := newClient(l.Addr().String()).Start(t.Context(), connect.NewRequest(request(session, 1, name, echo)))
				if err == nil {
					assert.Equal(t, string(resp.Msg.GetReport().GetResult().GetPayload()), "payload of "+name)
				}
				report := h.resolve(session, 1)
				want := 0
				if report.GetState() == finished {
					want = 1
				} else {
					assertRefused(t, report, wirev1.RefusalReason_REFUSAL_REASON_BARRED)
				}
				assert.Equal(t, h.start(request(session, 1, name, echo)).GetState(), report.GetState())
				assert.Equal(t, h.runner.startCount(name), want)
			})
		}
	}
}

// BenchmarkStart runs one task at a time from a client through the guard to a
// runner and back, all in one process.
func BenchmarkStart(b *testing.B) {
	h := newHarness(b, 8, nil)
	session := h.hello("e1", 1)
	seq := uint64(0)
	for b.Loop() {
		seq++
		m := request(session, seq, "bench", echo)
		m.LowWatermark = seq
		if h.start(m).GetState() != finished {
			b.Fatal("not finished")
		}
	}
}
