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

// patient is the time within which an answer must come that does not wait for
// its job's deadline: half of the answer time of patientContract.
const patient = 30 * time.Second

// patientContract leaves so much time that an answer held until the deadline
// can be told from one that came as soon as the failure was known.
func patientContract() contract.Contract {
	k := harness.Contract("patient")
	k.AnswerTime = contract.Duration(2 * patient)
	return k
}

// hastyContract ends tasks and jobs early, for faults that only a limit ends.
func hastyContract() contract.Contract {
	k := harness.Contract("hasty")
	k.AnswerTime = contract.Duration(4 * time.Second)
	k.RunLimit = contract.Duration(1500 * time.Millisecond)
	return k
}

// together bounds the clusters of this and the other files that use parallel.
var together = make(chan struct{}, 4)

// parallel lets a test that mostly waits run beside a few others.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	together <- struct{}{}
	t.Cleanup(func() { <-together })
}

// startClusterFor is startCluster with another contract in force.
func startClusterFor(t *testing.T, k contract.Contract, o harness.Options) (*harness.Cluster, *harness.Client) {
	t.Helper()
	c, _ := startCluster(t, o)
	assert.NilError(t, c.Apply(t.Context(), k))
	assert.NilError(t, c.WaitSettled(t.Context(), k.Client))
	return c, harness.NewClient(k.Client)
}

// numberedJobs are jobs of one to six short tasks, each with an answer of its own.
func numberedJobs(n int) harness.Job {
	j := harness.Job{Service: harness.Service}
	for i := range 1 + n%6 {
		payload := fmt.Sprintf(`{"run":"30ms","echo":{"job":%d,"task":%d}}`, n, i)
		j.Tasks = append(j.Tasks, harness.Task{Kind: "lookup", Payload: []byte(payload)})
	}
	return j
}

// assertOwnAnswers checks that each complete job got the answers to its own tasks.
func assertOwnAnswers(t *testing.T, replies []harness.Reply) {
	t.Helper()
	for _, r := range replies {
		if r.Err != nil || !r.Answer.OK() {
			continue
		}
		for i, one := range r.Answer.Tasks {
			var asked struct{ Echo json.RawMessage }
			assert.NilError(t, json.Unmarshal(r.Job.Tasks[i].Payload, &asked))
			assert.Assert(t, bytes.Equal(one.Payload, asked.Echo), "%s/%d: %s for %s", r.Answer.Submission, i, one.Payload, asked.Echo)
		}
	}
}

// judgeReplies holds replies against the runners' record once nothing runs.
func judgeReplies(t *testing.T, c *harness.Cluster, replies []harness.Reply) harness.Verdict {
	t.Helper()
	c.WaitIdle(t.Context())
	v := harness.Judge(c.Starts(), replies)
	t.Logf("complete %d failed %d refused %d no answer %d tasks unknown %d %v; longest answer %s",
		v.Complete, v.Failed, v.Refused, v.NoAnswer, v.Unknown, v.Codes, longest(replies))
	assert.Assert(t, len(v.Faults) == 0, "%v", v.Faults)
	assertOwnAnswers(t, replies)
	return v
}

func longest(replies []harness.Reply) time.Duration {
	var most time.Duration
	for _, r := range replies {
		if r.Err == nil {
			most = max(most, r.Answer.Took)
		}
	}
	return most.Round(time.Millisecond)
}

// silence is a way in which open connections go silent while new ones work.
type silence struct {
	name               string
	toTarget, toClient bool
}

var silences = []silence{
	{"towards the server", true, false},
	{"towards the client", false, true},
	{"both ways", true, true},
}

// underSilences runs every silence under a load, with answers between.
func underSilences(t *testing.T, load *harness.Load, relays ...*relay.Relay) {
	t.Helper()
	for _, s := range silences {
		n := 0
		for _, r := range relays {
			n += r.Blackhole(s.toTarget, s.toClient)
		}
		t.Logf("%s: %d connections silent", s.name, n)
		assert.Assert(t, n > 0)
		waitReplies(t, load, load.Count()+150)
	}
}

// callers is a number of callers that leaves slots free, so that an answer is
// late by a fault and not by the queue.
const callers = 8

var repeating = harness.Patience{Attempt: time.Second, All: time.Minute}

// Callers' connections to the entries go silent. A caller gives up on a request
// after a second and repeats it under the same id at another entry, over a
// new connection; the first copy may have been taken and its answer lost. Every
// submission ends complete, and no task of it ran twice.
func TestCallerConnectionsSilent(t *testing.T) {
	parallel(t)
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 2})
	var fronts []*harness.Entry
	var relays []*relay.Relay
	for _, e := range c.Entries {
		r, front, err := c.FrontCallers(e)
		assert.NilError(t, err)
		fronts = append(fronts, front)
		relays = append(relays, r)
	}
	load := harness.StartRepeatingLoad(t.Context(), "shop", callers, fronts, repeating, numberedJobs)
	waitReplies(t, load, 100)
	underSilences(t, load, relays...)
	v := judgeReplies(t, c, load.Stop())
	assert.Equal(t, v.Complete, v.Complete+v.Failed+v.Refused+v.NoAnswer)
}

// The connections between entries go silent, so that requests passed on to the
// owner or its answers are lost. The entry that was asked notices by its pings,
// opens a new connection and tells its callers to ask again under the same id;
// the owner joins the repeats to the job. Each task runs once.
func TestForwardConnectionsSilent(t *testing.T) {
	parallel(t)
	c, _ := startCluster(t, harness.Options{Entries: 2, Guards: 2})
	// Only the other entry is asked, so that every request is passed on.
	load := harness.StartRepeatingLoad(t.Context(), "shop", callers, c.Entries,
		harness.Patience{Attempt: 10 * time.Second, All: time.Minute}, numberedJobs)
	waitReplies(t, load, 100)
	underSilences(t, load, c.Entries[0].Relay, c.Entries[1].Relay)
	v := judgeReplies(t, c, load.Stop())
	assert.Equal(t, v.Complete, v.Complete+v.Failed+v.Refused+v.NoAnswer)
}

