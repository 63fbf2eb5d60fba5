// Package host carries out what the account of runs decides: it is the only
// caller of the runner on this host.
package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/platform/runner"
	"almondstand.dev/telemetry/uptime"
)

// Bounds of orders to the runner. It is on this host and answers within a
// millisecond or two; the bounds leave room for a processor that is held back
// for the rest of a tenth of a second.
const (
	startTimeout = 150 * time.Millisecond
	stopTimeout  = 120 * time.Millisecond
	// pollWait is how long a poll may wait for an end. It also paces the renewal
	// of the lease: five renewals may go unanswered before a lease of 600 ms ends.
	pollWait   = 60 * time.Millisecond
	pollMargin = 160 * time.Millisecond
	// pollSlow is the time beyond its wait after which a poll counts as unanswered
	// and the next is sent beside it. Until then the guard knows of no end, and the
	// capacity of the runs that have ended stands empty: with one poll of 25 lost, a
	// tenth of the time.
	pollSlow = 20 * time.Millisecond
	// hedgeFactor times the mean time until a poll is answered, leastHedgeDelay at the
	// least, is the delay after which an unanswered poll is hedged by another. Without it
	// a lost poll on a busy runner kept all ends from their entries for 80 ms: with one
	// call in twenty lost, a fifth of the time.
	hedgeFactor     = 1.5
	leastHedgeDelay = 10 * time.Millisecond
	// lostMemory is how long after a lost poll the next ones are waited for in this way:
	// where none is lost, polls beside one another are work for nothing, half as many
	// again on a busy runner.
	lostMemory = 3 * time.Second
	// pollMemory is the number of polls over which that mean is taken.
	pollMemory = 8
	// inFlightPolls bounds the polls that are under way.
	inFlightPolls = 4
	// stopPause spaces the attempts of a stop that fails at once.
	stopPause = 30 * time.Millisecond
	// silentPause spaces the polls at a runner whose leases have all run out.
	silentPause = 500 * time.Millisecond
	// foreignInterval spaces the lines on reports that are no runner's, and foreignText
	// bounds what of them is written, bytes.
	foreignInterval = 5 * time.Second
	foreignText     = 200
	// adoptTries and adoptPause bound the attempts to reach a new runner between two of
	// its reports, which come every 1.5 s.
	adoptTries = 6
	adoptPause = 100 * time.Millisecond
	// forgetEvery paces the removal of old records.
	forgetEvery = 2 * time.Second
)

// Lease arithmetic.
const (
	// slowClock is the rate of the slowest runner's clock against this host's.
	slowClock = 0.98
	// lapseMargin is the time after a lease's end by which its runs are over:
	// the platform names 50 ms for a stop.
	lapseMargin = 150 * time.Millisecond
)

// Runner takes orders for one process of the runner; see platform/runner.
type Runner interface {
	Start(ctx context.Context, run work.RunName, spec string, until time.Duration) (time.Duration, error)
	Stop(ctx context.Context, run work.RunName) (time.Duration, error)
	Poll(ctx context.Context, until time.Duration, seen int64, wait time.Duration) (work.Account, error)
	// Close closes the connections that no call uses.
	Close()
}

// Sink takes what the entries are to be told.
type Sink interface {
	// Deliver hands reports to the sessions of their owners.
	Deliver([]runs.Report)
	// CapacityChanged says that Capacity returns something new.
	CapacityChanged()
}

// Options of a Host.
type Options struct {
	Runs runs.Options
	// MaxLease is the longest lease that a runner grants.
	MaxLease time.Duration
	// Dial returns a process of the runner.
	Dial    func(runner.Target) Runner
	Logger  *slog.Logger
	Metrics *Metrics
}

// Host is the account of the runner on this host and its only caller.
type Host struct {
	opt    Options
	logger *slog.Logger
	sink   Sink
	began  time.Time

	mu    sync.Mutex
	table *runs.Table
	// process is the runner's present one, nil while there is none.
	process *process
	// candidate is a process that has announced itself and is not adopted yet.
	candidate *runner.Report
	adopting  bool
	fence     fence
	// foreignAt is when a report that is no runner's was last written of; zero for never.
	foreignAt time.Duration
	// pollTakes is the mean time until a poll is answered.
	pollTakes time.Duration
	// lostAt is the uptime at which a poll was last known to be lost; zero for never.
	lostAt time.Duration

	sweep chan struct{}
	poll  chan struct{}
	ctx   context.Context
	calls sync.WaitGroup
}

