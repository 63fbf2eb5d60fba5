// Package host executes what the run table decides: it is the only caller of the runner on
// this host.
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

// Timeouts of calls to the runner. It is on this host and answers within a millisecond or two;
// the timeouts allow for a process that the scheduler throttles for the rest of a 100 ms
// period.
const (
	startTimeout = 150 * time.Millisecond
	stopTimeout  = 120 * time.Millisecond
	// pollWait is how long a poll may wait at the runner for a run to end. It also determines
	// how often the lease is renewed: five renewals may go unanswered before a lease of 600 ms
	// expires.
	pollWait   = 60 * time.Millisecond
	pollMargin = 160 * time.Millisecond
	// pollHedgeMargin is the time beyond its wait after which a poll counts as unanswered and
	// is hedged by another. Until then the guard learns of no ended run, and the capacity of
	// runs that have ended stays unused: with one poll in 25 lost, for a tenth of the time.
	pollHedgeMargin = 20 * time.Millisecond
	// pollHedgeFactor times the mean poll time, but at least minPollHedgeDelay, is the delay
	// after which an unanswered poll is hedged by another. Without it, a lost poll at a busy
	// runner kept all ended runs from their entries for 80 ms: with one call in twenty lost,
	// for a fifth of the time.
	pollHedgeFactor   = 1.5
	minPollHedgeDelay = 10 * time.Millisecond
	// pollHedgeWindow is how long after a lost poll this shorter hedge delay applies. If no
	// polls are lost, hedging them is wasted work: half as many polls again at a busy runner.
	pollHedgeWindow = 3 * time.Second
	// pollMeanWindow is the number of polls over which the mean poll time is averaged.
	pollMeanWindow = 8
	// maxInFlightPolls bounds the polls in flight.
	maxInFlightPolls = 4
	// retryDelay is the pause after a failed stop or poll, so that one that fails at once is
	// not repeated in a tight loop.
	retryDelay = 30 * time.Millisecond
	// expiredPollInterval is the time between polls of a runner whose leases have all expired.
	expiredPollInterval = 500 * time.Millisecond
	// earlyFenceWindow is the time after an unanswered start for which a runner that reports its
	// start time is polled also while it is idle; see settleStart for the others. A process that
	// starts under the same id knows no fencing token and no stop; if it is fenced early, copies of
	// the start that reach it later have no effect.
	earlyFenceWindow = 3 * time.Second
	// endedPollInterval is the time between polls of an ended process within earlyFenceWindow.
	endedPollInterval = 5 * time.Millisecond
	// malformedLogInterval is the minimum time between log lines about malformed reports, and
	// malformedLogBytes bounds how many bytes of a report's id and error are logged.
	malformedLogInterval = 5 * time.Second
	malformedLogBytes    = 200
	// adoptTries and adoptRetryDelay bound the attempts to reach a new runner between two of
	// its reports, which arrive every 1.5 s.
	adoptTries      = 6
	adoptRetryDelay = 100 * time.Millisecond
	// minLeaveDelay and maxLeaveDelay are the pauses, first and last, between two checks whether
	// a process that has deregistered has ended, and leaveTimeout bounds the checks: a runner
	// whose notice is not acknowledged ends some seconds later.
	minLeaveDelay = 5 * time.Millisecond
	maxLeaveDelay = 100 * time.Millisecond
	leaveTimeout  = 10 * time.Second
	// pruneInterval is the time between removals of old records.
	pruneInterval = 2 * time.Second
)

// Lease arithmetic.
const (
	// minClockRate is the lowest rate at which a runner's clock may run relative to this
	// host's.
	minClockRate = 0.98
	// leaseEndMargin is the time after the expiry of a lease by which its runs are over: the
	// platform specifies 50 ms for stopping a run.
	leaseEndMargin = 150 * time.Millisecond
)

