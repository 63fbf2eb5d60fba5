// Package sessions serves the guards that attach to this entry.
package sessions

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/entry/lag"
	"almondstand.dev/entry/registry/membership"
	"almondstand.dev/entry/sessions/turns"
	"almondstand.dev/wire/wirev1"
)

// Timing of a session.
const (
	// heartbeatBusy is the longest interval between two messages to a guard that runs tasks of
	// this entry. A guard stops the runs of an entry from which it has received nothing for about
	// 520 ms, so three heartbeats in a row may be lost.
	heartbeatBusy = 150 * time.Millisecond
	// heartbeatIdle is the interval for guards that run no task of this entry; they consider the
	// entry gone after 3 s.
	heartbeatIdle = time.Second
	// ackDelay is how long the acknowledgement of a capacity update waits for an order to carry it
	// while tasks are pending; the guard sends no further capacity until then. With heartbeats as
	// the only acknowledgement, 2.5 % fewer jobs are answered in time on three entries at full
	// load; with a delay of 25 ms, 1.5 % fewer.
	ackDelay = 10 * time.Millisecond
	// ackMaxAge is the message age above which only heartbeats and orders acknowledge a capacity
	// update: the entry is then short of processor time, and more updates would only queue unread.
	ackMaxAge = 10 * time.Millisecond
	// lateOrderDelay is the time in the queue above which orders are logged as late.
	lateOrderDelay = 50 * time.Millisecond
	// maxStartWait is the longest time from the decision on a start to its message. With the
	// 350 ms for which guards accept an order, a start reaches its runner at most half a second
	// after its decision, however late this entry runs: a caller that left meanwhile submits its
	// job to another entry after 1.3 s. A CPU-throttled process gets its share within 100 ms.
	maxStartWait = 150 * time.Millisecond
	// guardTimeout ends a session whose guard has sent nothing for this long; guards send at least
	// once a second.
	guardTimeout = 2500 * time.Millisecond
	// removeInterval is the interval between checks for endpoints to remove.
	removeInterval = 5 * time.Second
	// removeAfter is how long a guard has been disconnected before its endpoint is removed.
	removeAfter = 30 * time.Second
)

// ErrNoHandshake means that a guard's first message contained no handshake.
var ErrNoHandshake = errors.New("sessions: no handshake")

// errReleased ends the session of a retiring guard on which this entry has no open runs.
var errReleased = errors.New("sessions: the guard was released")

// errSuperseded means that a newer session or a newer incarnation of the same guard is attached.
var errSuperseded = errors.New("sessions: a newer life of the guard is attached")

// Members is the entry's view of the cluster membership.
type Members interface {
	// Members returns the known entries.
	Members() membership.Snapshot
	// AddConfirmed adds addresses at which a guard reports that it reaches entries.
	AddConfirmed(addresses []string)
}

// Options configure a Server.
type Options struct {
	Entry       string
	Incarnation uint64
	Logger      *slog.Logger
	// Lag records the age of received messages and the delay of sent orders.
	Lag *lag.Meter
}

// Server accepts and tracks the sessions of guards.
type Server struct {
	opt     Options
	jobs    *jobs.Engine
	members Members
	logger  *slog.Logger
	// turns is the order in which guards without a run of this entry are sent its demand.
	turns turns.Queue

	mu sync.Mutex
	// guards holds the newest known incarnation of each guard, by guard id.
	guards map[string]guardState
}

type guardState struct {
	incarnation uint64
	// endedAt is when the guard's last session ended; zero while one is active.
	endedAt time.Time
}

// New returns a server without sessions.
func New(o Options, e *jobs.Engine, m Members) *Server {
	return &Server{opt: o, jobs: e, members: m, logger: o.Logger, guards: map[string]guardState{}}
}

// Run periodically removes the endpoints of guards that are gone, until the context ends.
func (s *Server) Run(ctx context.Context) error {
	tick := time.NewTicker(removeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.jobs.SetEntries(len(s.members.Members().Addresses))
			s.removeLost()
		}
	}
}

func (s *Server) removeLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.guards {
		if !l.endedAt.IsZero() && time.Since(l.endedAt) > removeAfter && s.jobs.RemoveEndpoint(id) {
			delete(s.guards, id)
		}
	}
}

type stream = connect.BidiStream[wirev1.AttachRequest, wirev1.AttachResponse]

// Attach serves one guard's stream.
func (s *Server) Attach(ctx context.Context, st *stream) error {
	first, err := st.Receive()
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	g := first.GetHandshake()
	if g == nil {
		return connect.NewError(connect.CodeInvalidArgument, ErrNoHandshake)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sess := &session{server: s, guard: g.GetGuard(), dataCentre: g.GetZone(), stream: st, wake: make(chan struct{}, 1), cancel: cancel, open: map[work.RunID]struct{}{}}
	sess.recordClock(first.GetClockUs())
	sess.messageAge(first.GetClockUs())
	open, err := s.admit(sess, g)
	if err != nil {
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	s.members.AddConfirmed(g.GetEntries())
	guardAttached.Log(ctx, s.logger, slog.String("guard", sess.guard), slog.Uint64("incarnation", g.GetIncarnation()), slog.Int("open_runs", len(open)))
	err = sess.serve(ctx, open)
	s.jobs.Detach(sess.guard, sess)
	s.sessionEnded(sess.guard)
	if errors.Is(err, errReleased) {
		guardReleased.Log(ctx, s.logger, slog.String("guard", sess.guard))
		return nil
	}
	guardLost.Log(ctx, s.logger, slog.String("guard", sess.guard), slog.Any("error", err))
	// The guard takes an end of the stream without an error to mean that this entry has no open
	// run there, so any other end is an error.
	return connect.NewError(connect.CodeAborted, err)
}

// admit registers the session as its guard's newest and returns the runs that are open there.
func (s *Server) admit(sess *session, g *wirev1.GuardHandshake) ([]work.RunID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prev := s.guards[sess.guard]
	if g.GetIncarnation() < prev.incarnation {
		return nil, errSuperseded
	}
	s.guards[sess.guard] = guardState{incarnation: g.GetIncarnation()}
	return s.jobs.Attach(sess.guard, g.GetZone(), g.GetIncarnation() != prev.incarnation, sess), nil
}

func (s *Server) sessionEnded(guard string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.guards[guard]
	l.endedAt = time.Now()
	s.guards[guard] = l
}
