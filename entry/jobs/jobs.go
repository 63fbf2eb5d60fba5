// Package jobs runs the jobs that this entry accepted: it feeds events to the planner, passes
// the planner's orders to the guards' sessions, and returns outcomes to callers.
package jobs

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/contract/cordon"
	"almondstand.dev/dispatch/handover"
	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/telemetry/uptime"
)

// answerTTL is how long an answer is cached for a repeated request, for example a retry by a
// caller that did not receive the first answer; such requests arrive within seconds.
const answerTTL = 8 * time.Second

// runsEndedTimeout bounds how long a resubmitted job waits for the runs of the earlier job with
// the same id to end: a stop takes about 60 ms, a lease expires after 700 ms.
const runsEndedTimeout = 800 * time.Millisecond

// Guard sends orders to one endpoint. Its methods must not block.
type Guard interface {
	SendOrders(starts []planner.Start, stops []planner.Stop)
	// Wake requests an immediate message that informs the guard whether tasks are waiting for
	// capacity.
	Wake()
}

// Options configure an Engine.
type Options struct {
	Planner planner.Options
	Logger  *slog.Logger
	Scope   tally.Scope
	// Disconnected reports whether the caller with the given context has closed its connection,
	// also if the context has not ended yet. It must not block. If it is nil, callers are
	// disconnected once their context ends.
	Disconnected func(ctx context.Context) bool
	// Peers are the other entries; nil if there are none.
	Peers Peers
	// HandOver hands jobs over to other entries; nil if none is handed over or taken over.
	HandOver HandOver
	// Contracts is needed if HandOver is set.
	Contracts Contracts
	// Lag returns the mean time by which this entry has lately handled events late; nil if it is
	// not measured.
	Lag func() time.Duration
	// Used returns the share of its processor time that this entry has lately used, in thousandths; nil
	// or zero if it is not known.
	Used func() int
	// SpareMilli returns the processor time that this entry did not use lately, in thousandths of a
	// core; zero if there is none or it is unknown. If it is nil, no job is taken over.
	SpareMilli func() int
	// ReceivedBefore returns how long ago the request with the given context was received; nil if it
	// is not known.
	ReceivedBefore func(ctx context.Context) time.Duration
}

// Engine runs jobs.
type Engine struct {
	logger  *slog.Logger
	metrics *metrics
	// disconnected is Options.Disconnected.
	disconnected func(context.Context) bool
	peers        Peers
	handOver     HandOver
	contracts    Contracts
	lag          func() time.Duration
	used         func() int
	spareMilli   func() int
	// receivedBefore is Options.ReceivedBefore.
	receivedBefore func(context.Context) time.Duration

	mu sync.Mutex
	// policy decides which jobs are handed over.
	policy policy
	// draining is true once the entry shuts down. The process exits at drainUntil at the latest; zero if
	// it is not draining.
	draining   bool
	drainUntil time.Duration
	// unreachedAt is when a job was last submitted of whose service no endpoint was reached.
	unreachedAt time.Duration
	// handedOver and takenOver count the jobs in flight to and from other entries.
	handedOver, takenOver int
	// handedRunsUntil holds the time until which runs of a job that was handed over may go on at
	// the other entry, by job id.
	handedRunsUntil map[string]time.Duration

	plan    *planner.Planner
	waiters map[string]*jobWaiters
	guards  map[string]Guard
	answers map[string]cachedAnswer
	// cordons are the cordoned data centres; nil while they are unknown.
	cordons *cordon.Set
	// runsEnded holds, by job id, channels that are closed when the last run of an ended job is
	// over.
	runsEnded map[string]chan struct{}
	actTimer  *time.Timer
	lastPrune time.Duration
	// lastCheck is the uptime of the last clock reading; zero until Run is called.
	lastCheck time.Duration
	// pausedUntil is the time until which nothing is started after a pause of the process.
	pausedUntil time.Duration
	// callersChecked is the uptime at which the callers' connections were last checked.
	callersChecked time.Duration
	// askingPeers is true while the other entries are being asked for late starts.
	askingPeers bool
}

