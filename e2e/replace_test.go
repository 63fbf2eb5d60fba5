package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/contract"
	"almondstand.dev/e2e/harness"
	"almondstand.dev/entry/node"
	"almondstand.dev/entry/operator"
	"almondstand.dev/guard/config"
	"almondstand.dev/settings"
	"almondstand.dev/standin/relay"
	"almondstand.dev/standin/store"
)

// underBalancedLoad calls during while callers submit jobs through a balancer that follows
// the entries' readiness, then checks every reply.
func underBalancedLoad(t *testing.T, c *harness.Cluster, during func()) harness.CheckResult {
	t.Helper()
	return underBalancedLoadOf(t, c, smallJobs, during)
}

func underBalancedLoadOf(t *testing.T, c *harness.Cluster, jobs func(int) harness.Job, during func()) harness.CheckResult {
	t.Helper()
	balancer := harness.NewBalancer(t.Context(), c.Entries)
	load := harness.StartBalancedLoad(t.Context(), "shop", 16, balancer, jobs)
	waitReplies(t, load, 100)
	during()
	waitReplies(t, load, load.Count()+200)
	replies := load.Stop()
	c.WaitIdle(t.Context())
	v := harness.Check(c.Starts(), replies)
	t.Logf("complete %d failed %d refused %d no answer %d tasks unknown %d", v.Complete, v.Failed, v.Refused, v.NoAnswer, v.Unknown)
	assert.Assert(t, len(v.Faults) == 0, "%v", v.Faults)
	return v
}

// assertNoRequestLost asserts that no caller lost a request.
func assertNoRequestLost(t *testing.T, v harness.CheckResult) {
	t.Helper()
	assert.Equal(t, v.NoAnswer, 0, "requests cut")
	assert.Equal(t, v.Failed, 0, "jobs failed")
	assert.Equal(t, v.Unknown, 0, "tasks with an unknown outcome")
}

// replaceEntry terminates an entry gracefully and starts its successor.
func replaceEntry(t *testing.T, c *harness.Cluster, e *harness.Entry) {
	t.Helper()
	e.Terminate()
	<-e.Done()
	assert.NilError(t, e.Err(), "%s", e.Log())
	assert.NilError(t, c.RestartEntry(e))
}

// All entries are replaced one after another while callers submit jobs through the balancer,
// as in the rolling update of a release. Each reports that it is not ready, accepts work until
// the balancer has noticed, finishes it and exits; its successor has the contracts and its
// quota share before it reports that it is ready. No caller notices.
func TestRollingUpdateOfEntriesUnderLoad(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 3, Guards: 3, NoRelays: true})
	v := underBalancedLoad(t, c, func() {
		for _, e := range c.Entries {
			replaceEntry(t, c, e)
		}
	})
	assertNoRequestLost(t, v)
}

// An entry is terminated while it writes a large answer to a caller with a slow connection,
// and the same answer over a slow network to another entry, whose caller had joined the job.
// No task runs any more, so draining has nothing to wait for but the two answers; both are
// written concurrently, slowly but within drain_limit, and each caller gets the whole answer.
func TestSlowReadersAreNotCutByDrain(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, longDeadlineContract(), harness.Options{Entries: 2, Guards: 2, EntrySettings: func(s *node.Settings) {
		s.Callers.MaxBodyBytes = 64 << 20
		s.ShutdownDelay = settings.Duration(10 * time.Millisecond)
	}})
	owner, other := c.Entries[0], c.Entries[1]
	id := mintID(t, client, owner)
	job := jobOf(30, `{"run":"1s","echo":"`+strings.Repeat("x", 1<<20)+`"}`)
	forwarded := background(t, client, other.Callers, id, job)
	waitStarted(t, c, id, 1)
	assert.NilError(t, owner.Relay.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass, Delay: 300 * time.Millisecond}))
	slowAnswer := putWithSlowReader(t, owner.Callers, id, client.ClientAccount, job)
	owner.Terminate()
	waitPortClosed(t, owner.Callers)
	answer, err := io.ReadAll(slowAnswer)
	assert.NilError(t, err)
	r := <-forwarded
	assert.NilError(t, r.Err)
	assert.Assert(t, r.Answer.OK(), "%d %+v", r.Answer.Status, r.Answer.Error)
	assert.Equal(t, len(r.Answer.Tasks), len(job.Tasks))
	assert.Assert(t, bytes.Equal(answer, r.Answer.Body), "%d and %d bytes", len(answer), len(r.Answer.Body))
	<-owner.Done()
	assert.NilError(t, owner.Err())
}

