package contracts_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"log/slog"
	"math"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/contract"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/platform/etcd"
	"almondstand.dev/standin/store"
	"almondstand.dev/wire/wirev1"
)

// testEntry is one entry's registry and writer with a fake store.
type testEntry struct {
	store    *store.Server
	client   *etcd.Client
	registry *contracts.Registry
	writer   *contracts.Writer
}

func newStore(t *testing.T) *store.Server {
	t.Helper()
	s, err := store.Serve()
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.SetProgressInterval(50 * time.Millisecond)
	return s
}

// newTestEntry adds an entry to the store.
func newTestEntry(t *testing.T, s *store.Server) *testEntry {
	t.Helper()
	return newTestEntryTimeout(t, s, 300*time.Millisecond)
}

// newTestEntryTimeout adds an entry with the given timeout for one response of the
// store.
func newTestEntryTimeout(t testing.TB, s *store.Server, timeout time.Duration) *testEntry {
	t.Helper()
	client, err := etcd.New(etcd.Options{
		Addresses:        []string{s.Address},
		Timeout:          3 * timeout,
		AttemptTimeout:   timeout,
		WatchIdleTimeout: timeout,
		RetryBackoff:     5 * time.Millisecond,
	})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	registry := contracts.New(contracts.Options{
		Store:       client,
		MinPause:    5 * time.Millisecond,
		MaxPause:    50 * time.Millisecond,
		RepairPause: 5 * time.Millisecond,
	})
	writer := contracts.NewWriter(contracts.WriterOptions{Store: client, Registry: registry, Timeout: 3 * time.Second})
	return &testEntry{store: s, client: client, registry: registry, writer: writer}
}

// run starts the registry's loop.
func (b *testEntry) run(t testing.TB) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- b.registry.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
}

func tokenDigest(token string) [32]byte { return sha256.Sum256([]byte(token)) }

func sample(client string, rate float64) contract.Contract {
	digest := tokenDigest("token of " + client)
	return contract.Contract{
		Client:       client,
		State:        contract.Active,
		Rate:         rate,
		Burst:        100,
		InFlight:     200,
		Priority:     5,
		AnswerTime:   contract.Duration(2 * time.Second),
		RunLimit:     contract.Duration(5 * time.Second),
		Objective:    0.999,
		Services:     []string{"teardown"},
		TokenDigests: []string{hex.EncodeToString(digest[:])},
	}
}

var anyRevision = contracts.Precondition{AnyRevision: true}

