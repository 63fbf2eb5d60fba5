package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	peerA = PeerID{ID: "a", Incarnation: 1}
	peerB = PeerID{ID: "b", Incarnation: 1}
)

// around is what a holder sees at a time, in touch since then.
func around(contact time.Time, peers ...PeerID) Surroundings {
	s := Surroundings{Peers: peers, Live: map[PeerID]bool{}, Rooted: true, Contact: contact}
	for _, p := range peers {
		s.Live[p] = true
	}
	return s
}

func counted(asked time.Time, since time.Duration) Confirmation {
	return Confirmation{AskedAt: asked, Counted: true, CountedFor: since, Rooted: true, Holding: true}
}

// A newcomer finds two entries. It holds nothing until both count it; a customer
// of whose limits one of them still holds more waits until that is over.
func TestNewcomerWaitsForEveryPeer(t *testing.T) {
	h := NewHolder(0, nil)
	h.Confirm(peerA, counted(start, 0))
	assert.Assert(t, !h.Decide(start, around(start, peerA, peerB)).Holding)
	c := counted(start, 0)
	c.Unsettled = []string{customer}
	h.Confirm(peerB, c)
	s := h.Decide(start, around(start, peerA, peerB))
	assert.Assert(t, s.Holding && s.Waiting[customer] && s.Entries == 3)
	later := start.Add(time.Second)
	h.Confirm(peerB, counted(later, time.Second))
	s = h.Decide(later, around(later, peerA, peerB))
	assert.Assert(t, s.Holding && !s.Waiting[customer])
	assert.Assert(t, h.Joined())
}

// An entry is frozen for 30 s. The others find it gone and share its part. When it
// thaws it gives its share up before it may use it, and, since they count it anew
// only since now, it joins again like a newcomer.
func TestFrozenEntryJoinsAgain(t *testing.T) {
	h := NewHolder(0, nil)
	h.Confirm(peerA, counted(start, time.Minute))
	assert.Assert(t, h.Decide(start, around(start, peerA)).Holding)
	thaw := start.Add(30 * time.Second)
	assert.Assert(t, !h.Decide(thaw, around(start, peerA)).Holding, "no contact since")
	assert.Assert(t, !h.Decide(thaw, around(thaw, peerA)).Holding, "contact, but no reply yet")
	c := counted(thaw, 0)
	c.Unsettled = []string{customer}
	h.Confirm(peerA, c)
	s := h.Decide(thaw, around(thaw, peerA))
	assert.Assert(t, !s.Holding || s.Waiting[customer], "counted anew, and not settled")
}

// The same freeze, but the other entry had no contact with the store and never
// counted the frozen one out. It goes on with its share at the first reply.
func TestFrozenEntryThatWasKept(t *testing.T) {
	h := NewHolder(0, nil)
	h.Confirm(peerA, counted(start, time.Minute))
	assert.Assert(t, h.Decide(start, around(start, peerA, peerB)).Holding == false)
	h.Confirm(peerB, counted(start, time.Minute))
	assert.Assert(t, h.Decide(start, around(start, peerA, peerB)).Holding)
	thaw := start.Add(30 * time.Second)
	h.Confirm(peerA, counted(thaw, 90*time.Second))
	s := around(thaw, peerA, peerB)
	s.Live[peerB] = false
	assert.Assert(t, h.Decide(thaw, s).Holding)
}

// isolatedHolder is one with two peers that has suspended its share at the time returned.
func isolatedHolder(t *testing.T) (*Holder, time.Time) {
	t.Helper()
	h := NewHolder(0, nil)
	h.Confirm(peerA, counted(start, time.Minute))
	h.Confirm(peerB, counted(start, time.Minute))
	assert.Assert(t, h.Decide(start, around(start, peerA, peerB)).Holding)
	now := start.Add(DefaultIsolation + time.Second)
	assert.Assert(t, !h.Decide(now, around(start, peerA, peerB)).Holding)
	return h, now
}