// A caller never finishes reading its answer. The terminating entry waits for it until
// drain_limit has passed and no longer, and its exit status reports that a request was cut.
func TestDrainLimitEndsAStuckReader(t *testing.T) {
	parallel(t)
	c, client := startCluster(t, harness.Options{Entries: 1, Guards: 1, EntrySettings: func(s *node.Settings) {
		s.Callers.MaxBodyBytes = 64 << 20
		s.DrainTimeout, s.ShutdownDelay = settings.Duration(5*time.Second), settings.Duration(10*time.Millisecond)
	}})
	id := mintID(t, client, c.Entries[0])
	slowAnswer := putWithSlowReader(t, c.Entries[0].Callers, id, client.ClientAccount, jobOf(20, `{"echo":"`+strings.Repeat("x", 1<<20)+`"}`))
	c.Entries[0].Terminate()
	<-c.Entries[0].Done()
	assert.ErrorContains(t, c.Entries[0].Err(), "exit status")
	_, err := io.ReadAll(slowAnswer)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A request under another entry's id waits at the entry that forwarded it, and that entry is
// terminated. It has no job of its own to wait for, but a caller: it exits once that caller
// has its answer.
func TestDrainWaitsForForwardedRequests(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, longDeadlineContract(), harness.Options{Entries: 2, Guards: 1})
	id := mintID(t, client, c.Entries[0])
	draining := c.Entries[1]
	job := jobOf(1, `{"run":"13s","echo":1}`)
	reply := background(t, client, draining.Callers, id, job)
	waitStarted(t, c, id, 1)
	draining.Terminate()
	r := <-reply
	assert.NilError(t, r.Err)
	assert.Assert(t, r.Answer.OK(), "%d %+v", r.Answer.Status, r.Answer.Error)
	<-draining.Done()
	assert.NilError(t, draining.Err())
	checkReplies(t, c, []harness.Reply{r})
}

// slowReader reads no faster than 4 MB/s.
type slowReader struct{ io.Reader }

func (l slowReader) Read(b []byte) (int, error) {
	n, err := l.Reader.Read(b)
	time.Sleep(time.Duration(n) * 250 * time.Nanosecond)
	return n, err
}

// putWithSlowReader submits a job over a connection with a small receive buffer, and returns
// a reader of the answer as soon as its header has arrived.
func putWithSlowReader(t *testing.T, address, id, clientName string, j harness.Job) io.Reader {
	t.Helper()
	smallBuffer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	text, err := json.Marshal(j)
	assert.NilError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+address+"/v1/submissions/"+id, bytes.NewReader(text))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+harness.Token(clientName))
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Transport{DialContext: smallBuffer.DialContext}).RoundTrip(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	assert.Equal(t, response.StatusCode, http.StatusOK)
	return slowReader{response.Body}
}

// waitPortClosed waits until nothing listens at an address any more.
func waitPortClosed(t *testing.T, address string) {
	t.Helper()
	deadline := time.Now().Add(promptLimit)
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
		assert.Assert(t, time.Now().Before(deadline), "%s still listens", address)
		time.Sleep(20 * time.Millisecond)
	}
}

