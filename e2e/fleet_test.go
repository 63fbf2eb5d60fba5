package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/caller"
	"almondstand.dev/standin/metastore"
	"almondstand.dev/standin/worker"
)

// startFleet starts a fleet, waits until it is ready, and fails the test at its end if the
// fleet's Checker found a violation.
func startFleet(t *testing.T, entries, guards int) *fleet.Fleet {
	t.Helper()
	return startFleetOf(t, fleet.Options{Entries: entries, Guards: guards})
}

func startFleetOf(t *testing.T, o fleet.Options) *fleet.Fleet {
	t.Helper()
	o.Binaries, o.Dir = binaries, t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f, err := fleet.New(t.Context(), o)
	assert.NilError(t, err)
	t.Cleanup(func() {
		f.Close()
		if violations := f.Checker.Violations(); len(violations) > 0 {
			t.Errorf("violations:\n%s", strings.Join(violations, "\n"))
			t.Logf("trace of these jobs:\n%s", f.Trace(violations))
		}
		if t.Failed() {
			for _, n := range append(f.Entries, f.Guards...) {
				t.Logf("%s:\n%s", n.ID, lastLines(n.Process().Log(), 60))
			}
		}
	})
	assert.NilError(t, f.AwaitReady(ctx))
	// Every entry must have a session with a guard before faults begin.
	assert.NilError(t, eventually(ctx, func() error {
		for i := range f.Entries {
			if a := f.Submit(ctx, i, fleet.NewJob(1, 10), 1); a.Status != 200 {
				return fmt.Errorf("entry %d answers %d %s", i, a.Status, a.Text)
			}
		}
		return nil
	}))
	return f
}

func lastLines(text string, n int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(len(lines)-n, 0):], "\n")
}

// eventually retries until there is no error, or the context ends.
func eventually(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// load submits jobs to all entries until stop is called, which returns the number of
// answers by status.
func load(t *testing.T, f *fleet.Fleet, every time.Duration, tasks, ms int) (stop func() map[int]int) {
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	got := map[int]int{}
	var inFlight sync.WaitGroup
	var next atomic.Int64
	inFlight.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			inFlight.Go(func() {
				a := f.Submit(t.Context(), int(next.Add(1)), fleet.NewJob(tasks, ms), 3)
				mu.Lock()
				got[a.Status]++
				mu.Unlock()
			})
		}
	})
	return func() map[int]int {
		cancel()
		inFlight.Wait()
		return got
	}
}

// A fleet without faults completes every job, and each task runs once.
func TestFleetServes(t *testing.T) {
	f := startFleet(t, 2, 3)
	stop := load(t, f, 20*time.Millisecond, 4, 40)
	time.Sleep(2 * time.Second)
	got := stop()
	assert.Equal(t, len(got), 1, "%v", got)
	assert.Assert(t, got[200] > 60, "%v", got)
}

// The caller's connection breaks when its entry is killed, and the job is resubmitted to
// another entry 1.3 s later. The runs ordered by the dead entry must have ended by then:
// their guards no longer hear from it and stop them.
func TestFleetEntryKilled(t *testing.T) {
	f := startFleet(t, 2, 2)
	stop := load(t, f, 25*time.Millisecond, 4, 900)
	for range 3 {
		time.Sleep(800 * time.Millisecond)
		f.Entries[0].Process().Kill()
		time.Sleep(300 * time.Millisecond)
		assert.NilError(t, f.Entries[0].Start())
		time.Sleep(1500 * time.Millisecond)
	}
	got := stop()
	assert.Assert(t, got[200] > 0, "%v", got)
}

// As above, but the entry is suspended for longer than its callers wait, and then continues
// with stale state.
func TestFleetEntrySuspended(t *testing.T) {
	f := startFleet(t, 2, 2)
	stop := load(t, f, 25*time.Millisecond, 4, 900)
	for range 2 {
		time.Sleep(700 * time.Millisecond)
		f.Entries[0].Process().Suspend()
		time.Sleep(2500 * time.Millisecond)
		f.Entries[0].Process().Resume()
	}
	time.Sleep(500 * time.Millisecond)
	got := stop()
	assert.Assert(t, got[200] > 0, "%v", got)
}

// A guard is killed with runs at its runner and orders in transit. Its successor doesn't
// know what resources they use: it must end them before it starts anything, or the runner
// would exceed its capacity.
func TestFleetGuardKilled(t *testing.T) {
	f := startFleet(t, 2, 2)
	f.Runners[0].SetFault(worker.Fault{LateShare: 0.1, LateBy: 1500 * time.Millisecond})
	stop := load(t, f, 25*time.Millisecond, 4, 300)
	for range 3 {
		time.Sleep(600 * time.Millisecond)
		f.Guards[0].Process().Kill()
		assert.NilError(t, f.Guards[0].Start())
		time.Sleep(1200 * time.Millisecond)
	}
	got := stop()
	assert.Assert(t, got[200] > 0, "%v", got)
}

