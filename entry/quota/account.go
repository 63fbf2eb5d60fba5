package quota

import (
	"cmp"
	"sync"
	"time"

	"almondstand.dev/contract"
)

const (
	// pauseTolerance is how far the wall clock may run ahead of the monotonic one
	// between two looks before that counts as a pause of the machine.
	pauseTolerance = 200 * time.Millisecond
	// headroom is what an entry keeps or borrows above its measured need.
	headroom = 1.1
	// lendMargin is added to a loan's time at the lender, for clocks that run apart.
	lendMargin = 50 * time.Millisecond
	// maxRetryAfter bounds what a refused customer is told.
	maxRetryAfter = 10 * time.Second
	// retrySpread is the part of a pause that is drawn at random, so that clients
	// that were refused together do not come back together.
	retrySpread = 0.25
	// defaultHold stands in for a contract without an answer time.
	defaultHold = 10 * time.Second
)

// account is one customer's limits at one entry.
type account struct {
	mu     sync.Mutex
	name   string
	opts   Options
	limit  amounts
	hold   time.Duration // the answer time: what is admitted ends within it
	active bool
	rights rights
	// tokens fill at the rate up to the burst; last is the time they were filled to.
	tokens float64
	last   time.Time
	used   int
	// shrunk is when the base last became smaller.
	shrunk time.Time
	need   need
	wants  map[string]want
	// call counts the calls that asked for loans; calls holds each lender's last.
	call  uint64
	calls map[string]uint64
	// promised is the time up to which refused tasks were told to come back.
	promised time.Time
}

// want is what a peer lacked when it last asked.
type want struct {
	amounts
	// job is the size of a job that the peer's base share can't hold.
	job float64
	at  time.Time
	// call is the borrower's number of the call.
	call uint64
}

func newAccount(now time.Time, name string, opts Options) *account {
	return &account{name: name, opts: opts, last: now, wants: map[string]want{}, calls: map[string]uint64{}, need: need{began: now}}
}

func (a *account) setContract(now time.Time, c contract.Contract, s Share) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	fresh := a.limit == amounts{}
	next := amounts{rate: c.Rate, burst: float64(c.Burst), flight: float64(c.InFlight)}
	if next.min(a.limit) != a.limit {
		// A limit was lowered: loans cut from the former one would add to the new
		// shares of the others.
		a.rights.borrowed = nil
	}
	a.limit = next
	a.hold = cmp.Or(time.Duration(c.AnswerTime), defaultHold)
	a.active = c.State != contract.Retired
	a.rebase(now, s.base(c.Customer, next))
	if fresh {
		// A contract that begins while this entry holds a share begins with its
		// burst unused; an entry that joins later may not add any.
		a.tokens = a.depth()
	}
}

func (a *account) setShare(now time.Time, customer string, s Share) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.rebase(now, s.base(customer, a.limit))
}

// base is this entry's own part of a limit.
func (s Share) base(customer string, limit amounts) amounts {
	if !s.Holding || s.Entries < 1 || s.Waiting[customer] {
		return amounts{}
	}
	return limit.times(1 / float64(s.Entries))
}

func (a *account) rebase(now time.Time, base amounts) {
	if base.min(a.rights.base) != a.rights.base {
		a.shrunk = now
	}
	a.rights.base = base
	a.clip()
}

// advance fills the tokens up to now, piece by piece where the rate changes.
func (a *account) advance(now time.Time) {
	if now.Before(a.last) {
		return
	}
	a.dropAfterPause(now)
	for len(a.rights.borrowed)+len(a.rights.lent) > 0 {
		next, ok := a.rights.nextChange(a.last, now)
		if !ok {
			break
		}
		a.fill(next)
	}
	a.fill(now)
	a.rights.prune(now)
	a.need.advance(now)
}

// dropAfterPause drops what was borrowed when the wall clock ran ahead of the
// monotonic one: the machine was suspended, and loans that seem valid have lapsed
// at their lenders.
func (a *account) dropAfterPause(now time.Time) {
	ahead := now.Round(0).Sub(a.last.Round(0)) - now.Sub(a.last)
	if ahead > pauseTolerance {
		a.rights.borrowed = nil
	}
}

func (a *account) fill(to time.Time) {
	// The rate from last to to is the one that holds just after last.
	rate := max(a.rights.at(a.last, "").rate, 0)
	a.tokens += rate * to.Sub(a.last).Seconds()
	a.last = to
	a.clip()
}

func (a *account) clip() { a.tokens = min(a.tokens, a.depth()) }

func (a *account) depth() float64 { return max(a.rights.at(a.last, "").burst, 0) }

// usable is the number of tasks that may be in flight, so that those admitted now
// have ended when the loans that allow them lapse.
func (a *account) usable() float64 {
	if len(a.rights.borrowed)+len(a.rights.lent) == 0 {
		return a.rights.base.flight
	}
	return a.rights.least(a.last, a.last.Add(a.hold), "").flight
}

