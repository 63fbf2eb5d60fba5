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
	// HandOver hands jobs over to other entries; nil if none is handed over.
	HandOver HandOver
	// Lag returns the mean time by which this entry has lately handled events late; nil if it is
	// not measured.
	Lag func() time.Duration
	// Used returns the share of its processor time that this entry has lately used, in thousandths; nil
	// or zero if it is not known.
	Used func() int
}

// Engine runs jobs.
type Engine struct {
	logger  *slog.Logger
	metrics *metrics
	// disconnected is Options.Disconnected.
	disconnected func(context.Context) bool
	peers        Peers
	handOver     HandOver
	lag          func() time.Duration
	used         func() int

	mu sync.Mutex
	// policy decides which jobs are handed over.
	policy  *handover.Policy
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
		lag:          o.Lag,
		used:         o.Used,
		policy:       handover.New(o.Planner.Seed),
		plan:         planner.New(o.Planner),
		waiters:      map[string]*jobWaiters{},
		guards:       map[string]Guard{},
		answers:      map[string]cachedAnswer{},
		runsEnded:    map[string]chan struct{}{},
	}
	e.actTimer = time.AfterFunc(time.Hour, e.tick)
	return e
}

func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyActions(uptime.Now())
}

// Submit runs a job and returns its outcome. deadline is the uptime until which the caller waits;
// ctx ends when the caller disconnects.
func (e *Engine) Submit(ctx context.Context, job work.Job, terms planner.Terms, deadline time.Duration) planner.Answer {
	e.mu.Lock()
	now := uptime.Now()
	answer, answered, verdict := e.submit(ctx, now, deadline, job, terms)
	for !answered && verdict == planner.StillEnding {
		ended := e.runsEndedChan(job.ID)
		e.mu.Unlock()
		if !awaitRunsEnded(ctx, ended) {
			// An earlier job with this id may have run or still be running, so the
			// answer must not say that no task has started.
			return planner.Answer{Outcome: planner.Expired, Reason: planner.ReasonGuardUnreachable}
		}
		e.mu.Lock()
		now = uptime.Now()
		answer, answered, verdict = e.submit(ctx, now, deadline, job, terms)
	}
	if answered {
		e.mu.Unlock()
		return answer
	}
	w := e.waiters[job.ID]
	if w == nil {
		w = &jobWaiters{ready: make(chan struct{}), terms: terms, arrived: now}
		e.waiters[job.ID] = w
	}
	c := &caller{ctx}
	w.callers = append(w.callers, c)
	if verdict == planner.Accepted {
		logAccepted(e.logger, job, terms, deadline-now, e.plan.Forecast(job.ID))
	}
	e.applyActions(now)
	e.mu.Unlock()
	select {
	case <-w.ready:
	case <-ctx.Done():
		e.removeCaller(job.ID, w, c)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return w.answer
}

// submit returns the cached answer of a job, or submits the job if there is none and the caller
// still waits. The caller of submit holds the lock.
func (e *Engine) submit(ctx context.Context, now, deadline time.Duration, job work.Job, terms planner.Terms) (answer planner.Answer, answered bool, v planner.Verdict) {
	if k, cached := e.answers[job.ID]; cached && now-k.at < answerTTL {
		return k.answer, true, 0
	}
	if e.isDisconnected(ctx) {
		// The start would be ordered and stopped in one message.
		return planner.Answer{Outcome: planner.Cancelled, Reason: planner.ReasonCallerGone}, true, 0
	}
	return planner.Answer{}, false, e.plan.Submit(now, deadline, job, terms)
}

// runsEndedChan returns the channel that is closed when the last run of an ended job is over. The
// caller holds the lock.
func (e *Engine) runsEndedChan(id string) chan struct{} {
	if e.runsEnded[id] == nil {
		e.runsEnded[id] = make(chan struct{})
	}
	return e.runsEnded[id]
}

// awaitRunsEnded reports whether the runs of the earlier job with the same id ended in time.
func awaitRunsEnded(ctx context.Context, ended chan struct{}) bool {
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
	if _, open := e.waiters[id]; !open {
		return false
	}
	now := uptime.Now()
	e.plan.Cancel(now, id)
	e.applyActions(now)
	return true
}

// State returns the state of a job. known is false if the job is neither open nor cached.
func (e *Engine) State(id string) (outcome planner.Outcome, started, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if outcome, started, known = e.plan.State(id); known && outcome == 0 {
		return outcome, started, true
	}
	if k, cached := e.answers[id]; cached {
		return k.answer.Outcome, true, true
	}
	return outcome, started, known
}

// Count returns the numbers of open jobs of a contract, or of all contracts if it is "".
func (e *Engine) Count(contract string) planner.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Count(uptime.Now(), contract)
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
