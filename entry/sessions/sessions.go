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
	"almondstand.dev/wire/wirev1"
)

// Timing of a session.
const (
	// pingBusy is the pause after which a guard that runs tasks of this entry
	// hears from it though there is nothing to order: a guard stops the runs of an
	// entry that is silent for some 520 ms, so three may be lost.
	pingBusy = 150 * time.Millisecond
	// pingIdle is the same for the others; they take the entry for gone after 3 s.
	pingIdle = time.Second
	// confirmDelay is how long the word that capacity has been read waits for an order while
	// tasks are pending: the guard sends no more until then. With heartbeats alone 2.5 % fewer
	// jobs are answered in time on three entries at full load; at 25 ms 1.5 % fewer.
	confirmDelay = 10 * time.Millisecond
	// confirmAge is the age of a message above which heartbeats and orders alone confirm it:
	// the entry is short of processor time, and more capacity would only lie unread.
	confirmAge = 10 * time.Millisecond
	// listenFor ends a session whose guard was silent for so long; guards send
	// once a second at least.
	listenFor = 2500 * time.Millisecond
	// forgetEvery paces the removal of endpoints that are gone.
	forgetEvery = 5 * time.Second
	// forgetAfter drops the endpoint of a guard that was gone for so long.
	forgetAfter = 30 * time.Second
)

// ErrNoHandshake means that a guard's first message was no handshake.
var ErrNoHandshake = errors.New("sessions: no handshake")

// errReleased means that the guard is retiring from this entry, which holds no run there.
var errReleased = errors.New("sessions: the guard is released")

// errOlder means that a newer life of the same guard is attached.
var errOlder = errors.New("sessions: a newer life of the guard is attached")

// Members knows the entries.
type Members interface {
	// Known returns the entries' addresses and a number that changes with them.
	Known() (addresses []string, version uint64)
	// Hint takes addresses that may be entries.
	Hint(addresses []string)
}

// Options of a Server.
type Options struct {
	Entry       string
	Incarnation uint64
	Logger      *slog.Logger
	// Lag measures how late messages are.
	Lag *lag.Meter
}

// Server keeps the guards' sessions.
type Server struct {
	opt     Options
	jobs    *jobs.Engine
	members Members
	logger  *slog.Logger

	mu sync.Mutex
	// lives are the newest lives of the guards, by id.
	lives map[string]life
}

type life struct {
	incarnation uint64
	// seen is when a session of the guard last ended; zero while one is on.
	seen time.Time
}

// New returns a server without sessions.
func New(o Options, e *jobs.Engine, m Members) *Server {
	return &Server{opt: o, jobs: e, members: m, logger: o.Logger, lives: map[string]life{}}
}

// Run drops endpoints that are gone, until the context ends.
func (s *Server) Run(ctx context.Context) error {
	tick := time.NewTicker(forgetEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.forget()
		}
	}
}

func (s *Server) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.lives {
		if !l.seen.IsZero() && time.Since(l.seen) > forgetAfter && s.jobs.Forget(id) {
			delete(s.lives, id)
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
	ses := &session{server: s, guard: g.GetGuard(), stream: st, wake: make(chan struct{}, 1), cancel: cancel}
	ses.heard(first.GetClockUs())
	open, err := s.admit(ses, g)
	if err != nil {
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	s.members.Hint(g.GetEntries())
	guardAttached.Log(ctx, s.logger, slog.String("guard", ses.guard), slog.Uint64("incarnation", g.GetIncarnation()), slog.Int("open_runs", len(open)))
	err = ses.serve(ctx, open)
	s.jobs.Detach(ses.guard, ses)
	s.left(ses.guard)
	if errors.Is(err, errReleased) {
		guardReleased.Log(ctx, s.logger, slog.String("guard", ses.guard))
		return nil
	}
	guardLost.Log(ctx, s.logger, slog.String("guard", ses.guard), slog.Any("error", err))
	// An end without an error tells the guard that no run is left open there.
	return connect.NewError(connect.CodeAborted, err)
}

// admit makes the session its guard's newest and returns the open runs there.
func (s *Server) admit(ses *session, g *wirev1.GuardHandshake) ([]work.RunID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.lives[ses.guard]
	if g.GetIncarnation() < known.incarnation {
		return nil, errOlder
	}
	s.lives[ses.guard] = life{incarnation: g.GetIncarnation()}
	return s.jobs.Attach(ses.guard, g.GetZone(), g.GetIncarnation() != known.incarnation, ses), nil
}

func (s *Server) left(guard string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lives[guard]
	l.seen = time.Now()
	s.lives[guard] = l
}
