// Package jobs runs the jobs that this entry took: it feeds the planner with
// what happens, hands its orders to the sessions, and its outcomes to callers.
package jobs

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/telemetry/uptime"
)

// keepAnswers is how long an answer is kept for a request that comes again
// though its answer was delivered: such ones come within seconds.
const keepAnswers = 8 * time.Second

// endingWait bounds how long a job that is submitted again waits for the runs
// of its predecessor to end; a stop takes some 60 ms, a lease's end 700 ms.
const endingWait = 800 * time.Millisecond

// Limits on a process that stood still.
const (
	// beatEvery paces the look at the clock.
	beatEvery = 100 * time.Millisecond
	// stoodStill is the time without a beat after which the process counts as one
	// that was frozen. Guards stop the runs of an entry that is silent for 520 ms.
	stoodStill = 500 * time.Millisecond
	// settle is how long nothing is ordered after that. What came meanwhile is read
	// in any order: the end of a run before the news that its caller has left, and
	// the task would be ordered anew though its job runs elsewhere by now. Each
	// piece of news takes microseconds; a processor that is held back gets its share
	// within a tenth of a second.
	settle = 100 * time.Millisecond
)

// Guard takes orders for one endpoint. Its methods must not block.
type Guard interface {
	Order(starts []planner.Start, stops []planner.Stop)
	// Wake has the guard told at once whether tasks wait for room.
	Wake()
}

// Options of an Engine.
type Options struct {
	Planner planner.Options
	Logger  *slog.Logger
	Scope   tally.Scope
}

// Engine runs jobs.
type Engine struct {
	logger  *slog.Logger
	metrics *metrics

	mu      sync.Mutex
	plan    *planner.Planner
	waiters map[string]*waiters
	guards  map[string]Guard
	answers map[string]kept
	// endings are closed when the last run of an ended job is over.
	endings map[string]chan struct{}
	wake    *time.Timer
	pruned  time.Duration
	// beat is when the process last looked at the clock, zero before it runs.
	beat time.Duration
}

// waiters are the callers of one job.
type waiters struct {
	callers int
	ready   chan struct{}
	answer  planner.Answer
	terms   planner.Terms
	arrived time.Duration
}

type kept struct {
	answer planner.Answer
	at     time.Duration
}

// New returns an engine without endpoints.
func New(o Options) *Engine {
	e := &Engine{
		logger:  o.Logger,
		metrics: newMetrics(o.Scope),
		plan:    planner.New(o.Planner),
		waiters: map[string]*waiters{},
		guards:  map[string]Guard{},
		answers: map[string]kept{},
		endings: map[string]chan struct{}{},
	}
	e.wake = time.AfterFunc(time.Hour, e.tick)
	return e
}

// Run keeps the engine until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	defer e.wake.Stop()
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	e.mu.Lock()
	e.beat = uptime.Now()
	e.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		e.mu.Lock()
		e.look(uptime.Now())
		e.mu.Unlock()
	}
}

// look notes the time, and whether the process stood still since the last look. The
// lock is held.
func (e *Engine) look(now time.Duration) {
	if e.beat == 0 {
		// Not running yet.
		return
	}
	if now-e.beat > stoodStill {
		e.plan.Pause(now + settle)
		stoodStillFor.Log(context.Background(), e.logger, millis("for_ms", now-e.beat))
	}
	e.beat = now
}

func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.act(uptime.Now())
}

// Submit runs a job and returns its outcome. deadline is the uptime until which
// the caller waits; the context ends when the caller is gone.
func (e *Engine) Submit(ctx context.Context, job work.Job, terms planner.Terms, deadline time.Duration) planner.Answer {
	e.mu.Lock()
	now := uptime.Now()
	if k, again := e.answers[job.ID]; again && now-k.at < keepAnswers {
		e.mu.Unlock()
		return k.answer
	}
	verdict := e.plan.Submit(now, deadline, job, terms)
	for verdict == planner.Ending {
		ending := e.ending(job.ID)
		e.mu.Unlock()
		if !awaitEnding(ctx, ending) {
			// What was submitted under this id before may have run, or still run, so
			// the answer must not say that nothing has.
			return planner.Answer{Outcome: planner.Expired, Why: planner.WhyUnreachable}
		}
		e.mu.Lock()
		now = uptime.Now()
		verdict = e.plan.Submit(now, deadline, job, terms)
	}
	w := e.waiters[job.ID]
	if w == nil {
		w = &waiters{ready: make(chan struct{}), terms: terms, arrived: now}
		e.waiters[job.ID] = w
	}
	w.callers++
	if verdict == planner.Taken {
		logTaken(e.logger, job, terms, deadline-now, e.plan.Outlook(job.ID))
	}
	e.act(now)
	e.mu.Unlock()
	select {
	case <-w.ready:
	case <-ctx.Done():
		e.leave(job.ID, w)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return w.answer
}

// ending is closed when the last run of an ended job is over. The lock is held.
func (e *Engine) ending(id string) chan struct{} {
	if e.endings[id] == nil {
		e.endings[id] = make(chan struct{})
	}
	return e.endings[id]
}

// awaitEnding reports whether a job's predecessor ended in time.
func awaitEnding(ctx context.Context, ending chan struct{}) bool {
	select {
	case <-ending:
		return true
	case <-time.After(endingWait):
	case <-ctx.Done():
	}
	return false
}

// leave takes a caller away; a job without callers is stopped.
func (e *Engine) leave(id string, w *waiters) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.callers--
	if w.callers > 0 || e.waiters[id] != w {
		return
	}
	now := uptime.Now()
	e.plan.Cancel(now, id)
	e.act(now)
}

