package jobs

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
)

// Guards against early rejections, returns and wrong predictions that an operator does not see.
func TestPredictionsAreCountedAndLogged(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(scope)
	var out bytes.Buffer
	l := slog.New(slog.NewJSONHandler(&out, nil))
	for _, d := range []planner.Ended{
		{Job: "a", Outcome: planner.Refused, Prediction: &planner.Prediction{WorkAhead: 31.512, Wait: 2 * time.Second, TimeLeft: time.Second, Rule: planner.RuleBacklog, OnArrival: true}},
		{Job: "a", Outcome: planner.Completed, Started: true, Waited: 130 * time.Millisecond, Prediction: &planner.Prediction{Wait: 100 * time.Millisecond}, Returned: true},
		{Job: "b", Outcome: planner.Refused, Prediction: &planner.Prediction{Wait: time.Second}},
	} {
		m.countEnded("bulk", d)
		logEnded(l, d, planner.Terms{Contract: "bulk"}, time.Second)
	}
	counters := scope.Snapshot().Counters()
	assert.Equal(t, counters["jobs_rejected_early_total+contract=bulk,rule=backlog_limit"].Value(), int64(1))
	assert.Equal(t, counters["jobs_returned_total+contract=bulk,outcome=completed"].Value(), int64(1))
	recorded := scope.Snapshot().Histograms()["job_wait_less_predicted_seconds+"].Values()
	assert.Equal(t, recorded[0.05], int64(1), "%v", recorded)
	for _, text := range []string{`"msg":"job.rejected_early"`, `"work_ahead":31.51,"predicted_wait_ms":2000,"time_left_ms":1000`, `"msg":"job.returned"`} {
		assert.Equal(t, strings.Count(out.String(), text), 1, "%s in %s", text, out.String())
	}
}
