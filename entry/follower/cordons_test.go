package follower

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/contract/cordon"
	"almondstand.dev/platform/operator"
	"almondstand.dev/platform/store"
)

// keyStore holds keys; a page has at most pageSize items, 0 for no limit.
type keyStore struct {
	items    []store.Item
	revision int64
	pageSize int
	calls    []string
}

func (s *keyStore) Get(_ context.Context, key string) (store.Item, bool, error) {
	s.calls = append(s.calls, "get "+key)
	for _, i := range s.items {
		if i.Key == key {
			return i, true, nil
		}
	}
	return store.Item{}, false, nil
}

func (s *keyStore) Range(_ context.Context, prefix string) (store.Page, error) {
	s.calls = append(s.calls, "range "+prefix)
	page := store.Page{Revision: s.revision}
	for _, i := range s.items {
		if !strings.HasPrefix(i.Key, prefix) {
			continue
		}
		if s.pageSize > 0 && len(page.Items) == s.pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, i)
	}
	return page, nil
}

func newFollower(s Store) *Follower {
	return New(s, slog.New(slog.NewJSONHandler(io.Discard, nil)))
}

func configItem(revision int64, version int) store.Item {
	return store.Item{Key: operator.Key, Revision: revision, Value: config(version)}
}

// Guards against an entry that starts tasks in a cordoned data centre because it read the
// configuration first: there is no configuration before the cordons are known.
func TestNoConfigurationBeforeCordonsAreKnown(t *testing.T) {
	f := newFollower(&keyStore{})
	f.Apply(t.Context(), 10, config(5))
	assert.Assert(t, f.Table() == nil)
	f.ApplyCordons(t.Context(), cordon.New(10, nil))
	assert.Assert(t, f.Table() != nil)
}

// Guards against a second call for each read: cordons and configuration come in one, and other
// keys of the operators change nothing.
func TestCordonsAreReadWithTheConfiguration(t *testing.T) {
	s := &keyStore{revision: 20, items: []store.Item{configItem(7, 3), {Key: "op/evacuate/"}, {Key: "op/evacuate/north", Revision: 19, Value: []byte("{}")}, {Key: "op/wave/1"}}}
	f := newFollower(s)
	var seen []*cordon.Set
	f.OnCordons(func(c *cordon.Set) { seen = append(seen, c) })
	assert.Assert(t, f.read(t.Context()))
	assert.Equal(t, len(s.calls), 1, "%v", s.calls)
	assert.Equal(t, f.Table().Version, int64(3))
	assert.DeepEqual(t, f.Cordons().DataCentres(), []string{"north"})
	s.items, s.revision = s.items[:1], 21
	assert.Assert(t, f.read(t.Context()))
	assert.Equal(t, len(f.Cordons().DataCentres()), 0)
	assert.Equal(t, len(seen), 2)
	assert.Equal(t, seen[1].Revision, int64(21))
}

// Guards against a cordon that is missed because the operators' keys fill more than one page: pages
// of one range are no snapshot, so the cordons are read on their own.
func TestCordonsBeyondTheFirstPage(t *testing.T) {
	s := &keyStore{revision: 20, pageSize: 1, items: []store.Item{{Key: "op/a"}, configItem(7, 3), {Key: "op/evacuate/north", Revision: 19}}}
	f := newFollower(s)
	assert.Assert(t, f.read(t.Context()))
	assert.Equal(t, f.Table().Version, int64(3))
	assert.DeepEqual(t, f.Cordons().DataCentres(), []string{"north"})
}

// Guards against a late response, or one of another entry, that undoes a newer state, in either
// direction.
func TestOlderCordonsUndoNothing(t *testing.T) {
	f := newFollower(&keyStore{})
	f.ApplyCordons(t.Context(), cordon.New(10, []string{"north"}))
	f.ApplyCordons(t.Context(), cordon.New(9, nil))
	f.ApplyCordons(t.Context(), cordon.New(10, nil))
	assert.Assert(t, f.Cordons().Contains("north"))
	f.ApplyCordons(t.Context(), cordon.New(12, nil))
	f.ApplyCordons(t.Context(), cordon.New(11, []string{"north"}))
	assert.Assert(t, !f.Cordons().Contains("north"))
}
