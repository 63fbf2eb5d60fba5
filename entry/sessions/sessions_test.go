package sessions

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/entry/lag"
	"almondstand.dev/entry/registry/membership"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

type fakeMembers struct {
	list    []string
	version uint64
}

func (m *fakeMembers) Members() membership.Snapshot {
	return membership.Snapshot{Addresses: m.list, Version: m.version}
}
func (m *fakeMembers) AddConfirmed([]string) {}

// Guards against an entry that never gets a guard: an entry that no guard's settings name is found
// only through the addresses that other entries send. The change must be sent, once, even when the
// session has no orders and has just sent a heartbeat.
func TestNewEntriesAreSentToGuards(t *testing.T) {
	members := &fakeMembers{list: []string{"a"}, version: 1}
	s := &session{server: &Server{members: members}, members: members.Members()}
	m, delay, _ := s.nextMessage(time.Second, time.Millisecond)
	assert.Assert(t, m == nil)
	assert.Assert(t, delay > 0 && delay <= heartbeatBusy)
	members.list, members.version = []string{"a", "b"}, 2
	m, _, _ = s.nextMessage(time.Second, time.Millisecond)
	assert.Assert(t, m != nil)
	assert.DeepEqual(t, m.GetEntriesAdded(), []string{"b"})
	assert.Equal(t, len(m.GetEntries())+len(m.GetEntriesRemoved()), 0, "%v", m)
	m, _, _ = s.nextMessage(time.Second, time.Millisecond)
	assert.Assert(t, m == nil, "sent only once")
	members.list, members.version = []string{"b"}, 3
	m, _, _ = s.nextMessage(time.Second, time.Millisecond)
	assert.DeepEqual(t, m.GetEntriesRemoved(), []string{"a"})
	assert.Equal(t, len(m.GetEntries())+len(m.GetEntriesAdded()), 0, "%v", m)
}

// Starts of one job and step are combined into one order, and the message's clock is the guard's
// newest clock plus the time since it was received.
func TestStartsAreGroupedAndCarryGuardClock(t *testing.T) {
	s := &session{server: &Server{members: &fakeMembers{}}, clock: 5 * time.Second, clockAt: time.Second}
	run := func(index int) planner.Start {
		return planner.Start{Run: work.RunID{Task: work.TaskID{Job: "j", Index: index}, Attempt: 1}, DecidedAt: 1100 * time.Millisecond, TimeLeft: time.Second}
	}
	s.starts = []planner.Start{run(0), run(1)}
	m, _, _ := s.nextMessage(1200*time.Millisecond, 0)
	assert.Equal(t, len(m.GetStarts()), 1)
	assert.Equal(t, len(m.GetStarts()[0].GetTasks()), 2)
	assert.Equal(t, m.GetEchoUs(), (5200 * time.Millisecond).Microseconds())
}

// Guards against a run that lasts longer than its caller waits: the time left until the caller's
// deadline was that of the decision, although the order had waited in the entry since.
func TestWaitInQueueIsTakenOffTimeLeft(t *testing.T) {
	s := &session{server: &Server{members: &fakeMembers{}}, open: map[work.RunID]struct{}{}}
	run := work.RunID{Task: work.TaskID{Job: "j"}, Attempt: 1}
	s.SendOrders([]planner.Start{{Run: run, DecidedAt: time.Second, TimeLeft: 2 * time.Second}}, nil)
	m, _, _ := s.nextMessage(1100*time.Millisecond, 0)
	assert.Equal(t, m.GetStarts()[0].GetLifeMs(), uint32(1900))
}

