package quota

import (
	"cmp"
	"sync"
	"time"

	"almondstand.dev/contract"
)

const (
	// pauseTolerance is how far the wall clock may advance ahead of the monotonic clock between
	// two updates before the host is considered to have been suspended.
	pauseTolerance = 200 * time.Millisecond
	// headroom is the factor by which an entry keeps or leases more than its measured demand.
	headroom = 1.1
	// leaseMargin is added to a lease's duration at the lessor, to allow for clocks that run at
	// different rates.
	leaseMargin = 50 * time.Millisecond
	// maxRetryAfter bounds the retry delay returned to a rejected client.
	maxRetryAfter = 10 * time.Second
	// retryJitter is the largest random addition to a retry delay, as a fraction of it, so that
	// clients that were rejected together do not retry together.
	retryJitter = 0.25
	// defaultAnswerTime is used for a contract without an answer time.
	defaultAnswerTime = 10 * time.Second
)

// account holds one client's limits at one entry.
type account struct {
	mu         sync.Mutex
	name       string
	opts       Options
	limit      amounts
	answerTime time.Duration // admitted tasks end within it
	active     bool
	allowance  allowance
	// tokens is the content of the token bucket, which fills at the rate up to the burst; last is
	// the time up to which it has been filled.
	tokens float64
	last   time.Time
	// suspendedTokens are the tokens of the base share while it is suspended.
	suspendedTokens float64
	used            int
	// shrunkAt is when the base share last became smaller.
	shrunkAt    time.Time
	estimate    demandEstimate
	peerDemands map[string]peerDemand
	// callCount counts the calls that requested leases; lastCalls holds the number of the last
	// call to each lessor.
	callCount uint64
	lastCalls map[string]uint64
	// retryScheduledUntil is the end of the time already assigned to retries of rejected jobs.
	retryScheduledUntil time.Time
	rejections          rejections
}

// peerDemand is what a peer requested in its last call.
type peerDemand struct {
	amounts
	// oversized is the size of a job that exceeds the peer's base share.
	oversized float64
	at        time.Time
	// call is the lessee's number of the call.
	call uint64
}

func newAccount(now time.Time, name string, opts Options) *account {
	return &account{name: name, opts: opts, last: now, peerDemands: map[string]peerDemand{}, lastCalls: map[string]uint64{}, estimate: demandEstimate{windowStart: now}}
}

func (a *account) setContract(now time.Time, c contract.Contract, s Share) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	isNew := a.limit == amounts{}
	next := amounts{rate: c.Rate, burst: float64(c.Burst), inFlight: float64(c.InFlight)}
	if next.min(a.limit) != a.limit {
		// A limit was lowered: leases granted from the former limit would be added to the new
		// shares of the other entries.
		a.allowance.leased = nil
	}
	a.limit = next
	a.answerTime = cmp.Or(time.Duration(c.AnswerTime), defaultAnswerTime)
	a.active = c.State != contract.Retired
	a.rebase(now, s.base(c.Client, next))
	if isNew {
		// A contract that is added while this entry holds a share starts with a full token
		// bucket; an entry that joins later must not add tokens.
		a.tokens = a.burstSize()
	}
}

// setShare replaces the share old by s. The tokens of a share outlast its suspension, since no
// other entry can use them meanwhile; those of a share that was given up do not.
func (a *account) setShare(now time.Time, client string, old, s Share) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if s.Joins != old.Joins {
		a.rebase(now, amounts{})
		a.suspendedTokens = 0
	}
	before := a.tokens
	a.rebase(now, s.base(client, a.limit))
	switch {
	case s.Suspended:
		a.suspendedTokens += before - a.tokens
	case s.Holding:
		a.tokens += a.suspendedTokens
		a.suspendedTokens = 0
		a.clampTokens()
	default:
		a.suspendedTokens = 0
	}
}

// base returns this entry's own part of a limit.
func (s Share) base(client string, limit amounts) amounts {
	if !s.Holding || s.Entries < 1 || s.PendingClients[client] {
		return amounts{}
	}
	return limit.times(1 / float64(s.Entries))
}

