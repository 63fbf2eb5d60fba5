package e2e

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/relay"
	"almondstand.dev/standin/worker"
)

// Limits of the platform for a task of a cancelled job, counted from its start.
const (
	cancelLimit = 3 * time.Second
	stopGrace   = 50 * time.Millisecond
)

// Guards against a task that runs on after its job was cancelled, because its runner left the
// start request unanswered and carries it out late: with all processes alive, with the
// guard's or the entry's process replaced, and with both.
func TestLateStartAfterCancelIsStopped(t *testing.T) {
	guards := func(t *testing.T, f *fleet.Fleet) {
		for _, g := range f.Guards {
			g.Process().Kill()
			assert.NilError(t, g.Start())
		}
	}
	entry := func(_ *testing.T, f *fleet.Fleet) { f.Entries[0].Process().Kill() }
	for name, replace := range map[string]func(*testing.T, *fleet.Fleet){
		"all alive":       func(*testing.T, *fleet.Fleet) {},
		"guards replaced": guards,
		"entry gone":      entry,
		"both":            func(t *testing.T, f *fleet.Fleet) { entry(t, f); guards(t, f) },
	} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			lateStartAfterCancel(t, replace)
		})
	}
}

func lateStartAfterCancel(t *testing.T, replace func(*testing.T, *fleet.Fleet)) {
	const late, unanswered, cancelAfter = 450 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond
	f := startFleet(t, 2, 2)
	// Other runs keep the runners' leases valid, which a late start needs to begin.
	stop := load(t, f, 50*time.Millisecond, 2, 200)
	time.Sleep(300 * time.Millisecond)
	for _, r := range f.Runners {
		r.SetFault(worker.Fault{LateShare: 1, LateBy: late})
	}
	ctx, cancel := context.WithCancel(t.Context())
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		j := fleet.NewJob(4, 20_000)
		j.Deadline = 30 * time.Second
		f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, j)
	}()
	time.Sleep(unanswered)
	for _, r := range f.Runners {
		r.SetFault(worker.Fault{})
	}
	time.Sleep(cancelAfter - unanswered)
	cancel()
	<-returned
	replace(t, f)
	time.Sleep(late)
	stop()
	ctx, cancel = context.WithTimeout(t.Context(), cancelLimit+stopGrace)
	defer cancel()
	assert.NilError(t, eventually(ctx, func() error {
		if n := f.Checker.Running(); n > 0 {
			return fmt.Errorf("%d tasks are still running", n)
		}
		return nil
	}))
}

// Guards against a run that continues after its caller has disconnected, because the order to
// stop it was lost with a session: the job, resubmitted elsewhere, then runs twice.
func TestStopOrderLostWithSessionIsResent(t *testing.T) {
	f := startFleet(t, 1, 1)
	net := f.EntryRelays[0]
	job := fleet.NewJob(1, 5000)
	job.Deadline = 7 * time.Second
	ctx, disconnect := context.WithCancel(t.Context())
	var caller sync.WaitGroup
	caller.Go(func() { f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, job) })
	waitUntil(t, 5*time.Second, "the run has not started", func() bool { return f.Checker.Running() == 1 })
	assert.NilError(t, net.Set(relay.State{ToTarget: relay.Drop, ToClient: relay.Drop, Refuse: true}))
	net.Reset()
	time.Sleep(50 * time.Millisecond)
	disconnect()
	caller.Wait()
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, net.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}))
	waitUntil(t, cancelLimit, "the run has not been stopped", func() bool { return f.Checker.Running() == 0 })
}

// waitUntil waits until done holds; unmet is the error if it does not within the limit.
func waitUntil(t *testing.T, limit time.Duration, unmet string, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	assert.NilError(t, eventually(ctx, func() error {
		if done() {
			return nil
		}
		return errors.New(unmet)
	}))
}