// A guard terminates gracefully under load and its successor takes over its id and runner.
// The guard rejects new starts itself, notifies the entries, and answers for its running
// tasks before it exits: no job fails, and the entries use the successor.
func TestGuardReplacedUnderLoad(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 3, NoRelays: true})
	v := underBalancedLoad(t, c, func() {
		g := c.Guards[0]
		g.Terminate()
		<-g.Done()
		assert.NilError(t, g.Err(), "%s", g.Log())
		assert.NilError(t, c.RestartGuard(g))
		assert.NilError(t, c.WaitServing(t.Context(), "shop"))
	})
	assertNoRequestLost(t, v)
}

// Three guards of a rack are terminated at the same moment under load, and replaced. Half of
// all slots become unavailable at once: running tasks are finished and answered, starts in
// transit to them are rejected as not run and start on the other guards. Some tasks run for
// longer than it takes to notify the entries. No job fails, no request is cut, and the
// successors get work.
func TestRackOfGuardsReplacedUnderLoad(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 6, NoRelays: true})
	v := underBalancedLoadOf(t, c, jobsWithSomeLongTasks, func() {
		rack := c.Guards[:3]
		for _, g := range rack {
			g.Terminate()
		}
		for _, g := range rack {
			<-g.Done()
			assert.NilError(t, g.Err(), "%s", g.Log())
		}
		for _, g := range rack {
			assert.NilError(t, c.RestartGuard(g))
		}
		assert.NilError(t, c.WaitServing(t.Context(), "shop"))
		for i := range rack {
			waitStarts(t, c.Runners[i], 20)
		}
	})
	assertNoRequestLost(t, v)
}

// jobsWithSomeLongTasks returns small jobs, and for each twentieth one task of seven seconds.
func jobsWithSomeLongTasks(n int) harness.Job {
	if n%20 > 0 {
		return smallJobs(n)
	}
	j := jobOf(1, `{"run":"7s","echo":1}`)
	j.Tasks[0].Kind, j.Tasks[0].RunTime = "weld", "7s"
	return j
}

// A rack of three guards loses power at once under load and comes back. The outcome of the
// tasks that were there is unknown and they are not started again; no job waits for them,
// jobs continue on the other guards, and the restarted guards are used again.
func TestRackOfGuardsKilledAndRestartedUnderLoad(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 6, NoRelays: true})
	v := underBalancedLoad(t, c, func() {
		rack := c.Guards[:3]
		for _, g := range rack {
			g.Kill()
		}
		for _, g := range rack {
			assert.NilError(t, c.RestartGuard(g))
		}
		assert.NilError(t, c.WaitServing(t.Context(), "shop"))
	})
	assert.Equal(t, v.NoAnswer, 0)
	assert.Assert(t, v.Complete > 0)
}

// An entry is replaced while the store is down. It gets all contracts from a peer and serves
// its callers, and its contracts are those that were in force.
func TestRestartedEntryServesDuringStoreOutage(t *testing.T) {
	c, client := startCluster(t, harness.Options{Entries: 3, Guards: 2, NoRelays: true})
	c.Store.SetMode(store.Down)
	newEntry := c.Entries[0]
	newEntry.Kill()
	assert.NilError(t, c.RestartEntry(newEntry))
	assert.NilError(t, c.WaitServing(t.Context(), "shop"))
	a, err := client.Run(t.Context(), newEntry.Callers, jobOf(10, `{"run":"20ms","echo":1}`))
	assert.NilError(t, err)
	assert.Assert(t, a.OK(), "%d %+v", a.Status, a.Error)
	assert.Equal(t, revisionAt(t, newEntry), revisionAt(t, c.Entries[1]))
}

