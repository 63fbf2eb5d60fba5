// Package server implements GuardService on top of the ledger of starts, the slot
// table and the runner client. It is the runner's only client, so it can state
// for certain that a start it did not pass on has not run.
package server

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"almondstand.dev/guard/ledger"
	"almondstand.dev/guard/registration"
	"almondstand.dev/guard/slots"
	"almondstand.dev/telemetry"
	wirev1 "almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// maxResolveWait bounds the time for which a Resolve call waits.
const maxResolveWait = 30 * time.Second

// drainPollInterval is the interval at which Drain checks for running tasks and
// unacknowledged results.
const drainPollInterval = 5 * time.Millisecond

// RunnerSource provides the runner that is currently registered.
type RunnerSource interface {
	// Current returns the registered runner, or nil if there is none.
	Current(now time.Time) *registration.Runner
	// MarkUnreachable records that nothing listens at the runner's address.
	MarkUnreachable(*registration.Runner)
}

// Options configure a Server.
type Options struct {
	GuardID     string
	Incarnation uint64
	DataCentre  string
	// Lease is the duration of a session's lease; entries receive it with Hello.
	Lease  time.Duration
	Ledger *ledger.Ledger
	// QueueLen is the maximum number of tasks that wait for a slot.
	QueueLen int
	Runners  RunnerSource
	// MaxRunLimit caps the run limit of every task.
	MaxRunLimit time.Duration
	// MaxPayloadBytes is the maximum payload of one task, MaxRequestBytes the maximum
	// total size of the requests in progress; both are in bytes.
	MaxPayloadBytes int64
	MaxRequestBytes int64
	// Secret, if set, must be presented by every caller.
	Secret  string
	Now     func() time.Time
	Logger  *slog.Logger
	Scope   tally.Scope
	Control *telemetry.ControlTraffic
}

// Server implements GuardService.
type Server struct {
	opts    Options
	table   *slots.Table[*job]
	metrics *metrics
	calls   callStats
	// slotGoroutines counts the goroutines that hold a slot or are still
	// recording the end of a task.
	slotGoroutines atomic.Int64
}

var _ wirev1connect.GuardServiceHandler = (*Server)(nil)

// New returns a server that has no runner until SetRunner is called.
func New(opts Options) *Server {
	return &Server{
		opts:    opts,
		table:   slots.New[*job](opts.QueueLen),
		metrics: newMetrics(opts.Scope),
	}
}

// SetRunner applies a change of the runner's state: it starts queued tasks on new
// slots and refuses those that can no longer run.
func (s *Server) SetRunner(r slots.Runner) {
	granted, removed := s.table.SetRunner(r)
	for _, k := range granted {
		go s.runSlot(k)
	}
	reason := wirev1.RefusalReason_REFUSAL_REASON_RUNNER_ABSENT
	if r.Present {
		reason = wirev1.RefusalReason_REFUSAL_REASON_LEAVING
	}
	for _, k := range removed {
		s.refuse(k, reason)
	}
}

// StopAccepting refuses all further starts and the queued ones. Running tasks continue.
func (s *Server) StopAccepting() {
	for _, k := range s.table.Close() {
		s.refuse(k, wirev1.RefusalReason_REFUSAL_REASON_LEAVING)
	}
}

// Drain waits until no task runs, and then until the entries have acknowledged
// every result or the linger time has passed, so that an entry whose reply was
// lost can still resolve the result. It returns the error of ctx if that ends
// first.
func (s *Server) Drain(ctx context.Context, linger time.Duration) error {
	// A slot is released shortly before the end of its task is recorded in the
	// ledger. Without counting the goroutines too, Drain could miss a result that
	// still has to be acknowledged.
	idle := func() bool { return s.table.Load("").Running == 0 && s.slotGoroutines.Load() == 0 }
	if err := pollUntil(ctx, idle); err != nil {
		return err
	}
	lingerCtx, cancel := context.WithTimeout(ctx, linger)
	defer cancel()
	acknowledged := func() bool { return s.opts.Ledger.Stats().UnacknowledgedResults == 0 }
	// Reaching the end of the linger time is not an error: an entry may never
	// come back.
	_ = pollUntil(lingerCtx, acknowledged)
	return ctx.Err()
}

