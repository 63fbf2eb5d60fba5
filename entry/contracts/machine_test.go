package contracts_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondstand.dev/contract"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/platform/etcd"
	"almondstand.dev/standin/store"
)

// entries is the number of entries in the state machine.
const entries = 3

// machine drives the writers and registries of several entries against one fake store,
// and compares them with the oracle below. Every change has its own rate, so the rate
// identifies the change.
type machine struct {
	store *store.Server
	nodes []*testEntry
	rate  float64
	// losingAnswers is true while responses to writes are going to be lost.
	losingAnswers bool

	oracle oracle
}

// oracle records the result that each change's writer received.
type oracle struct {
	// accepted changes are in force or replaced by a newer accepted one.
	accepted map[float64]int64
	// rejected changes were not made and never will be.
	rejected map[float64]bool
	// newest is the accepted change with the highest revision, by client.
	newest map[string]accepted
	// held is the highest revision seen in force, by entry and client.
	held map[string]int64
}

type accepted struct {
	revision int64
	rate     float64
	retired  bool
}

var clients = []string{"karlovac", "osijek"}

func newMachine(t *rapid.T, s *store.Server) *machine {
	m := &machine{store: s, oracle: oracle{
		accepted: map[float64]int64{},
		rejected: map[float64]bool{},
		newest:   map[string]accepted{},
		held:     map[string]int64{},
	}}
	for range entries {
		m.nodes = append(m.nodes, newNode(t, s))
	}
	return m
}

