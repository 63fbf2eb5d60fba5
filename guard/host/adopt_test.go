package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
	"almondstand.dev/platform/runner"
	"almondstand.dev/telemetry/uptime"
)

// secondAddress is the address of the second runner of a pair.
const secondAddress = "127.0.0.1:2"

// runnerPair is a host with an adopted runner, and a second runner that has not announced itself.
type runnerPair struct {
	t             *testing.T
	host          *Host
	sink          *reportRecorder
	first, second *fakeRunner
}

func newRunnerPair(t *testing.T) *runnerPair {
	t.Helper()
	p := &runnerPair{t: t, first: newFakeRunner(), second: newFakeRunner()}
	p.host, p.sink = startHostWith(t, p.first, func(target runner.Target) Runner {
		if target.Address == firstAddress {
			return p.first
		}
		return p.second
	})
	keepAlive(t, p.host)
	return p
}

// announce sends reports of the second runner until the test ends.
func (p *runnerPair) announce() {
	ctx := p.t.Context()
	go func() {
		for seq := int64(1); ctx.Err() == nil; seq++ {
			p.host.HandleReport(runner.Report{Instance: "i2", Service: "s", Address: secondAddress, Seq: seq, Clock: p.second.clock(), Capacity: work.Amounts{CPUMilli: 32000}})
			uptime.Sleep(ctx, 100*time.Millisecond)
		}
	}()
}

// startRun starts a run at the first runner.
func (p *runnerPair) startRun() work.RunnerRunID {
	p.t.Helper()
	run := order(p.host)
	p.sink.waitFor(p.t, runs.Running)
	return run
}

// cutFirst drops all further calls to the first runner.
func (p *runnerPair) cutFirst() {
	p.first.set(func() {
		for _, call := range []string{"start", "stop", "poll"} {
			p.first.dropCalls[call] = 1 << 30
		}
	})
}

// waitEndOfLease waits for the report on the first runner's run, which must come soon after the
// end of its lease and not before.
func (p *runnerPair) waitEndOfLease() {
	p.t.Helper()
	assert.Assert(p.t, p.waitEnd(2*time.Second).State != runs.NotStarted)
	p.first.mu.Lock()
	defer p.first.mu.Unlock()
	early := p.first.lease - p.first.clock()
	assert.Assert(p.t, early < 0, "reported as over %s before the end of its lease", early)
}

// ends returns the final reports.
func (p *runnerPair) ends() []runs.Report {
	p.sink.mu.Lock()
	defer p.sink.mu.Unlock()
	var ends []runs.Report
	for _, r := range p.sink.reports {
		if r.State != runs.Running {
			ends = append(ends, r)
		}
	}
	return ends
}

// waitEnd waits for the first final report and returns it.
func (p *runnerPair) waitEnd(limit time.Duration) runs.Report {
	p.t.Helper()
	p.wait("the end of the run", limit, func() bool { return len(p.ends()) > 0 })
	return p.ends()[0]
}

// waitAdopted waits until the second runner accepts starts.
func (p *runnerPair) waitAdopted(limit time.Duration) {
	p.t.Helper()
	p.wait("adoption of the second runner", limit, func() bool {
		c := p.host.Capacity()
		return c.ID == "i2" && c.AcceptsStarts
	})
}

func (p *runnerPair) wait(what string, limit time.Duration, done func() bool) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(time.Millisecond))
}

// Guards against a run that goes on after it was reported as over: another process announces
// itself at another address while the run's process works.
func TestRunGoesOnWhileAnotherProcessAnnouncesItself(t *testing.T) {
	p := newRunnerPair(t)
	run := p.startRun()
	p.announce()
	time.Sleep(2 * time.Second)
	assert.Equal(t, len(p.ends()), 0, "%v", p.ends())
	p.first.end(run, work.Done)
	assert.Equal(t, p.waitEnd(time.Second).State, runs.Done)
	p.first.set(func() { p.first.down = runner.ErrConnectionRefused })
	p.waitAdopted(time.Second)
}

// Guards against a run that is reported as over before its lease has expired: its process is cut
// off and another one announces itself at another address.
func TestRunOfASilentProcessIsOverWithItsLease(t *testing.T) {
	p := newRunnerPair(t)
	p.startRun()
	p.cutFirst()
	p.announce()
	p.waitEndOfLease()
	p.waitAdopted(time.Second)
	for _, r := range p.ends() {
		assert.Equal(t, r.State, runs.Stopped, "nothing shows that the process crashed")
	}
}

