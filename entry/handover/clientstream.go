package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// Reasons for which a client ends a stream.
var (
	errConnectTimeout = errors.New("handover: no connection in time")
	errIdle           = errors.New("handover: no job for a while")
	// errNoComparison means that the other entry, of an earlier release, would run a job under other terms
	// than those under which it was accepted.
	errNoComparison = errors.New("handover: the other entry does not compare the terms of jobs")
)

// result is how a handover ended.
type result struct {
	answer planner.Answer
	err    error
}

// handedJob is a job that waits to be sent, or that is in flight.
type handedJob struct {
	ctx      context.Context
	job      Job
	message  *wirev1.HandedJob
	queuedAt time.Duration
	// done receives the result, at most one.
	done chan result
	// left is true once the caller of a job in flight has left; guarded by the stream's lock.
	left bool
}

type streamToServer = connect.BidiStreamForClient[wirev1.HandOverRequest, wirev1.HandOverResponse]

// clientStream is a stream to one other entry.
type clientStream struct {
	client  *Client
	address string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	wake    chan struct{}
	heard   lastHeard
	// connected is true once the other entry has accepted the stream. Only run uses it.
	connected bool
	// settled is set by the end of the connection attempt or by its timeout, whichever comes first.
	settled atomic.Bool

	mu sync.Mutex
	// queue are the jobs that wait to be sent.
	queue []*handedJob
	// inFlight are the jobs that were passed on for sending and have no answer, by id. Those whose
	// callers have left are among them: an answer to the job that was sent must not be taken for one to a
	// later submission.
	inFlight map[string]*handedJob
	// cancelled are the ids of jobs whose cancellations wait to be sent.
	cancelled []string
	// lastJob is the uptime at which the last job was enqueued or answered, lastSent that of the last
	// message.
	lastJob, lastSent time.Duration
	// closed is true once the stream accepts no more jobs.
	closed bool
	// watch checks for silence while jobs are in flight; watching is true while it is set.
	watch    *time.Timer
	watching bool
}

func newClientStream(c *Client, address string) *clientStream {
	s := &clientStream{client: c, address: address, wake: make(chan struct{}, 1), inFlight: map[string]*handedJob{}}
	s.ctx, s.cancel = context.WithCancelCause(c.ctx)
	return s
}

// enqueue passes a job to the stream; accepted is false if the stream has ended. It returns an error if a
// job with the same id is in flight.
func (s *clientStream) enqueue(h *handedJob) (accepted bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false, nil
	}
	id := h.job.Work.ID
	if s.inFlight[id] != nil || slices.ContainsFunc(s.queue, func(q *handedJob) bool { return q.job.Work.ID == id }) {
		return false, fmt.Errorf("%w: job %s was passed to the stream before", ErrLost, id)
	}
	s.queue = append(s.queue, h)
	s.lastJob = h.queuedAt
	signal(s.wake)
	return true, nil
}

// leave removes a job whose caller has left, or queues its cancellation if it may have been sent.
func (s *clientStream) leave(h *handedJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[h.job.Work.ID] == h {
		s.cancelJob(h)
		signal(s.wake)
		return
	}
	s.queue = slices.DeleteFunc(s.queue, func(q *handedJob) bool { return q == h })
}

// cancelJob queues the cancellation of a job in flight. The caller holds the lock.
func (s *clientStream) cancelJob(h *handedJob) {
	if !h.left {
		h.left = true
		s.cancelled = append(s.cancelled, h.job.Work.ID)
	}
}

// run serves the stream until it ends.
func (s *clientStream) run() {
	err := s.serve()
	s.cancel(err)
	s.client.remove(s)
	lost := s.fail()
	m, logger := s.client.metrics, s.client.opt.Logger
	attrs := []slog.Attr{slog.String("side", sideOut), slog.String("address", s.address), slog.Any("error", err)}
	switch {
	case !s.connected:
		m.failed.Inc(1)
		notConnected.Log(context.Background(), logger, attrs...)
	case lost > 0:
		m.lost.Inc(1)
		streamLost.Log(context.Background(), logger, append(attrs, slog.Int("jobs", lost))...)
	default:
		m.ended.Inc(1)
		streamEnded.Log(context.Background(), logger, attrs...)
	}
}

