package follower

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/contract/cordon"
	"almondstand.dev/contract/route"
	"almondstand.dev/platform/operator"
	"almondstand.dev/platform/store"
)

type failingStore struct{}

func (failingStore) Get(context.Context, string) (store.Item, bool, error) {
	return store.Item{}, false, errors.New("down")
}

func (failingStore) Range(context.Context, string) (store.Page, error) {
	return store.Page{}, errors.New("down")
}

func config(version int) []byte { return fmt.Appendf(nil, `{"version":%d,"routes":[]}`, version) }

// After callers have seen a version's effect, an older one that arrives late, from the
// store or another entry, must not undo it, and one that can't be decoded must change
// nothing.
func TestVersionsNeverGoBack(t *testing.T) {
	f := New(failingStore{}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	assert.Assert(t, f.Table() == nil)
	assert.Assert(t, !f.Fresh())
	f.ApplyCordons(t.Context(), cordon.New(1, nil))
	f.Apply(t.Context(), 10, config(5))
	f.Apply(t.Context(), 9, config(6))
	assert.Equal(t, f.Table().Version, int64(5))
	f.Apply(t.Context(), 11, []byte("{"))
	assert.Equal(t, f.Table().Version, int64(5))
	f.Apply(t.Context(), 12, config(4))
	assert.Equal(t, f.Table().Version, int64(5))
	f.Apply(t.Context(), 13, config(8))
	assert.Equal(t, f.Table().Version, int64(8))
	revision, _ := f.Current()
	assert.Equal(t, revision, int64(13))
}

// slowStore answers each read with the newest revision after a delay.
type slowStore struct {
	delay time.Duration
	reads atomic.Int64
}

func (s *slowStore) Range(ctx context.Context, _ string) (store.Page, error) {
	version := s.reads.Add(1)
	select {
	case <-ctx.Done():
		return store.Page{}, ctx.Err()
	case <-time.After(s.delay):
		return store.Page{Items: []store.Item{{Key: operator.Key, Revision: version, Value: config(int(version))}}, Revision: version}, nil
	}
}

func (s *slowStore) Get(context.Context, string) (store.Item, bool, error) {
	return store.Item{}, false, errors.New("not used")
}

// An entry is short of CPU time, so that it reads each response of the store 0.8 s after
// the request. Callers must not be served by an old version forever: a slow read
// continues beside the next one, and its result counts.
func TestSlowReadsAreApplied(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	f := New(&slowStore{delay: 800 * time.Millisecond}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Table() != nil && f.Table().Version >= 3 && f.Fresh() {
			return poll.Success()
		}
		return poll.Continue("no third version yet")
	}, poll.WithTimeout(5*time.Second))
	stop()
	assert.NilError(t, <-ended)
}

// An entry that has not reached the store recently must not conclude that a path which
// it doesn't know does not exist.
func TestUnreachableStoreIsNotFresh(t *testing.T) {
	f := New(failingStore{}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	f.Apply(t.Context(), 10, config(5))
	assert.Assert(t, !f.read(t.Context()))
	assert.Assert(t, !f.Fresh(), "a configuration from another entry says nothing about the store")
}

// Guards against rejected requests after a loss of power: balancers send them before the entry has
// read its configuration, which it does within a moment. An entry that cannot read it rejects them.
func TestFirstConfigurationIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(failingStore{}, slog.New(slog.DiscardHandler))
		found := make(chan *route.Table, 2)
		go func() { found <- f.AwaitTable(t.Context()) }()
		time.Sleep(300 * time.Millisecond)
		f.Apply(t.Context(), 10, config(5))
		synctest.Wait()
		assert.Equal(t, len(found), 0, "the cordoned data centres are unknown")
		f.ApplyCordons(t.Context(), cordon.New(1, nil))
		assert.Equal(t, (<-found).Version, int64(5))

		start := time.Now()
		f = New(failingStore{}, slog.New(slog.DiscardHandler))
		assert.Assert(t, f.AwaitTable(t.Context()) == nil)
		assert.Equal(t, time.Since(start), firstTableTimeout)
		assert.Assert(t, f.AwaitTable(t.Context()) == nil)
		assert.Equal(t, time.Since(start), firstTableTimeout, "a later request does not wait")
	})
}
