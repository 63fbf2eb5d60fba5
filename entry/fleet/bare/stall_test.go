package bare

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Verifies that time during which this process was suspended does not count as a task's
// run time.
func TestRunTimeExcludesStalls(t *testing.T) {
	const run, suspended = 50 * time.Millisecond, time.Second
	var stalled atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(run + suspended)
		stalled.Store(int64(suspended))
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(server.Close)
	c := New(Options{
		Address: server.Listener.Addr().String(), Connections: 1, MaxResponseBytes: 1 << 20,
		StalledTime: func() time.Duration { return time.Duration(stalled.Load()) },
	})
	t.Cleanup(c.Close)
	answer, err := c.Call(t.Context(), request("part 4711"))
	assert.NilError(t, err)
	assert.Assert(t, answer.RunTime >= run && answer.RunTime < suspended, "%s", answer.RunTime)
}