func (a *account) rebase(now time.Time, base amounts) {
	if base.min(a.allowance.base) != a.allowance.base {
		a.shrunkAt = now
	}
	a.allowance.base = base
	a.clampTokens()
}

// advance fills the token bucket up to now, in one step for each interval of constant rate, and
// removes expired leases.
func (a *account) advance(now time.Time) {
	if now.Before(a.last) {
		return
	}
	a.dropAfterPause(now)
	for len(a.allowance.leased)+len(a.allowance.granted) > 0 {
		next, ok := a.allowance.nextChange(a.last, now)
		if !ok {
			break
		}
		a.fill(next)
	}
	a.fill(now)
	a.allowance.prune(now)
	a.estimate.advance(now)
}

// dropAfterPause discards the leases from others if the wall clock advanced ahead of the monotonic
// clock: the host was suspended, and leases that seem valid here have expired at their lessors.
func (a *account) dropAfterPause(now time.Time) {
	ahead := now.Round(0).Sub(a.last.Round(0)) - now.Sub(a.last)
	if ahead > pauseTolerance {
		a.allowance.leased = nil
	}
}

func (a *account) fill(to time.Time) {
	// The rate is constant between last and to; it is the one in effect right after last.
	rate := max(a.allowance.at(a.last, "").rate, 0)
	a.tokens += rate * to.Sub(a.last).Seconds()
	a.last = to
	a.clampTokens()
}

func (a *account) clampTokens() { a.tokens = min(a.tokens, a.burstSize()) }

func (a *account) burstSize() float64 { return max(a.allowance.at(a.last, "").burst, 0) }

// maxInFlight returns the number of tasks that may be in flight such that tasks admitted now have
// ended when the leases that allow them expire.
func (a *account) maxInFlight() float64 {
	if len(a.allowance.leased)+len(a.allowance.granted) == 0 {
		return a.allowance.base.inFlight
	}
	return a.allowance.minBetween(a.last, a.last.Add(a.answerTime), "").inFlight
}

func (a *account) admit(now time.Time, tasks int) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	requested := float64(tasks)
	if !a.active || requested > a.limit.burst || requested > a.limit.inFlight {
		return Decision{Permanent: true}
	}
	a.estimate.recordOffered(a.last, requested)
	a.estimate.setRetention(a.estimate.largestJob, a.limit.rate)
	if requested > min(a.allowance.base.burst, a.allowance.base.inFlight)+roundingSlack {
		a.estimate.recordOversized(a.last, requested)
	}
	if float64(a.used)+requested > a.maxInFlight()+roundingSlack {
		a.estimate.recordInFlightShortfall(float64(a.used), requested)
		a.logRejection(tasks)
		return Decision{RetryAfter: a.retryAfterInFlight()}
	}
	if requested > a.tokens+roundingSlack {
		a.estimate.recordBurstShortfall(a.burstSize(), requested)
		a.logRejection(tasks)
		return Decision{RetryAfter: a.retryAfterTokens(requested)}
	}
	a.tokens -= requested
	a.used += tasks
	a.estimate.recordInFlight(float64(a.used))
	a.estimate.recordAdmitted(a.last, requested)
	return a.admittedDecision(tasks)
}

// admittedDecision returns the decision for tasks that were just admitted. They are returned at
// most once, by Release or by Undo.
func (a *account) admittedDecision(tasks int) Decision {
	released := false
	release := func(tokens float64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if released {
			return
		}
		released = true
		a.used -= tasks
		a.tokens += tokens
		a.clampTokens()
	}
	return Decision{
		OK:      true,
		Release: func() { release(0) },
		Undo:    func() { release(float64(tasks)) },
	}
}

// retryAfterInFlight estimates when tasks in flight will have ended: a quarter of the answer time,
// within bounds.
func (a *account) retryAfterInFlight() time.Duration {
	return a.withJitter(min(max(a.answerTime/4, ExchangePause/10), ExchangePause))
}

