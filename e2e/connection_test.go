package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/contract"
	"almondstand.dev/e2e/harness"
	"almondstand.dev/standin/relay"
)

// promptLimit bounds answers that must not wait for their job's deadline: half of the
// answer time of longDeadlineContract.
const promptLimit = 30 * time.Second

// longDeadlineContract has an answer time so long that an answer held until the deadline
// can be distinguished from one that was sent as soon as the failure was known.
func longDeadlineContract() contract.Contract {
	k := harness.Contract("patient")
	k.AnswerTime = contract.Duration(2 * promptLimit)
	return k
}

// shortDeadlineContract ends tasks and jobs early, for faults that only a time limit ends.
func shortDeadlineContract() contract.Contract {
	k := harness.Contract("hasty")
	k.AnswerTime = contract.Duration(4 * time.Second)
	k.RunLimit = contract.Duration(1500 * time.Millisecond)
	return k
}

// parallelSlots bounds the clusters that run at a time in this file and in the others
// that use parallel.
var parallelSlots = make(chan struct{}, 4)

// parallel lets a test that mostly waits run in parallel with a few others.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	parallelSlots <- struct{}{}
	t.Cleanup(func() { <-parallelSlots })
}

// startClusterFor is startCluster with a second contract, k, and a client of it.
func startClusterFor(t *testing.T, k contract.Contract, o harness.Options) (*harness.Cluster, *harness.Client) {
	t.Helper()
	c, _ := startCluster(t, o)
	assert.NilError(t, c.Apply(t.Context(), k))
	assert.NilError(t, c.WaitServing(t.Context(), k.Client))
	return c, harness.NewClient(k.Client)
}

// numberedJobs returns job n of a load: one to six short tasks, each with a distinct answer.
func numberedJobs(n int) harness.Job {
	j := harness.Job{Service: harness.Service}
	for i := range 1 + n%6 {
		payload := fmt.Sprintf(`{"run":"30ms","echo":{"job":%d,"task":%d}}`, n, i)
		j.Tasks = append(j.Tasks, harness.Task{Kind: "lookup", Payload: []byte(payload)})
	}
	return j
}

// assertAnswersMatchTasks checks that each complete job got the answers to its own tasks.
func assertAnswersMatchTasks(t *testing.T, replies []harness.Reply) {
	t.Helper()
	for _, r := range replies {
		if r.Err != nil || !r.Answer.OK() {
			continue
		}
		for i, one := range r.Answer.Tasks {
			var sent struct{ Echo json.RawMessage }
			assert.NilError(t, json.Unmarshal(r.Job.Tasks[i].Payload, &sent))
			assert.Assert(t, bytes.Equal(one.Payload, sent.Echo), "%s/%d: %s for %s", r.Answer.Submission, i, one.Payload, sent.Echo)
		}
	}
}

// checkReplies checks replies against the starts recorded by the runners, once no task runs.
func checkReplies(t *testing.T, c *harness.Cluster, replies []harness.Reply) harness.CheckResult {
	t.Helper()
	c.WaitIdle(t.Context())
	v := harness.Check(c.Starts(), replies)
	t.Logf("complete %d failed %d refused %d no answer %d tasks unknown %d %v; longest answer %s",
		v.Complete, v.Failed, v.Refused, v.NoAnswer, v.Unknown, v.Codes, longestAnswer(replies))
	assert.Assert(t, len(v.Faults) == 0, "%v", v.Faults)
	assertAnswersMatchTasks(t, replies)
	return v
}

func longestAnswer(replies []harness.Reply) time.Duration {
	var longest time.Duration
	for _, r := range replies {
		if r.Err == nil {
			longest = max(longest, r.Answer.Took)
		}
	}
	return longest.Round(time.Millisecond)
}

// blackholeDirection is the direction in which open connections go silent while new
// connections work.
type blackholeDirection struct {
	name               string
	toTarget, toClient bool
}

var blackholeDirections = []blackholeDirection{
	{"to the server", true, false},
	{"to the client", false, true},
	{"both directions", true, true},
}