// 30 % of the orders get no answer and are carried out 2 s later. A start without an answer
// must be ruled out, by an acknowledged stop or the end of its lease, before another start
// replaces it: otherwise both would run.
func TestFleetLateOrders(t *testing.T) {
	f := startFleet(t, 2, 3)
	for _, r := range f.Runners {
		r.SetFault(worker.Fault{LateShare: 0.3, LateBy: 2 * time.Second})
	}
	stop := load(t, f, 30*time.Millisecond, 4, 100)
	time.Sleep(5 * time.Second)
	got := stop()
	time.Sleep(2500 * time.Millisecond)
	assert.Assert(t, got[200] > 0, "%v", got)
	assert.Equal(t, f.Checker.Running(), 0)
}

// A guard is suspended with runs at its runner: their lease must expire, since their callers
// may have resubmitted elsewhere by the time it resumes.
func TestFleetGuardSuspended(t *testing.T) {
	f := startFleet(t, 2, 2)
	stop := load(t, f, 30*time.Millisecond, 4, 700)
	time.Sleep(700 * time.Millisecond)
	f.Guards[0].Process().Suspend()
	time.Sleep(3 * time.Second)
	f.Guards[0].Process().Resume()
	time.Sleep(500 * time.Millisecond)
	got := stop()
	assert.Assert(t, got[200] > 0, "%v", got)
}

// A runner crashes and a new incarnation starts at its address. A delayed report of the old
// incarnation arrives after the new one's: the guard must keep using the new incarnation.
func TestFleetRunnerRestartsWithNewID(t *testing.T) {
	f := startFleet(t, 1, 1)
	r := f.Runners[0]
	sendDelayedReport := r.DelayedReport(t.Context())
	r.Crash()
	time.Sleep(200 * time.Millisecond)
	r.RestartWithNewID()
	r.Report(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	submitOne := func() error {
		if a := f.Submit(ctx, 0, fleet.NewJob(2, 10), 1); a.Status != 200 {
			return fmt.Errorf("%d %s", a.Status, a.Text)
		}
		return nil
	}
	assert.NilError(t, eventually(ctx, submitOne))
	sendDelayedReport()
	for range 20 {
		assert.NilError(t, submitOne())
		time.Sleep(20 * time.Millisecond)
	}
}

// An entry that is terminated gracefully answers every request that it has accepted, and a
// SIGHUP ends no process.
func TestFleetGracefulShutdown(t *testing.T) {
	f := startFleet(t, 2, 2)
	for _, n := range append(f.Entries, f.Guards...) {
		n.Process().Hangup()
	}
	var inFlight sync.WaitGroup
	for range 12 {
		inFlight.Go(func() {
			a := f.SubmitOnce(t.Context(), f.Entries[0], fleet.Prefix, fleet.NewJob(1, 800))
			assert.Check(t, a.Status == 200, "%d %s", a.Status, a.Text)
		})
	}
	time.Sleep(100 * time.Millisecond)
	f.Entries[0].Process().Terminate()
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, !f.IsReady(f.Entries[0]))
	a := f.SubmitOnce(t.Context(), f.Entries[0], fleet.Prefix, fleet.NewJob(1, 10))
	assert.Equal(t, a.Status, 200, "new work must be accepted until the balancer has noticed: %s", a.Text)
	inFlight.Wait()
	<-f.Entries[0].Process().Done()
	assert.NilError(t, f.Entries[0].Process().Err())
}

// Guards against rejected jobs when entries are rolled: a caller that keeps its connection to an
// entry learns that the entry shuts down while the connection is idle, and not by a rejection.
func TestFleetShutdownClosesIdleConnections(t *testing.T) {
	f := startFleet(t, 2, 2)
	var d net.Dialer
	conn, err := d.DialContext(t.Context(), "tcp", f.Entries[0].CallersAddress)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	body := fleet.NewJob(1, 10).Body()
	_, err = fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", fleet.Prefix, 7, fleet.Host, len(body), body)
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, 200)
	_, err = io.Copy(io.Discard, res.Body)
	assert.NilError(t, err)
	var open sync.WaitGroup
	defer open.Wait()
	open.Go(func() {
		job := fleet.NewJob(1, 3500)
		job.Deadline = 5 * time.Second
		a := f.SubmitOnce(t.Context(), f.Entries[0], fleet.Prefix, job)
		assert.Check(t, a.Status == 200, "%d %s", a.Status, a.Text)
	})
	time.Sleep(100 * time.Millisecond)
	f.Entries[0].Process().Terminate()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	select {
	case <-f.Entries[0].Process().Done():
		t.Error("the entry ended before its open job")
	default:
	}
}

