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

// membershipView returns the view of a holder whose last contact with its peers was at the given
// time.
func membershipView(contact time.Time, peers ...PeerID) MembershipView {
	s := MembershipView{Peers: peers, Live: map[PeerID]bool{}, SelfListed: true, LastContact: contact}
	for _, p := range peers {
		s.Live[p] = true
	}
	return s
}

func countedSince(askedAt time.Time, since time.Duration) Confirmation {
	return Confirmation{AskedAt: askedAt, Counted: true, CountedFor: since, MembershipComplete: true, Holding: true}
}

// A new entry finds two others. It holds no share until both count it. A client of whose limits
// one of them still holds more than its share waits until that has ended.
func TestNewEntryWaitsForEveryPeer(t *testing.T) {
	h := NewHolder(0, nil)
	h.Confirm(peerA, countedSince(start, 0))
	assert.Assert(t, !h.Decide(start, membershipView(start, peerA, peerB)).Holding)
	c := countedSince(start, 0)
	c.Unsettled = []string{client}
	h.Confirm(peerB, c)
	s := h.Decide(start, membershipView(start, peerA, peerB))
	assert.Assert(t, s.Holding && s.PendingClients[client] && s.Entries == 3)
	later := start.Add(time.Second)
	h.Confirm(peerB, countedSince(later, time.Second))
	s = h.Decide(later, membershipView(later, peerA, peerB))
	assert.Assert(t, s.Holding && !s.PendingClients[client])
	assert.Assert(t, h.Joined())
}

// An entry is paused for 30 s; the others consider it gone and divide its share among them. When
// it resumes it must suspend its share before using it. The others count it only from then on, so
// it joins again like a new entry.
func TestPausedEntryRejoins(t *testing.T) {
	h := NewHolder(0, nil)
	h.Confirm(peerA, countedSince(start, time.Minute))
	assert.Assert(t, h.Decide(start, membershipView(start, peerA)).Holding)
	resumeAt := start.Add(30 * time.Second)
	assert.Assert(t, !h.Decide(resumeAt, membershipView(start, peerA)).Holding, "no contact since")
	assert.Assert(t, !h.Decide(resumeAt, membershipView(resumeAt, peerA)).Holding, "contact, but no reply yet")
	c := countedSince(resumeAt, 0)
	c.Unsettled = []string{client}
	h.Confirm(peerA, c)
	s := h.Decide(resumeAt, membershipView(resumeAt, peerA))
	assert.Assert(t, !s.Holding || s.PendingClients[client], "counted again, but not settled")
}

// The same pause, but the other entry had no contact with the store and never stopped counting the
// paused one, which resumes its share at the first reply.
func TestPausedEntryStillCountedResumes(t *testing.T) {
	h := NewHolder(0, nil)
	h.Confirm(peerA, countedSince(start, time.Minute))
	assert.Assert(t, h.Decide(start, membershipView(start, peerA, peerB)).Holding == false)
	h.Confirm(peerB, countedSince(start, time.Minute))
	assert.Assert(t, h.Decide(start, membershipView(start, peerA, peerB)).Holding)
	resumeAt := start.Add(30 * time.Second)
	h.Confirm(peerA, countedSince(resumeAt, 90*time.Second))
	s := membershipView(resumeAt, peerA, peerB)
	s.Live[peerB] = false
	assert.Assert(t, h.Decide(resumeAt, s).Holding)
}

// isolatedHolder returns a Holder with two peers whose share is suspended, and the time of the
// suspension.
func isolatedHolder(t *testing.T) (*Holder, time.Time) {
	t.Helper()
	h := NewHolder(0, nil)
	h.Confirm(peerA, countedSince(start, time.Minute))
	h.Confirm(peerB, countedSince(start, time.Minute))
	assert.Assert(t, h.Decide(start, membershipView(start, peerA, peerB)).Holding)
	now := start.Add(DefaultIsolation + time.Second)
	assert.Assert(t, !h.Decide(now, membershipView(start, peerA, peerB)).Holding)
	return h, now
}

// Guards against a suspended share that never resumes because the replies of several peers do not
// start at the same instant.
func TestSuspendedShareResumesWithRepliesOfAllPeers(t *testing.T) {
	h, now := isolatedHolder(t)
	first, second := now.Add(time.Millisecond), now.Add(2*time.Millisecond)
	h.Confirm(peerA, countedSince(first, 2*time.Minute))
	assert.Assert(t, !h.Decide(first, membershipView(first, peerA, peerB)).Holding, "one of two replies")
	h.Confirm(peerB, countedSince(second, 2*time.Minute))
	assert.Assert(t, h.Decide(second, membershipView(second, peerA, peerB)).Holding)
}