func newNode(t *rapid.T, s *store.Server) *testEntry {
	client, err := etcd.New(etcd.Options{
		Addresses:    []string{s.Address},
		RetryBackoff: time.Millisecond,
		Timeout:      30 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	registry := contracts.New(contracts.Options{Store: client, MinPause: time.Millisecond, MaxPause: time.Millisecond})
	writer := contracts.NewWriter(contracts.WriterOptions{Store: client, Registry: registry, Timeout: 30 * time.Second})
	return &testEntry{store: s, client: client, registry: registry, writer: writer}
}

func (m *machine) node(t *rapid.T) *testEntry {
	return m.nodes[rapid.IntRange(0, entries-1).Draw(t, "entry")]
}

func client(t *rapid.T) string { return rapid.SampledFrom(clients).Draw(t, "customer") }

// precondition draws the revision in force, none, or any.
func precondition(t *rapid.T, b *testEntry, name string) contracts.Precondition {
	switch rapid.IntRange(0, 3).Draw(t, "expect") {
	case 0:
		return contracts.Precondition{Revision: 0}
	case 1:
		return contracts.Precondition{Revision: b.registry.HeldRevisions()[contracts.Key(name)]}
	}
	return anyRevision
}

// recordResult records the result that the writer returned for a change.
func (m *machine) recordResult(t *rapid.T, c contract.Contract, written contracts.WriteResult, err error) {
	switch {
	case err == nil:
		if written.Revision <= m.oracle.newest[c.Client].revision && !written.Superseded {
			t.Fatalf("accepted at %d, after %d", written.Revision, m.oracle.newest[c.Client].revision)
		}
		m.oracle.accepted[c.Rate] = written.Revision
		if written.Revision > m.oracle.newest[c.Client].revision {
			m.oracle.newest[c.Client] = accepted{written.Revision, c.Rate, c.State == contract.Retired}
		}
	case errors.Is(err, contracts.ErrConflict):
		m.oracle.rejected[c.Rate] = true
	default:
		// The store answers, although some responses are lost: no outcome may stay unknown.
		t.Fatalf("apply: %v", err)
	}
}

func (m *machine) change(name string) contract.Contract {
	m.rate++
	return sample(name, m.rate)
}

func (m *machine) Apply(t *rapid.T) {
	b, c := m.node(t), m.change(client(t))
	written, err := b.writer.Apply(context.Background(), c, precondition(t, b, c.Client))
	m.recordResult(t, c, written, err)
}

// Race makes two entries change one contract at the same time.
func (m *machine) Race(t *rapid.T) {
	name := client(t)
	first, second := m.change(name), m.change(name)
	expected := contracts.Precondition{Revision: m.oracle.newest[name].revision}
	claimed := m.claimedRevision(name)
	var wait sync.WaitGroup
	var results [2]contracts.WriteResult
	var errs [2]error
	for i, c := range []contract.Contract{first, second} {
		wait.Go(func() { results[i], errs[i] = m.nodes[i].writer.Apply(context.Background(), c, expected) })
	}
	wait.Wait()
	if errs[0] == nil && errs[1] == nil {
		t.Fatalf("both changes of revision %d were accepted", expected.Revision)
	}
	var conflict *contracts.ConflictError
	for i, err := range errs {
		winner := 1 - i
		if errs[winner] == nil && errors.As(err, &conflict) && conflict.InForce.Revision != results[winner].Revision {
			t.Fatalf("the conflict contains revision %d, not %d", conflict.InForce.Revision, results[winner].Revision)
		}
	}
	switch {
	case claimed > expected.Revision:
		m.checkBothConflicts(t, claimed, errs)
	case !m.losingAnswers && errs[0] != nil && errs[1] != nil:
		t.Fatalf("neither change was accepted: %v, %v", errs[0], errs[1])
	}
	m.recordResult(t, first, results[0], errs[0])
	m.recordResult(t, second, results[1], errs[1])
}

// checkBothConflicts checks that both writers returned a conflict with the revision that
// an unreadable value claims: the value may be an accepted change of a newer release,
// and neither operator has agreed to replace it.
func (m *machine) checkBothConflicts(t *rapid.T, claimed int64, errs [2]error) {
	for _, err := range errs {
		var conflict *contracts.ConflictError
		if !errors.As(err, &conflict) || conflict.InForce.Revision != claimed {
			t.Fatalf("unreadable value claims revision %d, the writer returned %v", claimed, err)
		}
	}
}

// claimedRevision is the revision of an unreadable value in the store, or zero.
func (m *machine) claimedRevision(name string) int64 {
	value, _ := m.store.Value(contracts.Key(name))
	var claim struct {
		Revision int64 `json:"revision"`
	}
	if !m.unreadable(name) || json.Unmarshal(value, &claim) != nil {
		return 0
	}
	return claim.Revision
}

func (m *machine) Retire(t *rapid.T) {
	b, name := m.node(t), client(t)
	before := m.oracle.newest[name]
	stored := m.storeHolds(name, before.revision)
	written, err := b.writer.Retire(context.Background(), name, anyRevision)
	switch {
	case before.revision == 0:
		if !errors.Is(err, contracts.ErrNotFound) {
			t.Fatalf("retire of nothing: %v", err)
		}
	case err != nil:
		t.Fatalf("retire: %v", err)
	// A version that the store has lost is written again.
	case written.Unchanged != (before.retired && stored):
		t.Fatalf("retired before: %v, in the store: %v, unchanged: %v", before.retired, stored, written.Unchanged)
	case written.Unchanged && written.Revision != before.revision:
		t.Fatalf("unchanged at %d, was %d", written.Revision, before.revision)
	default:
		m.oracle.newest[name] = accepted{written.Revision, before.rate, true}
	}
}

// storeHolds reports whether the store holds the revision.
func (m *machine) storeHolds(name string, revision int64) bool {
	value, _ := m.store.Value(contracts.Key(name))
	versions, err := contracts.DecodeRecord(contracts.Key(name), value)
	return err == nil && versions[0].Revision == revision
}

func (m *machine) LoseAnswers(t *rapid.T) {
	m.store.LoseResponses(rapid.IntRange(1, 3).Draw(t, "answers"))
	m.losingAnswers = true
}

func (m *machine) BadValue(t *rapid.T) {
	value := rapid.SampledFrom([]string{"", "{", "null", `{"format":2}`, `{"format":1,"revision":99,"contract":{}}`}).Draw(t, "value")
	m.syncAll()
	m.store.Put(contracts.Key(client(t)), []byte(value))
}

func (m *machine) Delete(t *rapid.T) {
	m.syncAll()
	m.store.Delete(contracts.Key(client(t)))
}

func (m *machine) Save(*rapid.T) { m.store.Save() }

func (m *machine) Restore(*rapid.T) {
	m.syncAll()
	m.store.Restore()
}

// syncAll lets all entries read everything that was accepted. An entry that has not seen
// a change which the store lost overwrites that change; the design documents this limit,
// and this test does not cover it.
func (m *machine) syncAll() {
	for _, b := range m.nodes {
		b.registry.Poll(context.Background())
		for _, peer := range m.nodes {
			b.registry.Merge(peer.registry.Snapshot())
		}
	}
}

func (m *machine) Poll(t *rapid.T) { m.node(t).registry.Poll(context.Background()) }

func (m *machine) Repair(t *rapid.T) {
	b := m.node(t)
	b.registry.Poll(context.Background())
	b.registry.RepairAll(context.Background())
}

func (m *machine) FromPeer(t *rapid.T) {
	b, peer := m.node(t), m.node(t)
	if _, err := b.registry.MergeResponse(peer.registry.BuildResponse(nil)); err != nil {
		t.Fatal(err)
	}
}

// Restart replaces an entry by a new one that has read the store and fetched from a
// peer.
func (m *machine) Restart(t *rapid.T) {
	i := rapid.IntRange(0, entries-1).Draw(t, "entry")
	m.syncAll()
	m.nodes[i].client.Close()
	m.nodes[i] = newNode(t, m.store)
	for _, name := range clients {
		delete(m.oracle.held, fmt.Sprint(i, name))
	}
	m.syncAll()
}

// Check compares every entry with the oracle.
func (m *machine) Check(t *rapid.T) {
	for i, b := range m.nodes {
		for _, name := range clients {
			m.checkEntry(t, fmt.Sprint(i, name), b, name)
		}
	}
}

func (m *machine) checkEntry(t *rapid.T, slot string, b *testEntry, name string) {
	versions := b.registry.History(name)
	if len(versions) == 0 {
		if m.oracle.held[slot] > 0 {
			t.Fatalf("entry %s lost its contract", slot)
		}
		return
	}
	now := versions[0]
	if now.Revision < m.oracle.held[slot] {
		t.Fatalf("entry %s went back from %d to %d", slot, m.oracle.held[slot], now.Revision)
	}
	m.oracle.held[slot] = now.Revision
	for _, v := range versions {
		if m.oracle.rejected[v.Contract.Rate] {
			t.Fatalf("entry %s holds a change that was rejected", slot)
		}
		if m.oracle.accepted[v.Contract.Rate] == 0 {
			t.Fatalf("entry %s holds a change that nobody made", slot)
		}
	}
}

// finish lets the entries repair the store, and checks that the newest accepted change
// is in force everywhere and in the store.
func (m *machine) finish(t *rapid.T) {
	m.store.LoseResponses(0)
	m.syncAll()
	for _, b := range m.nodes {
		b.registry.Poll(context.Background())
		b.registry.RepairAll(context.Background())
	}
	fresh := newNode(t, m.store)
	defer fresh.client.Close()
	fresh.registry.Poll(context.Background())
	for _, name := range clients {
		want := m.oracle.newest[name]
		if want.revision == 0 {
			continue
		}
		for _, b := range m.nodes {
			m.checkNewest(t, b, name, want)
		}
		if !m.unreadable(name) {
			m.checkNewest(t, fresh, name, want)
		}
	}
}

// unreadable reports whether the store's value can't be decoded: the entries do not
// overwrite such a value.
func (m *machine) unreadable(name string) bool {
	value, _ := m.store.Value(contracts.Key(name))
	_, err := contracts.DecodeRecord(contracts.Key(name), value)
	return err != nil
}

func (m *machine) checkNewest(t *rapid.T, b *testEntry, name string, want accepted) {
	c, found := b.registry.ByClient(name)
	revision := b.registry.HeldRevisions()[contracts.Key(name)]
	if !found || revision != want.revision || c.Rate != want.rate || (c.State == contract.Retired) != want.retired {
		t.Fatalf("%s: in force is %v at %d, accepted was %v", name, c, revision, want)
	}
}

// TestMachine drives several entries through changes, concurrent writes, lost responses,
// invalid values, deletions and restores of the store. The results that writers returned
// must stay true: accepted changes are in force everywhere in the end and are never
// reverted, rejected ones are in force nowhere.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := store.Serve()
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		m := newMachine(t, s)
		defer func() {
			for _, b := range m.nodes {
				b.client.Close()
			}
		}()
		t.Repeat(rapid.StateMachineActions(m))
		m.finish(t)
	})
}