// blackholeUnderLoad blackholes the relays' connections in each direction under a load,
// and waits for further replies after each.
func blackholeUnderLoad(t *testing.T, load *harness.Load, relays ...*relay.Relay) {
	t.Helper()
	for _, s := range blackholeDirections {
		n := 0
		for _, r := range relays {
			n += r.Blackhole(s.toTarget, s.toClient)
		}
		t.Logf("%s: %d connections blackholed", s.name, n)
		assert.Assert(t, n > 0)
		waitReplies(t, load, load.Count()+150)
	}
}

// callers is a number of callers that leaves slots free, so that only a fault, and not
// the queue, can delay an answer.
const callers = 8

var retryPolicy = harness.RetryPolicy{PerTryTimeout: time.Second, Timeout: time.Minute}

// Callers' connections to the entries go silent. A caller times out after a second and
// retries under the same id at another entry over a new connection; the first request
// may have been accepted and its answer lost. Every submission completes, and none of
// its tasks runs twice.
func TestCallerConnectionsSilent(t *testing.T) {
	parallel(t)
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 2})
	var relayedEntries []*harness.Entry
	var relays []*relay.Relay
	for _, e := range c.Entries {
		r, relayed, err := c.RelayCallers(e)
		assert.NilError(t, err)
		relayedEntries = append(relayedEntries, relayed)
		relays = append(relays, r)
	}
	load := harness.StartRetryingLoad(t.Context(), "shop", callers, relayedEntries, retryPolicy, numberedJobs)
	waitReplies(t, load, 100)
	blackholeUnderLoad(t, load, relays...)
	v := checkReplies(t, c, load.Stop())
	assert.Equal(t, v.Complete, v.Complete+v.Failed+v.Refused+v.NoAnswer)
}

// The connections between entries go silent, so that requests forwarded to the owner, or
// its answers, are lost. The forwarding entry detects it by its pings, opens a new
// connection and tells its callers to retry under the same id; the owner joins the
// retries to the running job. Each task runs once.
func TestForwardConnectionsSilent(t *testing.T) {
	parallel(t)
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 2})
	// Each submission goes first to the entry that does not own it, so that it is forwarded.
	load := harness.StartRetryingLoad(t.Context(), "shop", callers, c.Entries,
		harness.RetryPolicy{PerTryTimeout: 10 * time.Second, Timeout: time.Minute}, numberedJobs)
	waitReplies(t, load, 100)
	blackholeUnderLoad(t, load, c.Entries[0].Relay, c.Entries[1].Relay)
	v := checkReplies(t, c, load.Stop())
	assert.Equal(t, v.Complete, v.Complete+v.Failed+v.Refused+v.NoAnswer)
}

// The connections from the entries to all guards go silent, with starts and results in
// transit. The entry's ping times out; it opens a new connection and queries the same
// guard for each start: the guard returns the result, or records a tombstone for the
// start, which may then run elsewhere. The guards are alive, so no outcome stays
// unknown, and no answer waits for its job's deadline.
func TestGuardConnectionsSilent(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, longDeadlineContract(), harness.Options{Entries: 2, Guards: 3})
	load := harness.StartLoad(t.Context(), client.ClientAccount, callers, c.Entries, numberedJobs)
	waitReplies(t, load, 100)
	blackholeUnderLoad(t, load, guardRelays(c)...)
	replies := load.Stop()
	v := checkReplies(t, c, replies)
	assert.Equal(t, v.Unknown, 0)
	assert.Equal(t, v.Failed+v.Refused+v.NoAnswer, 0)
	assert.Assert(t, longestAnswer(replies) < promptLimit, "%s", longestAnswer(replies))
}

func guardRelays(c *harness.Cluster) []*relay.Relay {
	var all []*relay.Relay
	for _, g := range c.Guards {
		all = append(all, g.Relay)
	}
	return all
}

