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
	// ErrSilent means that the entry sent nothing for too long.
	ErrSilent = errors.New("uplink: entry is silent")
	// ErrReplaced means that a newer session of the same entry took over.
	ErrReplaced = errors.New("uplink: session replaced")
	// ErrGreeting means that the entry's first message was no greeting.
	ErrGreeting = errors.New("uplink: no greeting")
)

type stream = connect.BidiStreamForClient[wirev1.AttachRequest, wirev1.AttachResponse]

// session is one stream to one entry.
type session struct {
	up    *Uplink
	link  *link
	owner runs.Owner
	// dial is the time for its connection to come about.
	dial time.Duration
	// attached is true once the entry has greeted.
	attached bool
	cancel   context.CancelCauseFunc
	wake     chan struct{}

	mu      sync.Mutex
	reports []runs.Report
	// tell is when the oldest of the reports is to be sent; zero for none.
	tell time.Time
	// waiting is true while the entry's tasks wait for room.
	waiting bool
	// wants is what they need, thousandths of a core.
	wants int64
	// due is when the room is to be told; zero while it need not be.
	due time.Time
	// told is when it was told last, and toldRoom what.
	told     time.Time
	toldRoom runs.Room
	// along is true when the room goes along with the next reports.
	along bool
	// retiring is true while the guard asks the entry to end the session.
	retiring, toldRetiring bool
	// entries are those that the entry last named, and guards the number of guards that
	// are attached to it.
	entries []string
	guards  int
}

func newSession(u *Uplink, l *link, dial time.Duration) *session {
	return &session{up: u, link: l, dial: dial, wake: make(chan struct{}, 1), due: time.Now()}
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
	if err := s.greet(st); err != nil {
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

// greet exchanges the first messages.
func (s *session) greet(st *stream) error {
	err := st.Send(&wirev1.AttachRequest{
		Greeting: &wirev1.GuardGreeting{
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
	g := m.GetGreeting()
	if g == nil {
		return ErrGreeting
	}
	s.owner = runs.Owner{Entry: g.GetEntry(), Incarnation: g.GetIncarnation()}
	s.attached = true
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

// setRetiring asks the entry to end the session, or takes that back.
func (s *session) setRetiring(r bool) {
	s.mu.Lock()
	changed := s.retiring != r
	s.retiring = r
	if changed {
		s.due = time.Now()
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
	s.setWaiting(m.GetWaiting(), m.GetWantsMilli())
	s.hear(m)
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

func (s *session) setWaiting(w bool, wants int64) {
	s.mu.Lock()
	changed := w && !s.waiting
	s.waiting, s.wants = w, wants
	s.mu.Unlock()
	if changed {
		s.up.RoomChanged()
	}
}

// Wants implements offer.Listener.
func (s *session) Wants() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wants
}

// Waits implements offer.Listener.
func (s *session) Waits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting && !s.retiring
}

// Offered implements offer.Listener.
func (s *session) Offered() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told
}

func (s *session) push(r runs.Report) {
	at := time.Now()
	s.mu.Lock()
	if r.State == runs.Running {
		at = at.Add(beginsWait)
	} else {
		// The end says all that the begin would.
		s.reports = slices.DeleteFunc(s.reports, func(old runs.Report) bool { return old.Run == r.Run && old.State == runs.Running })
	}
	s.reports = append(s.reports, r)
	sooner := s.tell.IsZero() || at.Before(s.tell)
	if sooner {
		s.tell = at
	}
	if r.State == runs.NotStarted {
		// What the entry believed of the room was wrong.
		s.along = true
	}
	s.mu.Unlock()
	if sooner {
		signal(s.wake)
	}
}

// TellAt implements offer.Listener.
func (s *session) TellAt(at time.Time) {
	s.mu.Lock()
	s.due = at
	s.mu.Unlock()
	signal(s.wake)
}

// TellAfter implements offer.Listener.
func (s *session) TellAfter(pace time.Duration, contended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if due := s.told.Add(pace); s.due.IsZero() || due.Before(s.due) {
		s.due = due
		signal(s.wake)
	}
	s.along = s.along || !contended
}

// Hold implements offer.Listener.
func (s *session) Hold() {
	s.mu.Lock()
	s.due = time.Time{}
	s.mu.Unlock()
}

// send writes messages until the stream ends: reports at once, room that
// changed at a bounded pace, and a beat when there is nothing else.
func (s *session) send(ctx context.Context, st *stream) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	beat := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
		reports, room, wait := s.take(time.Now())
		if len(reports) == 0 && !room && time.Since(beat) < beatEvery {
			timer.Reset(min(wait, beatEvery-time.Since(beat)))
			continue
		}
		m := &wirev1.AttachRequest{ClockUs: uptime.Now().Microseconds(), Reports: reports}
		if room {
			m.Room = s.room()
		}
		if err := st.Send(m); err != nil {
			s.cancel(fmt.Errorf("uplink: send: %w", err))
			return
		}
		beat = time.Now()
		timer.Reset(min(wait, beatEvery))
		if room {
			timer.Reset(beatEvery)
		}
	}
}

// take returns what is to be sent now; room is true when the room goes along,
// and wait is the time until it is due.
func (s *session) take(now time.Time) (reports []*wirev1.RunReport, room bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := !s.tell.IsZero() && !now.Before(s.tell)
	room = !s.due.IsZero() && !now.Before(s.due) || s.along && told
	if !told && !room {
		return nil, false, s.untilDue(now)
	}
	// Every report goes along, also a begin that could wait: room counts its run.
	up := uptime.Now()
	for _, r := range s.reports {
		reports = append(reports, wireReport(r, up))
	}
	s.reports, s.tell = nil, time.Time{}
	if !room {
		return reports, false, s.untilDue(now)
	}
	s.due = time.Time{}
	s.told = now
	s.along = false
	return reports, true, 0
}

// untilDue is the time until something is to be sent, beatEvery at most. The lock
// is held.
func (s *session) untilDue(now time.Time) time.Duration {
	wait := beatEvery
	for _, at := range []time.Time{s.due, s.tell} {
		if !at.IsZero() {
			wait = min(wait, at.Sub(now))
		}
	}
	return wait
}

// room returns the room that is told now.
func (s *session) room() *wirev1.Room {
	r := s.up.host.Room()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toldRoom, s.toldRetiring = r, s.retiring
	m := wireRoom(r)
	m.Open = m.Open && !s.retiring
	m.Retiring = s.retiring
	return m
}

// News implements offer.Listener.
func (s *session) News(r runs.Room) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.toldRoom
	return s.retiring != s.toldRetiring || t.Open != r.Open || t.Cleared != r.Cleared || t.Instance != r.Instance || t.Total != r.Total
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
