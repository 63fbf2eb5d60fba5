package worker

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a start that arrived at one process and was executed by the next without a record
// of both.
func TestTraceNamesTheProcessesOfALateStart(t *testing.T) {
	const late = 50 * time.Millisecond
	r := &Runner{CPU: 1 << 40, Checker: NewChecker()}
	assert.NilError(t, r.Listen("127.0.0.1"))
	defer r.Kill()
	first := clockTime(r.processStart)
	r.SetFault(Fault{LateShare: 1, LateBy: late})
	ctx, cancel := context.WithTimeout(t.Context(), late/5)
	defer cancel()
	body := `{"task":"j.0.0.0","run_id":3,"task_spec":"{\"ms\":60000}","until_ms":3600500,"fencing_token":7}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address()+StartPath, bytes.NewReader([]byte(body)))
	assert.NilError(t, err)
	_, err = http.DefaultClient.Do(req)
	assert.Assert(t, err != nil)
	r.Restart()
	for r.runCount() == 0 {
		time.Sleep(tickInterval)
	}
	events := r.Checker.Trace()
	for i, want := range []string{"started", "left unanswered", "ended with 0 runs", "started", "token raised from 0 to 7 by " + StartPath + ", arrived ", "executed, status 200 ok"} {
		assert.Assert(t, strings.Contains(events[i].Text, want), "%d: %s", i, events[i].Text)
	}
	last := events[len(events)-1]
	assert.Equal(t, last.Job, "j")
	assert.Assert(t, strings.Contains(last.Text, "process "+clockTime(r.processStart)), "%s", last.Text)
	assert.Assert(t, strings.Contains(last.Text, "run 3 token 7 valid until 3600500 ms, arrived") && strings.Contains(last.Text, "at process "+first), "%s", last.Text)
}
