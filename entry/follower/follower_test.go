package follower

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/platform/store"
)

type noStore struct{}

func (noStore) Get(context.Context, string) (store.Item, bool, error) {
	return store.Item{}, false, errors.New("down")
}

func config(version int) []byte { return fmt.Appendf(nil, `{"version":%d,"routes":[]}`, version) }

// Callers have seen a version's effect; an older one that comes late, from the
// store or another entry, must not undo it, and one that can't be read changes nothing.
func TestVersionsNeverGoBack(t *testing.T) {
	f := New(noStore{}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	assert.Assert(t, f.Table() == nil)
	assert.Assert(t, !f.Fresh())
	f.Take(t.Context(), 10, config(5))
	f.Take(t.Context(), 9, config(6))
	assert.Equal(t, f.Table().Version, int64(5))
	f.Take(t.Context(), 11, []byte("{"))
	assert.Equal(t, f.Table().Version, int64(5))
	f.Take(t.Context(), 12, config(4))
	assert.Equal(t, f.Table().Version, int64(5))
	f.Take(t.Context(), 13, config(8))
	assert.Equal(t, f.Table().Version, int64(8))
	revision, _ := f.Held()
	assert.Equal(t, revision, int64(13))
}

// lateStore answers each read, with the newest revision, a while after it was sent.
type lateStore struct {
	delay time.Duration
	reads atomic.Int64
}

func (s *lateStore) Get(ctx context.Context, _ string) (store.Item, bool, error) {
	version := s.reads.Add(1)
	select {
	case <-ctx.Done():
		return store.Item{}, false, ctx.Err()
	case <-time.After(s.delay):
		return store.Item{Revision: version, Value: config(int(version))}, true, nil
	}
}

// An entry is short of processor time, so that each answer of the store is read
// 0.8 s after its question. Callers must not be served by an old version for good:
// a read that is slow goes on beside the next one, and its answer counts.
func TestSlowAnswersAreTaken(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	f := New(&lateStore{delay: 800 * time.Millisecond}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
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

// An entry that has not heard from the store lately must not take a path that it
// doesn't know for one that nobody knows.
func TestSilentStoreIsNotFresh(t *testing.T) {
	f := New(noStore{}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	f.Take(t.Context(), 10, config(5))
	assert.Assert(t, !f.read(t.Context()))
	assert.Assert(t, !f.Fresh(), "a configuration from another entry proves nothing of the store")
}
