package quota

import (
	"slices"
	"time"
)

// quotaLease is a part of the limits that one entry leaves to another for a limited time. Rate and
// burst expire at expires, tasks in flight at inFlightExpires.
type quotaLease struct {
	peer string
	// call is the lessee's number of the call that requested the lease.
	call uint64
	amounts
	expires, inFlightExpires time.Time
	// askedAt is when the lessee began the call.
	askedAt time.Time
}

// at returns what the lease is worth at one time.
func (l quotaLease) at(u time.Time) amounts {
	var a amounts
	if u.Before(l.expires) {
		a.rate, a.burst = l.rate, l.burst
	}
	if u.Before(l.inFlightExpires) {
		a.inFlight = l.inFlight
	}
	return a
}

// usableAt returns what can be used of the lease at one time: tasks in flight only if they end
// before it expires.
func (l quotaLease) usableAt(u time.Time, answerTime time.Duration) amounts {
	a := l.at(u)
	a.inFlight = l.at(u.Add(answerTime)).inFlight
	return a
}

func (l quotaLease) expired(now time.Time) bool {
	return !now.Before(l.expires) && !now.Before(l.inFlightExpires)
}

// covers reports whether l is at least as large as o for as long as o lasts and cannot be returned
// before o.
func (l quotaLease) covers(o quotaLease) bool {
	return l.peer == o.peer && l.call >= o.call && l.rate >= o.rate && l.burst >= o.burst && l.inFlight >= o.inFlight &&
		!l.expires.Before(o.expires) && !l.inFlightExpires.Before(o.inFlightExpires)
}

// allowance is what an entry may use of one client's limits, now and in the future.
type allowance struct {
	base amounts
	// leased holds the leases from others, at most one per lessor: a newer one replaces it.
	leased []quotaLease
	// granted holds the leases to others, possibly several per lessee: any of the replies may have
	// been the last to arrive, so the largest counts.
	granted []quotaLease
}

// at returns what may be used at one time; it is negative if the base share has shrunk below what
// is granted. Leases to the peer except are left out.
func (a *allowance) at(u time.Time, except string) amounts {
	sum := a.base
	for _, l := range a.leased {
		sum = sum.plus(l.at(u))
	}
	for i, l := range a.granted {
		if l.peer == except || a.hasEarlierGrant(i) {
			continue
		}
		sum = sum.minus(a.grantedTo(l.peer, u))
	}
	return sum
}

// hasEarlierGrant reports whether an earlier lease in the list has the same lessee.
func (a *allowance) hasEarlierGrant(i int) bool {
	return slices.ContainsFunc(a.granted[:i], func(l quotaLease) bool { return l.peer == a.granted[i].peer })
}

func (a *allowance) grantedTo(peer string, u time.Time) amounts {
	var most amounts
	for _, l := range a.granted {
		if l.peer == peer {
			most = most.max(l.at(u))
		}
	}
	return most
}

// minBetween returns the least that may be used at any time from now to end. The allowance changes
// only when a lease expires, so only those times are examined.
func (a *allowance) minBetween(now, end time.Time, except string) amounts {
	low := a.at(now, except)
	for _, list := range [][]quotaLease{a.leased, a.granted} {
		for _, l := range list {
			for _, u := range []time.Time{l.expires, l.inFlightExpires} {
				if u.After(now) && !u.After(end) {
					low = low.min(a.at(u, except))
				}
			}
		}
	}
	return low
}

// nextChange returns the first time after from and not after to at which rate or burst changes; ok
// is false if there is none.
func (a *allowance) nextChange(from, to time.Time) (next time.Time, ok bool) {
	for _, list := range [][]quotaLease{a.leased, a.granted} {
		for _, l := range list {
			if !l.expires.After(from) || l.expires.After(to) {
				continue
			}
			if !ok || l.expires.Before(next) {
				next, ok = l.expires, true
			}
		}
	}
	return next, ok
}

// prune removes expired leases.
func (a *allowance) prune(now time.Time) {
	isExpired := func(l quotaLease) bool { return l.expired(now) }
	a.leased = slices.DeleteFunc(a.leased, isExpired)
	a.granted = slices.DeleteFunc(a.granted, isExpired)
}

// addGranted records a granted lease and removes those that it covers.
func (a *allowance) addGranted(granted quotaLease) {
	a.granted = slices.DeleteFunc(a.granted, func(l quotaLease) bool { return granted.covers(l) })
	a.granted = append(a.granted, granted)
}

// capGranted limits the leases granted in a lessee's calls before the given one to what is kept of
// them. They are then merged into one, with the largest amounts and the latest expiry: leases of
// tasks in flight last long, and one is granted every second.
func (a *allowance) capGranted(lessee string, call uint64, kept amounts) {
	merged := quotaLease{peer: lessee}
	a.granted = slices.DeleteFunc(a.granted, func(l quotaLease) bool {
		if l.peer != lessee || l.call >= call {
			return false
		}
		merged.call = max(merged.call, l.call)
		merged.amounts = merged.max(l.min(kept))
		merged.expires = later(merged.expires, l.expires)
		merged.inFlightExpires = later(merged.inFlightExpires, l.inFlightExpires)
		return true
	})
	if !merged.negligible() {
		a.granted = append(a.granted, merged)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
