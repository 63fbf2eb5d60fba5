package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondstand.dev/contract"
	"almondstand.dev/wire/wirev1"
)

// demand requests leases from one lessor and returns what is no longer needed of its earlier ones.
//
// Leases of tasks in flight last for the client's answer time, and another entry may need them in
// the meantime. Each demand therefore states how much is kept of the lessor's earlier leases, and
// is numbered:
//   - The lessee has given up the rest before the demand is sent, and ignores later replies to
//     earlier calls. So the lessor may use the rest at once.
//   - A lost demand returns nothing: the lease expires as it would without the demand.
//   - A late or duplicated demand limits only the leases of calls before it, and the lessee never
//     again holds more than that of them.
func (a *account) demand(now time.Time, to string, closed bool) *wirev1.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if !a.active {
		return nil
	}
	v, oversized := a.viewFor(to), a.estimate.oversized
	if closed {
		v.needed, oversized = amounts{inFlight: float64(a.used)}, 0
	}
	shortfall := v.shortfall()
	kept, returned := a.returnUnused(to, shortfall, v)
	if shortfall.negligible() && oversized == 0 && !returned {
		return nil
	}
	a.callCount++
	a.lastCalls[to] = a.callCount
	return &wirev1.Demand{
		Customer: a.name, RateMilli: units(shortfall.rate), BurstMilli: units(shortfall.burst), InFlightMilli: units(shortfall.inFlight),
		JobMilli: units(oversized), Call: a.callCount,
		KeptRateMilli: units(kept.rate), KeptBurstMilli: units(kept.burst), KeptInFlightMilli: units(kept.inFlight),
	}
}

// lessorKey identifies the lessor in the first demand of a call. A call may reach a different
// process at the same address; that process must not reclaim its own leases according to what is
// kept of the other's.
func lessorKey(name string) uint64 { return xxhash.Sum64String(name) }

// returnUnused reduces the lease from one lessor to the requested amounts, except for what is in
// use or leased out. It returns an upper bound of what is kept.
//
// If more is in use or leased out than the present leases allow, it depends on former, larger
// leases that were replaced or dropped and have not expired at the lessor. With a bound taken from
// the newest lease, the lessor would use that part a second time. So no bound is given until the
// excess has ended.
func (a *account) returnUnused(lessor string, requested amounts, v view) (kept amounts, returned bool) {
	i := slices.IndexFunc(a.allowance.leased, func(l quotaLease) bool { return l.peer == lessor })
	if i < 0 {
		leaseEnd := a.last.Add(a.opts.LeaseDuration + leaseMargin)
		return amounts{}.replaceWhereNegative(a.unused(leaseEnd, leaseEnd.Add(a.answerTime)), unbounded), false
	}
	l := &a.allowance.leased[i]
	unused := a.unused(l.expires.Add(-1), l.inFlightExpires.Add(-1))
	amount := l.minus(requested).min(unused).positive().rounded()
	amount = amount.replaceWhereNegative(v.available.minus(v.needed), amounts{})
	l.amounts = l.minus(amount).rounded()
	a.clampTokens()
	return l.replaceWhereNegative(unused, unbounded), !amount.negligible()
}

// unbounded is a bound without effect: more than any contract allows.
var unbounded = amounts{contract.MaxRate, contract.MaxBurst, contract.MaxInFlight}

// unused returns what is neither in use nor leased out up to two times: until for rate and burst,
// inFlightUntil for tasks in flight. It is negative if more is in use than the allowance.
func (a *account) unused(until, inFlightUntil time.Time) amounts {
	unused := a.allowance.minBetween(a.last, until, "")
	unused.inFlight = a.allowance.minBetween(a.last, inFlightUntil, "").inFlight - float64(a.used)
	return unused
}

// replaceWhereNegative replaces each amount by that of other where that of negative is below zero.
func (a amounts) replaceWhereNegative(negative, other amounts) amounts {
	pick := func(v, negative, other float64) float64 {
		if negative < 0 {
			return other
		}
		return v
	}
	return amounts{pick(a.rate, negative.rate, other.rate), pick(a.burst, negative.burst, other.burst),
		pick(a.inFlight, negative.inFlight, other.inFlight)}
}

// reclaim limits the leases granted in a lessee's earlier calls to what it still keeps of them.
func (a *account) reclaim(now time.Time, from string, d *wirev1.Demand) {
	if d.GetCall() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	kept := leaseAmounts(&wirev1.Loan{
		RateMilli: d.GetKeptRateMilli(), BurstMilli: d.GetKeptBurstMilli(), InFlightMilli: d.GetKeptInFlightMilli(),
	})
	a.allowance.capGranted(from, d.GetCall(), kept)
}

// answersLastCall reports whether a lease answers the last call to its lessor. Leases of earlier
// calls count as returned.
func (a *account) answersLastCall(lessor string, call uint64) bool {
	return call == 0 || call == a.lastCalls[lessor]
}