// fail closes the stream for jobs and ends those that it has. It returns the number of jobs in flight.
func (s *clientStream) fail() (lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectQueued()
	for _, h := range s.inFlight {
		h.done <- result{err: ErrLost}
	}
	lost = len(s.inFlight)
	clear(s.inFlight)
	if s.watch != nil {
		s.watch.Stop()
	}
	return lost
}

// rejectQueued closes the stream for jobs, and ends those that were not sent. The caller holds the lock.
func (s *clientStream) rejectQueued() {
	s.closed = true
	for _, h := range s.queue {
		h.done <- result{err: ErrNotTaken}
	}
	s.queue = nil
}

// serve connects, and sends and receives until the stream ends. It returns the reason.
func (s *clientStream) serve() error {
	transport := fleetwire.NewTransport(fleetwire.DialTimeout)
	defer transport.Close()
	defer context.AfterFunc(s.ctx, transport.Close)()
	st := fleetwire.NewClient(&http.Client{Transport: transport}, s.address).HandOver(s.ctx)
	defer func() { _ = st.CloseResponse() }()
	defer func() { _ = st.CloseRequest() }()
	if err := s.connect(st); err != nil {
		return s.cause(err)
	}
	var reading sync.WaitGroup
	defer reading.Wait()
	defer s.cancel(nil)
	reading.Go(func() { s.cancel(s.receive(st)) })
	return s.cause(s.send(st))
}

// cause returns the reason for which this side ended the stream, if there is one, and err otherwise.
func (s *clientStream) cause(err error) error {
	if why := context.Cause(s.ctx); why != nil {
		return why
	}
	return err
}

// connect exchanges the first messages within connectTimeout. No job is sent before that: an older entry
// does not know the call, and net/http may send a request again that was not answered.
func (s *clientStream) connect(st *streamToServer) error {
	connecting, connected := context.WithCancel(s.ctx)
	defer connected()
	go func() {
		for range connectParts {
			if !uptime.Sleep(connecting, connectTimeout/connectParts) {
				return
			}
		}
		s.timeOutConnect()
	}()
	opt := s.client.opt
	err := st.Send(&wirev1.HandOverRequest{
		Handshake: &wirev1.HandOverHandshake{Entry: opt.Entry, Incarnation: opt.Incarnation},
		ClockUs:   uptime.Now().Microseconds(),
	})
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	m, err := st.Receive()
	if err != nil {
		return err
	}
	if err := checkHandshake(m.GetHandshake()); err != nil {
		s.logForeign(err)
		return err
	}
	if !m.GetHandshake().GetComparesTerms() {
		return errNoComparison
	}
	if !s.settled.CompareAndSwap(false, true) {
		return errConnectTimeout
	}
	s.connected = true
	s.client.metrics.opened.Inc(1)
	streamOpened.Log(s.ctx, opt.Logger, slog.String("side", sideOut), slog.String("address", s.address),
		slog.String("entry", m.GetHandshake().GetEntry()))
	return nil
}

// timeOutConnect ends the stream unless it is open: jobs may have been sent on it by then.
func (s *clientStream) timeOutConnect() {
	if s.settled.CompareAndSwap(false, true) {
		s.cancel(errConnectTimeout)
	}
}

// send sends what is due until the stream ends.
func (s *clientStream) send(st *streamToServer) error {
	timer := time.NewTimer(0)
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
		// The message is dated before the check: if this process is suspended between the two, the other
		// entry finds the message old.
		now := uptime.Now()
		if beforeSend := s.client.opt.BeforeSend; beforeSend != nil {
			beforeSend()
		}
		m, wait, err := s.next(now)
		if err != nil {
			return err
		}
		if m == nil {
			timer.Reset(wait)
			continue
		}
		if err := st.Send(m); err != nil {
			return s.finishReading(err)
		}
		timer.Reset(heartbeatInterval)
	}
}

// finishReading waits for the answers that arrived before the stream ended.
func (s *clientStream) finishReading(err error) error {
	select {
	case <-s.ctx.Done():
	case <-time.After(readGrace):
	}
	return s.cause(err)
}

