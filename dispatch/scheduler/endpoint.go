package scheduler

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/health"
	"almondstand.dev/dispatch/internal/indexed"
	"almondstand.dev/dispatch/placement"
)

// endpoint combines the placement, health and in-flight state of one endpoint.
type endpoint struct {
	id        EndpointID
	candidate *placement.Endpoint
	health    *health.Record
	// monitored is true while the health monitor counts the endpoint as a peer of the
	// others.
	monitored bool
	// inFlight holds this entry's attempts in flight there.
	inFlight []*attempt
	// removed is true when the endpoint was removed while attempts were in flight.
	removed bool
	// backoffUntil is set after a refusal; backoff grows with each consecutive refusal.
	backoffUntil time.Time
	backoff      time.Duration

	// timerAt is the next time at which the endpoint must be reconsidered; timerIndex
	// is its position in the timer heap.
	timerAt    time.Time
	timerIndex int
}

// attempt is one assignment in flight.
type attempt struct {
	job      *jobState
	index    int
	endpoint *endpoint
	at       time.Time
	// expected is the observed run time of such tasks. It is the reference for the
	// endpoint's speed; declared times that are too short would make every endpoint
	// appear slow.
	expected time.Duration
	probe    bool
}

// healthTask describes the attempt to the health monitor, with the run time after which
// it ended.
func (s *attempt) healthTask(run time.Duration) health.Task {
	return health.Task{
		Job:       s.job.ID,
		Client:    s.job.Client,
		StartedAt: s.at,
		Expected:  s.expected,
		RunTime:   run,
	}
}

func byTimer(a, b *endpoint) bool { return a.timerAt.Before(b.timerAt) }

func newTimerHeap() *indexed.Heap[*endpoint] {
	return indexed.New(byTimer, func(e *endpoint) *int { return &e.timerIndex })
}

func (e *endpoint) add(s *attempt) { e.inFlight = append(e.inFlight, s) }

func (e *endpoint) end(s *attempt) {
	i := slices.Index(e.inFlight, s)
	last := len(e.inFlight) - 1
	e.inFlight[i] = e.inFlight[last]
	e.inFlight[last] = nil
	e.inFlight = e.inFlight[:last]
}

// overdue returns the total time by which the attempts in flight exceed their expected
// run times.
func (e *endpoint) overdue(now time.Time) time.Duration {
	var sum time.Duration
	for _, s := range e.inFlight {
		sum += max(0, now.Sub(s.at)-s.expected)
	}
	return sum
}

// backOff starts or extends the backoff after a refusal; first is its shortest length.
// Without the backoff, an endpoint that appears free while it refuses would be tried
// again and again.
func (e *endpoint) backOff(now time.Time, first time.Duration) {
	e.backoff = min(max(2*e.backoff, first, minRefusalBackoff), maxRefusalBackoff)
	e.backoffUntil = now.Add(e.backoff)
}

// excluded reports whether the endpoint receives no ordinary tasks now.
func (e *endpoint) excluded(now time.Time) bool {
	return e.health.Status().Ejected() || e.backoffUntil.After(now)
}

// canProbe reports whether a due probe can start. A probe runs only while nothing else
// is in flight there, so that its outcome can be attributed to it alone.
func (e *endpoint) canProbe() bool { return len(e.inFlight) == 0 && !e.candidate.Unavailable() }

// speed returns the factor by which the endpoint's slots count as capacity. The short
// backoff after a refusal doesn't reduce it: if all endpoints backed off at once,
// admission would see a service without slots and reject jobs that would complete in
// time.
func (e *endpoint) speed() float64 {
	if e.removed || e.health.Status().Ejected() {
		return 0
	}
	if e.health.Status() == health.Slow {
		return min(1, e.health.RelativeSpeed())
	}
	return 1
}

// nextTimer returns the next time at which passing time alone changes what the endpoint
// may receive; zero for never. A slow or suspect endpoint may receive no task that
// would show that it has recovered, so its health is evaluated again every
// reevaluateInterval.
func (e *endpoint) nextTimer(now time.Time) time.Time {
	switch {
	case e.health.Status().Ejected():
		return later(e.health.ProbeAt(), e.backoffUntil)
	case e.backoffUntil.After(now):
		return e.backoffUntil
	case e.health.Status() != health.Healthy:
		return now.Add(reevaluateInterval)
	}
	return time.Time{}
}

// later returns the later of two times, or zero when the first is zero.
func later(a, b time.Time) time.Time {
	if a.IsZero() || a.After(b) {
		return a
	}
	return b
}