// Guards against a run of a deregistered process being reported as over before its lease has
// expired, or only when its caller gives up: the process is silent.
func TestRunOfASilentDeregisteredProcessIsOverWithItsLease(t *testing.T) {
	p := newRunnerPair(t)
	p.startRun()
	p.cutFirst()
	p.host.HandleShutdown("i")
	p.waitEndOfLease()
	p.wait("the removal of the process", time.Second, func() bool { return p.host.Capacity().ID == "" })
}

// A process that has ended is replaced at once, whatever the address of the next one.
func TestEndedProcessIsReplacedAtOnce(t *testing.T) {
	for name, err := range map[string]error{"nothing listens": runner.ErrConnectionRefused, "another process answers": runner.ErrReplaced} {
		t.Run(name, func(t *testing.T) {
			p := newRunnerPair(t)
			p.startRun()
			p.first.set(func() { p.first.down = err })
			p.announce()
			assert.Equal(t, p.waitEnd(leaseEndMargin).State, runs.Crashed)
			p.waitAdopted(time.Second)
		})
	}
}

// Guards against a crash that is not reported because its process was silent before.
func TestSilentProcessThatHasEndedHasCrashed(t *testing.T) {
	p := newRunnerPair(t)
	p.startRun()
	p.cutFirst()
	p.announce()
	p.wait("the lease is left to expire", time.Second, func() bool { return !p.host.Capacity().AcceptsStarts })
	p.first.set(func() { p.first.down = runner.ErrConnectionRefused })
	assert.Equal(t, p.waitEnd(time.Second).State, runs.Crashed)
	p.waitAdopted(time.Second)
}

// A process that drains and has no runs left is replaced while it still answers.
func TestDrainedProcessIsReplaced(t *testing.T) {
	p := newRunnerPair(t)
	run := p.startRun()
	p.host.HandleReport(runner.Report{Instance: "i", Service: "s", Address: firstAddress, Seq: 1 << 20, Draining: true, Clock: p.first.clock(), Capacity: work.Amounts{CPUMilli: 32000}})
	p.announce()
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, len(p.ends()), 0, "%v", p.ends())
	p.first.end(run, work.Done)
	assert.Equal(t, p.waitEnd(time.Second).State, runs.Done)
	p.waitAdopted(time.Second)
}

// Guards against a process losing its lease to a delayed report of another one that has ended.
func TestReportOfAnEndedProcessEndsNoLease(t *testing.T) {
	p := newRunnerPair(t)
	p.startRun()
	p.second.set(func() { p.second.down = runner.ErrConnectionRefused })
	p.first.set(func() { p.first.dropCalls["poll"] = 12 })
	p.announce()
	p.wait("the lost polls", 3*time.Second, func() bool {
		p.first.mu.Lock()
		defer p.first.mu.Unlock()
		return p.first.dropCalls["poll"] == 0
	})
	p.host.mu.Lock()
	defer p.host.mu.Unlock()
	assert.Assert(t, p.host.table.LeaseUntil(uptime.Now()) > uptime.Now())
}

// Guards against a run that is reported as over while its runner holds a lease: a delayed start
// began it at the next process under its runner's id, whose clock starts anew, so that the lease
// is the longest that runners grant. The process then answers neither polls nor stops.
func TestLeaseOfRunAtTheNextProcessIsTheLongest(t *testing.T) {
	const longest = 1500 * time.Millisecond
	f := newFakeRunner()
	h, sink := startHost(t, f)
	h.mu.Lock()
	h.opt.MaxLease = longest
	h.mu.Unlock()
	keepAlive(t, h)
	run := order(h)
	_, _ = sink.waitFor(t, runs.Running)
	f.set(func() { f.dropCalls["poll"], f.dropCalls["stop"] = 1000, 1000 })
	next := work.Incarnation{ID: "i", StartedMilli: 1}
	listing := work.Listing{Clock: time.Second, Running: []work.RunnerRunID{run}}
	h.install(runner.Report{Instance: next.ID, StartedMilli: next.StartedMilli, Seq: 1, Capacity: work.Amounts{CPUMilli: 32000}},
		&process{Incarnation: next, api: f, requestedAt: uptime.Now(), listingClock: listing.Clock}, 1, listing, true)
	h.Submit(uptime.Now(), owner, nil, []work.RunID{{Task: run.Task, Attempt: 1}})
	begin := uptime.Now()
	time.Sleep(longest)
	sink.mu.Lock()
	defer sink.mu.Unlock()
	for _, r := range sink.reports {
		assert.Equal(t, r.State, runs.Running, "%v %v", r, r.EndedAt-begin)
	}
}
