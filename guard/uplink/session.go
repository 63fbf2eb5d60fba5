package uplink

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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
	// ErrSilent means that the entry sent nothing for too long.
	ErrSilent = errors.New("uplink: entry is silent")
	// ErrReplaced means that a newer session of the same entry took over.
	ErrReplaced = errors.New("uplink: session replaced")
	// ErrHandshake means that the entry's first message was no handshake.
	ErrHandshake = errors.New("uplink: no handshake")
)

type stream = connect.BidiStreamForClient[wirev1.AttachRequest, wirev1.AttachResponse]

// session is one stream to one entry.
type session struct {
	up    *Uplink
	link  *link
	owner runs.Owner
	// dial is the time for its connection to come about.
	dial time.Duration
	// attached is true once the handshake is done, and began when that was.
	attached bool
	began    time.Time
	cancel   context.CancelCauseFunc
	wake     chan struct{}

	mu      sync.Mutex
	reports []runs.Report
	// reportsDue is when the oldest of the reports is to be sent; zero for none.
	reportsDue time.Time
	// pending is true while tasks of the entry wait for capacity.
	pending bool
	// demand is what they need, thousandths of a core.
	demand int64
	// capacityDue is when capacity is to be sent; zero while it need not be.
	capacityDue time.Time
	// capacitySent is when it was sent last, and sentCapacity what.
	capacitySent time.Time
	sentCapacity runs.Capacity
	// capacityClock is the clock of the message that carried it, and readClock that of the
	// newest message that the entry has taken in; zero while the entry doesn't say.
	capacityClock, readClock time.Duration
	// owed is true while capacity waits for the entry to have read the last.
	owed bool
	// withReports is true when capacity goes with the next reports.
	withReports bool
	// retiring is true while the guard asks the entry to end the session.
	retiring, sentRetiring bool
	// entries are those that the entry last named, and guards the number of guards that
	// are attached to it.
	entries []string
	guards  int
}

func newSession(u *Uplink, l *link, dial time.Duration) *session {
	return &session{up: u, link: l, dial: dial, wake: make(chan struct{}, 1), capacityDue: time.Now()}
}

func (s *session) end() { s.cancel(ErrReplaced) }

// run attaches and serves until the stream ends.
func (s *session) run(ctx context.Context) error {
	transport := fleetwire.NewTransport(s.dial)
	defer transport.Close()
	ctx, s.cancel = context.WithCancelCause(ctx)
	defer s.cancel(nil)
	defer context.AfterFunc(ctx, transport.Close)()
	silence := time.AfterFunc(listenFor, func() { s.cancel(ErrSilent) })
	defer silence.Stop()
	client := fleetwire.NewClient(&http.Client{Transport: transport}, s.link.address)
	st := client.Attach(ctx)
	defer func() { _ = st.CloseResponse() }()
	defer func() { _ = st.CloseRequest() }()
	if err := s.handshake(st); err != nil {
		return s.cause(ctx, err)
	}
	defer s.up.dismiss(s)
	var sending sync.WaitGroup
	defer sending.Wait()
	defer s.cancel(nil)
	sending.Go(func() { s.send(ctx, st) })
	for {
		m, err := st.Receive()
		if err != nil {
			return s.cause(ctx, err)
		}
		silence.Reset(listenFor)
		if !s.accept(m) {
			return ErrReplaced
		}
	}
}

// accept takes a message unless a newer session has taken over.
func (s *session) accept(m *wirev1.AttachResponse) bool {
	s.up.turn.Lock()
	defer s.up.turn.Unlock()
	if !s.up.isCurrent(s) {
		return false
	}
	s.receive(m)
	return true
}

// cause prefers the reason for which the session was ended here.
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
			Zone:        s.up.opt.Zone,
			Entries:     s.up.known(),
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
	s.attached, s.began = true, time.Now()
	s.up.turn.Lock()
	defer s.up.turn.Unlock()
	s.up.admit(s)
	var open []work.RunID
	for _, o := range g.GetOpen() {
		open = append(open, fleetwire.FromRun(o.GetTask(), o.GetAttempt()))
	}
	for _, r := range s.up.host.Resume(s.owner, open) {
		s.push(r)
	}
	s.hear(m)
	return nil
}

// hear takes note of what the entry says of the deployment.
func (s *session) hear(m *wirev1.AttachResponse) {
	s.mu.Lock()
	s.guards = int(m.GetGuards())
	s.readClock = max(s.readClock, time.Duration(m.GetReadUs())*time.Microsecond)
	if len(m.GetEntries()) > 0 {
		s.entries = m.GetEntries()
	}
	s.mu.Unlock()
	if len(m.GetEntries()) > 0 {
		s.up.know(m.GetEntries())
	}
}

// entriesNamed are those that the entry last named.
func (s *session) entriesNamed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries
}

// guardsSeen is the number of guards attached to the entry.
func (s *session) guardsSeen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guards
}

// lasted is how long the session has been attached. It is called only for one that is.
func (s *session) lasted() time.Duration { return time.Since(s.began) }

// setRetiring asks the entry to end the session, or takes that back.
func (s *session) setRetiring(r bool) {
	s.mu.Lock()
	changed := s.retiring != r
	s.retiring = r
	if changed {
		s.capacityDue = time.Now()
	}
	s.mu.Unlock()
	if changed {
		signal(s.wake)
	}
}

func (s *session) isRetiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retiring
}

// receive takes one message of the entry.
func (s *session) receive(m *wirev1.AttachResponse) {
	sent := time.Duration(m.GetEchoUs()) * time.Microsecond
	if m.GetEchoUs() > 0 {
		s.up.host.Alive(s.owner, sent)
	}
	s.setPending(m.GetHasPending(), m.GetPendingMilli())
	s.hear(m)
	if s.takeOwed() {
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
				Spec: o.GetSpec(),
				Need: fleetwire.FromAmounts(o.GetNeed()),
				Life: time.Duration(o.GetLifeMs()) * time.Millisecond,
			})
		}
	}
	var cancels []work.RunID
	for _, c := range m.GetStops() {
		cancels = append(cancels, fleetwire.FromRun(c.GetTask(), c.GetAttempt()))
	}
	if len(orders) > 0 || len(cancels) > 0 {
		s.up.host.Order(sent, s.owner, orders, cancels)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
