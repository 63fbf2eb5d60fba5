package uplink

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// Errors of a session.
var (
	// ErrSilent means that the entry sent nothing for listenFor.
	ErrSilent = errors.New("uplink: entry is silent")
	// ErrReplaced means that a newer session of the same entry has replaced this one.
	ErrReplaced = errors.New("uplink: session replaced")
	// ErrHandshake means that the entry's first message was not a handshake.
	ErrHandshake = errors.New("uplink: no handshake")
)

type stream = connect.BidiStreamForClient[wirev1.AttachRequest, wirev1.AttachResponse]

// session is one stream to one entry.
type session struct {
	up    *Uplink
	link  *link
	owner runs.Owner
	// dial is the timeout for establishing the connection.
	dial time.Duration
	// attached is true once the handshake is done, and attachedAt is the time of that.
	attached   bool
	attachedAt time.Time
	cancel     context.CancelCauseFunc
	wake       chan struct{}
	// lateStartsSent is the number of the last late start that was sent.
	lateStartsSent uint64

	mu      sync.Mutex
	reports []runs.Report
	// reportsDue is when the oldest of the reports is to be sent; zero if there is none.
	reportsDue time.Time
	// pending is true while the entry has tasks that wait for capacity.
	pending bool
	// demand is the CPU request of these tasks, in thousandths of a core.
	demand int64
	// urgent is the most urgent of the demand by contract, received at urgentAt; nil if the entry has
	// not sent any.
	urgent   *work.Demand
	urgentAt time.Duration
	// wantsSpare is true while the entry wants the loads of other entries; spareSent is when they
	// were last sent.
	wantsSpare bool
	spareSent  time.Duration
	// capacityDue is when capacity is to be sent; zero if it is not scheduled.
	capacityDue time.Time
	// capacitySent is when capacity was last sent, and sentCapacity its value.
	capacitySent time.Time
	sentCapacity runs.Capacity
	// capacityClock is the clock of the message that carried it, and readClock that of the
	// latest message that the entry has acknowledged; zero if the entry does not send
	// acknowledgements.
	capacityClock, readClock time.Duration
	// deferred is true while capacity is deferred until the entry has acknowledged the
	// previous one.
	deferred bool
	// progressDue is true if a progress report is to be sent at once.
	progressDue bool
	// withReports is true if capacity is to be sent with the next reports.
	withReports bool
	// retiring is true while the guard asks the entry to end the session.
	retiring, sentRetiring bool
	// entries are the addresses of the entries that the entry knows, replaced as a whole when they
	// change, and guards is the number of guards that are attached to it.
	entries []string
	guards  int
}

func newSession(u *Uplink, l *link, dial time.Duration) *session {
	return &session{up: u, link: l, dial: dial, wake: make(chan struct{}, 1), capacityDue: time.Now()}
}

func (s *session) end() { s.cancel(ErrReplaced) }

// run connects and serves the session until the stream ends.
func (s *session) run(ctx context.Context) error {
	transport := fleetwire.NewTransport(s.dial)
	defer transport.Close()
	ctx, s.cancel = context.WithCancelCause(ctx)
	defer s.cancel(nil)
	defer context.AfterFunc(ctx, transport.Close)()
	silenceTimer := time.AfterFunc(listenFor, func() { s.cancel(ErrSilent) })
	defer silenceTimer.Stop()
	client := fleetwire.NewClient(&http.Client{Transport: transport}, s.link.address)
	st := client.Attach(ctx)
	defer func() { _ = st.CloseResponse() }()
	defer func() { _ = st.CloseRequest() }()
	if err := s.handshake(st); err != nil {
		return s.cause(ctx, err)
	}
	defer s.up.remove(s)
	var sending sync.WaitGroup
	defer sending.Wait()
	defer s.cancel(nil)
	sending.Go(func() { s.send(ctx, st) })
	for {
		m, err := st.Receive()
		if err != nil {
			return s.cause(ctx, err)
		}
		silenceTimer.Reset(listenFor)
		if !s.accept(m) {
			return ErrReplaced
		}
	}
}

// accept handles a message; it returns false if a newer session has replaced this one.
func (s *session) accept(m *wirev1.AttachResponse) bool {
	s.up.receiving.Lock()
	defer s.up.receiving.Unlock()
	if !s.up.isCurrent(s) {
		return false
	}
	s.receive(m)
	return true
}

// cause returns the reason for which this side ended the session, if there is one, and the
// stream's error otherwise.
func (s *session) cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil && !errors.Is(why, context.Canceled) {
		return why
	}
	return fmt.Errorf("uplink: stream: %w", err)
}