// Guards against a suspended share that is never resumed because the replies of several
// peers don't begin in the same instant.
func TestSuspendedShareResumesWithRepliesOfAllPeers(t *testing.T) {
	h, now := isolatedHolder(t)
	first, second := now.Add(time.Millisecond), now.Add(2*time.Millisecond)
	h.Confirm(peerA, counted(first, 2*time.Minute))
	assert.Assert(t, !h.Decide(first, around(first, peerA, peerB)).Holding, "one of two replies")
	h.Confirm(peerB, counted(second, 2*time.Minute))
	assert.Assert(t, h.Decide(second, around(second, peerA, peerB)).Holding)
}

// Guards against a share that is resumed by replies from before a second isolation.
func TestRepliesBeforeASecondIsolationDoNotCount(t *testing.T) {
	h, now := isolatedHolder(t)
	h.Confirm(peerA, counted(now, 2*time.Minute))
	assert.Assert(t, !h.Decide(now, around(now, peerA, peerB)).Holding)
	again := now.Add(DefaultIsolation + time.Second)
	assert.Assert(t, !h.Decide(again, around(now, peerA, peerB)).Holding)
	h.Confirm(peerB, counted(again, 2*time.Minute))
	assert.Assert(t, !h.Decide(again, around(again, peerA, peerB)).Holding)
	h.Confirm(peerA, counted(again, 2*time.Minute))
	assert.Assert(t, h.Decide(again, around(again, peerA, peerB)).Holding)
}

// A lender is replaced by a new process of its id, which joins with a full share
// and does not know what its predecessor lent. The borrower drops the loan before
// it counts the new one.
func TestLoansOfAReplacedLenderAreDropped(t *testing.T) {
	lender, borrower := newTable(2), newTable(2)
	for range 3 {
		borrower.Admit(start, customer, 15)
	}
	loans := lender.Lend(start, "b#1", borrower.Demand(start, "a#1"))
	borrower.Borrow(start, "a#1", loans, start)
	assert.Assert(t, borrower.Statuses(start)[0].InFlight > 15)
	borrower.Drop(start, "a#1")
	assert.Equal(t, borrower.Statuses(start)[0].InFlight, 15.0)
}

// The load of one customer moves from one entry to another. Within a few seconds
// the second one gets at least 90 % of the rate, though the first had borrowed all.
func TestLoadThatMoves(t *testing.T) {
	m := newMachine(4)
	admitted := 0
	rounds(m.tables, 40, func(now time.Time) {
		at, since := "e0", now.Sub(start)
		if since > 15*time.Second {
			at = "e1"
		}
		for range 4 {
			d := m.tables[at].Admit(now, customer, 5)
			if !d.OK {
				continue
			}
			d.Release()
			if since > 22*time.Second {
				admitted += 5
			}
		}
	})
	assert.Assert(t, float64(admitted) >= 0.9*100*18, "admitted %d in 18 s at 100 a second", admitted)
}

// Four entries get equal load, in sum 120 % of the contract. Together they admit
// nearly all that was bought.
func TestEvenOverload(t *testing.T) {
	m := newMachine(4)
	admitted := 0
	rounds(m.tables, 20, func(now time.Time) {
		for _, name := range m.names {
			for range 3 {
				if d := m.tables[name].Admit(now, customer, 1); d.OK {
					d.Release()
					admitted++
				}
			}
		}
	})
	assert.Assert(t, admitted >= 95*20, "admitted %d in 20 s at 100 a second", admitted)
}

// A customer's jobs are as large as its burst, and the balancer brings them to all
// four entries. No share can hold one: each entry refuses and would keep its part
// for ever. They take turns in gathering the shares, and jobs get through.
func TestJobsLargerThanAShareAtEveryEntry(t *testing.T) {
	m := newMachine(4)
	c := testContract()
	c.InFlight = c.Burst
	for _, table := range m.tables {
		table.SetContracts(start, c)
	}
	admitted := map[string]int{}
	rounds(m.tables, 120, func(now time.Time) {
		for _, name := range m.names {
			if d := m.tables[name].Admit(now, customer, c.Burst); d.OK {
				d.Release()
				admitted[name]++
			}
		}
	})
	total := 0
	for _, n := range admitted {
		total += n
	}
	t.Logf("admitted %v", admitted)
	assert.Assert(t, total >= 255, "%d jobs of 40 in 120 s, at 100 tasks a second: %v", total, admitted)
	assert.Assert(t, len(admitted) > 1)
}
