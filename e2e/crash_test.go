package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/harness"
)

// smallJobs returns job n of a load: one to ten short tasks.
func smallJobs(n int) harness.Job {
	return jobOf(1+n%10, `{"run":"30ms","echo":{"part":"core"}}`)
}

// underLoad injects a failure while callers submit jobs, then checks every reply against
// the starts recorded by the runners.
func underLoad(t *testing.T, c *harness.Cluster, entries []*harness.Entry, failure func()) harness.CheckResult {
	t.Helper()
	load := harness.StartLoad(t.Context(), "shop", 24, entries, smallJobs)
	waitReplies(t, load, 100)
	failure()
	waitReplies(t, load, load.Count()+200)
	replies := load.Stop()
	c.WaitIdle(t.Context())
	v := harness.Check(c.Starts(), replies)
	t.Logf("complete %d failed %d refused %d no answer %d tasks unknown %d", v.Complete, v.Failed, v.Refused, v.NoAnswer, v.Unknown)
	assert.Assert(t, len(v.Faults) == 0, "%v", v.Faults)
	return v
}

func waitReplies(t *testing.T, load *harness.Load, n int) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for load.Count() < n {
		assert.Assert(t, time.Now().Before(deadline), "only %d replies", load.Count())
		time.Sleep(10 * time.Millisecond)
	}
}

// A guard dies with tasks running and queued. Its runner continues the tasks that it was
// given. Callers of those tasks are told at once that they may have run; none of these
// tasks is started again on another guard, and later jobs complete.
func TestGuardKilledUnderLoad(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 3, NoRelays: true})
	v := underLoad(t, c, c.Entries, func() {
		c.Guards[0].Kill()
	})
	assert.Assert(t, v.Complete > 0)
	assert.Equal(t, v.NoAnswer, 0)
}

// A guard is killed and restarted under its id while starts meant for the first
// incarnation are still in transit: the second incarnation must not run them.
func TestGuardRestartedUnderLoad(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 2})
	underLoad(t, c, c.Entries, func() {
		c.Guards[0].Kill()
		assert.NilError(t, c.RestartGuard(c.Guards[0]))
	})
}

// A guard is suspended for longer than its callers wait, with starts in its socket
// buffers, and resumed. By then each of those starts has a tombstone, is resolved or has long
// been reported as unknown; no task starts twice and no "not run" was false.
func TestGuardSuspendedAndResumedUnderLoad(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 3})
	underLoad(t, c, c.Entries, func() {
		c.Guards[0].Suspend()
		time.Sleep(6 * time.Second)
		c.Guards[0].Resume()
	})
}

// An entry dies with jobs open. Its callers' connections break; the other entries keep
// serving, and the tasks that had started run to their end once.
func TestEntryKilledUnderLoad(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 3, Guards: 2})
	v := underLoad(t, c, c.Entries, func() {
		c.Entries[0].Kill()
	})
	assert.Assert(t, v.NoAnswer > 0)
}

// An entry is terminated while the balancer keeps sending requests to it for a while.
// Every request that it accepted gets a complete answer; later ones are refused as not
// run, or find the port closed once the process has ended.
func TestEntryDrainedUnderLoad(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 2})
	drained := c.Entries[0]
	load := harness.StartLoad(t.Context(), "shop", 24, c.Entries[:1], smallJobs)
	other := harness.StartLoad(t.Context(), "shop", 24, c.Entries[1:], smallJobs)
	waitReplies(t, load, 100)
	drained.Terminate()
	// The balancer's last requests: the entry reports that it is not ready, and still accepts
	// work.
	time.Sleep(time.Second)
	replies := load.Stop()
	<-drained.Done()
	assert.NilError(t, drained.Err())
	replies = append(replies, other.Stop()...)
	c.WaitIdle(t.Context())
	v := harness.Check(c.Starts(), replies)
	assert.Equal(t, v.NoAnswer, 0)
	assert.Equal(t, v.Failed, 0)
	assert.Assert(t, len(v.Faults) == 0, "%v", v.Faults)
}