// jobWaiters tracks the callers that wait for one job.
type jobWaiters struct {
	callers []*caller
	ready   chan struct{}
	answer  planner.Answer
	terms   planner.Terms
	arrived time.Duration
	// handover is set while the job is handed over.
	handover *jobHandover
	// rejected is true for a job that was to be handed over and that no other entry has taken.
	rejected bool
}

type cachedAnswer struct {
	answer planner.Answer
	at     time.Duration
}

// New returns an engine without endpoints.
func New(o Options) *Engine {
	o.Planner.AsksPeers = o.Peers != nil
	e := &Engine{
		logger:       o.Logger,
		metrics:      newMetrics(o.Scope),
		disconnected: o.Disconnected,
		peers:        o.Peers,
		handOver:     o.HandOver,
		contracts:    o.Contracts,
		lag:          o.Lag,
		used:         o.Used,
		spareMilli:   o.SpareMilli,
		policy:       handover.New(o.Planner.Seed),
		plan:         planner.New(o.Planner),
		waiters:      map[string]*jobWaiters{},
		guards:       map[string]Guard{},
		answers:      map[string]cachedAnswer{},
		runsEnded:    map[string]chan struct{}{},

		receivedBefore:  o.ReceivedBefore,
		handedRunsUntil: map[string]time.Duration{},
	}
	e.actTimer = time.AfterFunc(time.Hour, e.tick)
	return e
}

func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyActions(uptime.Now())
}

// submission is a request for a job.
type submission struct {
	// ctx ends when the caller disconnects, or when the entry that handed the job over cancels it.
	ctx   context.Context
	job   work.Job
	terms planner.Terms
	// deadline is the uptime until which the caller waits.
	deadline time.Duration
	// waited is how long the job has waited at the entry that handed it over.
	waited time.Duration
	// takenOver is true for a job that another entry has handed over to this one.
	takenOver bool
	// elsewhere is true for a job that this entry does not start: it is handed over or rejected.
	elsewhere bool
}

// Submit runs a job and returns its outcome. deadline is the uptime until which the caller waits;
// ctx ends when the caller disconnects.
func (e *Engine) Submit(ctx context.Context, job work.Job, terms planner.Terms, deadline time.Duration) planner.Answer {
	answer, _ := e.serve(submission{ctx: ctx, job: job, terms: terms, deadline: deadline})
	return answer
}

// SubmitElsewhere is Submit for a job that this entry does not start itself because it shuts down. served
// is false if the job must be rejected: it is not open here, and no other entry has taken it.
func (e *Engine) SubmitElsewhere(ctx context.Context, job work.Job, terms planner.Terms, deadline time.Duration) (answer planner.Answer, served bool) {
	return e.serve(submission{ctx: ctx, job: job, terms: terms, deadline: deadline, elsewhere: true})
}

// mayHaveRun is the answer for a job of which an earlier submission may have run or still be running, so
// that the answer must not say that no task has started.
var mayHaveRun = planner.Answer{Outcome: planner.Expired, Reason: planner.ReasonGuardUnreachable}