// Runner is the client of one runner process; see platform/runner.
type Runner interface {
	Start(ctx context.Context, run work.RunnerRunID, spec string, until time.Duration) (time.Duration, error)
	Stop(ctx context.Context, run work.RunnerRunID) (time.Duration, error)
	Poll(ctx context.Context, until time.Duration, seen int64, wait time.Duration) (work.Listing, error)
	// Close closes the connections that no call uses.
	Close()
}

// Sink receives what is to be sent to the entries.
type Sink interface {
	// Deliver hands reports to the sessions of their owners.
	Deliver([]runs.Report)
	// LateStartsChanged signals that LateStarts has more to return.
	LateStartsChanged()
	// CapacityChanged signals that the result of Capacity has changed.
	CapacityChanged()
	// ProgressDue signals that Progress has a report on a stalled run of the owner, which is to be
	// sent at once.
	ProgressDue(owner runs.Owner)
}

// Options of a Host.
type Options struct {
	Runs runs.Options
	// MaxLease is the longest lease that a runner grants.
	MaxLease time.Duration
	// Dial returns a client of the given runner process.
	Dial    func(runner.Target) Runner
	Logger  *slog.Logger
	Metrics *Metrics
}

// Host manages the runner on this host and is its only caller.
type Host struct {
	opt       Options
	logger    *slog.Logger
	sink      Sink
	startedAt time.Time

	mu    sync.Mutex
	table *runs.Table
	// process is the current runner process, nil if there is none.
	process *process
	// candidate is the report of a process that has announced itself and is not adopted yet.
	candidate *runner.Report
	adopting  bool
	// postponed is the process whose adoption was last logged as postponed.
	postponed work.Incarnation
	fence     fence
	// malformedLoggedAt is the uptime at which a malformed report was last logged; zero for
	// never.
	malformedLoggedAt time.Duration
	// rowsLoggedAt is the uptime at which unreadable rows of a run listing were last logged; zero for never.
	rowsLoggedAt time.Duration
	// pollLoggedAt is the uptime at which a failed poll was last logged; zero for never.
	pollLoggedAt time.Duration
	// meanPollTime is the mean time until a poll is answered.
	meanPollTime time.Duration
	// lastPollLost is the uptime at which a poll was last found to be lost; zero for never.
	lastPollLost time.Duration
	// fenceEarlyUntil is the uptime until which the runner is polled also while it is idle.
	fenceEarlyUntil time.Duration
	// resets counts the polls in a row whose connections were reset.
	resets int
	// downSince is the uptime since which the runner is down, if it is.
	downSince time.Duration
	// lateStartsSignalled is the highest number of a late start of which the sink was notified.
	lateStartsSignalled uint64

	sweep chan struct{}
	poll  chan struct{}
	ctx   context.Context
	calls sync.WaitGroup
}

// New returns a host without a runner.
func New(o Options) *Host {
	return &Host{
		opt:       o,
		logger:    o.Logger,
		startedAt: time.Now(),
		table:     runs.New(o.Runs),
		// The value at an idle runner, until polls are measured.
		meanPollTime: pollWait,
		sweep:        make(chan struct{}, 1),
		poll:         make(chan struct{}, 1),
	}
}

