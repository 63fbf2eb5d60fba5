package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/telemetry/uptime"
)

// Callers that leave have tasks of longMs, so that a run which isn't stopped overlaps one of the
// next attempt.
const (
	callerInterval = 20 * time.Millisecond
	// maxCallerWait is the longest time after which a caller leaves.
	maxCallerWait = 350 * time.Millisecond
	// callerCPU is the CPU request of a task in millicores, too little to overload the runners.
	callerCPU = 100
	// Callers on half-open connections have tasks that run beyond their deadline and
	// ResubmitDelay. They declare less, since an entry does not start what cannot end before
	// its caller's deadline.
	halfOpenDeadline   = 1500 * time.Millisecond
	halfOpenMs         = 3300
	halfOpenEstimateMs = 800
)

// Times for which a throttled process is suspended and runs in between.
const (
	minThrottleSuspend = 20 * time.Millisecond
	maxThrottleSuspend = 450 * time.Millisecond
	maxThrottleRun     = 30 * time.Millisecond
)

// random returns the random stream of a fault.
func (r *run) random(f Fault) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, uint64(f.At)))
}

// waits returns the times for which the callers of a fault wait, one for each.
func (r *run) waits(f Fault) []time.Duration {
	random, waits := r.random(f), make([]time.Duration, 1+f.Duration/callerInterval)
	for i := range waits {
		waits[i] = time.Duration(random.Int64N(int64(maxCallerWait)))
	}
	return waits
}

// throttle suspends a node's process again and again for the duration of a fault, like a CPU
// quota, each time for less than longest.
func (r *run) throttle(ctx context.Context, n *fleet.Node, f Fault, longest time.Duration) {
	random := r.random(f)
	for end := time.Now().Add(f.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		suspend(ctx, n, minThrottleSuspend+time.Duration(random.Int64N(int64(longest-minThrottleSuspend))))
		uptime.Sleep(ctx, time.Duration(random.Int64N(int64(maxThrottleRun))))
	}
}

// injectCallerFault runs callers that get no answer, in most cases of throttled processes.
func (r *run) injectCallerFault(ctx context.Context, f Fault, entry, guard *fleet.Node) {
	var throttled sync.WaitGroup
	defer throttled.Wait()
	switch f.Kind {
	case EntryThrottle, EntryHalfOpen:
		throttled.Go(func() { r.throttle(ctx, entry, f, maxThrottleSuspend) })
	case GuardThrottle:
		throttled.Go(func() { r.throttle(ctx, guard, f, maxThrottleSuspend) })
	}
	switch f.Kind {
	case CallersLeave, GuardThrottle:
		r.leaveEarly(ctx, f, func(n int) int { return n % entries })
	case EntryThrottle:
		r.leaveEarly(ctx, f, func(int) int { return f.Index % entries })
	default:
		r.halfOpen(ctx, f)
	}
}

// repeat calls submit in a goroutine of its own every callerInterval for the duration of a
// fault, with a number that rises.
func (r *run) repeat(ctx context.Context, f Fault, submit func(n int)) {
	end := time.Now().Add(f.Duration)
	for n := 0; time.Now().Before(end) && uptime.Sleep(ctx, callerInterval); n++ {
		r.callers.Go(func() { submit(n) })
	}
}

// leaveEarly runs callers that close their connection within maxCallerWait and submit their
// job again to another entry. The n-th caller begins at the entry that first returns.
func (r *run) leaveEarly(ctx context.Context, f Fault, first func(n int) int) {
	waits := r.waits(f)
	r.repeat(ctx, f, func(n int) {
		job := fleet.NewJob(1, longMs)
		job.CPU, job.Deadline = callerCPU, longDeadline
		ctx, leave := context.WithTimeout(context.Background(), waits[n%len(waits)])
		defer leave()
		a := r.fleet.SubmitOnce(ctx, r.fleet.Entries[first(n)], fleet.Prefix, job)
		r.count(r.fleet.Continue(context.Background(), a, first(n)+1, job, 2))
	})
}

// halfOpen runs callers of one entry whose connections go silent within maxCallerWait while
// both ends keep them open. They wait until their deadline and submit their job again to
// another entry, with a later deadline.
func (r *run) halfOpen(ctx context.Context, f Fault) {
	i := f.Index % entries
	blackholed, waits := make(chan struct{}), r.waits(f)
	go func() {
		defer close(blackholed)
		for n, end := 0, time.Now().Add(f.Duration); time.Now().Before(end) && uptime.Sleep(ctx, waits[n%len(waits)]); n++ {
			r.fleet.CallerRelays[i].Blackhole(true, true)
		}
	}()
	r.repeat(ctx, f, func(int) {
		job := fleet.NewJob(1, halfOpenMs)
		job.CPU, job.EstimateMs, job.Deadline = callerCPU, halfOpenEstimateMs, halfOpenDeadline
		a := r.fleet.SubmitOnce(context.Background(), r.fleet.RelayedEntries[i], fleet.Prefix, job)
		job.Deadline = longDeadline
		r.count(r.fleet.Continue(context.Background(), a, i+1, job, 1))
	})
	<-blackholed
}
