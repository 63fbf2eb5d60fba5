package quota

import (
	"time"

	"almondstand.dev/wire/wirev1"
)

// renewal returns what to request from a lessor that grants fromLessor of all that is leased.
func renewal(fromLessor, leased, toLease, missing float64) float64 {
	if missing > 0 {
		return fromLessor + missing
	}
	return toLease * ratio(fromLessor, leased)
}

// needed returns this entry's own demand with headroom, limited to the whole contract. It includes
// one additional job, and the burst grows with the rate: at a rate of a few jobs, counts over one
// second say little, and a token bucket that holds just one job loses the tokens that arrive while
// it is full.
func (a *account) needed() amounts {
	collectors, whole := a.collectors(), a.limit
	if collectors.slots > 0 {
		if !collectors.includes(collectors.own) {
			return amounts{inFlight: float64(a.used)}
		}
		whole = whole.times(1 / float64(collectors.slots))
	}
	demand := a.estimate.current()
	jobSize := a.estimate.maxJobSize()
	rate := min(demand.rate*headroom+jobSize, a.limit.rate)
	burst := max(demand.burst, jobSize, a.limit.burst*ratio(rate, a.limit.rate))
	inFlight := max(demand.inFlight*headroom, float64(a.used)) + jobSize
	return amounts{rate, burst, inFlight}.min(whole)
}

func (a *account) grant(now time.Time, to string, demand peerDemand) *wirev1.Loan {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	demand.at = a.last
	a.peerDemands[to] = demand
	if !a.active {
		return nil
	}
	amount := a.spareFor(to).scaled(a.fractionFor(to)).min(demand.amounts).positive().rounded()
	if amount.negligible() {
		return nil
	}
	before := a.burstSize()
	a.allowance.addGranted(quotaLease{
		peer: to, call: demand.call, amounts: amount,
		expires:         a.last.Add(a.opts.LeaseDuration + leaseMargin),
		inFlightExpires: a.last.Add(a.opts.LeaseDuration + a.answerTime + leaseMargin),
	})
	l := &wirev1.Loan{
		RateMilli: units(amount.rate), BurstMilli: units(amount.burst), InFlightMilli: units(amount.inFlight),
		TtlMs:         uint32(a.opts.LeaseDuration / time.Millisecond),
		InFlightTtlMs: uint32((a.opts.LeaseDuration + a.answerTime) / time.Millisecond),
		Call:          demand.call,
	}
	l.TokensMilli = units(a.transferTokens(before))
	return l
}

// spareFor returns what this entry can grant to a peer for the whole duration of a lease. Leases
// already granted to that peer are left out, because the new one replaces them.
func (a *account) spareFor(to string) amounts {
	end := a.last.Add(a.opts.LeaseDuration + a.answerTime + leaseMargin)
	low := a.allowance.minBetween(a.last, end, to)
	short := a.allowance.minBetween(a.last, a.last.Add(a.opts.LeaseDuration+leaseMargin), to)
	low.rate, low.burst = short.rate, short.burst
	keep := a.needed()
	if a.collects(to) {
		keep = amounts{inFlight: float64(a.used)}
	}
	return low.minus(keep).positive()
}

// fractionFor returns the fraction of the spare amounts that the peer gets, in proportion to the
// demands of all peers that asked lately.
func (a *account) fractionFor(to string) amounts {
	if a.collects(to) {
		return amounts{1, 1, 1}
	}
	requested := a.peerDemands[to].amounts
	all := amounts{}
	for peer, w := range a.peerDemands {
		if a.last.Sub(w.at) > 2*ExchangePause {
			delete(a.peerDemands, peer)
			continue
		}
		all = all.plus(w.amounts)
	}
	return amounts{ratio(requested.rate, all.rate), ratio(requested.burst, all.burst), ratio(requested.inFlight, all.inFlight)}
}

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

func (a amounts) scaled(f amounts) amounts {
	return amounts{a.rate * f.rate, a.burst * f.burst, a.inFlight * f.inFlight}
}

// transferTokens returns the tokens that exceed the reduced burst here; they are given to the
// lessee.
func (a *account) transferTokens(before float64) float64 {
	held := min(a.tokens, before)
	a.clampTokens()
	return max(held-max(a.tokens, 0), 0)
}

func (a *account) acquire(now time.Time, from string, l *wirev1.Loan, askedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	next := quotaLease{
		peer: from, amounts: leaseAmounts(l), askedAt: askedAt,
		expires:         askedAt.Add(time.Duration(l.GetTtlMs()) * time.Millisecond),
		inFlightExpires: askedAt.Add(time.Duration(l.GetInFlightTtlMs()) * time.Millisecond),
	}
	if !a.answersLastCall(from, l.GetCall()) || next.expired(a.last) || !a.replaceLease(next) {
		return
	}
	if a.last.Before(next.expires) {
		a.tokens += float64(l.GetTokensMilli()) / milliPerTask
	}
	a.clampTokens()
}

// replaceLease replaces the lease from the same lessor by next. It returns false if next is not
// newer, that is, if the reply was late or duplicated.
func (a *account) replaceLease(next quotaLease) bool {
	for i, l := range a.allowance.leased {
		if l.peer != next.peer {
			continue
		}
		if !next.askedAt.After(l.askedAt) {
			return false
		}
		a.allowance.leased[i] = next
		return true
	}
	a.allowance.leased = append(a.allowance.leased, next)
	return true
}

func (a *account) drop(now time.Time, from string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	kept := a.allowance.leased[:0]
	for _, l := range a.allowance.leased {
		if l.peer != from {
			kept = append(kept, l)
		}
	}
	a.allowance.leased = kept
	delete(a.lastCalls, from)
	a.clampTokens()
}