// startedSession returns a session that is attached to an engine and has capacity for four tasks.
func startedSession() (*session, *jobs.Engine) {
	logger := slog.New(slog.DiscardHandler)
	e := jobs.New(jobs.Options{Logger: logger, Scope: tally.NoopScope})
	s := &session{
		server: New(Options{Logger: logger, Lag: lag.New(tally.NoopScope, logger, 0)}, e, &fakeMembers{}),
		guard:  "g", wake: make(chan struct{}, 1), open: map[work.RunID]struct{}{},
	}
	e.Attach("g", "a", true, s)
	e.ApplyUpdate("g", s, jobs.GuardUpdate{Status: &planner.EndpointStatus{
		Service: "s", Runner: work.Incarnation{ID: "r"}, AcceptsStarts: true, Total: work.Amounts{CPUMilli: 4000},
	}})
	return s, e
}

// submitAndStop submits a job of one task, waits until its start is queued, and returns a function
// that ends the caller's connection and waits for the outcome.
func submitAndStop(t *testing.T, s *session, e *jobs.Engine) (disconnect func() planner.Outcome) {
	ctx, cancel := context.WithCancel(t.Context())
	outcome := make(chan planner.Outcome, 1)
	go func() {
		job := work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: work.Amounts{CPUMilli: 1000}, Declared: 60 * time.Millisecond}}}
		terms := planner.Terms{Contract: "c", Service: "s", MaxAttempts: 2, TargetFactor: 1.6, TargetMargin: 60 * time.Millisecond}
		outcome <- e.Submit(ctx, job, terms, uptime.Now()+5*time.Second).Outcome
	}()
	<-s.wake
	return func() planner.Outcome {
		cancel()
		return <-outcome
	}
}

// Guards against a run that starts although its caller has submitted its job elsewhere: its start
// waited in the entry, and its message was built as late as that.
func TestLateStartIsNotSentAndIsDecidedAgain(t *testing.T) {
	s, e := startedSession()
	disconnect := submitAndStop(t, s, e)
	first := s.starts[0]
	late := first.DecidedAt + maxStartWait + time.Millisecond
	m, _, expired := s.nextMessage(late, 0)
	assert.Assert(t, m == nil, "nothing to send")
	s.reportExpired(t.Context(), late, expired)
	m, _, _ = s.nextMessage(first.DecidedAt+maxStartWait, 0)
	assert.Equal(t, len(m.GetStarts()), 1)
	assert.Equal(t, m.GetStarts()[0].GetTasks()[0].GetAttempt(), uint32(first.Run.Attempt+1), "the task is decided on again")
	assert.Equal(t, len(s.open), 1)
	_, stale := s.open[first.Run]
	assert.Assert(t, !stale, "a run that was not ordered is not open")
	assert.Equal(t, disconnect(), planner.Cancelled)
}

// A caller leaves while the start of its task waits in the entry. Neither the start nor its stop is
// sent once the start is late, and the job is over.
func TestLateStartOfDisconnectedCallerIsDropped(t *testing.T) {
	s, e := startedSession()
	disconnect := submitAndStop(t, s, e)
	assert.Equal(t, disconnect(), planner.Cancelled)
	assert.Equal(t, len(s.starts), 1)
	assert.Equal(t, len(s.stops), 1)
	late := s.starts[0].DecidedAt + maxStartWait + time.Millisecond
	m, _, expired := s.nextMessage(late, 0)
	assert.Assert(t, m == nil, "nothing to send")
	s.reportExpired(t.Context(), late, expired)
	assert.Equal(t, len(s.open), 0)
	_, _, known := e.State("j")
	assert.Assert(t, !known, "the job's run is still open")
}

// A guard sends capacity again only after its last message is acknowledged. While tasks are
// pending and there is nothing to order, the acknowledgement must go out within milliseconds: if
// it waited for a heartbeat, a free runner would stay unknown until then.
func TestCapacityIsAcknowledgedPromptly(t *testing.T) {
	s := &session{server: &Server{members: &fakeMembers{}}}
	s.readClock, s.ackAt = 7*time.Second, time.Second+ackDelay
	m, delay, _ := s.nextMessage(time.Second, time.Millisecond)
	assert.Assert(t, m == nil)
	assert.Equal(t, delay, ackDelay)
	m, _, _ = s.nextMessage(time.Second+ackDelay, ackDelay)
	assert.Equal(t, m.GetReadUs(), (7 * time.Second).Microseconds())
	m, _, _ = s.nextMessage(time.Second+ackDelay, time.Millisecond)
	assert.Assert(t, m == nil, "acknowledged only once")
}