// A change of the configuration is in force within 2 s of its write to the store. A value
// that can't be parsed changes nothing. An entry that gets no answer from the store
// receives the change from another entry.
func TestFleetConfiguration(t *testing.T) {
	f := startFleet(t, 2, 1)
	post := func(i int, path string) int {
		return f.SubmitOnce(t.Context(), f.Entries[i], path, fleet.NewJob(1, 10)).Status
	}
	f.Configure("/new/")
	time.Sleep(2 * time.Second)
	for i := range f.Entries {
		assert.Equal(t, post(i, "/new/"), 200)
		assert.Equal(t, post(i, fleet.Prefix), 404)
	}
	f.Store.Put(metastore.ConfigKey, []byte("{"))
	time.Sleep(2 * time.Second)
	for i := range f.Entries {
		assert.Equal(t, post(i, "/new/"), 200)
	}
	f.Store.SetFault(metastore.Fault{Outage: metastore.Silent, Callers: []string{f.Entries[0].ID}})
	time.Sleep(time.Second)
	f.Configure("/newer/")
	time.Sleep(2 * time.Second)
	for i := range f.Entries {
		assert.Equal(t, post(i, "/newer/"), 200, "entry %d", i)
	}
}

// While the store is down, jobs are served. A path that isn't known may belong to a
// contract that this entry has not received yet: the entry must not answer 404.
func TestFleetStoreDown(t *testing.T) {
	f := startFleet(t, 2, 1)
	f.Store.SetFault(metastore.Fault{Outage: metastore.Silent})
	time.Sleep(2500 * time.Millisecond)
	for i := range f.Entries {
		a := f.SubmitOnce(t.Context(), f.Entries[i], fleet.Prefix, fleet.NewJob(1, 10))
		assert.Equal(t, a.Status, 200, a.Text)
		a = f.SubmitOnce(t.Context(), f.Entries[i], "/unknown/", fleet.NewJob(1, 10))
		assert.Equal(t, a.Status, 503, a.Text)
		assert.Assert(t, a.RetryAfter != "")
	}
}

// Invalid requests get a specific error at once and start nothing.
func TestFleetBadInput(t *testing.T) {
	f := startFleet(t, 1, 1)
	before := f.Checker.Starts()
	id := fleet.NewJob(1, 1).ID
	post := func(name, path, body, deadline string, status int, state string) {
		a := f.Post(t.Context(), f.Entries[0], path, []byte(body), deadline)
		assert.Equal(t, a.Status, status, "%s: %s", name, a.Text)
		assert.Equal(t, a.State, state, name)
		assert.Assert(t, a.Took < 300*time.Millisecond, "%s took %v", name, a.Took)
	}
	for _, c := range caller.InvalidBodies() {
		post(c.Name, fleet.Prefix+id, c.Body, "1500", c.Status, c.State)
	}
	post("bad id", fleet.Prefix+"xyz", "{}", "1500", 400, "")
	post("no route", "/nowhere/"+id, "{}", "1500", 404, "")
	post("no time", fleet.Prefix+id, string(fleet.NewJob(1, 1).Body()), "0", 503, "")
	assert.Equal(t, f.Checker.Starts(), before)
}

// All processes lose power while the store is down, and restart before it is back. Guards
// have to discover an entry again that their settings don't name as a seed: otherwise its
// callers would get "no runner" permanently.
func TestFleetAllRestart(t *testing.T) {
	f := startFleet(t, 5, 2)
	f.Store.SetFault(metastore.Fault{Outage: metastore.Busy, ExpireLeases: true})
	nodes := append(append([]*fleet.Node{}, f.Entries...), f.Guards...)
	for _, n := range nodes {
		n.Process().Kill()
	}
	for _, n := range nodes {
		assert.NilError(t, n.Start())
	}
	time.Sleep(1500 * time.Millisecond)
	f.Store.SetFault(metastore.Fault{})
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	for i := range f.Entries {
		assert.NilError(t, eventually(ctx, func() error {
			if a := f.Submit(ctx, i, fleet.NewJob(1, 10), 1); a.Status != 200 {
				return fmt.Errorf("entry %d answers %d %s", i+1, a.Status, a.Text)
			}
			return nil
		}))
	}
}

// The store answers few calls per second and rejects the others. A configuration must still
// be in force everywhere within 3 s, an entry that starts must get one and be discovered by
// the guards, and no request fails because of it.
func TestFleetStoreIsShortOfCalls(t *testing.T) {
	parallel(t)
	f := startFleet(t, 3, 2)
	f.Store.SetRateLimits(metastore.RateLimits{Reads: 5, Writes: 3})
	stop := load(t, f, 20*time.Millisecond, 2, 40)
	time.Sleep(2 * time.Second)
	f.Configure(fleet.Prefix, "/second/")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	for _, n := range f.Entries {
		assert.NilError(t, eventually(ctx, func() error {
			if a := f.SubmitOnce(ctx, n, "/second/", fleet.NewJob(1, 10)); a.Status != 200 {
				return fmt.Errorf("%s answers %d %s", n.ID, a.Status, a.Text)
			}
			return nil
		}))
	}
	n := f.Entries[2]
	n.Process().Terminate()
	<-n.Process().Done()
	assert.NilError(t, n.Start())
	restartCtx, cancelRestart := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancelRestart()
	assert.NilError(t, f.AwaitReady(restartCtx))
	answers := stop()
	assert.Assert(t, answers[500]+answers[502]+answers[504] == 0, "%v", answers)
	assert.Assert(t, answers[200] > 0, "%v", answers)
}