// Guards against jobs rejected as over quota after a short isolation, because the token bucket
// starts empty, and against tokens of a share that other entries have used meanwhile.
func TestTokensOutlastSuspension(t *testing.T) {
	for _, tt := range []struct {
		name    string
		counted time.Duration
		want    bool
	}{
		{name: "counted without interruption", counted: 2 * time.Minute, want: true},
		{name: "counted again", counted: 0, want: false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h, now := isolatedHolder(t)
			table := New(Options{})
			table.SetShare(start, Share{Entries: 3, Holding: true, Joins: 1})
			table.SetContracts(start, testContract())
			table.SetShare(now, h.Decide(now, membershipView(start, peerA, peerB)))
			assert.Assert(t, !table.Admit(now, client, 1).OK, "suspended")
			now = now.Add(time.Millisecond)
			h.Confirm(peerA, countedSince(now, tt.counted))
			h.Confirm(peerB, countedSince(now, tt.counted))
			share := h.Decide(now, membershipView(now, peerA, peerB))
			assert.Assert(t, share.Holding)
			table.SetShare(now, share)
			assert.Equal(t, table.Admit(now, client, 10).OK, tt.want)
		})
	}
}

// Guards against resuming a share because of replies from before a second isolation.
func TestRepliesBeforeASecondIsolationDoNotCount(t *testing.T) {
	h, now := isolatedHolder(t)
	h.Confirm(peerA, countedSince(now, 2*time.Minute))
	assert.Assert(t, !h.Decide(now, membershipView(now, peerA, peerB)).Holding)
	again := now.Add(DefaultIsolation + time.Second)
	assert.Assert(t, !h.Decide(again, membershipView(now, peerA, peerB)).Holding)
	h.Confirm(peerB, countedSince(again, 2*time.Minute))
	assert.Assert(t, !h.Decide(again, membershipView(again, peerA, peerB)).Holding)
	h.Confirm(peerA, countedSince(again, 2*time.Minute))
	assert.Assert(t, h.Decide(again, membershipView(again, peerA, peerB)).Holding)
}

// A lessor is replaced by a new process with the same id, which joins with a full share and does
// not know what its predecessor granted. The lessee must drop the lease before it counts the new
// process.
func TestLeasesOfReplacedLessorAreDropped(t *testing.T) {
	lessor, lessee := newTable(2), newTable(2)
	for range 3 {
		lessee.Admit(start, client, 15)
	}
	loans := lessor.GrantLeases(start, "b#1", lessee.Demands(start, "a#1"))
	lessee.AcquireLeases(start, "a#1", loans, start)
	assert.Assert(t, lessee.Statuses(start)[0].InFlight > 15)
	lessee.DropLeases(start, "a#1")
	assert.Equal(t, lessee.Statuses(start)[0].InFlight, 15.0)
}

// The load of one client moves from one entry to another. Within a few seconds the second entry
// must get at least 90 % of the rate, although the first had leased all of it.
func TestShareFollowsMovedLoad(t *testing.T) {
	m := newCluster(4)
	admitted := 0
	rounds(m.tables, 40, func(now time.Time) {
		at, since := "e0", now.Sub(start)
		if since > 15*time.Second {
			at = "e1"
		}
		for range 4 {
			d := m.tables[at].Admit(now, client, 5)
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

// Four entries get equal load that adds up to 120 % of the contract. Together they must admit
// nearly the whole contract.
func TestEvenOverload(t *testing.T) {
	m := newCluster(4)
	admitted := 0
	rounds(m.tables, 20, func(now time.Time) {
		for _, name := range m.names {
			for range 3 {
				if d := m.tables[name].Admit(now, client, 1); d.OK {
					d.Release()
					admitted++
				}
			}
		}
	})
	assert.Assert(t, admitted >= 95*20, "admitted %d in 20 s at 100 a second", admitted)
}

// A client's jobs are as large as its burst, and the load balancer spreads them over all four
// entries. No share can hold such a job, so each entry would reject it and keep its part forever.
// The entries take turns in collecting the shares, and jobs are admitted.
func TestJobsLargerThanAShareAtEveryEntry(t *testing.T) {
	m := newCluster(4)
	c := testContract()
	c.InFlight = c.Burst
	for _, table := range m.tables {
		table.SetContracts(start, c)
	}
	admitted := map[string]int{}
	rounds(m.tables, 120, func(now time.Time) {
		for _, name := range m.names {
			if d := m.tables[name].Admit(now, client, c.Burst); d.OK {
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
