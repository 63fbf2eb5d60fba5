package jobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondstand.dev/contract/route"
	"almondstand.dev/dispatch/handover"
	"almondstand.dev/dispatch/planner"
	entryhandover "almondstand.dev/entry/handover"
	"almondstand.dev/telemetry/uptime"
)

const (
	// maxTakenOver is the maximum number of jobs taken over at a time: two entries with the most
	// jobs that one may have in flight. Loads are reported up to 1.5 s late, and more jobs would make
	// this entry late for its own callers.
	maxTakenOver = 128
	// maxTakeOverLag is the lag above which no job is taken over: three times that is the slack of
	// jobs with a short response-time target.
	maxTakeOverLag = 20 * time.Millisecond
	// handedRunsTimeout is the longest time for which runs of a job go on at the other entry after its
	// handover was cancelled or lost. If that entry is dead, guards end its runs within 1.225 s; if it
	// is only cut off, it does within 1.105 s.
	handedRunsTimeout = 1250 * time.Millisecond
	// unreachedPeriod is how long after a job of a service without a reached endpoint this entry
	// keeps asking for the loads of other entries.
	unreachedPeriod = 5 * time.Second
)

// HandOver hands jobs over to other entries; see entry/handover.
type HandOver interface {
	// HandOver sends a job to the entry at an address and returns its answer. It returns
	// entryhandover.ErrNotTaken if that entry has ordered none of its tasks and will order none, and
	// the error of the context once the cancellation is queued. After any other error its tasks may
	// have run.
	HandOver(ctx context.Context, address string, j entryhandover.Job) (planner.Answer, error)
}

// Contracts provides the operator's configuration; see entry/follower.
type Contracts interface {
	// Table returns the configuration, or nil if there is none yet.
	Table() *route.Table
}

// policy decides which jobs are handed over; see dispatch/handover.
type policy interface {
	RecordLoad(now time.Duration, l handover.Load)
	Wanted(now time.Duration, s handover.State) bool
	Choose(now time.Duration, s handover.State, j handover.Job) (address string, why handover.Reason, ok bool)
	Ended(now time.Duration, address string, o handover.Outcome)
}

// jobHandover is the handover of a job to another entry.
type jobHandover struct {
	submission submission
	address    string
	why        handover.Reason
	startedAt  time.Duration
	// cancel cancels the job at the other entry.
	cancel context.CancelFunc
}

// RecordLoads records the loads of other entries that a guard has listed.
func (e *Engine) RecordLoads(loads []handover.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range loads {
		e.policy.RecordLoad(uptime.Now(), l)
	}
}

// WantsSpareEntries reports whether this entry needs the loads of other entries.
func (e *Engine) WantsSpareEntries() bool {
	if e.handOver == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := uptime.Now()
	s := e.state()
	s.Draining = e.draining
	s.Unreachable = e.unreachedAt > 0 && now-e.unreachedAt < unreachedPeriod
	return e.policy.Wanted(now, s)
}

// state returns the state of this entry for the policy of handovers, as far as it is the same for all
// jobs. The caller holds the lock.
func (e *Engine) state() handover.State {
	s := handover.State{}
	if e.lag != nil {
		s.Lag = e.lag()
	}
	if e.used != nil {
		s.UsedPermille = e.used()
	}
	return s
}

// Drain makes the engine take no more jobs over. Jobs of its own callers are still run. until is the uptime
// at which the process exits even if jobs are open: a job that this entry does not start is handed over only
// if its caller's deadline comes before that, as the answer would be lost otherwise.
func (e *Engine) Drain(until time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining, e.drainUntil = true, until
}

// TakesJobs reports whether this entry takes over jobs of others if it has the processor time.
func (e *Engine) TakesJobs() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handOver != nil && !e.draining
}

// InFlight returns the numbers of jobs that are handed over to other entries and taken over from them.
func (e *Engine) InFlight() (handedOver, takenOver int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handedOver, e.takenOver
}

// contract returns the contract with the given name, or nil.
func (e *Engine) contract(name string) *route.Contract {
	if e.contracts == nil {
		return nil
	}
	table := e.contracts.Table()
	if table == nil {
		return nil
	}
	return table.ByName(name)
}