// serve runs a job or hands it over, and returns its outcome. served is false if neither was possible.
func (e *Engine) serve(s submission) (answer planner.Answer, served bool) {
	e.mu.Lock()
	now := uptime.Now()
	w, answer, v := e.submit(now, s)
	for v == ending {
		if s.elsewhere || !e.awaitRunsEnded(s.ctx, s.job.ID) {
			e.mu.Unlock()
			return mayHaveRun, true
		}
		now = uptime.Now()
		w, answer, v = e.submit(now, s)
	}
	if v != open {
		e.mu.Unlock()
		return answer, v == answered
	}
	c := &caller{s.ctx}
	w.callers = append(w.callers, c)
	if w.handover == nil {
		e.applyActions(now)
	}
	e.mu.Unlock()
	select {
	case <-w.ready:
	case <-s.ctx.Done():
		e.removeCaller(s.job.ID, w, c)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return w.answer, !w.rejected
}

// verdict is the result of a submission.
type verdict int

const (
	// open: the job runs here or was handed over, and its caller waits for the answer.
	open verdict = iota
	// answered: there is an answer.
	answered
	// ending: runs of an earlier submission of the job may go on.
	ending
	// notServed: the job must not be started here, and no other entry takes it.
	notServed
)

// submit returns the cached answer of a job, joins it if it is open, hands it over or accepts it. The
// caller of submit holds the lock.
func (e *Engine) submit(now time.Duration, s submission) (*jobWaiters, planner.Answer, verdict) {
	id := s.job.ID
	if k, cached := e.answers[id]; cached && now-k.at < answerTTL {
		return nil, k.answer, answered
	}
	if e.isDisconnected(s.ctx) {
		// The start would be ordered and stopped in one message.
		return nil, planner.Answer{Outcome: planner.Cancelled, Reason: planner.ReasonCallerGone}, answered
	}
	if w := e.waiters[id]; w != nil && w.handover != nil {
		if s.takenOver {
			// Two entries that hand the same job to each other would wait for each other.
			return nil, mayHaveRun, answered
		}
		return w, planner.Answer{}, open
	}
	if e.handedRunsUntil[id] > now {
		return nil, planner.Answer{}, ending
	}
	if w := e.handOverIfDue(now, s); w != nil {
		return w, planner.Answer{}, open
	}
	if _, _, known := e.plan.State(id); s.elsewhere && !known {
		return nil, planner.Answer{}, notServed
	}
	return e.accept(now, s)
}

// accept submits a job to the planner, or joins it there. The caller of accept holds the lock.
func (e *Engine) accept(now time.Duration, s submission) (*jobWaiters, planner.Answer, verdict) {
	v := e.plan.SubmitWaited(now, s.deadline, s.waited, s.job, s.terms)
	if v == planner.StillEnding {
		return nil, planner.Answer{}, ending
	}
	w := e.waiters[s.job.ID]
	if w == nil {
		w = &jobWaiters{ready: make(chan struct{}), terms: s.terms, arrived: now}
		e.waiters[s.job.ID] = w
	}
	if v == planner.Accepted {
		logAccepted(e.logger, s.job, s.terms, s.deadline-now, e.plan.Forecast(s.job.ID))
	}
	return w, planner.Answer{}, open
}

// runsEndedChan returns the channel that is closed when the last run of an ended job is over. The
// caller holds the lock.
func (e *Engine) runsEndedChan(id string) chan struct{} {
	if e.runsEnded[id] == nil {
		e.runsEnded[id] = make(chan struct{})
	}
	return e.runsEnded[id]
}

// awaitRunsEnded reports whether the runs of the earlier job with the same id ended in time. The caller
// holds the lock, which is released meanwhile.
func (e *Engine) awaitRunsEnded(ctx context.Context, id string) bool {
	if left := e.handedRunsUntil[id] - uptime.Now(); left > 0 {
		e.mu.Unlock()
		defer e.mu.Lock()
		return left <= runsEndedTimeout && uptime.Sleep(ctx, left)
	}
	ended := e.runsEndedChan(id)
	e.mu.Unlock()
	defer e.mu.Lock()
	select {
	case <-ended:
		return true
	case <-time.After(runsEndedTimeout):
	case <-ctx.Done():
	}
	return false
}

// Cancel ends a job at its caller's request. It reports whether the job was open.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.waiters[id]
	if w == nil {
		return false
	}
	now := uptime.Now()
	if w.handover != nil {
		e.cancelHandover(now, id, w)
		return true
	}
	e.plan.Cancel(now, id)
	e.applyActions(now)
	return true
}

// State returns the state of a job. known is false if the job is neither open nor cached.
func (e *Engine) State(id string) (outcome planner.Outcome, started, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w := e.waiters[id]; w != nil && w.handover != nil {
		return 0, true, true
	}
	if outcome, started, known = e.plan.State(id); known && outcome == 0 {
		return outcome, started, true
	}
	if k, cached := e.answers[id]; cached {
		return k.answer.Outcome, true, true
	}
	return outcome, started, known
}