// Run serves until the context is cancelled. The sink must be ready.
func (h *Host) Run(ctx context.Context, sink Sink) error {
	h.mu.Lock()
	h.sink = sink
	h.ctx = ctx
	h.mu.Unlock()
	defer time.AfterFunc(h.priorLeasesExpired(), sink.CapacityChanged).Stop()
	var loops sync.WaitGroup
	loops.Go(func() { h.sweepLoop(ctx) })
	loops.Go(func() { h.pollLoop(ctx) })
	loops.Wait()
	h.calls.Wait()
	return nil
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Capacity returns the runner's capacity and usage.
func (h *Host) Capacity() runs.Capacity {
	h.mu.Lock()
	defer h.mu.Unlock()
	capacity := h.table.CapacityAt(uptime.Now())
	capacity.Reconciled = capacity.Reconciled || h.monotonic() > h.priorLeasesExpired()
	return capacity
}

// priorLeasesExpired returns the time after the start of this guard process by which every
// lease that a previous guard process can have obtained from the runner has expired, even on
// the slowest clock.
func (h *Host) priorLeasesExpired() time.Duration { return h.longestLease() + leaseEndMargin }

// longestLease returns the longest duration of a lease, on the slowest clock.
func (h *Host) longestLease() time.Duration {
	return time.Duration(float64(h.opt.MaxLease) / minClockRate)
}

// HasCapacity reports whether another run of the size that was requested last fits.
func (h *Host) HasCapacity() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.HasCapacity()
}

// Idle reports whether no runs are at the runner.
func (h *Host) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Idle()
}

// ShutDown makes the host reject all starts from now on.
func (h *Host) ShutDown() {
	h.mu.Lock()
	h.table.ShutDown()
	h.mu.Unlock()
	h.sink.CapacityChanged()
}

// SetCordon records whether the guard's data centre is cordoned at a revision of the store.
func (h *Host) SetCordon(revision int64, cordoned bool) {
	h.mu.Lock()
	changed := h.table.SetCordon(revision, cordoned)
	h.mu.Unlock()
	if !changed {
		return
	}
	cordonChanged.Log(h.ctx, h.logger, slog.Bool("cordoned", cordoned), slog.Int64("revision", revision))
	h.opt.Metrics.setCordoned(cordoned)
	h.sink.CapacityChanged()
}

// EntryAlive records that an entry was alive at the given uptime.
func (h *Host) EntryAlive(o runs.Owner, at time.Duration) {
	h.mu.Lock()
	h.table.EntryAlive(o, at)
	h.mu.Unlock()
}

// Reconcile reconciles the open runs of an entry that has reconnected with those at the runner.
func (h *Host) Reconcile(o runs.Owner, open []work.RunID) []runs.Report {
	h.mu.Lock()
	reports := h.table.Resume(uptime.Now(), o, open)
	h.mu.Unlock()
	h.recordUnknown(reports, "attach")
	notify(h.sweep)
	return reports
}

// Submit executes an entry's orders and cancellations. sent is the earliest uptime at which the
// entry can have sent them.
func (h *Host) Submit(sent time.Duration, o runs.Owner, orders []runs.Order, cancels []work.RunID) {
	now := uptime.Now()
	h.mu.Lock()
	h.table.EntryAlive(o, sent)
	var reports []runs.Report
	for _, id := range cancels {
		stopOrdered.Log(h.ctx, h.logger, slog.String("job", id.Task.Job), slog.Int("index", id.Task.Index),
			slog.Int("attempt", id.Attempt), slog.Int64("age_ms", (now-sent).Milliseconds()), slog.String("entry", o.Entry))
		if report, over := h.table.Cancel(now, o, id); over {
			reports = append(reports, report)
		}
	}
	h.recordUnknown(reports, "stop")
	// An order's age includes the wait for the lock.
	now = uptime.Now()
	for _, order := range orders {
		start, report := h.table.Admit(now, sent, o, order)
		if report != nil {
			h.recordRefusal(*report, now-sent)
			reports = append(reports, *report)
		}
		if start != nil {
			h.sendStart(start)
		}
	}
	h.mu.Unlock()
	if len(reports) > 0 {
		h.sink.Deliver(reports)
	}
	if len(cancels) > 0 {
		notify(h.sweep)
	}
	if len(orders) > 0 {
		notify(h.poll)
		notify(h.sweep)
	}
}