func (b *testEntry) apply(t *testing.T, c contract.Contract) int64 {
	t.Helper()
	written, err := b.writer.Apply(t.Context(), c, anyRevision)
	assert.NilError(t, err)
	return written.Revision
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// waitForRate waits until the client's contract has the rate at the entry.
func (b *testEntry) waitForRate(t *testing.T, client string, rate float64) {
	t.Helper()
	eventually(t, "contract of "+client+" in force", func() bool {
		c, found := b.registry.ByClient(client)
		return found && c.Rate == rate
	})
}

func TestChangeReachesEveryEntry(t *testing.T) {
	s := newStore(t)
	first, second := newTestEntry(t, s), newTestEntry(t, s)
	first.run(t)
	second.run(t)
	revision := first.apply(t, sample("karlovac", 10))
	second.waitForRate(t, "karlovac", 10)
	assert.Equal(t, second.registry.HeldRevisions()["contracts/karlovac"], revision)
	assert.Equal(t, second.registry.Digest(), first.registry.Digest())

	c, found := second.registry.ByToken(tokenDigest("token of karlovac"))
	assert.Assert(t, found)
	assert.Equal(t, c.Client, "karlovac")
	_, found = second.registry.ByToken(tokenDigest("another"))
	assert.Assert(t, !found)
}

// To the entry, a broken watch looks like a store without changes. A change made
// meanwhile must still arrive, without listing everything again.
func TestChangeDuringLostWatch(t *testing.T) {
	breakWatch := map[string]func(*store.Server){
		"cut":        func(s *store.Server) { s.CloseWatches() },
		"silent":     func(s *store.Server) { s.SilenceWatches() },
		"refused":    func(s *store.Server) { s.SetMode(store.CloseConnections); s.CloseWatches() },
		"store down": func(s *store.Server) { s.SetMode(store.Down); s.CloseWatches() },
		"store hung": func(s *store.Server) { s.SetMode(store.Silent); s.SilenceWatches() },
	}
	for name, act := range breakWatch {
		t.Run(name, func(t *testing.T) {
			s := newStore(t)
			b, other := newTestEntry(t, s), newTestEntry(t, s)
			b.run(t)
			other.apply(t, sample("karlovac", 10))
			b.waitForRate(t, "karlovac", 10)
			lists := s.Counts()["range"]
			act(s)
			b.waitForRate(t, "karlovac", 10)
			s.SetMode(store.Up)
			other.apply(t, sample("karlovac", 20))
			b.waitForRate(t, "karlovac", 20)
			// One range request is the other entry's, before its swap.
			assert.Equal(t, s.Counts()["range"], lists+1)
		})
	}
}

// The store compacts its history while the watch is broken. The changes in between can
// no longer be watched and must be listed.
func TestChangeBeforeCompaction(t *testing.T) {
	s := newStore(t)
	b, other := newTestEntry(t, s), newTestEntry(t, s)
	b.run(t)
	other.apply(t, sample("karlovac", 10))
	b.waitForRate(t, "karlovac", 10)
	s.SetMode(store.CloseConnections)
	s.CloseWatches()
	watches := s.Counts()["watch"]
	eventually(t, "a watch refused", func() bool { return s.Counts()["watch"] > watches })
	b.store.Put(contracts.Key("osijek"), encoded(t, other, sample("osijek", 30)))
	s.Compact()
	s.SetMode(store.Up)
	b.waitForRate(t, "osijek", 30)
}

// encoded returns the value that an entry would write for a client's first contract.
func encoded(t *testing.T, b *testEntry, c contract.Contract) []byte {
	t.Helper()
	s := newStore(t)
	other := newTestEntry(t, s)
	other.apply(t, c)
	value, _ := s.Value(contracts.Key(c.Client))
	return value
}

// The store is restored from a backup made before two changes. The entries must keep
// what they accepted and write it back, and a later change must take effect, although
// the store's own revisions are lower than before.
func TestStoreRestoredFromOldCopy(t *testing.T) {
	s := newStore(t)
	b, other := newTestEntry(t, s), newTestEntry(t, s)
	b.run(t)
	other.run(t)
	b.apply(t, sample("karlovac", 10))
	s.Save()
	for i := range 5 {
		b.apply(t, sample("karlovac", float64(20+i)))
	}
	b.apply(t, sample("osijek", 30))
	other.waitForRate(t, "karlovac", 24)
	other.waitForRate(t, "osijek", 30)
	assert.Assert(t, s.Restore())

	eventually(t, "the store to hold the newest again", func() bool {
		fresh := newTestEntry(t, s)
		fresh.registry.Poll(t.Context())
		return fresh.registry.Digest() == other.registry.Digest()
	})
	c, _ := b.registry.ByClient("karlovac")
	assert.Equal(t, c.Rate, 24.0)
	other.apply(t, sample("karlovac", 40))
	b.waitForRate(t, "karlovac", 40)
}

// Values are written to the store without going through the entries. The last valid
// contract must stay in force, and applying it again must repair the store.
func TestInvalidValueWrittenPastTheEntries(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	b.run(t)
	revision := b.apply(t, sample("karlovac", 10))
	s.Put(contracts.Key("karlovac"), []byte(`{"format":1}`))
	s.Put(contracts.Key("osijek"), []byte(`not JSON`))
	b.apply(t, sample("varazdin", 5)) // Comes after the bad values on the watch.
	b.waitForRate(t, "varazdin", 5)
	b.waitForRate(t, "karlovac", 10)
	_, found := b.registry.ByClient("osijek")
	assert.Assert(t, !found)

	written, err := b.writer.Apply(t.Context(), sample("karlovac", 20), contracts.Precondition{Revision: revision})
	assert.NilError(t, err)
	fresh := newTestEntry(t, s)
	fresh.registry.Poll(t.Context())
	fresh.waitForRate(t, "karlovac", 20)
	assert.Assert(t, written.Revision > revision)
}

// A record under another client's key would replace that client's limits and tokens with
// its own.
func TestRecordUnderAnotherKey(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	s.Put(contracts.Key("osijek"), encoded(t, b, sample("karlovac", 10)))
	assert.Assert(t, b.registry.Poll(t.Context()))
	assert.Equal(t, len(b.registry.All()), 0)
}

func TestDeletedKeyStaysInForceAndIsWrittenBack(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	b.run(t)
	b.apply(t, sample("karlovac", 10))
	s.Delete(contracts.Key("karlovac"))
	eventually(t, "the key to be written back", func() bool {
		value, _ := s.Value(contracts.Key("karlovac"))
		return value != nil
	})
	b.waitForRate(t, "karlovac", 10)
}

// An entry starts while the store is down. It must get the contracts from a peer,
// completely or not at all.
func TestNewEntryDuringOutage(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	b.apply(t, sample("karlovac", 10))
	b.apply(t, sample("osijek", 20))
	s.SetMode(store.Down)
	fresh := newTestEntry(t, s)
	assert.Assert(t, !fresh.registry.Poll(t.Context()))
	answer := b.registry.BuildResponse(&wirev1.FetchContractsRequest{Held: fresh.registry.HeldRevisions()})

	truncated := proto.Clone(answer).(*wirev1.FetchContractsResponse)
	truncated.Records = truncated.Records[:1]
	_, err := fresh.registry.MergeResponse(truncated)
	assert.ErrorIs(t, err, contracts.ErrIncomplete)
	changed := proto.Clone(answer).(*wirev1.FetchContractsResponse)
	changed.Records[0].Revision++
	_, err = fresh.registry.MergeResponse(changed)
	assert.ErrorIs(t, err, contracts.ErrIncomplete)
	assert.Equal(t, len(fresh.registry.All()), 0)

	applied, err := fresh.registry.MergeResponse(answer)
	assert.NilError(t, err)
	assert.Equal(t, applied, 2)
	assert.Equal(t, fresh.registry.Digest(), b.registry.Digest())
	again := b.registry.BuildResponse(&wirev1.FetchContractsRequest{Held: fresh.registry.HeldRevisions()})
	assert.Equal(t, len(again.Records), 0)
	_, err = fresh.registry.MergeResponse(again)
	assert.NilError(t, err)
}

// A response contains what the requesting entry does not hold. At an entry that holds
// less it is incomplete.
func TestPeerResponseForAnotherEntry(t *testing.T) {
	s := newStore(t)
	b, fresh := newTestEntry(t, s), newTestEntry(t, s)
	b.apply(t, sample("karlovac", 10))
	held := b.registry.HeldRevisions()
	b.apply(t, sample("osijek", 20))
	_, err := fresh.registry.MergeResponse(b.registry.BuildResponse(&wirev1.FetchContractsRequest{Held: held}))
	assert.ErrorIs(t, err, contracts.ErrIncomplete)
	assert.Equal(t, len(fresh.registry.All()), 0)
}

func TestOlderRecordFromPeerIsRejected(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	b.apply(t, sample("karlovac", 10))
	old := b.registry.Snapshot()
	b.apply(t, sample("karlovac", 20))
	assert.Equal(t, b.registry.Merge(old), 0)
	b.waitForRate(t, "karlovac", 20)
}

// A resumed watch delivers an old change of a key whose newest version already came from
// a peer. Nothing is wrong, so no alarm may be logged. After a restore from a backup the
// store keeps the old version: that must be logged.
func TestOnlyARestoredStoreRaisesTheAlarm(t *testing.T) {
	s := newStore(t)
	other := newTestEntry(t, s)
	var out bytes.Buffer
	registry := contracts.New(contracts.Options{Store: other.client, Logger: slog.New(slog.NewTextHandler(&out, nil))})
	alarms := func() int { return strings.Count(out.String(), "event=1401") }

	other.apply(t, sample("karlovac", 10))
	old, _, err := other.client.Get(t.Context(), contracts.Key("karlovac"))
	assert.NilError(t, err)
	s.Save()
	other.apply(t, sample("karlovac", 20))
	assert.Equal(t, registry.Merge(other.registry.Snapshot()), 1)
	registry.ApplyWatched(t.Context(), *old)
	registry.RepairAll(t.Context())
	assert.Equal(t, alarms(), 0, out.String())

	assert.Assert(t, s.Restore())
	assert.Assert(t, registry.Poll(t.Context()))
	registry.RepairAll(t.Context())
	assert.Equal(t, alarms(), 1, out.String())
}

// Two entries can hold different values with one revision after a restore. They must
// choose the same one, whichever arrives first.
func TestEqualRevisionsResolveAlike(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	first, second := encoded(t, b, sample("karlovac", 10)), encoded(t, b, sample("karlovac", 20))
	record := func(value []byte) []*wirev1.ContractRecord {
		return []*wirev1.ContractRecord{{Key: contracts.Key("karlovac"), Value: value}}
	}
	versions, err := contracts.DecodeRecord(contracts.Key("karlovac"), first)
	assert.NilError(t, err)
	others, err := contracts.DecodeRecord(contracts.Key("karlovac"), second)
	assert.NilError(t, err)
	assert.Equal(t, versions[0].Revision, others[0].Revision)
	other := newTestEntry(t, s)
	b.registry.Merge(record(first))
	b.registry.Merge(record(second))
	other.registry.Merge(record(second))
	other.registry.Merge(record(first))
	assert.Equal(t, b.registry.Revision(), other.registry.Revision())
	assert.Equal(t, b.registry.Digest(), other.registry.Digest())
}

// Two clients' contracts list the same token by mistake. The token must belong to the
// same client at every entry, and the writer must reject the second contract.
func TestTokenOfTwoClients(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	duplicate := sample("zagreb", 10)
	duplicate.TokenDigests = sample("osijek", 1).TokenDigests
	b.registry.Merge([]*wirev1.ContractRecord{{Key: contracts.Key("zagreb"), Value: encoded(t, b, duplicate)}})
	b.registry.Merge([]*wirev1.ContractRecord{{Key: contracts.Key("osijek"), Value: encoded(t, b, sample("osijek", 5))}})
	c, found := b.registry.ByToken(tokenDigest("token of osijek"))
	assert.Assert(t, found)
	assert.Equal(t, c.Client, "osijek")

	_, err := b.writer.Apply(t.Context(), duplicate, anyRevision)
	var invalid *contract.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, invalid.Problems[0].Path, "token_digests[0]")
}

