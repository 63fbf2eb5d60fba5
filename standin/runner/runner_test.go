package runner_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/standin/runner"
)

func start(t *testing.T, o runner.Options) (*runner.Runner, *httptest.Server) {
	t.Helper()
	o.Service = "teardown"
	r, err := runner.New(o)
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(r.Handler())
	server.Listener = r.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return r, server
}

func run(ctx context.Context, url, task, payload string) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/run", bytes.NewBufferString(payload))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Almond-Task", task)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func TestRunEchoesWithDigest(t *testing.T) {
	r, server := start(t, runner.Options{})
	resp, body, err := run(t.Context(), server.URL, "s/0", `{"run":"1ms","echo":{"part":7}}`)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, string(body), `{"part":7}`)
	sum := sha256.Sum256(body)
	assert.Equal(t, resp.Header.Get("Content-Digest"), "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	_, body, err = run(t.Context(), server.URL, "s/1", "opaque")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "opaque")
	assert.DeepEqual(t, r.Starts().Tasks, map[string]int{"s/0": 1, "s/1": 1})
}

func TestFaults(t *testing.T) {
	r, server := start(t, runner.Options{})
	resp, _, err := run(t.Context(), server.URL, "refused", `{"fail":"refuse"}`)
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("Almond-Ran"), "no")
	resp, _, err = run(t.Context(), server.URL, "error", `{"fail":"error"}`)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, resp.Header.Get("Almond-Ran"), "")
	_, _, err = run(t.Context(), server.URL, "truncate", `{"fail":"truncate","echo":"0123456789"}`)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, _, err = run(t.Context(), server.URL, "cut", `{"fail":"cut"}`)
	assert.ErrorContains(t, err, "EOF")
	resp, body, err := run(t.Context(), server.URL, "corrupt", `{"fail":"corrupt","echo":"0123456789"}`)
	assert.NilError(t, err)
	sum := sha256.Sum256(body)
	assert.Assert(t, resp.Header.Get("Content-Digest") != "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	assert.DeepEqual(t, r.Starts().Tasks, map[string]int{"error": 1, "truncate": 1, "cut": 1, "corrupt": 1})
}

// A runner without a free slot must reject a task as not run, and its record of starts
// must agree. A caller that closes its connection frees its slot.
func TestFullRunnerRejectsWithoutRunning(t *testing.T) {
	r, server := start(t, runner.Options{Slots: 1})
	ctx, cancel := context.WithCancel(t.Context())
	hung := make(chan struct{})
	go func() {
		defer close(hung)
		_, _, _ = run(ctx, server.URL, "hung", `{"fail":"hang"}`)
	}()
	running := func(n int) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			if r.Starts().Running == n {
				return poll.Success()
			}
			return poll.Continue("running %d", r.Starts().Running)
		}
	}
	poll.WaitOn(t, running(1))
	resp, _, err := run(t.Context(), server.URL, "late", "x")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, resp.Header.Get("Almond-Ran"), "no")
	cancel()
	<-hung
	poll.WaitOn(t, running(0))
	s := r.Starts()
	assert.Equal(t, s.Tasks["late"], 0)
	assert.Equal(t, s.RejectedNoSlot, 1)
	assert.Equal(t, s.Cancelled, 1)
}

func TestRecordCountsDuplicateStarts(t *testing.T) {
	r, server := start(t, runner.Options{})
	for range 3 {
		_, _, err := run(t.Context(), server.URL, "twice", "x")
		assert.NilError(t, err)
	}
	_, _, err := run(t.Context(), server.URL, "once", "x")
	assert.NilError(t, err)
	resp, err := http.Get(server.URL + "/standin/starts?doubles")
	assert.NilError(t, err)
	var s runner.StartRecord
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&s))
	assert.NilError(t, resp.Body.Close())
	assert.DeepEqual(t, s.Tasks, map[string]int{"twice": 3})
	assert.Equal(t, s.DuplicateStarts, 1)
	assert.Equal(t, r.Starts().Total, 4)
}

func TestSwitches(t *testing.T) {
	_, server := start(t, runner.Options{})
	put := func(body string) int {
		req, err := http.NewRequest(http.MethodPut, server.URL+"/standin/switches", bytes.NewBufferString(body))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	assert.Equal(t, put(`{"fail_all":true}`), http.StatusNoContent)
	resp, _, err := run(t.Context(), server.URL, "s/0", "x")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, put(`{"refuse_all":true}`), http.StatusNoContent)
	resp, _, err = run(t.Context(), server.URL, "s/0", "x")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("Almond-Ran"), "no")
	assert.Equal(t, put(`{"fail_everything":true}`), http.StatusBadRequest)
}

func TestAnnouncesAndDrains(t *testing.T) {
	announcements := make(chan runner.Announcement, 16)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var a runner.Announcement
		_ = json.NewDecoder(req.Body).Decode(&a)
		if req.Header.Get("Authorization") == "Bearer s3cret" && req.URL.Path == "/v1/announce" {
			announcements <- a
		}
		_, _ = io.WriteString(w, `{"next":"1h"}`)
	}))
	t.Cleanup(target.Close)
	r, _ := start(t, runner.Options{AnnounceTo: []string{target.URL}, Secret: "s3cret", DataCentre: "osijek"})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- r.Announce(ctx, "127.0.0.1:9") }()
	first := <-announcements
	assert.Equal(t, first.Address, "127.0.0.1:9")
	assert.Equal(t, first.Slots, runner.DefaultSlots)
	assert.Assert(t, !first.Draining)
	r.Drain()
	assert.Assert(t, (<-announcements).Draining)
	stop()
	assert.NilError(t, <-done)
}
