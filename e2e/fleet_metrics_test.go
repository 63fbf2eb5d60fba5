package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/metastore"
)

// scrape returns a node's metrics.
func scrape(n *fleet.Node) (string, error) {
	res, err := http.Get("http://" + n.MetricsAddress + "/metrics")
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}

// waitMetrics waits until a node exports series that begin with the given texts.
func waitMetrics(t *testing.T, n *fleet.Node, series ...string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	err := eventually(ctx, func() error {
		text, err := scrape(n)
		if err != nil {
			return err
		}
		for _, s := range series {
			if !strings.Contains(text, "\n"+s) {
				return fmt.Errorf("%s does not export %s", n.ID, s)
			}
		}
		return nil
	})
	if err != nil {
		text, _ := scrape(n)
		t.Fatalf("%v\n%s", err, text)
	}
}

// Checks the metrics of a fleet that has served jobs and whose store then stops answering: at
// the entry jobs by outcome and reason, queueing, runners by state and the store's answers; at
// the guard runs, rejected orders, and whether leases are renewed in time.
func TestFleetMetrics(t *testing.T) {
	parallel(t)
	f := startFleet(t, 1, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.Equal(t, f.Submit(ctx, 0, fleet.NewJob(4, 400), 1).Status, http.StatusOK)
	tooLate := fleet.NewJob(40, 300)
	tooLate.Deadline = 400 * time.Millisecond
	assert.Assert(t, f.Submit(ctx, 0, tooLate, 1).Status != http.StatusOK)
	f.Store.SetFault(metastore.Fault{Outage: metastore.Silent})
	waitMetrics(t, f.Entries[0],
		`almondstand_jobs_ended_total{contract="`,
		`almondstand_job_wait_seconds_bucket{`,
		`almondstand_queue_oldest_seconds`,
		`almondstand_endpoints{state="taking"} 2`,
		`almondstand_endpoints{state="detached"} 0`,
		`almondstand_store_calls_total{call="read",outcome="answered"}`,
		`almondstand_store_calls_total{call="read",outcome="unanswered"}`,
		`almondstand_store_call_seconds_bucket{`,
		`almondstand_config_version`,
		`almondstand_log_lines_left_out`,
		`almondstand_members 1`,
		`almondstand_members_unlisted 0`,
		`almondstand_members_list_age_seconds`,
		`almondstand_connections{from="callers"}`,
		`almondstand_connections{from="fleet"} 2`,
	)
	waitMetrics(t, f.Guards[0],
		`almondguard_runner_starts_total`,
		`almondguard_runner_lease_left_seconds_bucket{`,
		`almondguard_runner_leases_late_total 0`,
		`almondguard_known_entries 1`,
		`almondguard_entry_sessions 1`,
		`almondguard_entry_sessions_opened_total 1`,
	)
}