// Cancel ends a job at its caller's wish; it reports whether there was one.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, open := e.waiters[id]; !open {
		return false
	}
	now := uptime.Now()
	e.plan.Cancel(now, id)
	e.act(now)
	return true
}

// State of a job, for a caller who asks.
func (e *Engine) State(id string) (outcome planner.Outcome, begun, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if outcome, begun, known = e.plan.State(id); known && outcome == 0 {
		return outcome, begun, true
	}
	if k, kept := e.answers[id]; kept {
		return k.answer.Outcome, true, true
	}
	return outcome, begun, known
}

// Count returns the open jobs of a contract, or of all for "".
func (e *Engine) Count(contract string) planner.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Count(uptime.Now(), contract)
}

// Endpoints counts the endpoints by state; every state is there.
func (e *Engine) Endpoints() map[planner.State]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Endpoints(uptime.Now())
}

// Crashes returns what became of the crashes that guards have reported.
func (e *Engine) Crashes() planner.CrashCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.CrashCounts()
}

// Reachable counts the endpoints that take starts.
func (e *Engine) Reachable() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Reachable()
}

// News is what a guard tells in one message.
type News struct {
	Room    *planner.Room
	Reports []Report
}

// Report of a run.
type Report struct {
	Run    work.RunID
	Change planner.Change
	// Ran is how long the run has lasted as its guard says; zero when that is not
	// known.
	Ran time.Duration
	// Crash is set when the runner crashed under the run.
	Crash *Crash
}

// Crash is what a guard knows of a run whose runner crashed.
type Crash struct {
	planner.Crash
	// Beside names the jobs of some other runs that were there.
	Beside []string
}

// Tell takes a guard's message, unless a newer session has taken over.
func (e *Engine) Tell(id string, g Guard, n News) {
	now := uptime.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.guards[id] != g {
		return
	}
	for _, r := range n.Reports {
		e.metrics.change(r.Change)
		logChange(e.logger, id, r, e.report(now, id, r))
	}
	if n.Room != nil {
		e.plan.Describe(now, id, *n.Room)
	}
	e.act(now)
}

// report gives the planner one report, and returns how long the run lasted. The lock is
// held.
func (e *Engine) report(now time.Duration, id string, r Report) time.Duration {
	if r.Change == planner.Crashed && r.Crash != nil {
		return e.plan.Crash(now, id, r.Run, r.Ran, r.Crash.Crash)
	}
	return e.plan.Report(now, id, r.Run, r.Change, r.Ran)
}

// Forget drops an endpoint that nobody reaches; false when it has open runs.
func (e *Engine) Forget(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Forget(id)
}

// Waiting reports whether tasks wait for room at the endpoint's service, and what
// they need, thousandths of a core.
func (e *Engine) Waiting(id string) (waits bool, wants int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Waiting(uptime.Now(), id)
}

// act carries out what the planner decides. The lock is held.
func (e *Engine) act(now time.Duration) {
	e.look(now)
	actions, next := e.plan.Act(now)
	type orders struct {
		starts []planner.Start
		stops  []planner.Stop
	}
	byGuard := map[string]*orders{}
	of := func(id string) *orders {
		if byGuard[id] == nil {
			byGuard[id] = &orders{}
		}
		return byGuard[id]
	}
	for _, s := range actions.Starts {
		of(s.Endpoint).starts = append(of(s.Endpoint).starts, s)
	}
	for _, s := range actions.Stops {
		of(s.Endpoint).stops = append(of(s.Endpoint).stops, s)
	}
	for id, o := range byGuard {
		logOrders(e.logger, id, o.starts, o.stops)
		if g := e.guards[id]; g != nil {
			g.Order(o.starts, o.stops)
		}
	}
	for _, id := range actions.Wake {
		if g := e.guards[id]; g != nil && byGuard[id] == nil {
			g.Wake()
		}
	}
	for _, ended := range actions.Ended {
		e.ended(now, ended)
	}
	for _, id := range actions.Settled {
		if c := e.endings[id]; c != nil {
			close(c)
			delete(e.endings, id)
		}
	}
	e.prune(now)
	e.wake.Reset(max(next-now, time.Millisecond))
}