// recordUnknown logs and counts the runs that an entry asked for and that the table does not
// hold. asked names what the entry sent.
func (h *Host) recordUnknown(reports []runs.Report, asked string) {
	for _, r := range reports {
		if r.State != runs.NotStarted || r.Refusal != runs.UnknownRun {
			continue
		}
		runUnknown.Log(h.ctx, h.logger, slog.String("job", r.Run.Task.Job), slog.Int("index", r.Run.Task.Index),
			slog.Int("attempt", r.Run.Attempt), slog.String("asked", asked), slog.String("entry", r.Owner.Entry))
		h.opt.Metrics.countUnknown()
	}
}

// recordRefusal logs and counts an order that was rejected.
func (h *Host) recordRefusal(r runs.Report, age time.Duration) {
	orderRefused.Log(h.ctx, h.logger, slog.String("job", r.Run.Task.Job), slog.Int("index", r.Run.Task.Index),
		slog.Int("attempt", r.Run.Attempt), slog.String("reason", r.Refusal.String()),
		slog.Int64("age_ms", age.Milliseconds()), slog.String("entry", r.Owner.Entry))
	h.opt.Metrics.countRefusal(r.Refusal)
}

// lease returns the time on the process's clock up to which its lease may be extended now.
// h.mu is held.
func (h *Host) lease(p *process) time.Duration {
	// The monotonic clock is read first: a stall between the readings shortens the lease.
	monotonic := h.monotonic()
	now := uptime.Now()
	return p.lease(h.table.LeaseUntil(now)-now, monotonic)
}

// sendStart sends a start. h.mu is held.
func (h *Host) sendStart(s *runs.Start) {
	p := h.process
	before := p.leasedUntil
	until := h.lease(p)
	after := p.leasedUntil
	h.table.ValidUntil(s.Name, until)
	h.table.StartSent(s.Name)
	delay := p.hedge.delay()
	h.calls.Go(func() {
		answer := h.send(startTimeout, delay, func(ctx context.Context) (time.Duration, error) {
			return p.api.Start(ctx, s.Name, s.Spec, until)
		})
		if errors.Is(answer.err, runner.ErrConnectionRefused) && answer.definite {
			h.mu.Lock()
			p.revokeLease(before, after)
			h.mu.Unlock()
		}
		h.handleStartReply(p, s, answer)
		if answer.rest.inFlight > 0 && p.StartedMilli > 0 {
			unanswered := answer.rest.wait()
			h.mu.Lock()
			h.settleStart(p, s, unanswered)
			h.mu.Unlock()
			h.signalLateStarts()
		}
	})
}

// settleStart records that no copy of a start is in flight any more. h.mu is held.
func (h *Host) settleStart(p *process, s *runs.Start, unanswered bool) {
	// The next process under the id of one that reports no start time rejects its starts.
	late := unanswered && p.StartedMilli > 0
	h.table.StartSettled(uptime.Now(), s.Name, late)
	if late {
		startLate.Log(h.ctx, h.logger, slog.String("job", s.Run.Task.Job), slog.Int("index", s.Run.Task.Index),
			slog.Int("attempt", s.Run.Attempt), slog.Int("run", s.Name.Number))
	}
}

// LateStarts returns the late starts with a higher sequence number, and the highest one.
func (h *Host) LateStarts(after uint64) ([]runs.LateStart, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.LateStartsSince(uptime.Now(), after)
}

// HasLateStarts reports whether a start that went unanswered may still be executed.
func (h *Host) HasLateStarts() bool {
	late, _ := h.LateStarts(0)
	return len(late) > 0
}

// signalLateStarts notifies the sink of late starts that it has not been notified of.
func (h *Host) signalLateStarts() {
	h.mu.Lock()
	last := h.table.LastLateStart()
	changed := last > h.lateStartsSignalled
	h.lateStartsSignalled = last
	h.mu.Unlock()
	if changed {
		h.sink.LateStartsChanged()
	}
}