// next returns the message that is due; nil if there is none, and then the time until one may be. It
// returns errIdle if the stream is to be closed.
func (s *clientStream) next(now time.Duration) (m *wirev1.HandOverRequest, wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inFlight) > 0 && s.heard.silent(now) {
		// Nothing more is sent: the watch ends the stream.
		s.rejectQueued()
		return nil, heartbeatInterval, nil
	}
	for _, h := range s.inFlight {
		if h.ctx.Err() != nil {
			// Its caller has left, and the goroutine that waits for it may not have run yet.
			s.cancelJob(h)
		}
	}
	m = &wirev1.HandOverRequest{Cancelled: s.cancelled}
	s.cancelled = nil
	for _, h := range s.queue {
		if j := s.takeJob(h, now); j != nil {
			m.Jobs = append(m.Jobs, j)
		}
	}
	s.queue = nil
	idle := len(s.inFlight) == 0
	due := heartbeatInterval - (now - s.lastSent)
	if len(m.Jobs) > 0 || len(m.Cancelled) > 0 || !idle && due <= 0 {
		s.lastSent = now
		m.ClockUs = now.Microseconds()
		return m, 0, nil
	}
	if !idle {
		return nil, due, nil
	}
	left := idleTimeout - (now - s.lastJob)
	if left <= 0 {
		s.closed = true
		return nil, 0, errIdle
	}
	return nil, left, nil
}

// takeJob moves a job from the queue to those in flight and returns its message; nil if it is not to be
// sent. The caller holds the lock.
func (s *clientStream) takeJob(h *handedJob, now time.Duration) *wirev1.HandedJob {
	if h.ctx.Err() != nil {
		return nil
	}
	// The job may have been queued after now was read.
	waited := max(now-h.queuedAt, 0)
	h.message.LeftMs = millis(h.job.TimeLeft - waited)
	h.message.WaitedMs = millis(h.job.Waited + waited)
	if h.message.LeftMs == 0 {
		h.done <- result{err: ErrNotTaken}
		return nil
	}
	if len(s.inFlight) == 0 {
		s.heard.record(now)
		s.startWatch()
	}
	s.inFlight[h.job.Work.ID] = h
	return h.message
}

// startWatch starts the check for silence unless it runs. The caller holds the lock.
func (s *clientStream) startWatch() {
	if s.watching {
		return
	}
	s.watching = true
	if s.watch == nil {
		s.watch = time.AfterFunc(silenceLimit, s.checkSilence)
		return
	}
	s.watch.Reset(silenceLimit)
}

// checkSilence ends the stream after silenceLimit without a message while jobs are in flight.
func (s *clientStream) checkSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := uptime.Now()
	switch {
	case len(s.inFlight) == 0:
		s.watching = false
	case s.heard.silent(now):
		s.rejectQueued()
		time.AfterFunc(readGrace, func() { s.cancel(errSilent) })
	default:
		s.watch.Reset(s.heard.untilSilent(now))
	}
}

// receive delivers answers until the stream ends.
func (s *clientStream) receive(st *streamToServer) error {
	for {
		m, err := st.Receive()
		if err != nil {
			return fmt.Errorf("handover: stream: %w", err)
		}
		if m.GetHandshake() != nil {
			s.logForeign(errForeign)
			return fmt.Errorf("%w: a second handshake", errForeign)
		}
		s.accept(uptime.Now(), m.GetAnswers())
	}
}

// accept delivers the answers of a message.
func (s *clientStream) accept(now time.Duration, answers []*wirev1.HandedAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A stream that was silent is ended, also if messages had waited unread meanwhile.
	if len(s.inFlight) == 0 || !s.heard.silent(now) {
		s.heard.record(now)
	}
	for _, a := range answers {
		h := s.inFlight[a.GetId()]
		if h == nil {
			s.client.metrics.withoutJob.Inc(1)
			continue
		}
		delete(s.inFlight, a.GetId())
		s.lastJob = now
		answer, err := fromAnswer(a)
		if errors.Is(err, errForeign) {
			s.logForeign(err)
			err = ErrLost
		}
		h.done <- result{answer, err}
	}
}

// logForeign counts and logs a malformed message of the other entry.
func (s *clientStream) logForeign(err error) {
	s.client.metrics.foreign.Inc(1)
	foreignMessage.Log(s.ctx, s.client.opt.Logger, slog.String("side", sideOut), slog.String("address", s.address), slog.Any("error", err))
}