// handshake exchanges the first messages.
func (s *session) handshake(st *stream) error {
	err := st.Send(&wirev1.AttachRequest{
		Handshake: &wirev1.GuardHandshake{
			Guard:       s.up.opt.Guard,
			Incarnation: s.up.opt.Incarnation,
			Zone:        s.up.opt.DataCentre,
			Entries:     s.up.reachable(),
		},
		ClockUs: uptime.Now().Microseconds(),
	})
	if err != nil {
		return err
	}
	m, err := st.Receive()
	if err != nil {
		return err
	}
	g := m.GetHandshake()
	if g == nil {
		return ErrHandshake
	}
	s.owner = runs.Owner{Entry: g.GetEntry(), Incarnation: g.GetIncarnation()}
	s.attached, s.attachedAt = true, time.Now()
	s.recordCordon(m)
	s.up.receiving.Lock()
	defer s.up.receiving.Unlock()
	s.up.admit(s)
	var open []work.RunID
	for _, o := range g.GetOpen() {
		open = append(open, fleetwire.ToRunID(o.GetTask(), o.GetAttempt()))
	}
	for _, r := range s.up.host.Reconcile(s.owner, open) {
		s.push(r)
	}
	s.recordFleetState(m)
	return nil
}

// recordFleetState records what a message says about the deployment, and its acknowledgement.
func (s *session) recordFleetState(m *wirev1.AttachResponse) {
	s.mu.Lock()
	s.guards = int(m.GetGuards())
	s.readClock = max(s.readClock, time.Duration(m.GetReadUs())*time.Microsecond)
	if len(m.GetEntries()) > 0 {
		s.entries = m.GetEntries()
	}
	if removed := m.GetEntriesRemoved(); len(removed) > 0 {
		s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(a string) bool { return slices.Contains(removed, a) })
	}
	s.entries = slices.Concat(s.entries, m.GetEntriesAdded())
	s.mu.Unlock()
	if added := slices.Concat(m.GetEntries(), m.GetEntriesAdded()); len(added) > 0 {
		s.up.addEntries(added)
	}
	if !m.GetDiscovering() {
		s.up.endJoining()
	}
}

// recordCordon records what a message says about the cordon on the guard's data centre.
func (s *session) recordCordon(m *wirev1.AttachResponse) {
	if c := m.GetCordon(); c != nil {
		s.up.host.SetCordon(c.GetRevision(), c.GetCordoned())
	}
}

// knownEntries returns the addresses that the entry last listed.
func (s *session) knownEntries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries
}

// guardCount returns the number of guards attached to the entry.
func (s *session) guardCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guards
}

// age returns how long the session has been attached. It must only be called for an attached
// one.
func (s *session) age() time.Duration { return time.Since(s.attachedAt) }

// setRetiring asks the entry to end the session, or withdraws the request.
func (s *session) setRetiring(r bool) {
	s.mu.Lock()
	changed := s.retiring != r
	s.retiring = r
	if changed {
		s.capacityDue = time.Now()
	}
	s.mu.Unlock()
	if changed {
		notify(s.wake)
	}
}

func (s *session) isRetiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retiring
}

// receive handles one message of the entry.
func (s *session) receive(m *wirev1.AttachResponse) {
	sent := time.Duration(m.GetEchoUs()) * time.Microsecond
	if m.GetEchoUs() > 0 {
		s.up.host.EntryAlive(s.owner, sent)
	}
	s.recordCordon(m)
	s.recordDemand(m)
	s.recordLoad(m)
	s.setPending(m.GetHasPending(), m.GetPendingMilli())
	s.recordFleetState(m)
	if s.takeDeferred() {
		s.up.CapacityChanged()
	}
	var orders []runs.Order
	for _, o := range m.GetStarts() {
		for _, t := range o.GetTasks() {
			orders = append(orders, runs.Order{
				Run: work.RunID{
					Task:    work.TaskID{Job: o.GetJob(), Step: int(o.GetStep()), Index: int(t.GetIndex())},
					Attempt: int(t.GetAttempt()),
				},
				Spec:     o.GetSpec(),
				Need:     fleetwire.FromAmounts(o.GetNeed()),
				TimeLeft: time.Duration(o.GetLifeMs()) * time.Millisecond,
				Expected: time.Duration(o.GetExpectedMs()) * time.Millisecond,
				Priority: int(o.GetPriority()),

				RunnerRevision: o.GetRunnerRevision(),
			})
		}
	}
	var cancels []work.RunID
	for _, c := range m.GetStops() {
		cancels = append(cancels, fleetwire.ToRunID(c.GetTask(), c.GetAttempt()))
	}
	if len(orders) > 0 || len(cancels) > 0 {
		s.up.host.Submit(sent, s.owner, orders, cancels)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