func TestStoreAgeGrowsWhileTheStoreDoesNotAnswer(t *testing.T) {
	s := newStore(t)
	var clockOffset atomic.Int64
	client := newTestEntry(t, s).client
	registry := contracts.New(contracts.Options{
		Store: client,
		Now:   func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) },
	})
	assert.Equal(t, registry.StoreAge(time.Now()), time.Duration(math.MaxInt64))
	assert.Assert(t, registry.Poll(t.Context()))
	assert.Assert(t, registry.StoreAge(time.Now().Add(time.Hour)) >= 59*time.Minute)
	s.SetMode(store.CloseConnections)
	clockOffset.Store(int64(2 * time.Hour))
	assert.Assert(t, !registry.Poll(t.Context()))
	assert.Assert(t, registry.StoreAge(time.Now().Add(2*time.Hour)) >= 119*time.Minute)
	s.SetMode(store.Up)
	assert.Assert(t, registry.Poll(t.Context()))
	assert.Assert(t, registry.StoreAge(time.Now().Add(2*time.Hour)) < time.Hour)
}

func TestOnChangeSeesHeldAndNewOnesInOrder(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	b.apply(t, sample("karlovac", 1))
	var rates []float64
	b.registry.OnChange(func(c contract.Contract) { rates = append(rates, c.Rate) })
	b.apply(t, sample("karlovac", 2))
	b.apply(t, sample("osijek", 3))
	assert.DeepEqual(t, rates, []float64{1, 2, 3})
}