// New returns a host without a runner.
func New(o Options) *Host {
	return &Host{
		opt:    o,
		logger: o.Logger,
		began:  time.Now(),
		table:  runs.New(o.Runs),
		// As on a quiet runner, until polls show otherwise.
		pollTakes: pollWait,
		sweep:     make(chan struct{}, 1),
		poll:      make(chan struct{}, 1),
	}
}

// Run serves until the context ends. The sink must be ready.
func (h *Host) Run(ctx context.Context, sink Sink) error {
	h.mu.Lock()
	h.sink = sink
	h.ctx = ctx
	h.mu.Unlock()
	defer time.AfterFunc(h.clearAfter(), sink.CapacityChanged).Stop()
	var loops sync.WaitGroup
	loops.Go(func() { h.sweepLoop(ctx) })
	loops.Go(func() { h.pollLoop(ctx) })
	loops.Wait()
	h.calls.Wait()
	return nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Capacity returns what the runner has and what is taken.
func (h *Host) Capacity() runs.Capacity {
	h.mu.Lock()
	defer h.mu.Unlock()
	room := h.table.Capacity()
	room.Cleared = room.Cleared || h.steady() > h.clearAfter()
	return room
}

// clearAfter is the time after this guard's begin by which every lease that an
// older guard can have had from the runner is over, on the slowest clock.
func (h *Host) clearAfter() time.Duration {
	return time.Duration(float64(h.opt.MaxLease)/slowClock) + lapseMargin
}

// HasFree reports whether there is room for another run like the newest asked for.
func (h *Host) HasFree() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.HasFree()
}

// Idle reports whether nothing is at the runner.
func (h *Host) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Idle()
}

// Leave takes no starts from now on.
func (h *Host) Leave() {
	h.mu.Lock()
	h.table.Leave()
	h.mu.Unlock()
	h.sink.CapacityChanged()
}

// Alive takes note that an entry lived at the uptime given.
func (h *Host) Alive(o runs.Owner, at time.Duration) {
	h.mu.Lock()
	h.table.Alive(o, at)
	h.mu.Unlock()
}

// Resume compares the open runs of an entry that has attached with those here.
func (h *Host) Resume(o runs.Owner, open []work.RunID) []runs.Report {
	h.mu.Lock()
	reports := h.table.Resume(uptime.Now(), o, open)
	h.mu.Unlock()
	signal(h.sweep)
	return reports
}

// Order carries out an entry's orders. sent is the earliest uptime at which the
// entry can have sent them.
func (h *Host) Order(sent time.Duration, o runs.Owner, orders []runs.Order, cancels []work.RunID) {
	now := uptime.Now()
	h.mu.Lock()
	h.table.Alive(o, sent)
	var reports []runs.Report
	for _, id := range cancels {
		if report, over := h.table.Cancel(now, o, id); over {
			reports = append(reports, report)
		}
	}
	for _, order := range orders {
		start, report := h.table.Ask(now, sent, o, order)
		if report != nil {
			h.refused(*report, now-sent)
			reports = append(reports, *report)
		}
		if start != nil {
			h.launch(now, start)
		}
	}
	h.mu.Unlock()
	if len(reports) > 0 {
		h.sink.Deliver(reports)
	}
	if len(cancels) > 0 {
		signal(h.sweep)
	}
	if len(orders) > 0 {
		signal(h.poll)
		signal(h.sweep)
	}
}

// refused logs and counts an order that was turned down.
func (h *Host) refused(r runs.Report, age time.Duration) {
	orderRefused.Log(h.ctx, h.logger, slog.String("job", r.Run.Task.Job), slog.Int("index", r.Run.Task.Index),
		slog.Int("attempt", r.Run.Attempt), slog.String("reason", r.Refusal.String()),
		slog.Int64("age_ms", age.Milliseconds()), slog.String("entry", r.Owner.Entry))
	h.opt.Metrics.refused(r.Refusal)
}

