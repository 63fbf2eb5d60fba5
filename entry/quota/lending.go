package quota

import (
	"time"

	"almondstand.dev/wire/wirev1"
)

// renewal is what to ask of a lender that lends own of all that is borrowed.
func renewal(own, borrowed, wanted, missing float64) float64 {
	if missing > 0 {
		return own + missing
	}
	return wanted * ratio(own, borrowed)
}

// needed is this entry's own need with headroom, at most the whole contract. Room
// for one more job goes on top, and the burst goes along with the rate: counts of
// a second say little of a rate of a few jobs, and a bucket that holds just one of
// them loses what comes in while it is full.
func (a *account) needed() amounts {
	turns, whole := a.turns(), a.limit
	if turns.places > 0 {
		if !turns.has(turns.own) {
			return amounts{flight: float64(a.used)}
		}
		whole = whole.times(1 / float64(turns.places))
	}
	n := a.need.now()
	job := a.need.largest()
	rate := min(n.rate*headroom+job, a.limit.rate)
	burst := max(n.burst, job, a.limit.burst*ratio(rate, a.limit.rate))
	flight := max(n.flight*headroom, float64(a.used)) + job
	return amounts{rate, burst, flight}.min(whole)
}

func (a *account) lend(now time.Time, to string, lacks want) *wirev1.Loan {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	lacks.at = a.last
	a.wants[to] = lacks
	if !a.active {
		return nil
	}
	grant := a.spare(to).scaled(a.part(to)).min(lacks.amounts).positive().rounded()
	if grant.none() {
		return nil
	}
	before := a.depth()
	a.rights.lend(loan{
		peer: to, call: lacks.call, amounts: grant,
		until:       a.last.Add(a.opts.Span + lendMargin),
		flightUntil: a.last.Add(a.opts.Span + a.hold + lendMargin),
	})
	l := &wirev1.Loan{
		RateMilli: units(grant.rate), BurstMilli: units(grant.burst), InFlightMilli: units(grant.flight),
		TtlMs:         uint32(a.opts.Span / time.Millisecond),
		InFlightTtlMs: uint32((a.opts.Span + a.hold) / time.Millisecond),
		Call:          lacks.call,
	}
	l.TokensMilli = units(a.handOver(before))
	return l
}

// spare is what this entry can lend to a peer for the whole time of a loan. The
// peer's present loans are left out: the new one replaces them.
func (a *account) spare(to string) amounts {
	end := a.last.Add(a.opts.Span + a.hold + lendMargin)
	low := a.rights.least(a.last, end, to)
	short := a.rights.least(a.last, a.last.Add(a.opts.Span+lendMargin), to)
	low.rate, low.burst = short.rate, short.burst
	keep := a.needed()
	if a.gathers(to) {
		keep = amounts{flight: float64(a.used)}
	}
	return low.minus(keep).positive()
}

// part is how much of what can be spared the peer gets, among those that asked
// lately.
func (a *account) part(to string) amounts {
	if a.gathers(to) {
		return amounts{1, 1, 1}
	}
	own := a.wants[to].amounts
	all := amounts{}
	for peer, w := range a.wants {
		if a.last.Sub(w.at) > 2*ExchangePause {
			delete(a.wants, peer)
			continue
		}
		all = all.plus(w.amounts)
	}
	return amounts{ratio(own.rate, all.rate), ratio(own.burst, all.burst), ratio(own.flight, all.flight)}
}

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

func (a amounts) scaled(f amounts) amounts {
	return amounts{a.rate * f.rate, a.burst * f.burst, a.flight * f.flight}
}

// handOver gives the unused burst that no longer fits here to the borrower.
func (a *account) handOver(before float64) float64 {
	held := min(a.tokens, before)
	a.clip()
	return max(held-max(a.tokens, 0), 0)
}

func (a *account) borrow(now time.Time, from string, l *wirev1.Loan, asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	n := loan{
		peer: from, amounts: granted(l), asked: asked,
		until:       asked.Add(time.Duration(l.GetTtlMs()) * time.Millisecond),
		flightUntil: asked.Add(time.Duration(l.GetInFlightTtlMs()) * time.Millisecond),
	}
	if !a.awaited(from, l.GetCall()) || n.over(a.last) || !a.replaceLoan(n) {
		return
	}
	if a.last.Before(n.until) {
		a.tokens += float64(l.GetTokensMilli()) / milli
	}
	a.clip()
}

// replaceLoan puts a lender's newest loan in place of the one before; false when n
// is not newer: a reply that came late, or twice.
func (a *account) replaceLoan(n loan) bool {
	for i, l := range a.rights.borrowed {
		if l.peer != n.peer {
			continue
		}
		if !n.asked.After(l.asked) {
			return false
		}
		a.rights.borrowed[i] = n
		return true
	}
	a.rights.borrowed = append(a.rights.borrowed, n)
	return true
}

func (a *account) drop(now time.Time, from string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	kept := a.rights.borrowed[:0]
	for _, l := range a.rights.borrowed {
		if l.peer != from {
			kept = append(kept, l)
		}
	}
	a.rights.borrowed = kept
	delete(a.calls, from)
	a.clip()
}
