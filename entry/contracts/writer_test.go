package contracts_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/contract"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/platform"
	"almondstand.dev/standin/store"
)

// The store makes the change and its response is lost. The operator must get the result
// of the one change that was made, not an error or a conflict with that change.
func TestApplyWithLostResponse(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	s.LoseResponses(2)
	written, err := b.writer.Apply(t.Context(), sample("karlovac", 10), contracts.Precondition{})
	assert.NilError(t, err)
	versions, err := b.writer.History(t.Context(), "karlovac")
	assert.NilError(t, err)
	assert.Equal(t, len(versions), 1)
	assert.Equal(t, versions[0].Revision, written.Revision)
	assert.Equal(t, s.Counts()["txn"], int64(1))
}

// The write is still in flight when the writer reads the key back and finds it
// unchanged. The writer sends it again; the first copy arrives late and must change
// nothing.
func TestApplyWithDelayedWrite(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	s.DelayWrites(1, 30*time.Millisecond)
	written, err := b.writer.Apply(t.Context(), sample("karlovac", 10), contracts.Precondition{})
	assert.NilError(t, err)
	next, err := b.writer.Apply(t.Context(), sample("karlovac", 20), contracts.Precondition{Revision: written.Revision})
	assert.NilError(t, err)
	time.Sleep(60 * time.Millisecond)
	versions, err := b.writer.History(t.Context(), "karlovac")
	assert.NilError(t, err)
	assert.Equal(t, len(versions), 2)
	assert.Equal(t, versions[0].Revision, next.Revision)
	assert.Equal(t, versions[1].Revision, written.Revision)
}

// The change is made, its response is lost, and another operator replaces it before the
// writer reads back. Both changes were made; neither writer may return a conflict.
func TestApplyWithLostResponseIsReplaced(t *testing.T) {
	s := newStore(t)
	b, other := newTestEntry(t, s), newTestEntry(t, s)
	hooked := &hookedStore{Store: b.client, afterLostSwap: func() {
		other.apply(t, sample("karlovac", 20))
	}}
	writer := contracts.NewWriter(contracts.WriterOptions{Store: hooked, Registry: b.registry})
	s.LoseResponses(1)
	written, err := writer.Apply(t.Context(), sample("karlovac", 10), contracts.Precondition{})
	assert.NilError(t, err)
	assert.Assert(t, written.Superseded)
	b.waitForRate(t, "karlovac", 20)
}

// The write is lost, and another operator's takes its place. The version history shows
// that this one was not made.
func TestLostApplyIsReplaced(t *testing.T) {
	s := newStore(t)
	b, other := newTestEntry(t, s), newTestEntry(t, s)
	hooked := &hookedStore{Store: b.client, afterLostSwap: func() {
		other.apply(t, sample("karlovac", 20))
		other.apply(t, sample("karlovac", 30))
	}}
	writer := contracts.NewWriter(contracts.WriterOptions{Store: hooked, Registry: b.registry})
	s.DelayWrites(1, time.Hour)
	_, err := writer.Apply(t.Context(), sample("karlovac", 10), contracts.Precondition{})
	var conflict *contracts.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.InForce.Contract.Rate, 30.0)
}

// As above, but so many changes follow that the history no longer shows it. The outcome
// must stay unknown: a conflict could be wrong.
func TestApplyReplacedTooOften(t *testing.T) {
	s := newStore(t)
	b, other := newTestEntry(t, s), newTestEntry(t, s)
	hooked := &hookedStore{Store: b.client, afterLostSwap: func() {
		for i := range contracts.MaxHistory + 2 {
			other.apply(t, sample("karlovac", float64(20+i)))
		}
	}}
	writer := contracts.NewWriter(contracts.WriterOptions{Store: hooked, Registry: b.registry})
	s.LoseResponses(1)
	_, err := writer.Apply(t.Context(), sample("karlovac", 10), contracts.Precondition{})
	assert.ErrorIs(t, err, contracts.ErrUnknownOutcome)
}

// hookedStore calls beforeSwap once, between a writer's read and its swap, and
// afterLostSwap once, after a swap whose response is lost.
type hookedStore struct {
	platform.Store
	beforeSwap    func()
	afterLostSwap func()
}

func (h *hookedStore) CompareAndSwap(ctx context.Context, key string, mod int64, value []byte, lease platform.LeaseID) (platform.SwapResult, error) {
	if hook := h.beforeSwap; hook != nil {
		h.beforeSwap = nil
		hook()
	}
	result, err := h.Store.CompareAndSwap(ctx, key, mod, value, lease)
	if hook := h.afterLostSwap; hook != nil && errors.Is(err, platform.ErrOutcomeUnknown) {
		h.afterLostSwap = nil
		hook()
	}
	return result, err
}

