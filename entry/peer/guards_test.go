package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"almondstand.dev/entry/member"
	"almondstand.dev/wire/wirev1"
)

// fakeGuards implements Guards for a joining entry.
type fakeGuards struct {
	mu        sync.Mutex
	known     []*wirev1.GuardHint
	contacted []*wirev1.GuardHint
	// hold keeps ConnectHints from returning.
	hold chan struct{}
}

func (g *fakeGuards) GuardHintsFor(*wirev1.EntryInfo) ([]*wirev1.GuardHint, bool) {
	return g.known, true
}

func (g *fakeGuards) ConnectHints(ctx context.Context, guards []*wirev1.GuardHint) {
	g.mu.Lock()
	g.contacted = append(g.contacted, guards...)
	g.mu.Unlock()
	if g.hold == nil {
		return
	}
	select {
	case <-g.hold:
	case <-ctx.Done():
	}
}

func (g *fakeGuards) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.contacted)
}

func guardHints(ids ...string) []*wirev1.GuardHint {
	var all []*wirev1.GuardHint
	for _, id := range ids {
		all = append(all, &wirev1.GuardHint{
			GuardId: id, GuardIncarnation: 7, Address: "10.1.0.21:7101", Zone: "zagreb", Service: "teardown",
		})
	}
	return all
}

// A new entry starts while the store is down. Its seed is a peer that knows guards. It
// must accept no work before it has contacted them, and must accept work afterwards.
func TestNewEntryContactsItsPeersGuardsBeforeItServes(t *testing.T) {
	s := newStore(t)
	peer := newEntry(t, s, "e1", options{guards: &fakeGuards{known: guardHints("g1", "g2")}})
	apply(t, peer, sample(50))
	eventually(t, "the peer serves", peer.serves)

	guards := &fakeGuards{hold: make(chan struct{})}
	fresh := newEntry(t, s, "e2", options{guards: guards, noStore: true, seeds: []string{peer.info.Address}})
	eventually(t, "the guards are being contacted", func() bool { return guards.count() == 2 })
	eventually(t, "it has contracts", fresh.peers.hasContracts)
	// Evaluated at its start time, so that the limit for slow guards has not passed.
	assert.Assert(t, !fresh.peers.guardsContacted(fresh.peers.started))
	close(guards.hold)
	eventually(t, "it serves", fresh.serves)
	assert.Assert(t, fresh.peers.guards.settled.Load())
	assert.Equal(t, guards.count(), 2, "each name contacted once")
}

// The guards listed by a peer do not answer. New work is delayed only up to the limit;
// once work was accepted, newly listed guards do not delay it again.
func TestSlowGuardsDelayServiceForABoundedTime(t *testing.T) {
	p := joiningPeers(t)
	assert.Assert(t, !p.guardsContacted(p.started.Add(guardContactLimit-time.Nanosecond)))
	assert.Assert(t, p.guardsContacted(p.started.Add(guardContactLimit)))
	assert.Assert(t, p.guardsContacted(p.started))
}

// In a new system an entry has no peer, or its peers know no guard either. This must not
// stop it from serving, so that callers learn why their requests are rejected.
func TestNoGuardsAnywhereDoNotDelayService(t *testing.T) {
	alone := New(Options{Members: member.New(member.Options{Self: member.Info{ID: "e1", Incarnation: 1}}),
		Quota: newEntry(t, newStore(t), "q", options{}).quota, Guards: &fakeGuards{}})
	assert.Assert(t, alone.guardsContacted(alone.started))

	s := newStore(t)
	first := newEntry(t, s, "e1", options{guards: &fakeGuards{}})
	apply(t, first, sample(50))
	eventually(t, "the first serves", first.serves)
	second := newEntry(t, s, "e2", options{guards: &fakeGuards{}, seeds: []string{first.info.Address}})
	eventually(t, "asked in vain", second.peers.guards.settled.Load)
	eventually(t, "the second serves", second.serves)
}

