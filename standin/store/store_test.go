package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/platform"
	"almondstand.dev/platform/etcd"
	"almondstand.dev/standin/store"
)

func serve(t *testing.T) (*store.Server, *etcd.Client) {
	t.Helper()
	s, err := store.Serve()
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s, connect(t, s, 800*time.Millisecond)
}

// connect returns a client with the given timeout for one attempt and for an idle watch.
func connect(t *testing.T, s *store.Server, timeout time.Duration) *etcd.Client {
	t.Helper()
	client, err := etcd.New(etcd.Options{
		Addresses:        []string{s.Address},
		Timeout:          3 * timeout,
		AttemptTimeout:   timeout,
		WatchIdleTimeout: timeout,
		RetryBackoff:     2 * time.Millisecond,
	})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return client
}

// shortTimeout is the client timeout in tests in which the store doesn't respond.
const shortTimeout = 50 * time.Millisecond

func swap(t *testing.T, c *etcd.Client, key string, mod int64, value string) platform.SwapResult {
	t.Helper()
	result, err := c.CompareAndSwap(t.Context(), key, mod, []byte(value), 0)
	assert.NilError(t, err)
	return result
}

func TestSwapAndRead(t *testing.T) {
	_, c := serve(t)
	first := swap(t, c, "a/1", 0, "one")
	assert.Assert(t, first.Swapped)
	failed := swap(t, c, "a/1", 0, "other")
	assert.Assert(t, !failed.Swapped)
	assert.Equal(t, string(failed.Current.Value), "one")
	assert.Equal(t, failed.Current.ModRevision, first.Revision)
	assert.Assert(t, swap(t, c, "a/1", first.Revision, "two").Swapped)
	swap(t, c, "a/2", 0, "")
	swap(t, c, "b/1", 0, "outside")

	kvs, revision, err := c.List(t.Context(), "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(kvs), 2)
	assert.Equal(t, string(kvs[0].Value), "two")
	assert.Equal(t, kvs[0].CreateRevision, first.Revision)
	assert.Equal(t, revision, first.Revision+3)
	kv, _, err := c.Get(t.Context(), "a/3")
	assert.NilError(t, err)
	assert.Assert(t, kv == nil)
	missing := swap(t, c, "a/3", 5, "x")
	assert.Assert(t, !missing.Swapped && missing.Current == nil)
}

func TestLargestValueIsAccepted(t *testing.T) {
	_, c := serve(t)
	assert.Assert(t, swap(t, c, "k", 0, strings.Repeat("x", platform.MaxValueSize)).Swapped)
}

func TestLease(t *testing.T) {
	s, c := serve(t)
	lease, err := c.Grant(t.Context(), 1500*time.Millisecond)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(t.Context(), "entries/a", 0, []byte("v"), lease)
	assert.NilError(t, err)
	assert.NilError(t, c.KeepAlive(t.Context(), lease))
	kv, _, err := c.Get(t.Context(), "entries/a")
	assert.NilError(t, err)
	assert.Equal(t, kv.Lease, lease)

	s.RevokeLeases(int64(lease))
	assert.ErrorIs(t, c.KeepAlive(t.Context(), lease), platform.ErrLeaseNotFound)
	kv, _, err = c.Get(t.Context(), "entries/a")
	assert.NilError(t, err)
	assert.Assert(t, kv == nil)
	_, err = c.CompareAndSwap(t.Context(), "entries/a", 0, []byte("v"), lease)
	assert.ErrorIs(t, err, platform.ErrLeaseNotFound)
}

func TestLeaseExpiresByClock(t *testing.T) {
	now := time.Unix(1000, 0)
	s := store.New(func() time.Time { return now })
	call := func(path, body string) map[string]any {
		w := &recorder{header: http.Header{}}
		r, err := http.NewRequest(http.MethodPost, path, strings.NewReader(body))
		assert.NilError(t, err)
		s.ServeHTTP(w, r)
		var out map[string]any
		assert.NilError(t, json.Unmarshal([]byte(w.body.String()), &out))
		return out
	}
	id := call("/v3/lease/grant", `{"TTL":"10"}`)["ID"].(string)
	now = now.Add(9 * time.Second)
	renewed := call("/v3/lease/keepalive", `{"ID":"`+id+`"}`)["result"].(map[string]any)
	assert.Equal(t, renewed["TTL"], "10")
	now = now.Add(10 * time.Second)
	renewed = call("/v3/lease/keepalive", `{"ID":"`+id+`"}`)["result"].(map[string]any)
	assert.Equal(t, renewed["TTL"], nil)
}

type recorder struct {
	header http.Header
	body   strings.Builder
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(int)             {}
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

func TestModes(t *testing.T) {
	for _, mode := range []store.Mode{store.Down, store.CloseConnections, store.Silent} {
		t.Run(string(mode), func(t *testing.T) {
			s, c := serve(t)
			failing := connect(t, s, shortTimeout)
			s.SetMode(mode)
			_, _, err := failing.Get(t.Context(), "k")
			assert.ErrorIs(t, err, platform.ErrUnavailable)
			_, err = failing.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0)
			assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
			_, err = collectEvents(t, failing, 1, never)
			assert.ErrorIs(t, err, platform.ErrUnavailable)
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "the watch must fail before the context's deadline: %v", err)
			s.SetMode(store.Up)
			assert.Assert(t, swap(t, c, "k", 0, "v").Swapped)
			assert.Equal(t, s.Counts()["txn"], int64(2))
		})
	}
}

