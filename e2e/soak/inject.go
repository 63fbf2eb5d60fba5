package soak

import (
	"context"
	"time"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/metastore"
	"almondstand.dev/standin/relay"
	"almondstand.dev/standin/worker"
	"almondstand.dev/telemetry/uptime"
)

// inject carries one fault out and takes it back.
func (r *run) inject(ctx context.Context, f Fault) {
	entry := r.fleet.Entries[f.Which%entries]
	guard := r.fleet.Guards[f.Which%guards]
	runner := r.fleet.Runners[f.Which%guards]
	switch f.Kind {
	case EntryKill, EntryTerm:
		r.restart(ctx, entry, f, f.Kind == EntryTerm)
	case GuardKill, GuardTerm:
		r.restart(ctx, guard, f, f.Kind == GuardTerm)
	case EntryFreeze:
		freeze(ctx, entry, f.For)
	case GuardFreeze:
		freeze(ctx, guard, f.For)
	case EntryHangup:
		entry.Process().Hangup()
	case GuardHangup:
		guard.Process().Hangup()
	case RunnerCrash:
		runner.Crash()
		uptime.Sleep(ctx, f.For)
		runner.RestartWithNewID()
	case RunnerRestart:
		restartRunner(ctx, runner, f)
	case RunnerLeaves:
		runner.Drain()
		uptime.Sleep(ctx, leavesFor+f.For/2)
		runner.Restart()
	case RunnerLate, RunnerSlow, RunnerHang, RunnerFails:
		runner.SetFault(runnerFault(f))
		uptime.Sleep(ctx, f.For)
		runner.SetFault(worker.Fault{})
	case StoreDown, StoreAway, StoreSlow, StoreLoses:
		r.fleet.Store.SetFault(storeFault(f, entry.ID))
		uptime.Sleep(ctx, f.For)
		r.fleet.Store.SetFault(metastore.Fault{})
	case Configure:
		r.configure(ctx)
	case TaskCrashes:
		job := fleet.NewJob(1, 60)
		job.CrashMs = 1 + f.Which
		r.fleet.Resubmit(ctx, f.Which, job, 1)
	case RunnerShrink:
		r.shrink(ctx, runner, f)
	case Burst:
		r.burst.Store(true)
		uptime.Sleep(ctx, f.For)
		r.burst.Store(false)
	default:
		r.network(ctx, f)
	}
}

// leavesFor is how long a runner that leaves serves: longer than starts may still come.
const leavesFor = 2200 * time.Millisecond

// restartRunner ends a runner and starts it under its id. A report of the older process, every
// other one saying that it leaves, and its deregistration come when the newer is at work.
func restartRunner(ctx context.Context, runner *worker.Runner, f Fault) {
	if f.Which%2 == 0 {
		runner.Drain()
	}
	report, id := runner.DelayedReport(ctx), runner.Instance()
	runner.Kill()
	uptime.Sleep(ctx, f.For/4)
	runner.Restart()
	uptime.Sleep(ctx, f.For/4)
	report()
	runner.Deregister(ctx, id)
}

// shrink takes a runner's capacity down by steps, to nothing at last, and gives it back.
func (r *run) shrink(ctx context.Context, runner *worker.Runner, f Fault) {
	const steps = 3
	for left := steps - 1; left >= 0; left-- {
		runner.SetCapacity(left, steps)
		uptime.Sleep(ctx, f.For/steps)
	}
	runner.SetCapacity(steps, steps)
}

var runnerFaults = map[Kind]worker.Fault{
	RunnerLate:  {LateShare: 0.3, LateBy: 1800 * time.Millisecond},
	RunnerSlow:  {Slow: 4},
	RunnerHang:  {Hang: true},
	RunnerFails: {FailShare: 0.7},
}

// runnerFault makes late orders come within the validity of a start half the
// time, and after it the other half.
func runnerFault(f Fault) worker.Fault {
	fault := runnerFaults[f.Kind]
	if f.Kind == RunnerLate && f.Which%2 == 1 {
		fault.LateBy = 300 * time.Millisecond
	}
	return fault
}

func storeFault(f Fault, entry string) metastore.Fault {
	modes := []metastore.Mode{metastore.Silent, metastore.Busy, metastore.Reset}
	switch f.Kind {
	case StoreDown:
		return metastore.Fault{Outage: modes[f.Which%3], ExpireLeases: f.Which%2 == 0}
	case StoreAway:
		return metastore.Fault{Outage: modes[f.Which%3], Callers: []string{entry}, ExpireLeases: true}
	case StoreSlow:
		return metastore.Fault{Delay: 250 * time.Millisecond}
	default:
		return metastore.Fault{LoseShare: 0.5}
	}
}

// network harms the network to an entry or a runner.
func (r *run) network(ctx context.Context, f Fault) {
	net := r.fleet.EntryNets[f.Which%entries]
	runner := r.fleet.RunnerNets[f.Which%guards]
	through := relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}
	set := func(s relay.State) {
		_ = net.Set(s)
		uptime.Sleep(ctx, f.For)
		_ = net.Set(through)
	}
	switch f.Kind {
	case EntryCut:
		set(relay.State{ToTarget: relay.Drop, ToClient: relay.Drop, Refuse: true})
	case EntryOneWay:
		set(relay.State{ToTarget: relay.Pass, ToClient: relay.Drop})
	case EntryStalls:
		set(relay.State{ToTarget: relay.Stall, ToClient: relay.Stall})
	case EntryDelay:
		set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass, Delay: 40 * time.Millisecond})
	case EntryReset:
		net.Reset()
	case EntrySilent:
		net.Blackhole(true, true)
	case RunnerReset:
		runner.Reset()
	case RunnerSilent:
		runner.Blackhole(true, true)
	}
}

// restart ends a process, as planned or not, and starts it after a while. Two
// restarts of one process may overlap: each waits for its end.
func (r *run) restart(ctx context.Context, n *fleet.Node, f Fault, graceful bool) {
	n.Restarting.Lock()
	defer n.Restarting.Unlock()
	p := n.Process()
	if graceful {
		p.Terminate()
		select {
		case <-p.Done():
		case <-time.After(8 * time.Second):
			r.fleet.Judge.ReportViolation("%s did not end within 8 s of SIGTERM", n.ID)
		}
	}
	p.Thaw()
	p.Kill()
	uptime.Sleep(ctx, f.For/4)
	if err := n.Start(); err != nil {
		r.fleet.Judge.ReportViolation("%s: %v", n.ID, err)
	}
}

func freeze(ctx context.Context, n *fleet.Node, d time.Duration) {
	p := n.Process()
	p.Freeze()
	uptime.Sleep(ctx, d)
	p.Thaw()
}