// lease returns the process's time to which its lease may be extended now. The lock is held.
func (h *Host) lease(p *process, now time.Duration) time.Duration {
	return p.lease(h.table.HoldUntil(now)-now, h.steady())
}

// launch sends a start. The lock is held.
func (h *Host) launch(now time.Duration, s *runs.Start) {
	p := h.process
	until := h.lease(p, now)
	h.table.ValidUntil(s.Name, until)
	delay := p.hedge.delay()
	h.calls.Go(func() {
		h.started(p, s, h.send(startTimeout, delay, func(ctx context.Context) (time.Duration, error) {
			return p.api.Start(ctx, s.Name, s.Spec, until)
		}))
	})
}

// started takes the answer of a start.
func (h *Host) started(p *process, s *runs.Start, answer reply) {
	now := uptime.Now()
	err := answer.err
	h.mu.Lock()
	p.answered(answer, h.steady())
	var reports []runs.Report
	switch why, known := declined(err); {
	case err == nil:
		if report, news := h.table.Started(now, s.Name); news {
			reports = append(reports, report)
		}
		runStarted.Log(h.ctx, h.logger, slog.String("job", s.Run.Task.Job), slog.Int("index", s.Run.Task.Index),
			slog.Int("attempt", s.Run.Attempt), slog.Int("run", s.Name.Number))
	case errors.Is(err, runner.ErrOldRun) && answer.again:
		// The run may have begun by the first order and be over: its end is in the
		// runner's account.
		h.table.Doubtful(now, s.Name)
	case known && answer.sure:
		if errors.Is(err, runner.ErrOldRun) {
			h.table.Old(now, s.Run.Task)
		}
		reports = h.table.Declined(now, s.Name, why)
	default:
		h.table.Doubtful(now, s.Name)
	}
	h.mu.Unlock()
	h.opt.Metrics.start(err)
	if err != nil {
		startFailed.Log(h.ctx, h.logger, slog.String("job", s.Run.Task.Job), slog.Int("index", s.Run.Task.Index),
			slog.Int("attempt", s.Run.Attempt), slog.Int("run", s.Name.Number), slog.String("error", err.Error()))
		signal(h.sweep)
	}
	h.deliver(reports)
	signal(h.poll)
}

// declined says why a start has not begun; sure is false when it may have, or
// still may.
func declined(err error) (why runs.Refusal, sure bool) {
	switch {
	case errors.Is(err, runner.ErrUnreachable), errors.Is(err, runner.ErrUnwell), errors.Is(err, runner.ErrRefused):
		return runs.Unwell, true
	case errors.Is(err, runner.ErrFull), errors.Is(err, runner.ErrOldRun):
		return runs.Full, true
	case errors.Is(err, runner.ErrExpired):
		return runs.Late, true
	case errors.Is(err, runner.ErrFenced), errors.Is(err, runner.ErrReplaced):
		return runs.Closed, true
	default:
		return runs.NoRefusal, false
	}
}

// noteCrash logs and counts the runner's crash, once for all runs.
func (h *Host) noteCrash(reports []runs.Report) {
	for _, r := range reports {
		if r.State == runs.Crashed && r.Crash.Newest {
			runnerCrashed.Log(h.ctx, h.logger, slog.Int("runs", r.Crash.Others+1), slog.String("newest", r.Run.Task.Job))
			h.opt.Metrics.crashes.Inc(1)
		}
	}
}

func (h *Host) deliver(reports []runs.Report) {
	h.noteCrash(reports)
	for _, r := range reports {
		if r.State == runs.Running {
			continue
		}
		runEnded.Log(h.ctx, h.logger, slog.String("job", r.Run.Task.Job), slog.Int("index", r.Run.Task.Index), slog.Int("attempt", r.Run.Attempt),
			slog.String("state", r.State.String()), slog.String("reason", r.Refusal.String()), slog.String("entry", r.Owner.Entry))
	}
	h.sink.CapacityChanged()
	if len(reports) > 0 {
		h.sink.Deliver(reports)
	}
}