// A list of guards arrives truncated or modified. Nothing of it may be used.
func TestIncompleteGuardListIsRejected(t *testing.T) {
	whole := func() *wirev1.FetchGuardsResponse {
		all := guardHints("g1", "g2")
		return &wirev1.FetchGuardsResponse{Guards: all, Total: 2, Digest: guardsDigest(all)}
	}
	assert.NilError(t, checkGuards(whole()))
	for name, change := range map[string]func(*wirev1.FetchGuardsResponse){
		"one is missing":     func(r *wirev1.FetchGuardsResponse) { r.Guards = r.Guards[:1] },
		"one is another":     func(r *wirev1.FetchGuardsResponse) { r.Guards[1].Address = "10.1.0.22:7101" },
		"moved letters":      func(r *wirev1.FetchGuardsResponse) { r.Guards[0].Zone, r.Guards[0].Service = "zagrebt", "eardown" },
		"without the digest": func(r *wirev1.FetchGuardsResponse) { r.Digest = nil },
		"without the number": func(r *wirev1.FetchGuardsResponse) { r.Total = 0 },
	} {
		r := whole()
		change(r)
		assert.ErrorIs(t, checkGuards(r), errGuardsIncomplete, name)
	}
}

// A peer calls its list complete only when it has run long enough for every guard to
// announce itself, or got the list from entries that had. Otherwise entries that
// restarted at the same time would accept each other's empty lists as complete.
func TestListOfANewPeerIsNotComplete(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := joiningPeers(t, func(o *Options) { o.Now = func() time.Time { return now } })
	caller := &wirev1.EntryInfo{Id: "e9", Incarnation: 1}
	assert.Assert(t, !p.guardsResponse(caller).GetComplete())
	p.guards.done.Store(true)
	assert.Assert(t, p.guardsResponse(caller).GetComplete())
	p.guards.done.Store(false)
	now = now.Add(announcedWithin)
	assert.Assert(t, p.guardsResponse(caller).GetComplete())
}

// The size of a list for a whole fleet; docs/design/membership.md quotes it.
func TestSizeOfAListOfGuards(t *testing.T) {
	var all []*wirev1.GuardHint
	for i := range 943 {
		all = append(all, &wirev1.GuardHint{
			GuardId: "guard-zagreb-" + string(rune('a'+i%26)) + "-100", GuardIncarnation: 1_767_225_600_000_000_000 + uint64(i),
			Address: "10.100.100.100:7101", Zone: "zagreb-dubrava", Service: "teardown",
		})
	}
	size := proto.Size(&wirev1.FetchGuardsResponse{Guards: all, Total: 943, Digest: guardsDigest(all)})
	t.Logf("943 guards: %d bytes", size)
	assert.Assert(t, size < 100_000, "%d bytes", size)
}

// A caller without an id or incarnation, or a process with this entry's own id, is
// rejected.
func TestFetchGuardsRequiresACaller(t *testing.T) {
	s := &server{p: joiningPeers(t)}
	for _, from := range []*wirev1.EntryInfo{nil, {Id: "e9"}, {Incarnation: 1}, {Id: "e1", Incarnation: 2}} {
		_, err := s.FetchGuards(t.Context(), connect.NewRequest(&wirev1.FetchGuardsRequest{From: from}))
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	}
}

// joiningPeers is an entry that knows one peer and has asked nobody.
func joiningPeers(t *testing.T, change ...func(*Options)) *Peers {
	t.Helper()
	e := newEntry(t, newStore(t), "q", options{})
	members := member.New(member.Options{Self: member.Info{ID: "e1", Incarnation: 1, Address: "10.1.0.11:7001"}})
	members.MergeGossip([]*wirev1.EntryInfo{{Id: "e2", Incarnation: 1, Address: "10.1.0.12:7001", HeardMs: 1}})
	o := Options{Members: members, Quota: e.quota, Guards: &fakeGuards{}}
	for _, c := range change {
		c(&o)
	}
	return New(o)
}