func TestSlowStoreExceedsAttemptTimeout(t *testing.T) {
	s, _ := serve(t)
	s.SetDelay(10 * time.Second)
	_, _, err := connect(t, s, shortTimeout).Get(t.Context(), "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Assert(t, s.Counts()["range"] > 1, "a read must be retried within its deadline")
}

func TestResponseLostAfterCommit(t *testing.T) {
	s, c := serve(t)
	s.LoseResponses(1)
	_, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0)
	assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	value, _ := s.Value("k")
	assert.Equal(t, string(value), "v")
	assert.Equal(t, s.Counts()["txn"], int64(1))
}

// collectEvents returns the events that one watch delivers until stop returns true.
func collectEvents(t *testing.T, c *etcd.Client, from int64, stop func(platform.WatchBatch) bool) ([]platform.Event, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var events []platform.Event
	err := c.Watch(ctx, "a/", from, func(b platform.WatchBatch) {
		events = append(events, b.Events...)
		if stop(b) {
			cancel()
		}
	})
	return events, err
}

func never(platform.WatchBatch) bool { return false }

func TestWatchDeliversEachChangeOnce(t *testing.T) {
	s, c := serve(t)
	from := s.Revision()
	s.Put("a/1", []byte("one"))
	s.Put("b/1", []byte("outside"))
	s.Delete("a/1")
	last := s.Revision()
	events, err := collectEvents(t, c, from, func(b platform.WatchBatch) bool { return b.Revision >= last })
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, string(events[0].KeyValue.Value), "one")
	assert.Assert(t, events[1].Deleted)
	assert.Equal(t, events[1].KeyValue.ModRevision, last)
}

func TestProgressReportsAdvanceRevision(t *testing.T) {
	s, c := serve(t)
	s.SetProgressInterval(10 * time.Millisecond)
	from := s.Revision()
	s.Put("b/1", []byte("outside"))
	last := s.Revision()
	events, err := collectEvents(t, c, from, func(b platform.WatchBatch) bool { return b.Revision == last })
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, len(events), 0)
}

// A connection whose state a middlebox has lost stays open, but nothing arrives on it
// any more. The client must end such a watch by itself, and a new watch from the last
// revision must deliver the change that was missed.
func TestSilentWatchIsDetected(t *testing.T) {
	s, c := serve(t)
	s.SetProgressInterval(10 * time.Millisecond)
	lastRevision := s.Revision()
	first := true
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	err := c.Watch(ctx, "a/", lastRevision, func(b platform.WatchBatch) {
		lastRevision = b.Revision
		if first {
			s.SilenceWatches()
			s.Put("a/1", []byte("one"))
			first = false
		}
	})
	assert.ErrorIs(t, err, etcd.ErrWatchIdleTimeout)
	events, _ := collectEvents(t, c, lastRevision, func(b platform.WatchBatch) bool { return len(b.Events) > 0 })
	assert.Equal(t, len(events), 1)
}

func TestWatchIsClosedByServer(t *testing.T) {
	s, c := serve(t)
	s.SetProgressInterval(10 * time.Millisecond)
	_, err := collectEvents(t, c, s.Revision(), func(platform.WatchBatch) bool {
		s.CloseWatches()
		return false
	})
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, etcd.ErrWatchIdleTimeout))
}

func TestWatchFromCompactedRevision(t *testing.T) {
	s, c := serve(t)
	from := s.Revision()
	s.Put("a/1", []byte("one"))
	s.Compact()
	_, err := collectEvents(t, c, from, never)
	assert.ErrorIs(t, err, platform.ErrCompacted)
}

// A store restored from an old snapshot has a lower revision than the watch's start
// revision. Unless the watch fails, it stays silent until the store's revision has caught
// up, and the changes in between are never delivered.
func TestWatchOnRestoredStore(t *testing.T) {
	s, c := serve(t)
	s.Save()
	s.Put("a/1", []byte("one"))
	from := s.Revision()
	assert.Assert(t, s.Restore())
	_, err := collectEvents(t, c, from, never)
	assert.ErrorIs(t, err, platform.ErrReverted)
}

func TestSwitchesOverHTTP(t *testing.T) {
	s, c := serve(t)
	post := func(name, body string) int {
		response, err := http.Post("http://"+s.Address+"/standin/"+name, "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, post("put", `{"key":"k","value":"dg=="}`), 200)
	value, _ := s.Value("k")
	assert.Equal(t, string(value), "v")
	assert.Equal(t, post("save", ""), 200)
	assert.Equal(t, post("delete", `{"key":"k"}`), 200)
	assert.Equal(t, post("restore", ""), 200)
	value, _ = s.Value("k")
	assert.Equal(t, string(value), "v")
	assert.Equal(t, post("switches", `{"mode":"down"}`), 200)
	_, _, err := connect(t, s, shortTimeout).Get(t.Context(), "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, post("switches", `{"mode":"up","lose_answers":1}`), 200)
	_, err = c.CompareAndSwap(t.Context(), "l", 0, []byte("v"), 0)
	assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	for _, name := range []string{"cut", "silence", "compact", "expire"} {
		assert.Equal(t, post(name, ""), 200)
	}
	assert.Equal(t, post("switches", `{"mod":"up"}`), 400)
	response, err := http.Get("http://" + s.Address + "/standin/counts")
	assert.NilError(t, err)
	defer response.Body.Close()
	var counts map[string]int64
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&counts))
	assert.Equal(t, counts["txn"], int64(1))
}