// handleStartReply handles the result of a start.
func (h *Host) handleStartReply(p *process, s *runs.Start, answer reply) {
	now := uptime.Now()
	err := answer.err
	h.mu.Lock()
	p.recordReply(answer, h.monotonic())
	if errors.Is(err, runner.ErrConnectionRefused) && h.process == p {
		h.recordReachability(err)
	}
	if p.StartedMilli > 0 && (answer.hedged || errors.Is(err, runner.ErrOutcomeUnknown)) {
		h.fenceEarlyUntil = now + earlyFenceWindow
	}
	if answer.rest.inFlight == 0 {
		h.settleStart(p, s, answer.rest.unanswered)
	}
	var reports []runs.Report
	switch reason, known := startRefusal(err); {
	case err == nil:
		if report, changed := h.table.Started(now, s.Name); changed {
			reports = append(reports, report)
		}
		runStarted.Log(h.ctx, h.logger, slog.String("job", s.Run.Task.Job), slog.Int("index", s.Run.Task.Index),
			slog.Int("attempt", s.Run.Attempt), slog.Int("run", s.Name.Number))
	case errors.Is(err, runner.ErrStaleRun) && answer.hedged:
		// The run may have been started by the first copy and have ended: in that case its end
		// is in the runner's run listing.
		h.table.StartUnanswered(now, s.Name)
	case known && answer.definite:
		if errors.Is(err, runner.ErrStaleRun) {
			h.table.SkipRunNumbers(now, s.Run.Task)
		}
		reports = h.table.StartRejected(now, s.Name, reason)
	default:
		h.table.StartUnanswered(now, s.Name)
	}
	h.mu.Unlock()
	h.opt.Metrics.start(err)
	if err != nil {
		startFailed.Log(h.ctx, h.logger, slog.String("job", s.Run.Task.Job), slog.Int("index", s.Run.Task.Index),
			slog.Int("attempt", s.Run.Attempt), slog.Int("run", s.Name.Number), slog.String("error", err.Error()))
		notify(h.sweep)
	}
	h.deliver(reports)
	notify(h.poll)
}

// startRefusal returns the reason for which a start was not executed. definite is false if the
// runner may have executed it, or may still do so.
func startRefusal(err error) (reason runs.Refusal, definite bool) {
	switch {
	case errors.Is(err, runner.ErrUnreachable), errors.Is(err, runner.ErrUnhealthy), errors.Is(err, runner.ErrRejected):
		return runs.RunnerFailed, true
	case errors.Is(err, runner.ErrInsufficientCapacity), errors.Is(err, runner.ErrStaleRun):
		return runs.InsufficientCapacity, true
	case errors.Is(err, runner.ErrLeaseExpired):
		return runs.StaleOrder, true
	case errors.Is(err, runner.ErrFenced), errors.Is(err, runner.ErrReplaced):
		return runs.NotAccepting, true
	default:
		return runs.NoRefusal, false
	}
}

// recordCrash logs and counts a runner crash, once for all its runs.
func (h *Host) recordCrash(reports []runs.Report) {
	for _, r := range reports {
		if r.State == runs.Crashed && r.Crash.Newest {
			runnerCrashed.Log(h.ctx, h.logger, slog.Int("runs", r.Crash.OtherCount+1), slog.String("newest", r.Run.Task.Job))
			h.opt.Metrics.crashes.Inc(1)
		}
	}
}

func (h *Host) deliver(reports []runs.Report) {
	h.recordCrash(reports)
	for _, r := range reports {
		if r.State == runs.Running {
			continue
		}
		runEnded.Log(h.ctx, h.logger, slog.String("job", r.Run.Task.Job), slog.Int("index", r.Run.Task.Index), slog.Int("attempt", r.Run.Attempt),
			slog.String("state", r.State.String()), slog.String("reason", r.Refusal.String()), slog.String("entry", r.Owner.Entry))
	}
	h.signalLateStarts()
	h.sink.CapacityChanged()
	if len(reports) > 0 {
		h.sink.Deliver(reports)
	}
}
