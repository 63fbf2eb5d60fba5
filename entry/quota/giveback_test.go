package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/wire/wirev1"
)

// A lessee's sixth call is delayed and arrives after the seventh, and then the seventh is
// delivered again. The larger lease of the sixth call, which nobody holds, must not be counted in
// place of the seventh's: it counts as returned, while the other is in use.
func TestLateCallDoesNotReplaceNewerLease(t *testing.T) {
	lessor := newNamedTable("a", 2)
	call := func(number, rate uint64) []*wirev1.Demand {
		return []*wirev1.Demand{{Customer: client, Call: number, RateMilli: rate * milliPerTask, Lender: lessorKey("a")}}
	}
	lessor.GrantLeases(start, "b", call(7, 30))
	lessor.GrantLeases(start.Add(time.Second), "b", call(6, 40))
	lessor.StopGranting()
	lessor.GrantLeases(start.Add(time.Second), "b", call(7, 30))
	assert.Equal(t, lessor.Statuses(start.Add(time.Second))[0].Rate, 20.0)
}

// An entry drops the lease of a lessor that seemed to be gone, while tasks admitted on it are in
// flight, and then reaches the lessor again. It must not report that it keeps nothing: the lessor
// would use that part a second time.
func TestDroppedLeaseInUseIsNotReturned(t *testing.T) {
	lessor, lessee := newNamedTable("a", 2), newNamedTable("b", 2)
	exchange := func(now time.Time) {
		lessee.AcquireLeases(now, "a", lessor.GrantLeases(now, "b", lessee.Demands(now, "a")), now)
	}
	for range 2 {
		lessee.Admit(start, client, 15)
	}
	exchange(start)
	assert.Assert(t, lessee.Admit(start.Add(100*time.Millisecond), client, 10).OK, "admitted on the lease")
	lessee.DropLeases(start.Add(200*time.Millisecond), "a")
	lessor.StopGranting()
	exchange(start.Add(300 * time.Millisecond))
	assert.Assert(t, lessor.Statuses(start.Add(300 * time.Millisecond))[0].InFlight <= 5)
}

// An entry that had leased the whole contract leaves. Its lessors get their parts back with its
// last call, rather than a whole answer time later when the leases of tasks in flight expire.
func TestClosedTableReturnsLeases(t *testing.T) {
	lessor, lessee := newNamedTable("a", 2), newNamedTable("b", 2)
	for range 2 {
		lessee.Admit(start, client, 15)
	}
	lessee.AcquireLeases(start, "a", lessor.GrantLeases(start, "b", lessee.Demands(start, "a")), start)
	assert.Assert(t, lessor.Statuses(start)[0].InFlight < 15)
	lessee.Close()
	later := start.Add(time.Second)
	lessor.GrantLeases(later, "b", lessee.Demands(later, "a"))
	assert.Equal(t, lessor.Statuses(later)[0].InFlight, 15.0)
	assert.Equal(t, len(lessee.Demands(later, "a")), 0)
}
