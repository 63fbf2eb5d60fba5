package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/caller"
)

// script is a server that handles each PUT with the next step and issues IDs in sequence.
type script struct {
	mu     sync.Mutex
	steps  []http.HandlerFunc
	ids    []string // of the PUT requests, in order of arrival
	issued int
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodPost {
		s.mu.Lock()
		s.issued++
		n := s.issued
		s.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"submissions":["id%d"]}`, n)
		return
	}
	s.mu.Lock()
	s.ids = append(s.ids, strings.TrimPrefix(r.URL.Path, "/v1/submissions/"))
	step := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	step(w, r)
}

func respondComplete(w http.ResponseWriter, _ *http.Request) {
	sum := sha256.Sum256([]byte("wear ok"))
	_, _ = fmt.Fprintf(w, `{"submission":"x","outcome":"complete","tasks":[{"payload":%q,"length":7,"digest":%q,"run_time":"51ms"}]}`,
		base64.StdEncoding.EncodeToString([]byte("wear ok")), hex.EncodeToString(sum[:]))
}

func respondWithError(status int, code, ran, retryAfterMs string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if retryAfterMs != "" {
			w.Header().Set("Retry-After-Ms", retryAfterMs)
		}
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"message":"told","ran":%q}}`, code, ran)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func submit(t *testing.T, limit time.Duration, steps ...http.HandlerFunc) (caller.Result, *script, error) {
	t.Helper()
	s := &script{steps: steps}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	c := caller.New(caller.Options{
		Addresses:      []string{server.Listener.Addr().String()},
		AttemptTimeout: 500 * time.Millisecond,
		Jitter:         func() float64 { return 0 },
	})
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	result, err := c.Submit(ctx, []byte(`{}`))
	return result, s, err
}

func TestCompleteResponse(t *testing.T) {
	result, _, err := submit(t, time.Minute, respondComplete)
	assert.NilError(t, err)
	assert.Assert(t, result.Complete)
	assert.Equal(t, string(result.Tasks[0].Payload), "wear ok")
}

// Guards against running a job twice. A broken connection, an error response saying that
// the owner is unresponsive, and a hanging connection all leave open whether the job is
// running, so the client must retry under the same ID and never obtain another.
func TestLossRetriesWithTheSameID(t *testing.T) {
	result, s, err := submit(t, time.Minute,
		abort, respondWithError(http.StatusServiceUnavailable, "owner_silent", "unknown", "1"), hang, respondComplete)
	assert.NilError(t, err)
	assert.Assert(t, result.Complete)
	assert.Equal(t, result.Attempts, 4)
	assert.DeepEqual(t, s.ids, []string{"id1", "id1", "id1", "id1"})
}

// An owner that is shutting down reports that the job has not run. Its IDs become invalid
// with it, so the job is submitted again under a new ID.
func TestDrainingEntryLeadsToNewID(t *testing.T) {
	_, s, err := submit(t, time.Minute, respondWithError(http.StatusServiceUnavailable, "draining", "no", "1"), respondComplete)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.ids, []string{"id1", "id2"})
}

func TestFinalResponsesAreNotRetried(t *testing.T) {
	for _, c := range []struct {
		status    int
		code, ran string
	}{
		{http.StatusBadGateway, "task_failed", "yes"},
		{http.StatusGone, "submission_lost", "unknown"},
		{http.StatusUnprocessableEntity, "job_too_large", "no"},
		{http.StatusTooManyRequests, "over_quota", "no"},
	} {
		result, s, err := submit(t, time.Minute, respondWithError(c.status, c.code, c.ran, ""))
		assert.NilError(t, err)
		assert.Equal(t, result.Code, c.code)
		assert.Equal(t, string(result.Ran), c.ran)
		assert.Equal(t, len(s.ids), 1)
	}
}

func TestTimeoutReturnsLastKnownState(t *testing.T) {
	result, _, err := submit(t, 200*time.Millisecond, respondWithError(http.StatusTooManyRequests, "backlog", "no", "60000"))
	assert.ErrorIs(t, err, caller.ErrNoFinalResponse)
	assert.Equal(t, result.Ran, caller.RanNo)
	result, _, err = submit(t, 200*time.Millisecond, hang)
	assert.ErrorIs(t, err, caller.ErrNoFinalResponse)
	assert.Equal(t, result.Ran, caller.RanUnknown)
}

func TestCorruptPayloadIsRejected(t *testing.T) {
	_, _, err := submit(t, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"outcome":"complete","tasks":[{"payload":"AAAA","length":3,"digest":"00"}]}`)
	})
	assert.ErrorIs(t, err, caller.ErrCorruptResponse)
}
