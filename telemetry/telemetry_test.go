package telemetry_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/telemetry"
)

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// Guards against scrapes of /metrics without any counter: without a reporting interval tally
// never passes counts to the reporter.
func TestScrapeIncludesCounters(t *testing.T) {
	m := telemetry.NewMetrics("almond")
	defer func() { _ = m.Close() }()
	mux := http.NewServeMux()
	telemetry.Handle(mux, m, &telemetry.Ready{})
	server := httptest.NewServer(mux)
	defer server.Close()
	m.Scope.Counter("jobs").Inc(3)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = telemetry.NewProcess(m.Scope).Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, body := get(t, server.URL+"/metrics")
		if strings.Contains(body, "almond_jobs 3") && strings.Contains(body, "almond_process_cpu_seconds") {
			return poll.Success()
		}
		return poll.Continue("no counter in %q", body)
	}, poll.WithTimeout(30*time.Second))
}

func TestReadiness(t *testing.T) {
	mux := http.NewServeMux()
	ready := &telemetry.Ready{}
	telemetry.Handle(mux, nil, ready)
	server := httptest.NewServer(mux)
	defer server.Close()
	status, _ := get(t, server.URL+"/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	ready.Set(true)
	status, _ = get(t, server.URL+"/readyz")
	assert.Equal(t, status, http.StatusOK)
	ready.Set(false)
	status, _ = get(t, server.URL+"/healthz")
	assert.Equal(t, status, http.StatusOK)
}

func TestLogger(t *testing.T) {
	var out bytes.Buffer
	logger, err := telemetry.NewLogger(&out, "warn", telemetry.FormatJSON)
	assert.NilError(t, err)
	logger.Info("hidden")
	logger.Log(context.Background(), slog.LevelWarn, "shown")
	assert.Assert(t, !strings.Contains(out.String(), "hidden"))
	assert.Assert(t, strings.Contains(out.String(), `"msg":"shown"`))
	_, err = telemetry.NewLogger(&out, "loud", telemetry.FormatJSON)
	assert.ErrorIs(t, err, telemetry.ErrLogSettings)
	_, err = telemetry.NewLogger(&out, "info", "xml")
	assert.ErrorIs(t, err, telemetry.ErrLogSettings)
}

func TestReadUsage(t *testing.T) {
	u := telemetry.ReadUsage()
	assert.Assert(t, u.RSS > 0)
	assert.Assert(t, u.Goroutines > 0)
}

func TestControlCountsBothSides(t *testing.T) {
	client := telemetry.NewControlTraffic(tally.NoopScope)
	server := telemetry.NewControlTraffic(tally.NoopScope)
	kind := func(r *http.Request) string { return strings.Trim(r.URL.Path, "/") }
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	s := httptest.NewServer(server.Handler(echo, kind))
	defer s.Close()
	hc := &http.Client{Transport: client.Transport(http.DefaultTransport, kind)}
	for _, path := range []string{"/exchange", "/exchange", "/"} {
		resp, err := hc.Post(s.URL+path, "text/plain", strings.NewReader("0123456789"))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, string(body), "0123456789")
	}
	// The server updates its counts after the client has received the response; closing the
	// server waits for that.
	s.Close()
	for _, c := range []*telemetry.ControlTraffic{client, server} {
		all := c.Snapshot()
		assert.Equal(t, len(all), 1)
		assert.Equal(t, all[0].Kind, "exchange")
		assert.Equal(t, all[0].Calls, int64(2))
		assert.Assert(t, all[0].Sent > 20 && all[0].Sent < 1000, "sent %d", all[0].Sent)
		assert.Assert(t, all[0].Received > 20 && all[0].Received < 1000, "received %d", all[0].Received)
	}
}
