package follower

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

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

// An entry that has not heard from the store lately must not take a path that it
// doesn't know for one that nobody knows.
func TestSilentStoreIsNotFresh(t *testing.T) {
	f := New(noStore{}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	f.Take(t.Context(), 10, config(5))
	assert.Assert(t, !f.read(t.Context()))
	assert.Assert(t, !f.Fresh(), "a configuration from another entry proves nothing of the store")
}