// The network between the entries and a guard drops or stalls all traffic for longer
// than an entry waits for a reply, and then recovers. Stalled messages arrive after the
// entry has queried the starts: a late Start meets the tombstone that the query left in
// the guard, and a late reply matches no open start. No caller gets another one's answer.
func TestTemporaryGuardNetworkOutage(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, longDeadlineContract(), harness.Options{Entries: 2, Guards: 3})
	load := harness.StartLoad(t.Context(), client.ClientAccount, callers, c.Entries, numberedJobs)
	waitReplies(t, load, 100)
	for _, s := range []relay.State{
		{ToTarget: relay.Stall, ToClient: relay.Pass},
		{ToTarget: relay.Pass, ToClient: relay.Stall},
		{ToTarget: relay.Pass, ToClient: relay.Drop},
		{ToTarget: relay.Drop, ToClient: relay.Pass},
	} {
		setGuardRelays(t, c.Guards[:1], s)
		time.Sleep(3 * time.Second)
		setGuardRelays(t, c.Guards[:1], healthyNetwork)
		waitReplies(t, load, load.Count()+100)
	}
	replies := load.Stop()
	v := checkReplies(t, c, replies)
	assert.Equal(t, v.Unknown, 0)
	assert.Assert(t, longestAnswer(replies) < promptLimit, "%s", longestAnswer(replies))
}

var healthyNetwork = relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}

func setGuardRelays(t *testing.T, guards []*harness.Guard, s relay.State) {
	t.Helper()
	for _, g := range guards {
		assert.NilError(t, g.Relay.Set(s))
	}
}

// Replies on the way to two guards are delayed for longer than an entry waits for them,
// and the delay ends while some are in transit: queries about starts overtake the starts,
// and late replies cross those to the queries. Every caller gets the complete answer to
// its own job.
func TestRepliesLateAndReordered(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, longDeadlineContract(), harness.Options{Entries: 2, Guards: 3})
	load := harness.StartLoad(t.Context(), client.ClientAccount, callers, c.Entries, numberedJobs)
	waitReplies(t, load, 100)
	for _, delay := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		slow := healthyNetwork
		slow.Delay = delay
		setGuardRelays(t, c.Guards[:2], slow)
		time.Sleep(2500 * time.Millisecond)
		setGuardRelays(t, c.Guards[:2], healthyNetwork)
		waitReplies(t, load, load.Count()+100)
	}
	replies := load.Stop()
	v := checkReplies(t, c, replies)
	assert.Equal(t, v.Unknown, 0)
	assert.Assert(t, longestAnswer(replies) < promptLimit, "%s", longestAnswer(replies))
}

// The connections between a guard and its runner go silent. Nobody can query the runner
// about a task: the run limit ends it, and the caller's answer says what is known, which is
// never "not run" for a task that ran. The slots are released: a job that needs all slots
// of the runners completes afterwards.
func TestRunnerConnectionsSilent(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, shortDeadlineContract(), harness.Options{Entries: 2, Guards: 2})
	blackholeRunnerUnderLoad(t, c, client)
}

// The same without guards: the entry itself loses its connection to the runner. It can
// only answer "may have run", and the slots are released as well.
func TestBareRunnerConnectionsSilent(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, shortDeadlineContract(), harness.Options{Entries: 2, Bare: 2})
	blackholeRunnerUnderLoad(t, c, client)
}

func blackholeRunnerUnderLoad(t *testing.T, c *harness.Cluster, client *harness.Client) {
	t.Helper()
	load := harness.StartLoad(t.Context(), client.ClientAccount, callers, c.Entries, numberedJobs)
	waitReplies(t, load, 100)
	for _, s := range blackholeDirections {
		n := c.Runners[0].Relay.Blackhole(s.toTarget, s.toClient)
		t.Logf("%s: %d connections blackholed", s.name, n)
		assert.Assert(t, n > 0)
		waitReplies(t, load, load.Count()+100)
	}
	checkReplies(t, c, load.Stop())
	assertSlotsFree(t, c, client)
}

// assertSlotsFree submits jobs that need all slots to each entry until one completes.
func assertSlotsFree(t *testing.T, c *harness.Cluster, client *harness.Client) {
	t.Helper()
	const slots = 8
	ctx, stop := context.WithTimeout(t.Context(), promptLimit)
	defer stop()
	for _, e := range c.Entries {
		var a *harness.Answer
		var err error
		for a == nil || !a.OK() {
			assert.NilError(t, ctx.Err(), "%+v", a)
			a, err = client.Run(ctx, e.Callers, jobOf(slots*len(c.Runners), `{"run":"200ms","echo":1}`))
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, c.Starts().Duplicates, 0)
}