// Count returns the numbers of open jobs of a contract, or of all contracts if it is "". Jobs that were
// handed over count as running.
func (e *Engine) Count(contract string) planner.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.plan.Count(uptime.Now(), contract)
	if e.handedOver == 0 {
		return c
	}
	for _, w := range e.waiters {
		if w.handover != nil && (contract == "" || w.terms.Contract == contract) {
			c.Running++
		}
	}
	return c
}

// Endpoints counts the endpoints by state; states without endpoints are included.
func (e *Engine) Endpoints() map[planner.State]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.CountEndpoints(uptime.Now())
}

// SlowEndpoints counts the endpoints that are used last because they take longer than their peers.
func (e *Engine) SlowEndpoints() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.CountSlow()
}

// ProgressCounts returns counts of the decisions on runs by their progress.
func (e *Engine) ProgressCounts() planner.ProgressCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.ProgressCounts()
}

// Speeds counts the endpoints by their lasting speed; speeds without endpoints are included.
func (e *Engine) Speeds() map[planner.Speed]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.CountSpeeds()
}

// CrashCounts returns counts of the crashes that guards reported, by how the planner classified them.
func (e *Engine) CrashCounts() planner.CrashCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.CrashCounts()
}

// Reachable counts the endpoints on which tasks can be started, or could be if their data centre were
// not cordoned.
func (e *Engine) Reachable() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.CountReachable()
}

// RemoveEndpoint removes the endpoint of an unreachable guard. It returns false if the endpoint has
// open runs.
func (e *Engine) RemoveEndpoint(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.RemoveEndpoint(id)
}

// PendingDemand reports whether tasks of the endpoint's service are waiting for capacity, and how
// much CPU they need in total, in thousandths of a core.
func (e *Engine) PendingDemand(id string) (pending bool, milliCPU int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.PendingDemand(uptime.Now(), id)
}

// Demand returns the demand of the tasks that wait for capacity of the endpoint's service, by
// contract.
func (e *Engine) Demand(id string) []work.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Demand(uptime.Now(), id)
}

// SetEntries sets the number of known entries, including this one.
func (e *Engine) SetEntries(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plan.SetEntries(n)
}

// SharedDemand returns what is known of the demand at other entries.
func (e *Engine) SharedDemand() planner.SharedDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.SharedDemand(uptime.Now())
}

// applyActions carries out the planner's decisions and sets the timer for the next ones. The
// caller holds the lock.
func (e *Engine) applyActions(now time.Duration) {
	e.checkPause(now)
	actions, next := e.plan.Act(now)
	type orders struct {
		starts []planner.Start
		stops  []planner.Stop
	}
	byGuard := map[string]*orders{}
	ordersFor := func(id string) *orders {
		if byGuard[id] == nil {
			byGuard[id] = &orders{}
		}
		return byGuard[id]
	}
	for _, s := range actions.Starts {
		ordersFor(s.Endpoint).starts = append(ordersFor(s.Endpoint).starts, s)
	}
	for _, s := range actions.Stops {
		ordersFor(s.Endpoint).stops = append(ordersFor(s.Endpoint).stops, s)
	}
	for id, o := range byGuard {
		logOrders(e.logger, id, o.starts, o.stops)
		if g := e.guards[id]; g != nil {
			g.SendOrders(o.starts, o.stops)
		}
	}
	logKept(e.logger, actions.Kept)
	logSpeedChanges(e.logger, actions.SpeedChanges)
	for _, id := range actions.NotifyWaiting {
		if g := e.guards[id]; g != nil && byGuard[id] == nil {
			g.Wake()
		}
	}
	for _, id := range actions.HeldBack {
		logHeldBack(e.logger, id)
	}
	for _, ended := range actions.Ended {
		e.finish(now, ended)
	}
	for _, id := range actions.Settled {
		if c := e.runsEnded[id]; c != nil {
			close(c)
			delete(e.runsEnded, id)
		}
	}
	e.askPeersIfDue(now)
	e.pruneAnswers(now)
	e.actTimer.Reset(max(next-now, time.Millisecond))
}