// retryAfterTokens assigns each rejected job its own retry time, one after the other at the rate
// at which tokens become available.
func (a *account) retryAfterTokens(requested float64) time.Duration {
	rate := a.allowance.at(a.last, "").rate
	if rate <= 0 || requested > a.burstSize()+roundingSlack {
		return a.withJitter(ExchangePause)
	}
	begin, missing := a.retryScheduledUntil, requested
	if !begin.After(a.last) {
		begin, missing = a.last, requested-a.tokens
	}
	wait := begin.Sub(a.last) + time.Duration(missing/rate*float64(time.Second))
	wait = min(wait, maxRetryAfter)
	a.retryScheduledUntil = a.last.Add(wait)
	return a.withJitter(wait)
}

func (a *account) withJitter(d time.Duration) time.Duration {
	d += time.Duration(a.opts.Jitter() * retryJitter * float64(d))
	return max(d, time.Millisecond)
}

// needsLease reports whether this entry needs leases, new or renewed, beyond its own share.
func (a *account) needsLease(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if !a.active {
		return false
	}
	v := a.viewFor("")
	return a.estimate.oversized > 0 || !v.needed.minus(v.available.minus(v.leased)).positive().negligible()
}

// view is what an entry needs and what it may use at its next exchange.
type view struct {
	// available includes leased, the sum of all leases from others; fromLessor is the part leased
	// from one lessor.
	needed, available, leased, fromLessor amounts
}

func (a *account) viewFor(lessor string) view {
	soon := a.last.Add(ExchangePause)
	v := view{needed: a.needed(), available: a.allowance.at(soon, "")}
	v.available.inFlight = a.allowance.minBetween(soon, soon.Add(a.answerTime), "").inFlight
	for _, l := range a.allowance.leased {
		amount := l.usableAt(soon, a.answerTime)
		v.leased = v.leased.plus(amount)
		if l.peer == lessor {
			v.fromLessor = amount
		}
	}
	return v
}

// shortfall returns what this entry requests from one lessor.
//
// All lessors are asked at the same time. What is missing is requested from each of them; what is
// already leased is renewed by each in proportion. If each were asked for the demand less what the
// others grant, a surplus would be deducted from every lease at once, and with a surplus as large
// as a lease none would be renewed: the rate would oscillate between the base share and the whole,
// with a period of a few seconds.
func (v view) shortfall() amounts {
	toLease := v.needed.minus(v.available.minus(v.leased)).positive()
	missing := v.needed.minus(v.available)
	return amounts{
		renewal(v.fromLessor.rate, v.leased.rate, toLease.rate, missing.rate),
		renewal(v.fromLessor.burst, v.leased.burst, toLease.burst, missing.burst),
		renewal(v.fromLessor.inFlight, v.leased.inFlight, toLease.inFlight, missing.inFlight),
	}
}

// settled reports whether the leases granted fit into the base share and the tasks admitted on a
// larger one have ended.
func (a *account) settled(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	far := a.last.Add(2*a.opts.LeaseDuration + 2*a.answerTime)
	low := a.allowance.minBetween(a.last, far, "")
	if low.positive() != low {
		return false
	}
	return float64(a.used) <= a.maxInFlight() || a.last.Sub(a.shrunkAt) > a.answerTime
}

func (a *account) idle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	return a.used == 0 && len(a.allowance.granted) == 0
}

func (a *account) status(now time.Time) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	available := a.allowance.at(a.last, "")
	s := Status{Rate: max(available.rate, 0), Burst: max(available.burst, 0), InFlight: max(available.inFlight, 0),
		Tokens: a.tokens, Used: a.used}
	for _, l := range a.allowance.leased {
		s.LeasedRate += l.at(a.last).rate
		s.LeasedInFlight += l.at(a.last).inFlight
	}
	granted := a.allowance.base.minus(available)
	s.GrantedRate = granted.rate + s.LeasedRate
	s.GrantedInFlight = granted.inFlight + s.LeasedInFlight
	return s
}