// The store stops answering after it made the change. The writer must not report that
// nothing was changed. When the store answers again and the operator repeats the change,
// the result must be that of the first attempt.
func TestApplyWithoutResponse(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	hooked := &hookedStore{Store: b.client, afterLostSwap: func() { s.SetMode(store.CloseConnections) }}
	writer := contracts.NewWriter(contracts.WriterOptions{Store: hooked, Registry: b.registry, Timeout: time.Second})
	s.LoseResponses(1)
	_, err := writer.Apply(t.Context(), sample("karlovac", 10), contracts.Precondition{})
	assert.ErrorIs(t, err, contracts.ErrUnknownOutcome)
	assert.Assert(t, !errors.Is(err, contracts.ErrStoreUnavailable))

	s.SetMode(store.Up)
	written, err := writer.Apply(t.Context(), sample("karlovac", 10), contracts.Precondition{})
	assert.NilError(t, err)
	assert.Assert(t, written.Unchanged)
	assert.Equal(t, s.Counts()["txn"], int64(1))
}

func TestApplyWhileTheStoreIsDown(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	s.SetMode(store.Down)
	_, err := b.writer.Apply(t.Context(), sample("karlovac", 10), anyRevision)
	assert.ErrorIs(t, err, contracts.ErrStoreUnavailable)
	assert.Equal(t, s.Counts()["txn"], int64(0))
}

// An operator repeats a change whose outcome was unknown. The delayed first copy takes
// effect between the second one's read and its swap. Since it is the same operator's
// change, the result must be success, not a conflict.
func TestRepeatAfterItsFirstCopyTookEffect(t *testing.T) {
	s := newStore(t)
	b, first := newTestEntry(t, s), newTestEntry(t, s)
	hooked := &hookedStore{Store: b.client, beforeSwap: func() {
		first.apply(t, sample("karlovac", 10))
	}}
	writer := contracts.NewWriter(contracts.WriterOptions{Store: hooked, Registry: b.registry})
	written, err := writer.Apply(t.Context(), sample("karlovac", 10), contracts.Precondition{})
	assert.NilError(t, err)
	assert.Assert(t, written.Unchanged)
}

func TestConflictReturnsTheCurrentVersion(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	revision := b.apply(t, sample("karlovac", 10))
	other := newTestEntry(t, s)
	winner, err := other.writer.Apply(t.Context(), sample("karlovac", 20), contracts.Precondition{Revision: revision})
	assert.NilError(t, err)
	for _, expected := range []int64{0, revision} {
		_, err = b.writer.Apply(t.Context(), sample("karlovac", 30), contracts.Precondition{Revision: expected})
		var conflict *contracts.ConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.ErrorIs(t, err, contracts.ErrConflict)
		assert.Equal(t, conflict.Expected, expected)
		assert.Equal(t, conflict.InForce.Revision, winner.Revision)
		assert.Equal(t, conflict.InForce.Contract.Rate, 20.0)
	}
	_, err = b.writer.Apply(t.Context(), sample("osijek", 1), contracts.Precondition{Revision: 7})
	assert.ErrorIs(t, err, contracts.ErrConflict)
}

func TestInvalidContractIsNotWritten(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	c := sample("karlovac", 10)
	c.Priority = 0
	_, err := b.writer.Apply(t.Context(), c, anyRevision)
	var invalid *contract.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(s.Counts()), 0)
}

// During an upgrade an entry of the newer release writes an encoding that this one can't
// decode. A change made here must not replace it unless the operator asks for it, and
// must then take effect at the newer entries too.
func TestApplyOverValueOfNewerRelease(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	revision := b.apply(t, sample("karlovac", 10))
	s.Put(contracts.Key("karlovac"), []byte(`{"format":2,"revision":5000,"contract":{}}`))
	_, err := b.writer.Apply(t.Context(), sample("karlovac", 20), contracts.Precondition{Revision: revision})
	var conflict *contracts.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.InForce.Revision, int64(5000))
	written, err := b.writer.Apply(t.Context(), sample("karlovac", 20), anyRevision)
	assert.NilError(t, err)
	assert.Equal(t, written.Revision, int64(5001))
}

func TestRetiredContractKeepsItsToken(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	_, err := b.writer.Retire(t.Context(), "karlovac", anyRevision)
	assert.ErrorIs(t, err, contracts.ErrNotFound)
	b.apply(t, sample("karlovac", 10))
	retired, err := b.writer.Retire(t.Context(), "karlovac", anyRevision)
	assert.NilError(t, err)
	c, found := b.registry.ByToken(tokenDigest("token of karlovac"))
	assert.Assert(t, found)
	assert.Equal(t, c.State, contract.Retired)
	again, err := b.writer.Retire(t.Context(), "karlovac", anyRevision)
	assert.NilError(t, err)
	assert.Assert(t, again.Unchanged)
	assert.Equal(t, again.Revision, retired.Revision)
}

func TestHistoryIsBounded(t *testing.T) {
	s := newStore(t)
	b := newTestEntry(t, s)
	for i := range 10 {
		b.apply(t, sample("karlovac", float64(i+1)))
	}
	versions, err := b.writer.History(t.Context(), "karlovac")
	assert.NilError(t, err)
	assert.Equal(t, len(versions), 1+contracts.MaxHistory)
	for i, v := range versions {
		assert.Equal(t, v.Contract.Rate, float64(10-i))
		if i > 0 {
			assert.Equal(t, versions[i-1].Previous, v.Revision)
		}
	}
	assert.DeepEqual(t, versions, b.registry.History("karlovac"))
}
