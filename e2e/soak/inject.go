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

// inject injects one fault and, after its duration, removes it.
func (r *run) inject(ctx context.Context, f Fault) {
	entry := r.fleet.Entries[f.Index%entries]
	guard := r.fleet.Guards[f.Index%guards]
	runner := r.fleet.Runners[f.Index%guards]
	switch f.Kind {
	case EntryKill, EntryTerm:
		r.restart(ctx, entry, f, f.Kind == EntryTerm)
	case GuardKill, GuardTerm:
		r.restart(ctx, guard, f, f.Kind == GuardTerm)
	case EntrySuspend:
		suspend(ctx, entry, f.Duration)
	case GuardSuspend:
		suspend(ctx, guard, f.Duration)
	case EntryHangup:
		entry.Process().Hangup()
	case GuardHangup:
		guard.Process().Hangup()
	case RunnerCrash:
		runner.Crash()
		uptime.Sleep(ctx, f.Duration)
		runner.RestartWithNewID()
	case RunnerRestart:
		restartRunnerWithLateReport(ctx, runner, f)
	case RunnerDrain:
		runner.Drain()
		uptime.Sleep(ctx, drainDuration+f.Duration/2)
		runner.Restart()
	case RunnerLateRequests, RunnerSlow, RunnerHang, RunnerFailsTasks, RunnerUnresponsive, RunnerNoProgress:
		runner.SetFault(runnerFault(f))
		uptime.Sleep(ctx, f.Duration)
		runner.SetFault(worker.Fault{})
	case StoreOutage, StoreUnavailableToEntry, StoreSlow, StoreLosesResponses:
		r.fleet.Store.SetFault(storeFault(f, entry.ID))
		r.fleet.Checker.SetStoreDown(f.Kind == StoreOutage)
		uptime.Sleep(ctx, f.Duration)
		r.fleet.Store.SetFault(metastore.Fault{})
		r.fleet.Checker.SetStoreDown(false)
	case Cordon, CordonSeries:
		r.cordon(ctx, f)
	case Configure:
		r.configure(ctx)
	case TaskCrashes:
		job := fleet.NewJob(1, 60)
		job.CrashMs = 1 + f.Index
		r.fleet.Resubmit(ctx, f.Index, job, 1)
	case RunnerShrink:
		r.shrinkCapacity(ctx, runner, f)
	case Burst:
		r.burst.Store(true)
		uptime.Sleep(ctx, f.Duration)
		r.burst.Store(false)
	case CallersLeave, EntryThrottle, GuardThrottle, CallersHalfOpen, EntryHalfOpen:
		r.injectCallerFault(ctx, f, entry, guard)
	case HandoverEntryKill, HandoverEntrySuspend, HandoverEntryCut:
		r.handOver(ctx, f)
	default:
		r.injectNetworkFault(ctx, f)
	}
}

// cordonDuration is how long a cordon lasts at least: until after the bound for starts.
const cordonDuration = 5 * time.Second

// cordon cordons one data centre at a time, so that the other one serves; it does nothing while one
// is cordoned.
func (r *run) cordon(ctx context.Context, f Fault) {
	if !r.cordoning.TryLock() {
		return
	}
	defer r.cordoning.Unlock()
	dc := dataCentres[f.Index%len(dataCentres)]
	if f.Kind == CordonSeries {
		r.fleet.Cordon(dc)
		uptime.Sleep(ctx, f.Duration/16)
		r.fleet.Uncordon(dc)
		uptime.Sleep(ctx, f.Duration/16)
	}
	r.fleet.Cordon(dc)
	uptime.Sleep(ctx, cordonDuration+f.Duration)
	r.fleet.Uncordon(dc)
}

// drainDuration is how long a draining runner keeps serving at least: longer than it may
// still receive starts.
const drainDuration = 2200 * time.Millisecond

// restartRunnerWithLateReport kills a runner's process and starts a new one with the same
// instance id. A report of the old process (in every other case with the state draining) and
// its deregistration arrive when the new process is already running.
func restartRunnerWithLateReport(ctx context.Context, runner *worker.Runner, f Fault) {
	if f.Index%2 == 0 {
		runner.Drain()
	}
	sendReport, id := runner.DelayedReport(ctx), runner.Instance()
	runner.Kill()
	uptime.Sleep(ctx, f.Duration/4)
	runner.Restart()
	uptime.Sleep(ctx, f.Duration/4)
	sendReport()
	runner.Deregister(ctx, id)
}