func (a *account) admit(now time.Time, tasks int) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	wants := float64(tasks)
	if !a.active || wants > a.limit.burst || wants > a.limit.flight {
		return Decision{Permanent: true}
	}
	a.need.offered(a.last, wants)
	a.need.remember(a.need.size, a.limit.rate)
	if wants > min(a.rights.base.burst, a.rights.base.flight)+slack {
		a.need.tooLarge(a.last, wants)
	}
	if float64(a.used)+wants > a.usable()+slack {
		a.need.lackedFlight(float64(a.used), wants)
		return Decision{RetryAfter: a.retryFlight()}
	}
	if wants > a.tokens+slack {
		a.need.lackedBurst(a.depth(), wants)
		return Decision{RetryAfter: a.retryTokens(wants)}
	}
	a.tokens -= wants
	a.used += tasks
	a.need.inFlight(float64(a.used))
	a.need.admitted(a.last, wants)
	return a.taken(tasks)
}

// taken returns the decision for tasks that were just taken. What it gives back
// is given back once, whichever way.
func (a *account) taken(tasks int) Decision {
	given := false
	giveBack := func(tokens float64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if given {
			return
		}
		given = true
		a.used -= tasks
		a.tokens += tokens
		a.clip()
	}
	return Decision{
		OK:      true,
		Release: func() { giveBack(0) },
		Undo:    func() { giveBack(float64(tasks)) },
	}
}

// retryFlight guesses when tasks in flight have ended: a quarter of the answer
// time, within bounds.
func (a *account) retryFlight() time.Duration {
	return a.spread(min(max(a.hold/4, ExchangePause/10), ExchangePause))
}

// retryTokens gives each refused job its own time, one after the other as the
// tokens for them come in.
func (a *account) retryTokens(wants float64) time.Duration {
	rate := a.rights.at(a.last, "").rate
	if rate <= 0 || wants > a.depth()+slack {
		return a.spread(ExchangePause)
	}
	begin, lacking := a.promised, wants
	if !begin.After(a.last) {
		begin, lacking = a.last, wants-a.tokens
	}
	wait := begin.Sub(a.last) + time.Duration(lacking/rate*float64(time.Second))
	wait = min(wait, maxRetryAfter)
	a.promised = a.last.Add(wait)
	return a.spread(wait)
}

func (a *account) spread(d time.Duration) time.Duration {
	d += time.Duration(a.opts.Jitter() * retrySpread * float64(d))
	return max(d, time.Millisecond)
}

// lacking reports whether anything is borrowed or to be borrowed.
func (a *account) lacking(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if !a.active {
		return false
	}
	v := a.viewOf("")
	return a.need.job > 0 || !v.needed.minus(v.has.minus(v.borrowed)).positive().none()
}

// view is what an entry needs and what it may use at its next exchange.
type view struct {
	// has contains what is borrowed, own is the part of one lender.
	needed, has, borrowed, own amounts
}

func (a *account) viewOf(lender string) view {
	soon := a.last.Add(ExchangePause)
	v := view{needed: a.needed(), has: a.rights.at(soon, "")}
	v.has.flight = a.rights.least(soon, soon.Add(a.hold), "").flight
	for _, l := range a.rights.borrowed {
		part := l.usable(soon, a.hold)
		v.borrowed = v.borrowed.plus(part)
		if l.peer == lender {
			v.own = part
		}
	}
	return v
}

// lack is what this entry would borrow from one lender.
//
// All are asked at the same time. What is missing is asked of each; what is there
// is renewed by each in proportion. If each were asked for the need less what the
// others lend, a surplus would be taken off every loan at once, and with a surplus
// as large as a loan none would be renewed: the rate would swing between the base
// share and the whole, a few seconds each.
func (v view) lack() amounts {
	wanted := v.needed.minus(v.has.minus(v.borrowed)).positive()
	missing := v.needed.minus(v.has)
	return amounts{
		renewal(v.own.rate, v.borrowed.rate, wanted.rate, missing.rate),
		renewal(v.own.burst, v.borrowed.burst, wanted.burst, missing.burst),
		renewal(v.own.flight, v.borrowed.flight, wanted.flight, missing.flight),
	}
}

// settled: nothing lent exceeds the base, and what was admitted on a larger one
// has ended.
func (a *account) settled(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	far := a.last.Add(2*a.opts.Span + 2*a.hold)
	low := a.rights.least(a.last, far, "")
	if low.positive() != low {
		return false
	}
	return float64(a.used) <= a.usable() || a.last.Sub(a.shrunk) > a.hold
}

func (a *account) idle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	return a.used == 0 && len(a.rights.lent) == 0
}

func (a *account) status(now time.Time) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	has := a.rights.at(a.last, "")
	s := Status{Rate: max(has.rate, 0), Burst: max(has.burst, 0), InFlight: max(has.flight, 0),
		Tokens: a.tokens, Used: a.used}
	for _, l := range a.rights.borrowed {
		s.BorrowedRate += l.at(a.last).rate
		s.BorrowedInFlight += l.at(a.last).flight
	}
	lent := a.rights.base.minus(has)
	s.LentRate = lent.rate + s.BorrowedRate
	s.LentInFlight = lent.flight + s.BorrowedInFlight
	return s
}