// Guards against runs that their guard stops because their entry's heartbeats have become rare:
// the end of another run was reported twice and counted as the end of both.
func TestEndReportedTwiceLeavesOtherRunsOpen(t *testing.T) {
	s := &session{server: &Server{members: &fakeMembers{}}, open: map[work.RunID]struct{}{}}
	run := func(index int) work.RunID { return work.RunID{Task: work.TaskID{Job: "j", Index: index}, Attempt: 1} }
	s.SendOrders([]planner.Start{{Run: run(0), DecidedAt: time.Second}, {Run: run(1), DecidedAt: time.Second}}, nil)
	s.removeEnded([]jobs.Report{{Run: run(1), Change: planner.Running}})
	ended := []jobs.Report{{Run: run(0), Change: planner.Stopped}}
	s.removeEnded(ended)
	s.removeEnded(ended)
	_, _, _ = s.nextMessage(time.Second, 0)
	m, _, _ := s.nextMessage(time.Second, heartbeatBusy)
	assert.Assert(t, m != nil, "no heartbeat is due for the open run")
}

// attachService serves the guards' streams of a Server.
type attachService struct {
	wirev1connect.UnimplementedFleetServiceHandler
	*Server
}

func (a attachService) Attach(ctx context.Context, st *stream) error { return a.Server.Attach(ctx, st) }

// Guards against a run that is not over when its caller submits its job to another entry: the next
// message lets the guard continue the run, because the end of the caller's connection has not been
// read yet. The message must carry the stop.
func TestMessagesCarryStopsOfDisconnectedCallers(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	var gone atomic.Bool
	e := jobs.New(jobs.Options{Logger: logger, Scope: tally.NoopScope, Disconnected: func(context.Context) bool { return gone.Load() }})
	mux := http.NewServeMux()
	mux.Handle(fleetwire.NewHandler(attachService{Server: New(Options{Logger: logger, Lag: lag.New(tally.NoopScope, logger, 0)}, e, &fakeMembers{})}))
	l, err := fleetwire.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	server := fleetwire.NewServer(mux)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	transport := fleetwire.NewTransport(time.Second)
	defer transport.Close()
	st := fleetwire.NewClient(&http.Client{Transport: transport}, l.Addr().String()).Attach(t.Context())
	assert.NilError(t, st.Send(&wirev1.AttachRequest{Handshake: &wirev1.GuardHandshake{Guard: "g", Incarnation: 1}, ClockUs: 1}))
	assert.NilError(t, st.Send(&wirev1.AttachRequest{ClockUs: 2, Capacity: &wirev1.Capacity{
		Service: "s", Runner: "r", Open: true, Total: fleetwire.ToAmounts(work.Amounts{CPUMilli: 4000}),
	}}))
	go func() {
		job := work.Job{ID: "j", Steps: []work.Step{{Count: 1, Need: work.Amounts{CPUMilli: 1000}, Declared: 60 * time.Millisecond}}}
		terms := planner.Terms{Contract: "c", Service: "s", MaxAttempts: 2, TargetFactor: 1.6, TargetMargin: 60 * time.Millisecond}
		e.Submit(t.Context(), job, terms, uptime.Now()+5*time.Second)
	}()
	next := func() *wirev1.AttachResponse {
		m, err := st.Receive()
		assert.NilError(t, err)
		return m
	}
	for len(next().GetStarts()) == 0 {
	}
	gone.Store(true)
	// One message may have been built before.
	stops := len(next().GetStops())
	if stops == 0 {
		stops = len(next().GetStops())
	}
	assert.Equal(t, stops, 1)
}
