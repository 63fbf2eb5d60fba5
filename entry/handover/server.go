package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/entry/internal/clockoffset"
	"almondstand.dev/platform/ingress"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

// maxInFlight bounds the jobs in flight on one stream, and the goroutines that wait for them. A client has
// far fewer in flight.
const maxInFlight = 128

// errSelf means that an entry has connected to itself.
var errSelf = errors.New("handover: the other entry is this one")

// Taker takes over jobs of other entries.
type Taker interface {
	// TakeOver runs a job and returns its answer. It returns ErrNotTaken if it has ordered no task of the
	// job and will order none. The context ends when the callers at the other entry have left, and when the
	// stream ends; see also Disconnected.
	TakeOver(ctx context.Context, j Job) (planner.Answer, error)
}

// ServerOptions configure a Server.
type ServerOptions struct {
	// Entry is the id of this entry.
	Entry string
	// Incarnation is the start time of this process in nanoseconds.
	Incarnation uint64
	Logger      *slog.Logger
	Scope       tally.Scope
}

// Server accepts jobs that other entries hand over.
type Server struct {
	opt     ServerOptions
	taker   Taker
	metrics *metrics
}

// NewServer returns a server that passes jobs on to a Taker.
func NewServer(t Taker, o ServerOptions) *Server {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return &Server{opt: o, taker: t, metrics: newMetrics(o.Scope, sideIn)}
}

// streamKey is the key of the stream in the contexts of its jobs.
type streamKey struct{}

// Disconnected reports whether the context of a job that was taken over has ended, or will end because
// nothing was read for silenceLimit on the stream over which the job came. The clock decides it: an
// entry that was suspended must find it before it sends anything for the job, though its timers have not
// fired yet and the end of the stream is unread. Of other contexts it reports whether they have ended.
func Disconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	s, found := ctx.Value(streamKey{}).(*serverStream)
	return found && s.heard.silent(uptime.Now())
}

// From returns the id of the entry that handed over the job with the given context; "" for other contexts.
func From(ctx context.Context) string {
	if s, found := ctx.Value(streamKey{}).(*serverStream); found {
		return s.entry
	}
	return ""
}

type streamFromClient = connect.BidiStream[wirev1.HandOverRequest, wirev1.HandOverResponse]

// HandOver serves the stream of another entry.
func (s *Server) HandOver(ctx context.Context, st *streamFromClient) error {
	first, err := st.Receive()
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	ss := &serverStream{server: s, wake: make(chan struct{}, 1), inFlight: map[string]context.CancelFunc{}, entry: first.GetHandshake().GetEntry()}
	if err := ss.checkFirst(first); err != nil {
		ss.logForeign(ctx, err)
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ss.ctx, ss.cancel = context.WithValue(ctx, streamKey{}, ss), cancel
	now := uptime.Now()
	ss.heard.record(now)
	ss.offset.Age(now, time.Duration(first.GetClockUs())*time.Microsecond)
	s.metrics.opened.Inc(1)
	streamOpened.Log(ctx, s.opt.Logger, slog.String("side", sideIn), slog.String("entry", ss.entry),
		slog.Uint64("incarnation", first.GetHandshake().GetIncarnation()))
	err = ss.serve(st)
	cancel(err)
	ss.logEnd(err)
	if errors.Is(err, errForeign) {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeAborted, err)
}

// serverStream is the stream of one other entry.
type serverStream struct {
	server *Server
	// entry is the id of the other entry.
	entry  string
	ctx    context.Context
	cancel context.CancelCauseFunc
	wake   chan struct{}
	// heard is when the other entry was last known to be alive: when it made the newest message.
	heard lastHeard
	// offset estimates the age of the messages. Only the receiving goroutine uses it.
	offset clockoffset.Estimate

	mu sync.Mutex
	// inFlight has the jobs that were passed to the Taker and are not answered, with what ends their
	// contexts, by id.
	inFlight map[string]context.CancelFunc
	// answers wait to be sent.
	answers []*wirev1.HandedAnswer
	// quietSince is the uptime since which nothing was sent while jobs were in flight.
	quietSince time.Duration
	// watch checks for silence while jobs are in flight; watching is true while it is set.
	watch    *time.Timer
	watching bool
}

// checkFirst checks the first message of a stream. It has no jobs: how long it waited unread is unknown.
func (s *serverStream) checkFirst(m *wirev1.HandOverRequest) error {
	switch {
	case checkHandshake(m.GetHandshake()) != nil:
		return checkHandshake(m.GetHandshake())
	case checkClock(m.GetClockUs()) != nil:
		return checkClock(m.GetClockUs())
	case s.entry == s.server.opt.Entry:
		return errSelf
	case len(m.GetJobs()) > 0:
		return fmt.Errorf("%w: jobs in the first message", errForeign)
	}
	return nil
}

// serve receives and sends until the stream ends. It returns the reason.
func (s *serverStream) serve(st *streamFromClient) error {
	opt := s.server.opt
	err := st.Send(&wirev1.HandOverResponse{Handshake: &wirev1.HandOverHandshake{Entry: opt.Entry, Incarnation: opt.Incarnation, ComparesTerms: true}})
	if err != nil {
		return err
	}
	// Receive returns only when the handler's return closes the stream.
	go func() { s.cancel(s.receive(st)) }()
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return context.Cause(s.ctx)
		case <-s.wake:
		case <-timer.C:
		}
		if s.ctx.Err() != nil {
			return context.Cause(s.ctx)
		}
		m, wait := s.next(uptime.Now())
		if m == nil {
			if wait > 0 {
				timer.Reset(wait)
			}
			continue
		}
		if err := st.Send(m); err != nil {
			return err
		}
		timer.Reset(heartbeatInterval)
	}
}

