package member

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/platform"
	"almondstand.dev/wire/wirev1"
)

// clock is the time of a test, shared by all entries and the store.
type clock struct{ now time.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

// fakeStore implements the platform's store with leases. It is not safe for concurrent use.
type fakeStore struct {
	clock    *clock
	revision int64
	keys     map[string]platform.KeyValue
	leases   map[platform.LeaseID]time.Time
	// err is returned by every call if set. loseAnswer loses the reply to the next swap after the
	// swap took effect.
	err        error
	loseAnswer bool
	calls      int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		clock: &clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		keys:  map[string]platform.KeyValue{}, leases: map[platform.LeaseID]time.Time{},
	}
}

func (s *fakeStore) beginCall() error {
	s.calls++
	for key, kv := range s.keys {
		if !s.clock.now.Before(s.leases[kv.Lease]) {
			delete(s.keys, key)
		}
	}
	return s.err
}

func (s *fakeStore) Get(_ context.Context, key string) (*platform.KeyValue, int64, error) {
	if err := s.beginCall(); err != nil {
		return nil, 0, err
	}
	if kv, held := s.keys[key]; held {
		return &kv, s.revision, nil
	}
	return nil, s.revision, nil
}

func (s *fakeStore) List(context.Context, string) ([]platform.KeyValue, int64, error) {
	if err := s.beginCall(); err != nil {
		return nil, 0, err
	}
	var all []platform.KeyValue
	for _, kv := range s.keys {
		all = append(all, kv)
	}
	return all, s.revision, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, mod int64, value []byte, lease platform.LeaseID) (platform.SwapResult, error) {
	if err := s.beginCall(); err != nil {
		return platform.SwapResult{}, err
	}
	if s.keys[key].ModRevision != mod {
		return platform.SwapResult{Revision: s.revision}, nil
	}
	s.revision++
	s.keys[key] = platform.KeyValue{Key: key, Value: value, ModRevision: s.revision, Lease: lease}
	if s.loseAnswer {
		s.loseAnswer = false
		return platform.SwapResult{}, platform.ErrOutcomeUnknown
	}
	return platform.SwapResult{Swapped: true, Revision: s.revision}, nil
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.beginCall(); err != nil {
		return 0, err
	}
	id := platform.LeaseID(len(s.leases) + 1)
	s.leases[id] = s.clock.now.Add(ttl)
	return id, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, id platform.LeaseID) error {
	if err := s.beginCall(); err != nil {
		return err
	}
	if !s.clock.now.Before(s.leases[id]) {
		return platform.ErrLeaseNotFound
	}
	s.leases[id] = s.clock.now.Add(DefaultTTL)
	return nil
}

func (s *fakeStore) Watch(context.Context, string, int64, func(platform.WatchBatch)) error {
	return platform.ErrUnavailable
}

// entry combines the table and the registrar of one entry.
type entry struct {
	*Table
	*Registrar
}

func (s *fakeStore) entry(id string) entry {
	now := func() time.Time { return s.clock.now }
	t := New(Options{
		Self: Info{ID: id, Incarnation: uint64(s.clock.now.UnixNano()), Address: id + ":1", DataCentre: "zagreb"},
		Now:  now,
	})
	return entry{t, NewRegistrar(RegistrarOptions{Store: s, Table: t, Now: now})}
}

func step(t *testing.T, e entry) {
	t.Helper()
	assert.NilError(t, e.Step(context.Background()))
	_, err := e.List(context.Background())
	assert.NilError(t, err)
}

// runSeconds advances the clock by the given number of seconds; in each second the entries renew
// and list.
func (s *fakeStore) runSeconds(seconds int, entries ...entry) {
	for range seconds {
		s.clock.advance(time.Second)
		for _, e := range entries {
			_ = e.Step(context.Background())
			_, _ = e.List(context.Background())
		}
	}
}

func (e entry) statusOf(o entry) Status { return e.Status(o.Info().ID, o.Info().Incarnation) }

// An entry is paused while it has open jobs. While its lease is valid it is at most silent; it is
// gone only after the grace period that follows the lease's expiry. When it resumes, its lease has
// expired by its own clock, so it must admit nothing until it has registered again; then the
// others consider it live.
func TestPausedEntry(t *testing.T) {
	s := newFakeStore()
	a, b := s.entry("a"), s.entry("b")
	step(t, a)
	step(t, b)
	step(t, a)
	assert.Equal(t, a.statusOf(b), Live)
	assert.Assert(t, b.MayAdmit(s.clock.now))

	for second := 1; second <= 30; second++ {
		s.runSeconds(1, a)
		a.RecordFailedCall("b", b.Info().Incarnation)
		status := a.statusOf(b)
		if second < int((DefaultTTL+DefaultGrace)/time.Second) {
			assert.Equal(t, status, Silent, "after %d s", second)
		}
	}
	assert.Equal(t, a.statusOf(b), Gone)
	assert.Equal(t, len(a.Peers()), 0)

	assert.Assert(t, !b.MayAdmit(s.clock.now))
	step(t, b)
	assert.Assert(t, b.MayAdmit(s.clock.now))
	step(t, a)
	assert.Equal(t, a.statusOf(b), Live)
}