func pollUntil(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Load returns the load as seen by one session. With an empty session, all open
// tasks count as those of others.
func (s *Server) Load(session string) *wirev1.Load {
	l := s.table.Load(session)
	calls := s.calls.snapshot()
	return &wirev1.Load{
		Version:       l.Version,
		Slots:         uint32(l.Slots),
		OthersOpen:    uint32(l.Others),
		OwnOpen:       uint32(l.Own),
		Leaving:       l.Draining,
		RunnerPresent: l.RunnerPresent,
		Completed:     calls.completed,
		Failed:        calls.failed,
		FailedInRow:   uint32(calls.consecutiveFailures),
	}
}

// Hello implements GuardService.
func (s *Server) Hello(ctx context.Context, req *connect.Request[wirev1.HelloRequest]) (*connect.Response[wirev1.HelloResponse], error) {
	m := req.Msg
	now := s.opts.Now()
	id, err := s.opts.Ledger.Hello(now, m.GetEntryId(), m.GetEntryIncarnation())
	if err != nil {
		eventHelloRefused.Log(ctx, s.opts.Logger, slog.String("entry", m.GetEntryId()), slog.String("cause", err.Error()))
		return nil, toConnectError(err)
	}
	s.metrics.hellos.Inc(1)
	eventSessionOpened.Log(ctx, s.opts.Logger, slog.String("entry", m.GetEntryId()), slog.Uint64("incarnation", m.GetEntryIncarnation()))
	return connect.NewResponse(&wirev1.HelloResponse{
		Session:          id,
		GuardId:          s.opts.GuardID,
		GuardIncarnation: s.opts.Incarnation,
		Service:          s.service(now),
		Zone:             s.opts.DataCentre,
		LeaseMs:          uint32(s.opts.Lease.Milliseconds()),
		Load:             s.Load(id),
	}), nil
}

func (s *Server) service(now time.Time) string {
	if r := s.opts.Runners.Current(now); r != nil {
		return r.Service
	}
	return ""
}

// Start implements GuardService. A duplicate of a start waits for the same task
// and returns the same report. A closed connection doesn't stop the task: only
// Cancel does.
func (s *Server) Start(ctx context.Context, req *connect.Request[wirev1.StartRequest]) (*connect.Response[wirev1.StartResponse], error) {
	m := req.Msg
	now := s.opts.Now()
	k := s.newJob(now, m)
	answer, err := s.opts.Ledger.Admit(now, ledger.Ref{
		Session:      m.GetSession(),
		Seq:          m.GetSeq(),
		Incarnation:  m.GetGuardIncarnation(),
		LowWatermark: m.GetLowWatermark(),
	}, func() { s.removeCancelled(k) })
	if err != nil {
		return nil, s.recordError(ctx, err)
	}
	report := answer.Report
	if answer.Task != nil {
		report, err = s.awaitReport(ctx, k, answer)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wirev1.StartResponse{
		Session: m.GetSession(),
		Seq:     m.GetSeq(),
		Report:  report,
		Load:    s.Load(m.GetSession()),
	}), nil
}

// awaitReport schedules a newly admitted job and waits for the report of the
// task.
func (s *Server) awaitReport(ctx context.Context, k *ticket, answer ledger.Answer) (*wirev1.TaskReport, error) {
	if answer.Admitted {
		k.Value.task = answer.Task
		s.schedule(k)
	} else {
		s.metrics.joinedStarts.Inc(1)
	}
	select {
	case <-answer.Task.Done():
		return answer.Task.Report(), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// removeCancelled removes from the queue a job that the ledger has ended.
func (s *Server) removeCancelled(k *ticket) {
	s.metrics.countRefusal(wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	s.table.Remove(k)
	k.Value.stopBudgetTimer()
}

// Resolve implements GuardService.
func (s *Server) Resolve(ctx context.Context, req *connect.Request[wirev1.ResolveRequest]) (*connect.Response[wirev1.ResolveResponse], error) {
	m := req.Msg
	s.metrics.resolves.Inc(1)
	answer, err := s.opts.Ledger.Resolve(s.opts.Now(), ledger.Ref{
		Session:      m.GetSession(),
		Seq:          m.GetSeq(),
		Incarnation:  m.GetGuardIncarnation(),
		LowWatermark: m.GetLowWatermark(),
	})
	if err != nil {
		return nil, s.recordError(ctx, err)
	}
	report := answer.Report
	if answer.Task != nil {
		waitForEnd(ctx, answer.Task, time.Duration(m.GetWaitMs())*time.Millisecond)
		report = answer.Task.Report()
	}
	return connect.NewResponse(&wirev1.ResolveResponse{
		Session: m.GetSession(),
		Seq:     m.GetSeq(),
		Report:  report,
		Load:    s.Load(m.GetSession()),
	}), nil
}

// waitForEnd waits for the end of a task, for at most maxResolveWait.
func waitForEnd(ctx context.Context, t *ledger.Task, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(min(wait, maxResolveWait))
	defer timer.Stop()
	select {
	case <-t.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Cancel implements GuardService.
func (s *Server) Cancel(ctx context.Context, req *connect.Request[wirev1.CancelRequest]) (*connect.Response[wirev1.CancelResponse], error) {
	m := req.Msg
	answer, err := s.opts.Ledger.Cancel(s.opts.Now(), ledger.Ref{
		Session:     m.GetSession(),
		Seq:         m.GetSeq(),
		Incarnation: m.GetGuardIncarnation(),
	})
	if err != nil {
		return nil, s.recordError(ctx, err)
	}
	return connect.NewResponse(&wirev1.CancelResponse{
		Session: m.GetSession(),
		Seq:     m.GetSeq(),
		Report:  answer.Report,
		Load:    s.Load(m.GetSession()),
	}), nil
}

// Ping implements GuardService.
func (s *Server) Ping(_ context.Context, req *connect.Request[wirev1.PingRequest]) (*connect.Response[wirev1.PingResponse], error) {
	m := req.Msg
	known := s.opts.Ledger.Ping(s.opts.Now(), ledger.Ref{
		Session:      m.GetSession(),
		Incarnation:  m.GetGuardIncarnation(),
		LowWatermark: m.GetLowWatermark(),
	})
	return connect.NewResponse(&wirev1.PingResponse{
		Known:            known,
		GuardIncarnation: s.opts.Incarnation,
		Load:             s.Load(m.GetSession()),
	}), nil
}

func (s *Server) runnerUnreachable(r *registration.Runner, cause string) {
	s.opts.Runners.MarkUnreachable(r)
	eventRunnerUnreachable.Log(context.Background(), s.opts.Logger,
		slog.String("address", r.Address.String()), slog.String("cause", cause))
}

// recordError counts a start that the full ledger rejected, and converts the
// ledger's error into a connect error.
func (s *Server) recordError(ctx context.Context, err error) error {
	if errors.Is(err, ledger.ErrFull) {
		s.metrics.recordsFull.Inc(1)
		eventRecordsFull.Log(ctx, s.opts.Logger)
	}
	return toConnectError(err)
}

// toConnectError converts an error of the ledger into a connect error. None of
// these codes implies that a task did or did not start.
func toConnectError(err error) error {
	code := connect.CodeInternal
	switch {
	case errors.Is(err, ledger.ErrInvalidSeq), errors.Is(err, ledger.ErrInvalidEntry):
		code = connect.CodeInvalidArgument
	case errors.Is(err, ledger.ErrFull), errors.Is(err, ledger.ErrTooManySessions):
		code = connect.CodeResourceExhausted
	case errors.Is(err, ledger.ErrStaleEntry):
		code = connect.CodeFailedPrecondition
	}
	return connect.NewError(code, eris.Wrap(err, "guard"))
}