// An entry that no guard knows starts while the store is down; the next announcement, which
// would name it, is a minute away. Its peers name the guards, and it opens sessions with them
// before it reports that it is ready: its very first job runs, on both guards, instead of
// being refused for lack of an endpoint.
func TestNewEntryHasGuardSessionsWhenReady(t *testing.T) {
	c, client := startCluster(t, harness.Options{
		Entries: 2, Spare: 1, Guards: 2, NoRelays: true,
		EntrySettings: func(s *node.Settings) { s.Fleet.MinAnnounceInterval = settings.Duration(time.Minute) },
		GuardSettings: func(s *config.Settings) { s.Balancers = s.Balancers[:2] },
	})
	c.Store.SetMode(store.Down)
	newEntry := c.Spare[0]
	assert.NilError(t, c.LaunchSpare(newEntry))
	assert.NilError(t, c.WaitEntry(newEntry))
	// More tasks than one guard has slots.
	a, err := client.Run(t.Context(), newEntry.Callers, jobOf(12, `{"run":"20ms","echo":1}`))
	assert.NilError(t, err)
	assert.Assert(t, a.OK(), "%d %+v\n%s", a.Status, a.Error, newEntry.Log())
	for _, r := range c.Runners {
		assert.Assert(t, r.Starts().Total > 0, "one of the runners got no task")
	}
}

// All entries die at once and restart together, with only the store to learn the contracts
// from. All of them serve again, with the same contracts in force, and no earlier task starts
// twice.
func TestAllEntriesRestartAtOnce(t *testing.T) {
	c, _ := startCluster(t, harness.Options{Entries: 4, Guards: 3, NoRelays: true})
	before := revisionAt(t, c.Entries[0])
	v := underBalancedLoad(t, c, func() {
		for _, e := range c.Entries {
			e.Kill()
		}
		for _, e := range c.Entries {
			assert.NilError(t, c.RestartEntryUnready(e))
		}
		for _, e := range c.Entries {
			assert.NilError(t, c.WaitEntry(e))
		}
		assert.NilError(t, c.WaitServing(t.Context(), "shop"))
	})
	assert.Assert(t, v.Complete > 0)
	for _, e := range c.Entries {
		assert.Equal(t, revisionAt(t, e), before)
	}
}

// One entry is partitioned from the store and still reaches its peers. Changes of a contract
// reach it through them; its revision only increases, also when the store is reachable again.
func TestChangesReachEntryPartitionedFromStore(t *testing.T) {
	var storeRelay *relay.Relay
	c, _ := startCluster(t, harness.Options{
		Entries: 3, Guards: 1, NoRelays: true,
		EntrySettings: func(s *node.Settings) {
			if s.ID == "entry-1" {
				var err error
				storeRelay, err = harness.AddStoreRelay(t.Context(), s)
				assert.NilError(t, err)
			}
		},
	})
	entry := c.Entries[0]
	assert.NilError(t, harness.Partition(storeRelay))
	last := revisionAt(t, entry)
	for rate := range 5 {
		k := harness.Contract("shop")
		k.Rate += float64(rate + 1)
		assert.NilError(t, applyAt(t, c.Entries[1], k))
		target := revisionAt(t, c.Entries[1])
		last = waitRevision(t, entry, last, target)
	}
	assert.NilError(t, harness.Heal(storeRelay))
	for range 30 {
		now := revisionAt(t, entry)
		assert.Assert(t, now >= last, "revision went from %d to %d", last, now)
		last = now
		time.Sleep(100 * time.Millisecond)
	}
}

// waitRevision waits until the entry has the revision, and checks that its revision never
// decreases meanwhile.
func waitRevision(t *testing.T, e *harness.Entry, last, target int64) int64 {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for last < target {
		assert.Assert(t, time.Now().Before(deadline), "%s is still at revision %d", e.ID, last)
		now := revisionAt(t, e)
		assert.Assert(t, now >= last, "revision went from %d to %d", last, now)
		last = now
		time.Sleep(10 * time.Millisecond)
	}
	return last
}

// revisionAt returns the revision of the contract in force at one entry.
func revisionAt(t *testing.T, e *harness.Entry) int64 {
	t.Helper()
	var list operator.ContractList
	status, err := harness.Operate(t.Context(), e.Operators, http.MethodGet, "/v1/contracts", nil, &list)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(list.Contracts), 1)
	return list.Contracts[0].Revision
}

// applyAt applies a contract through one entry.
func applyAt(t *testing.T, e *harness.Entry, k contract.Contract) error {
	t.Helper()
	single := harness.Cluster{Entries: []*harness.Entry{e}}
	return single.Apply(t.Context(), k)
}