// The store is down for ten minutes and every lease expires. No entry may be considered gone
// because of that, not even when the store answers again before the others have registered again.
// The entries continue to admit work.
func TestStoreOutage(t *testing.T) {
	s := newFakeStore()
	a, b := s.entry("a"), s.entry("b")
	step(t, a)
	step(t, b)
	s.runSeconds(20, a, b)
	s.err = platform.ErrUnavailable
	s.runSeconds(600, a, b)
	assert.Equal(t, a.statusOf(b), Silent)
	assert.Equal(t, len(a.Peers()), 1)
	assert.Assert(t, a.MayAdmit(s.clock.now))
	a.RecordContact(b.Self(), s.clock.now)
	assert.Equal(t, a.statusOf(b), Live)

	s.err = nil
	s.runSeconds(5, a)
	assert.Assert(t, a.statusOf(b) != Gone)
	s.runSeconds(2, a, b)
	assert.Equal(t, a.statusOf(b), Live)
}

// One entry is cut off from the store, and its lease expires there. Another entry has contact with
// it, or learns of such contact from a third: it is not gone.
func TestEntryIsolatedFromStoreOnly(t *testing.T) {
	s := newFakeStore()
	a, b := s.entry("a"), s.entry("b")
	step(t, a)
	step(t, b)
	for range 60 {
		s.runSeconds(1, a)
		heard := b.Self()
		heard.HeardMs = 1500
		a.MergeGossip([]*wirev1.EntryInfo{heard})
		assert.Assert(t, a.statusOf(b) != Gone)
	}
	s.runSeconds(10, a)
	assert.Equal(t, a.statusOf(b), Gone)
	a.RecordContact(b.Self(), s.clock.now)
	assert.Equal(t, a.statusOf(b), Live, "direct contact restores it")
}

// A crashed entry is replaced by a process with the same id. The replacement takes over the key
// while the old lease is still valid, and the old incarnation is gone at once. If the old process
// was only paused, it finds that it was superseded and ends.
func TestReplacement(t *testing.T) {
	s := newFakeStore()
	a, old := s.entry("a"), s.entry("b")
	step(t, a)
	step(t, old)
	s.clock.advance(time.Second)
	replacement := s.entry("b")
	step(t, replacement)
	step(t, a)
	assert.Equal(t, a.statusOf(old), Gone)
	assert.Equal(t, a.statusOf(replacement), Live)
	assert.Equal(t, replacement.statusOf(old), Gone)

	s.clock.advance(DefaultTTL)
	step(t, a)
	step(t, replacement)
	assert.Assert(t, errors.Is(old.Step(context.Background()), ErrSuperseded))
	assert.Assert(t, !old.MayAdmit(s.clock.now))
	assert.Assert(t, old.Superseded())
}

// The reply to the swap that registers an entry is lost after the swap took effect. The entry
// reads its own key back and does not write again.
func TestLostAnswerToRegistration(t *testing.T) {
	s := newFakeStore()
	a := s.entry("a")
	s.loseAnswer = true
	step(t, a)
	assert.Equal(t, s.revision, int64(1))
	assert.Assert(t, a.Registered(s.clock.now))
}

// A caller asks for a submission of an entry that is not in the table. An entry that has just
// started cannot tell whether that entry exists; later, with a view of the store that lacks it, it
// is gone, unless it may have started within that time.
func TestUnknownEntry(t *testing.T) {
	s := newFakeStore()
	past := uint64(s.clock.now.Add(-time.Hour).UnixNano())
	a := s.entry("a")
	step(t, a)
	assert.Equal(t, a.Status("x", past), Silent)
	s.runSeconds(15, a)
	assert.Equal(t, a.Status("x", past), Gone)
	assert.Equal(t, a.Status("x", uint64(s.clock.now.UnixNano())), Silent)
	s.err = platform.ErrUnavailable
	s.runSeconds(30, a)
	assert.Equal(t, a.Status("x", past), Silent)
}

// Draining and leaving are written to the store and known to others at once.
func TestDrainingAndLeft(t *testing.T) {
	s := newFakeStore()
	a, b := s.entry("a"), s.entry("b")
	step(t, a)
	step(t, b)
	b.SetDraining()
	step(t, b)
	step(t, a)
	p, known := a.Peer("b")
	assert.Assert(t, known && p.Info.Draining && p.Status == Live)
	b.SetLeft()
	step(t, b)
	step(t, a)
	assert.Equal(t, a.statusOf(b), Gone)
	assert.Equal(t, len(a.Peers()), 0)
}

// A registered entry makes exactly one store call per renewal.
func TestCallsToTheStore(t *testing.T) {
	s := newFakeStore()
	a := s.entry("a")
	assert.NilError(t, a.Step(context.Background()))
	assert.Equal(t, s.calls, 4, "grant, get, swap, list")
	s.calls = 0
	for range 100 {
		s.clock.advance(DefaultTTL / 3)
		assert.NilError(t, a.Step(context.Background()))
	}
	assert.Equal(t, s.calls, 100)
}

// The monotonic clock stops while a machine is suspended; the wall clock includes the suspension.
func TestElapsedCountsASuspension(t *testing.T) {
	then := time.Now()
	resumed := then.Round(0).Add(time.Hour)
	assert.Equal(t, Elapsed(then, resumed), time.Hour)
	assert.Equal(t, Elapsed(then, then.Add(time.Second)), time.Second)
}
