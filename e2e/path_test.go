// Package e2e tests the real processes under failures, against simulated stores and runners.
package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/harness"
	"almondstand.dev/entry/operator"
)

var binaries harness.Binaries

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "almondstand-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries, err = harness.Build(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startCluster starts a cluster, with one client's contract in force at every entry and
// every endpoint known to every entry.
func startCluster(t *testing.T, o harness.Options) (*harness.Cluster, *harness.Client) {
	t.Helper()
	o.Binaries = binaries
	o.Dir = t.TempDir()
	c, err := harness.Start(t.Context(), o)
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Stop()
		if t.Failed() {
			showLogs(t, c)
		}
	})
	assert.NilError(t, c.Apply(t.Context(), harness.Contract("shop")))
	assert.NilError(t, c.WaitServing(t.Context(), "shop"))
	return c, harness.NewClient("shop")
}

func showLogs(t *testing.T, c *harness.Cluster) {
	for _, e := range c.Entries {
		t.Logf("%s:\n%s", e.ID, e.Log())
	}
	for _, g := range c.Guards {
		t.Logf("%s:\n%s", g.ID, g.Log())
	}
}

func jobOf(n int, payload string) harness.Job {
	j := harness.Job{Service: harness.Service}
	for range n {
		j.Tasks = append(j.Tasks, harness.Task{Kind: "lookup", Payload: []byte(payload)})
	}
	return j
}

func TestJobEndToEnd(t *testing.T) {
	c, client := startCluster(t, harness.Options{Entries: 2, Guards: 2, Bare: 1})
	for _, e := range c.Entries {
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		a, err := client.Run(ctx, e.Callers, jobOf(100, `{"run":"20ms","echo":{"part":"core"}}`))
		assert.NilError(t, err)
		assert.Assert(t, a.OK(), "%d %+v", a.Status, a.Error)
		assert.Equal(t, len(a.Tasks), 100)
		for _, one := range a.Tasks {
			assert.Assert(t, bytes.Equal(one.Payload, []byte(`{"part":"core"}`)), "%s", one.Payload)
		}
	}
	record := c.Starts()
	assert.Equal(t, record.Total, 200)
	assert.Equal(t, record.Duplicates, 0)
	assertControlReported(t, c.Entries[0])
}

// assertControlReported checks that an entry's report contains every kind of control traffic
// that it had.
func assertControlReported(t *testing.T, e *harness.Entry) {
	t.Helper()
	var report operator.Control
	_, err := harness.Operate(t.Context(), e.Operators, http.MethodGet, "/v1/control", nil, &report)
	assert.NilError(t, err)
	seen := map[string]bool{}
	for _, k := range report.Traffic {
		seen[k.Kind] = k.Calls > 0 && k.Sent > 0 && k.Received > 0
	}
	for _, kind := range []string{"announce", "exchange", "hello", "store"} {
		assert.Assert(t, seen[kind], "%s is missing in %+v", kind, report.Traffic)
	}
}