// The connections from the entries to all guards go silent, with starts on their
// way and results coming back. The entry's ping misses, it opens a new connection
// and asks the same guard what became of each start: the guard gives the result,
// or bars the start, which may then run elsewhere. The guards live, so no outcome
// stays unknown, and no answer waits for its job's deadline.
func TestGuardConnectionsSilent(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, patientContract(), harness.Options{Entries: 2, Guards: 3})
	load := harness.StartLoad(t.Context(), client.Customer, callers, c.Entries, numberedJobs)
	waitReplies(t, load, 100)
	underSilences(t, load, guardRelays(c)...)
	replies := load.Stop()
	v := judgeReplies(t, c, replies)
	assert.Equal(t, v.Unknown, 0)
	assert.Equal(t, v.Failed+v.Refused+v.NoAnswer, 0)
	assert.Assert(t, longest(replies) < patient, "%s", longest(replies))
}

func guardRelays(c *harness.Cluster) []*relay.Relay {
	var all []*relay.Relay
	for _, g := range c.Guards {
		all = append(all, g.Relay)
	}
	return all
}

// The network between entries and guards loses everything, or holds it back, for
// longer than an entry waits for a reply, and then works again. What was held
// back arrives after the entry has asked about it: a late Start finds the bar, a
// late reply belongs to no open start. Nobody gets another one's answer.
func TestGuardNetworkOutForAWhile(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, patientContract(), harness.Options{Entries: 2, Guards: 3})
	load := harness.StartLoad(t.Context(), client.Customer, callers, c.Entries, numberedJobs)
	waitReplies(t, load, 100)
	for _, s := range []relay.State{
		{ToTarget: relay.Stall, ToClient: relay.Pass},
		{ToTarget: relay.Pass, ToClient: relay.Stall},
		{ToTarget: relay.Pass, ToClient: relay.Drop},
		{ToTarget: relay.Drop, ToClient: relay.Pass},
	} {
		setAll(t, c.Guards[:1], s)
		time.Sleep(3 * time.Second)
		setAll(t, c.Guards[:1], clearNetwork)
		waitReplies(t, load, load.Count()+100)
	}
	replies := load.Stop()
	v := judgeReplies(t, c, replies)
	assert.Equal(t, v.Unknown, 0)
	assert.Assert(t, longest(replies) < patient, "%s", longest(replies))
}

var clearNetwork = relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}

func setAll(t *testing.T, guards []*harness.Guard, s relay.State) {
	t.Helper()
	for _, g := range guards {
		assert.NilError(t, g.Relay.Set(s))
	}
}

// Replies take longer than an entry waits for them, on the way to one guard, and
// come back to speed while they are under way: questions about starts overtake
// the starts, and late replies cross those to the questions. Every caller gets
// the whole answer to its own job.
func TestRepliesLateAndCrossed(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, patientContract(), harness.Options{Entries: 2, Guards: 3})
	load := harness.StartLoad(t.Context(), client.Customer, callers, c.Entries, numberedJobs)
	waitReplies(t, load, 100)
	for _, delay := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		slow := clearNetwork
		slow.Delay = delay
		setAll(t, c.Guards[:2], slow)
		time.Sleep(2500 * time.Millisecond)
		setAll(t, c.Guards[:2], clearNetwork)
		waitReplies(t, load, load.Count()+100)
	}
	replies := load.Stop()
	v := judgeReplies(t, c, replies)
	assert.Equal(t, v.Unknown, 0)
	assert.Assert(t, longest(replies) < patient, "%s", longest(replies))
}

// The connections between a guard and its runner go silent. Nobody can ask the
// runner what became of a task: the run limit ends it, and the caller learns what
// is known, which is never "not run" of a task that ran. The slots come back: a
// job as wide as the runner completes afterwards.
func TestRunnerConnectionsSilent(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, hastyContract(), harness.Options{Entries: 2, Guards: 2})
	silentRunners(t, c, client)
}

// The same without guards: the entry itself loses the runner. What it can say is
// "may have run", and the slots come back as well.
func TestBareRunnerConnectionsSilent(t *testing.T) {
	parallel(t)
	c, client := startClusterFor(t, hastyContract(), harness.Options{Entries: 2, Bare: 2})
	silentRunners(t, c, client)
}

func silentRunners(t *testing.T, c *harness.Cluster, client *harness.Client) {
	t.Helper()
	load := harness.StartLoad(t.Context(), client.Customer, callers, c.Entries, numberedJobs)
	waitReplies(t, load, 100)
	for _, s := range silences {
		n := c.Runners[0].Relay.Blackhole(s.toTarget, s.toClient)
		t.Logf("%s: %d connections silent", s.name, n)
		assert.Assert(t, n > 0)
		waitReplies(t, load, load.Count()+100)
	}
	judgeReplies(t, c, load.Stop())
	assertSlotsFree(t, c, client)
}

// assertSlotsFree submits a job as wide as all slots until one completes.
func assertSlotsFree(t *testing.T, c *harness.Cluster, client *harness.Client) {
	t.Helper()
	const slots = 8
	ctx, stop := context.WithTimeout(t.Context(), patient)
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
	assert.Equal(t, c.Starts().Doubles, 0)
}