// handOverIfDue hands a job over if the policy says so; it returns nil if the job stays here. A job of
// which tasks run here or may have run stays, as does one that another entry has handed over. The caller
// holds the lock.
func (e *Engine) handOverIfDue(now time.Duration, s submission) *jobWaiters {
	if e.handOver == nil || s.takenOver || s.elsewhere && e.drainUntil > 0 && s.deadline > e.drainUntil {
		return nil
	}
	state := e.state()
	state.Draining = s.elsewhere
	state.Unreachable = !e.plan.ReachesService(s.terms.Service)
	if state.Unreachable {
		e.unreachedAt = now
	}
	if e.contract(s.terms.Contract) == nil {
		return nil
	}
	if e.receivedBefore != nil {
		s.waited = e.receivedBefore(s.ctx)
	}
	preview := e.plan.Preview(now, s.deadline, s.waited, s.job, s.terms)
	if preview.Involved {
		return nil
	}
	address, why, ok := e.policy.Choose(now, state, handover.Job{Slack: preview.Slack, TimeLeft: s.deadline - now})
	if !ok {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &jobHandover{submission: s, address: address, why: why, startedAt: now, cancel: cancel}
	w := &jobWaiters{ready: make(chan struct{}), terms: s.terms, arrived: now, handover: h}
	e.waiters[s.job.ID] = w
	e.handedOver++
	logHandedOver(e.logger, h, state.Lag)
	go e.awaitHandover(ctx, w, h)
	return w
}

// awaitHandover hands a job over and waits for its answer, without holding the lock.
func (e *Engine) awaitHandover(ctx context.Context, w *jobWaiters, h *jobHandover) {
	defer h.cancel()
	s := h.submission
	waited := s.waited + uptime.Now() - h.startedAt
	answer, err := e.handOver.HandOver(ctx, h.address, entryhandover.Job{
		Work: s.job, Contract: s.terms.Contract, TermsDigest: termsDigest(s.terms), TimeLeft: s.deadline - uptime.Now(), Waited: waited,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	now := uptime.Now()
	end, outcome := endOfHandover(ctx, answer, err)
	e.handedOver--
	e.policy.Ended(now, h.address, outcome)
	e.metrics.countHandover(h.why, end)
	logHandoverEnded(e.logger, h, end, answer, now-h.startedAt)
	if e.waiters[s.job.ID] != w {
		// Its callers have left.
		e.recordLateEnd(now, s.job.ID, end, answer)
		return
	}
	switch end {
	case handoverAnswered:
		e.answerHandover(now, w, answer)
	case handoverNotTaken:
		e.keep(now, w)
	default:
		e.answerHandover(now, w, planner.Answer{Outcome: planner.Expired, Reason: planner.ReasonEntryUnreachable})
	}
}

// handoverEnd is how a handover ended, for events and metrics.
type handoverEnd string

const (
	handoverAnswered  handoverEnd = "answered"
	handoverNotTaken  handoverEnd = "not_taken"
	handoverCancelled handoverEnd = "cancelled"
	handoverLost      handoverEnd = "lost"
)

// endOfHandover returns how a handover ended, for this entry and for its policy. An error that is not known
// is a loss: the job may have been sent.
func endOfHandover(ctx context.Context, a planner.Answer, err error) (handoverEnd, handover.Outcome) {
	switch {
	case err == nil && a.Outcome >= planner.Completed && a.Outcome < planner.Cancelled:
		return handoverAnswered, handover.Answered
	case errors.Is(err, entryhandover.ErrNotTaken):
		return handoverNotTaken, handover.NotTaken
	case ctx.Err() != nil:
		return handoverCancelled, handover.Answered
	default:
		return handoverLost, handover.Lost
	}
}

// answerHandover answers the callers of a job that was handed over. The caller holds the lock.
func (e *Engine) answerHandover(now time.Duration, w *jobWaiters, a planner.Answer) {
	id := w.handover.submission.job.ID
	delete(e.waiters, id)
	w.answer = a
	close(w.ready)
	switch a.Outcome {
	case planner.Completed, planner.Failed:
		e.answers[id] = cachedAnswer{a, now}
	case planner.Refused:
	default:
		e.handedRunsUntil[id] = now + handedRunsTimeout
	}
	if a.Reason == planner.ReasonEntryUnreachable {
		// The other entry can't have answered, so the outcome is this entry's.
		d := planner.Ended{Job: id, Outcome: a.Outcome, Reason: a.Reason, Waited: now - w.arrived}
		e.metrics.countEnded(w.terms.Contract, d)
		logEnded(e.logger, d, w.terms, now-w.arrived)
	}
}

// cancelHandover cancels a job that was handed over: its callers have left, or one of them has cancelled
// it. Its runs may go on for a moment. The caller holds the lock.
func (e *Engine) cancelHandover(now time.Duration, id string, w *jobWaiters) {
	delete(e.waiters, id)
	w.answer = planner.Answer{Outcome: planner.Cancelled, Reason: planner.ReasonCallerGone}
	close(w.ready)
	e.handedRunsUntil[id] = now + handedRunsTimeout
	w.handover.cancel()
}

// recordLateEnd records the end of a handover whose callers have left. The caller holds the lock.
func (e *Engine) recordLateEnd(now time.Duration, id string, end handoverEnd, a planner.Answer) {
	switch {
	case end == handoverNotTaken || end == handoverAnswered && a.Outcome == planner.Refused:
		delete(e.handedRunsUntil, id)
	case end == handoverAnswered && a.Outcome != planner.Expired:
		delete(e.handedRunsUntil, id)
		e.answers[id] = cachedAnswer{a, now}
	}
}

// keep runs a job that no other entry has taken, in the time that is left. The caller holds the lock.
func (e *Engine) keep(now time.Duration, w *jobWaiters) {
	s := w.handover.submission
	for i := len(w.callers) - 1; i >= 0; i-- {
		if c := w.callers[i]; e.isDisconnected(c.ctx) {
			e.dropCaller(now, s.job.ID, w, c)
		}
	}
	if e.waiters[s.job.ID] != w {
		delete(e.handedRunsUntil, s.job.ID)
		return
	}
	w.handover = nil
	if s.elsewhere {
		delete(e.waiters, s.job.ID)
		w.rejected = true
		close(w.ready)
		return
	}
	s.waited = now - w.arrived
	_, _, _ = e.accept(now, s)
	e.applyActions(now)
}

// TakeOver runs a job that another entry hands over, and returns its outcome. It returns
// entryhandover.ErrNotTaken if this entry has not accepted the job. The context ends when the other entry
// cancels the job, or when the connection to it ends.
func (e *Engine) TakeOver(ctx context.Context, j entryhandover.Job) (planner.Answer, error) {
	received := uptime.Now()
	c := e.contract(j.Contract)
	e.mu.Lock()
	if why := e.refusal(received, c, j.TermsDigest); why != "" {
		e.metrics.countNotTaken(why)
		e.mu.Unlock()
		return planner.Answer{}, entryhandover.ErrNotTaken
	}
	e.takenOver++
	e.metrics.takenOver.Inc(1)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.takenOver--
	}()
	logTakenOver(e.logger, j, entryhandover.From(ctx))
	answer, _ := e.serve(submission{
		ctx: ctx, job: j.Work, terms: Terms(c), deadline: received + j.TimeLeft, waited: j.Waited, takenOver: true,
	})
	return answer, nil
}

// refusal returns why a job of the given contract, accepted under the terms with the given digest, is not
// taken over; "" if it is. The caller holds the lock.
func (e *Engine) refusal(now time.Duration, c *route.Contract, digest uint64) string {
	// The job may have been read long after it was sent.
	e.checkPause(now)
	switch {
	case e.handOver == nil:
		return "turned_off"
	case e.draining:
		return "draining"
	case now < e.pausedUntil:
		return "paused"
	case c == nil:
		return "no_contract"
	case termsDigest(Terms(c)) != digest:
		// One of the two entries has not read the latest configuration.
		return "terms_differ"
	case e.spareMilli == nil || e.spareMilli() <= 0:
		return "no_spare_cpu"
	case e.state().Lag > maxTakeOverLag:
		return "lag"
	case e.takenOver >= maxTakenOver:
		return "too_many"
	case !e.plan.ReachesService(c.Service):
		return "no_endpoint_reached"
	default:
		return ""
	}
}

// Terms returns the terms of a contract.
func Terms(c *route.Contract) planner.Terms {
	return planner.Terms{
		Contract:     c.Name,
		Service:      c.Service,
		Priority:     c.Priority,
		MaxAttempts:  c.MaxAttempts,
		TargetFactor: c.TargetFactor,
		TargetMargin: c.TargetMargin,
	}
}

// termsDigest returns the digest by which two entries compare the terms of a job.
func termsDigest(t planner.Terms) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%q %q %d %d %x %d", t.Contract, t.Service, t.Priority, t.MaxAttempts, t.TargetFactor, t.TargetMargin)
	return d.Sum64()
}