// shrinkCapacity reduces a runner's capacity in steps to zero and then restores it.
func (r *run) shrinkCapacity(ctx context.Context, runner *worker.Runner, f Fault) {
	const steps = 3
	for remaining := steps - 1; remaining >= 0; remaining-- {
		runner.SetCapacity(remaining, steps)
		uptime.Sleep(ctx, f.Duration/steps)
	}
	runner.SetCapacity(steps, steps)
}

var runnerFaults = map[Kind]worker.Fault{
	RunnerLateRequests: {LateShare: 0.3, LateBy: 1800 * time.Millisecond},
	RunnerSlow:         {Slow: 4},
	RunnerHang:         {Hang: true},
	RunnerFailsTasks:   {FailShare: 0.7},
	RunnerUnresponsive: {Unresponsive: true},
	RunnerNoProgress:   {NoProgress: true},
}

// runnerFault returns the fault to inject into a runner. For RunnerLateRequests, half of
// the faults delay requests such that a start is still valid when it takes effect; the
// other half delay them beyond its validity. For RunnerHang, half of the runs hang before they make
// any progress.
func runnerFault(f Fault) worker.Fault {
	fault := runnerFaults[f.Kind]
	if f.Kind == RunnerLateRequests && f.Index%2 == 1 {
		fault.LateBy = 300 * time.Millisecond
	}
	if f.Kind == RunnerHang && f.Index%2 == 1 {
		fault.HangPercent = 30
	}
	return fault
}

func storeFault(f Fault, entryID string) metastore.Fault {
	modes := []metastore.Mode{metastore.Silent, metastore.Busy, metastore.Reset}
	switch f.Kind {
	case StoreOutage:
		return metastore.Fault{Outage: modes[f.Index%3], ExpireLeases: f.Index%2 == 0}
	case StoreUnavailableToEntry:
		return metastore.Fault{Outage: modes[f.Index%3], Callers: []string{entryID}, ExpireLeases: true}
	case StoreSlow:
		return metastore.Fault{Delay: 250 * time.Millisecond}
	default:
		return metastore.Fault{LoseShare: 0.5}
	}
}

// injectNetworkFault injects a fault into the network to an entry or a runner.
func (r *run) injectNetworkFault(ctx context.Context, f Fault) {
	entryRelay := r.fleet.EntryRelays[f.Index%entries]
	runnerRelay := r.fleet.RunnerRelays[f.Index%guards]
	healthy := relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}
	setForDuration := func(s relay.State) {
		_ = entryRelay.Set(s)
		uptime.Sleep(ctx, f.Duration)
		_ = entryRelay.Set(healthy)
	}
	switch f.Kind {
	case EntryPartition:
		setForDuration(relay.State{ToTarget: relay.Drop, ToClient: relay.Drop, Refuse: true})
	case EntryOneWayPartition:
		setForDuration(relay.State{ToTarget: relay.Pass, ToClient: relay.Drop})
	case EntryStall:
		setForDuration(relay.State{ToTarget: relay.Stall, ToClient: relay.Stall})
	case EntryDelay:
		setForDuration(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass, Delay: 40 * time.Millisecond})
	case EntryReset:
		entryRelay.Reset()
	case EntryBlackhole:
		entryRelay.Blackhole(true, true)
	case RunnerReset:
		runnerRelay.Reset()
	case RunnerBlackhole:
		runnerRelay.Blackhole(true, true)
	}
}

// restart ends a node's process, gracefully with SIGTERM or with SIGKILL, and starts a new
// one after a delay. Restarts of one node may be scheduled at overlapping times; the lock
// serializes them.
func (r *run) restart(ctx context.Context, n *fleet.Node, f Fault, graceful bool) {
	n.Restarting.Lock()
	defer n.Restarting.Unlock()
	p := n.Process()
	if graceful {
		p.Terminate()
		select {
		case <-p.Done():
		case <-time.After(8 * time.Second):
			r.fleet.Checker.ReportViolation("%s did not exit within 8 s after SIGTERM", n.ID)
		}
	}
	p.Resume()
	p.Kill()
	uptime.Sleep(ctx, f.Duration/4)
	if err := n.Start(); err != nil {
		r.fleet.Checker.ReportViolation("%s did not restart: %v", n.ID, err)
	}
}

func suspend(ctx context.Context, n *fleet.Node, d time.Duration) {
	p := n.Process()
	p.Suspend()
	uptime.Sleep(ctx, d)
	p.Resume()
}