// next returns the message that is due; nil if there is none, and then the time until a heartbeat is due,
// zero while no job is in flight.
func (s *serverStream) next(now time.Duration) (m *wirev1.HandOverResponse, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 && len(s.inFlight) == 0 {
		return nil, 0
	}
	due := heartbeatInterval - (now - s.quietSince)
	if len(s.answers) == 0 && due > 0 {
		return nil, due
	}
	m = &wirev1.HandOverResponse{Answers: s.answers}
	s.answers, s.quietSince = nil, now
	return m, 0
}

// receive handles messages until the stream ends.
func (s *serverStream) receive(st *streamFromClient) error {
	for {
		m, err := st.Receive()
		if err != nil {
			return fmt.Errorf("handover: stream: %w", err)
		}
		if err := checkClock(m.GetClockUs()); err != nil {
			return s.foreign(err)
		}
		now := uptime.Now()
		age := s.offset.Age(now, time.Duration(m.GetClockUs())*time.Microsecond)
		if err := s.accept(now, age, m); err != nil {
			return err
		}
	}
}

// accept handles a message that the other entry made age before now. It returns an error if the stream
// must end.
func (s *serverStream) accept(now, age time.Duration, m *wirev1.HandOverRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inFlight) > 0 && s.heard.silent(now) {
		// Contexts that Disconnected has reported must stay so, though messages had waited unread.
		return errSilent
	}
	s.heard.record(now - age)
	if m.GetHandshake() != nil {
		return s.foreign(fmt.Errorf("%w: a second handshake", errForeign))
	}
	for _, id := range m.GetCancelled() {
		if cancel := s.inFlight[id]; cancel != nil {
			cancel()
		}
	}
	for _, j := range m.GetJobs() {
		if err := s.acceptJob(now, age, j); err != nil {
			return err
		}
	}
	return nil
}

// acceptJob passes a job to the Taker, or answers that it is not taken. The caller holds the lock.
func (s *serverStream) acceptJob(now, age time.Duration, m *wirev1.HandedJob) error {
	id := m.GetId()
	if !ingress.ValidID(id) {
		// An answer could not name the job.
		return s.foreign(fmt.Errorf("%w: job id %.40q", errForeign, id))
	}
	if s.unanswered(id) {
		s.server.metrics.repeated.Inc(1)
		return nil
	}
	j, err := fromJob(m)
	if err != nil {
		_ = s.foreign(err)
	}
	j.TimeLeft -= age
	j.Waited += age
	if err != nil || j.TimeLeft <= 0 || age >= silenceLimit || len(s.inFlight) >= maxInFlight {
		s.queueAnswer(toAnswer(id, planner.Answer{}, ErrNotTaken))
		return nil
	}
	if len(s.inFlight) == 0 {
		s.quietSince = now
		s.startWatch(now)
		signal(s.wake)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.inFlight[id] = cancel
	go func() {
		answer, err := s.server.taker.TakeOver(ctx, j)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, id)
		s.queueAnswer(toAnswer(id, answer, err))
	}()
	return nil
}

// unanswered reports whether a job with an id is in flight, or its answer waits to be sent: an answer to
// a second one would be taken for that of the first. The caller holds the lock.
func (s *serverStream) unanswered(id string) bool {
	return s.inFlight[id] != nil || slices.ContainsFunc(s.answers, func(a *wirev1.HandedAnswer) bool { return a.GetId() == id })
}

// queueAnswer queues an answer. The caller holds the lock.
func (s *serverStream) queueAnswer(a *wirev1.HandedAnswer) {
	s.answers = append(s.answers, a)
	signal(s.wake)
}

// startWatch starts the check for silence unless it runs. The caller holds the lock.
func (s *serverStream) startWatch(now time.Duration) {
	if s.watching {
		return
	}
	s.watching = true
	wait := s.heard.untilSilent(now)
	if s.watch == nil {
		s.watch = time.AfterFunc(wait, s.checkSilence)
		return
	}
	s.watch.Reset(wait)
}

// checkSilence ends the stream after silenceLimit without a message while jobs are in flight.
func (s *serverStream) checkSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := uptime.Now()
	switch {
	case len(s.inFlight) == 0 || s.ctx.Err() != nil:
		s.watching = false
	case s.heard.silent(now):
		s.cancel(errSilent)
	default:
		s.watch.Reset(s.heard.untilSilent(now))
	}
}

// logEnd counts and logs the end of the stream.
func (s *serverStream) logEnd(err error) {
	s.mu.Lock()
	// The Taker may have returned already, since the contexts have ended.
	lost := len(s.inFlight) + len(s.answers)
	s.mu.Unlock()
	attrs := []slog.Attr{slog.String("side", sideIn), slog.String("entry", s.entry), slog.Any("error", err)}
	if lost > 0 {
		s.server.metrics.lost.Inc(1)
		streamLost.Log(s.ctx, s.server.opt.Logger, append(attrs, slog.Int("jobs", lost))...)
		return
	}
	s.server.metrics.ended.Inc(1)
	streamEnded.Log(s.ctx, s.server.opt.Logger, attrs...)
}

// foreign counts and logs a malformed message, and returns the error.
func (s *serverStream) foreign(err error) error {
	s.logForeign(s.ctx, err)
	return err
}

func (s *serverStream) logForeign(ctx context.Context, err error) {
	s.server.metrics.foreign.Inc(1)
	foreignMessage.Log(ctx, s.server.opt.Logger, slog.String("side", sideIn), slog.String("entry", s.entry), slog.Any("error", err))
}
