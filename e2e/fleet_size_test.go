package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/guard/subset"
)

// steadyLoad submits a job at each interval, round robin over the entries, until stop is called,
// which returns the answers other than "completed". No request is retried.
func steadyLoad(t *testing.T, f *fleet.Fleet, entries []*fleet.Node, every time.Duration) (stop func() []string) {
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	var failures []string
	var inFlight sync.WaitGroup
	inFlight.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			n := entries[i%len(entries)]
			inFlight.Go(func() {
				j := fleet.NewJob(4, 60)
				a := f.SubmitOnce(t.Context(), n, fleet.Prefix, j)
				if a.Status == http.StatusOK && a.State == "completed" {
					f.Checker.JobCompleted(j.ID, j.Tasks)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Sprintf("%s at %s: %d %s after %s", j.ID, n.ID, a.Status, a.Text, a.Took))
			})
		}
	})
	return func() []string {
		cancel()
		inFlight.Wait()
		return failures
	}
}

// Guards are stopped and restarted in turn, as in a rolling upgrade. Callers wait only for the
// capacity that the other runners lack: no request fails, none is rejected, no task runs twice
// and no answer is lost.
func TestRollingRestartOfGuardsFailsNoRequest(t *testing.T) {
	f := startFleet(t, 3, 4)
	stop := steadyLoad(t, f, f.Entries, 40*time.Millisecond)
	for _, g := range f.Guards {
		time.Sleep(300 * time.Millisecond)
		g.Process().Terminate()
		<-g.Process().Done()
		assert.NilError(t, g.Start())
	}
	time.Sleep(2 * time.Second)
	assert.Equal(t, strings.Join(stop(), "\n"), "")
}

// An entry joins at an address that no settings name. Guards must find it through the store and
// the other entries, its first callers must be served, and the callers of the other entries must
// not notice.
func TestEntryJoinsUnderLoad(t *testing.T) {
	f := startFleet(t, 4, 3)
	joining := f.Entries[3]
	joining.Process().Terminate()
	<-joining.Process().Done()
	stop := steadyLoad(t, f, f.Entries[:3], 40*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, joining.Start())
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	assert.NilError(t, eventually(ctx, func() error {
		if !f.IsReady(joining) {
			return fmt.Errorf("%s is not ready", joining.ID)
		}
		return nil
	}))
	stopJoining := steadyLoad(t, f, f.Entries[3:], 40*time.Millisecond)
	time.Sleep(time.Second)
	assert.Equal(t, strings.Join(stopJoining(), "\n"), "")
	assert.Equal(t, strings.Join(stop(), "\n"), "")
}

// Runs more entries than a guard serves. Guards discover all of them, keep sessions with twelve
// and with no other; every entry serves its callers, before and after one of them is killed, and
// no task runs twice.
func TestGuardsServeASubsetOfManyEntries(t *testing.T) {
	const entries, guards = 15, 30
	f := startFleetOf(t, fleet.Options{Entries: entries, Guards: guards, NoRelays: true})
	for _, g := range f.Guards {
		waitMetrics(t, g, fmt.Sprintf("almondguard_known_entries %d\n", entries), fmt.Sprintf("almondguard_entry_sessions %d\n", subset.DefaultSize))
	}
	stop := steadyLoad(t, f, f.Entries[1:], 20*time.Millisecond)
	time.Sleep(time.Second)
	f.Entries[0].Process().Kill()
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, strings.Join(stop(), "\n"), "")
}
