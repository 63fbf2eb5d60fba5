// Package health detects the endpoints of one service that fail, or are slow, far more
// than their peers (outlier detection). A slow endpoint is used last and in proportion
// to its speed. One that failed and has completed nothing since is suspect, and used
// last with one task at a time. One that fails, or runs at less than a quarter of the
// peers' speed, is ejected: instead of ordinary tasks it receives single probes at
// growing intervals.
//
// An endpoint that fails tasks at once looks free all the time, so it would attract
// most of the service's tasks and fail them. A very slow one would delay the last task
// of many jobs. Endpoints are compared with their peers, and at most a third of them,
// or one of two, may be degraded, so that a fault of the tasks themselves, or of all
// endpoints, doesn't take the service down.
package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"almondstand.dev/dispatch/internal/decay"
)

// Defaults of Options.
const (
	DefaultHalfLife         = 10 * time.Second
	DefaultMinProbeInterval = 2 * time.Second
	DefaultMaxProbeInterval = time.Minute
)

const (
	// minFailures is the number of failures needed to eject an endpoint.
	minFailures = 3
	// An endpoint is ejected when its failure ratio is at least ejectRatio and at least
	// ejectRatioFactor times that of its peers.
	ejectRatioFactor = 3
	ejectRatio       = 0.5
	// minProbeBlame is the minimum part of a failed probe that must be attributed to
	// the endpoint for the probe to count as failed.
	minProbeBlame = 0.5
	// priorSuccesses is a number of successes assumed before any task has ended.
	priorSuccesses = 1
	// priorRuns is the number of average runs at the peers' speed that are assumed for
	// an endpoint before its own are observed.
	priorRuns = 8
	// Thresholds of the speed relative to the peers: below slowSpeed an endpoint is
	// slow until its speed exceeds recoveredSpeed; below ejectSpeed it is ejected.
	ejectSpeed     = 0.25
	slowSpeed      = 0.5
	recoveredSpeed = 0.7
	// successfulProbes in a row readmit an endpoint: run times vary so much that a
	// single short one may be chance.
	successfulProbes = 3
	// relapseFactor times the last interval between probes is how long after its
	// readmission an endpoint counts as relapsed: if it is ejected again within that
	// time, its probe interval continues to grow instead of starting anew.
	relapseFactor = 4
	// maxDegradedDivisor limits the endpoints that may be slow, suspect or ejected to
	// one in three; of two endpoints it is one.
	maxDegradedDivisor = 3
)

// Status is the health status of an endpoint, which determines how it is used.
type Status int

// Health statuses in order of increasing severity.
const (
	// Healthy: as healthy as its peers.
	Healthy Status = iota
	// Slow: used last, and in proportion to its speed.
	Slow
	// Suspect: used last, and with one task at a time.
	Suspect
	// EjectedSlow (far too slow) and EjectedFailing: ejected, receiving probes only.
	EjectedSlow
	EjectedFailing
)

// Ejected reports whether an endpoint with this status is ejected and receives probes
// only.
func (s Status) Ejected() bool { return s == EjectedFailing || s == EjectedSlow }

// Options configures a Monitor; zero values select the defaults.
type Options struct {
	// HalfLife is the half-life of the decaying counts.
	HalfLife time.Duration
	// MinProbeInterval and MaxProbeInterval bound the interval between probes.
	MinProbeInterval time.Duration
	MaxProbeInterval time.Duration
	// Rand randomizes the probe intervals, so that several entries don't probe at the
	// same time; nil disables this.
	Rand *rand.Rand
}

// Monitor compares the endpoints of one service with each other. It is not safe for
// concurrent use.
type Monitor struct {
	opts    Options
	records []*Record
	// degraded is the number of endpoints that aren't Healthy.
	degraded int
	sum      evidence
	clients  map[string]*outcomes
}

// Task describes a task that ended at an endpoint.
type Task struct {
	Job, Client string
	// StartedAt is the time at which the task was started at the endpoint.
	StartedAt time.Time
	// Expected and RunTime are the expected and the actual run time; they are ignored for
	// a failed task.
	Expected, RunTime time.Duration
}

// decaying abbreviates the type of the exponentially decaying counts.
type decaying = decay.Sum

// Record holds the observations and the health status of one endpoint.
type Record struct {
	seen     evidence
	streak   streak
	reported OutcomeCounts
	status   Status
	speed    float64
	// probing is true while a probe is in flight; probeAt is when the next is due;
	// successes is the number of consecutive successful probes.
	probing       bool
	probeAt       time.Time
	successes     int
	probeInterval time.Duration
	resetAt       time.Time
	// postponedAt is the time at which probeAt was last set.
	postponedAt time.Time
}

// evidence holds decaying counts of the outcomes and, for completed tasks, of the
// expected and the actual run time in seconds.
type evidence struct {
	successes, failures decaying
	expected, used      decaying
}

// New returns a Monitor without endpoints.
func New(o Options) *Monitor {
	if o.HalfLife == 0 {
		o.HalfLife = DefaultHalfLife
	}
	if o.MinProbeInterval == 0 {
		o.MinProbeInterval = DefaultMinProbeInterval
	}
	if o.MaxProbeInterval == 0 {
		o.MaxProbeInterval = DefaultMaxProbeInterval
	}
	return &Monitor{opts: o, clients: map[string]*outcomes{}}
}

// NewRecord returns a record that belongs to no Monitor.
func NewRecord() *Record { return &Record{speed: 1} }

// Add adds an endpoint and returns its record.
func (m *Monitor) Add() *Record {
	r := NewRecord()
	m.records = append(m.records, r)
	return r
}

// Remove removes an endpoint. The limit of degraded endpoints shrinks with the service,
// so Remove may reset others to Healthy to stay within it; it returns true in that case.
func (m *Monitor) Remove(now time.Time, r *Record) (anyReset bool) {
	i := slices.Index(m.records, r)
	if i < 0 {
		return false
	}
	m.forget(now, r)
	m.records = slices.Delete(m.records, i, i+1)
	m.setStatus(r, Healthy)
	for _, other := range m.records {
		if m.degraded <= m.maxDegraded() {
			return anyReset
		}
		if other.status != Healthy {
			m.reset(now, other)
			anyReset = true
		}
	}
	return anyReset
}

// setStatus changes the health status of an endpoint.
func (m *Monitor) setStatus(r *Record, status Status) {
	if r.status != Healthy {
		m.degraded--
	}
	if status != Healthy {
		m.degraded++
	}
	r.status = status
}

// Ejected returns the number of ejected endpoints.
func (m *Monitor) Ejected() int {
	n := 0
	for _, r := range m.records {
		if r.status.Ejected() {
			n++
		}
	}
	return n
}

// maxDegraded returns how many endpoints may be degraded. Of two it is one: a third
// would round down to none, and then an endpoint that fails everything would look free
// all the time and fail nearly all jobs of the service.
func (m *Monitor) maxDegraded() int {
	if len(m.records) == 2 {
		return 1
	}
	return len(m.records) / maxDegradedDivisor
}

// TaskCompleted records a completed task.
func (m *Monitor) TaskCompleted(now time.Time, r *Record, t Task) {
	halfLife := m.opts.HalfLife
	for _, e := range []*evidence{&r.seen, &m.sum} {
		e.successes.Add(now, halfLife, 1)
		e.expected.Add(now, halfLife, t.Expected.Seconds())
		e.used.Add(now, halfLife, t.RunTime.Seconds())
	}
	m.client(t.Client).add(now, halfLife, 1, 0)
	r.streak.prune(t)
}

// TaskFailed records a task that failed at the endpoint or was lost there. A refusal isn't
// recorded: a full endpoint refuses too, and the backoff handles that.
func (m *Monitor) TaskFailed(now time.Time, r *Record, t Task) {
	halfLife := m.opts.HalfLife
	blame := m.blame(now, r, t)
	r.seen.failures.Add(now, halfLife, blame)
	m.sum.failures.Add(now, halfLife, blame)
	m.client(t.Client).add(now, halfLife, 0, 1)
	r.streak.add(t)
}

// Evaluate updates the endpoint's speed and health status, within the limit of degraded
// endpoints. overdue is the total time by which its tasks in flight exceed their
// expected run times, so that an endpoint which stopped answering is detected before
// its first answer. typical is the mean run time of the service. changed is true when
// the status changed, resetOther when another endpoint was reset to Healthy in exchange.
func (m *Monitor) Evaluate(now time.Time, r *Record, overdue, typical time.Duration) (changed, resetOther bool) {
	if r.status.Ejected() {
		return false, false
	}
	r.speed = m.relativeSpeed(now, r, overdue, typical)
	status := m.assess(now, r)
	if status == r.status {
		return false, false
	}
	if r.status == Healthy && m.degraded >= m.maxDegraded() {
		if resetOther = m.resetMildest(now, status); !resetOther {
			return false, false
		}
	}
	m.setStatus(r, status)
	if status.Ejected() {
		m.eject(now, r)
	}
	return true, resetOther
}

// resetMildest resets the endpoint with the least severe status to Healthy, if that
// status is less severe than the given one. Of three endpoints only one may be degraded: if
// a slightly slow one held that place, another that fails at once would stay in use,
// look free all the time and fail nearly all jobs.
func (m *Monitor) resetMildest(now time.Time, status Status) bool {
	var mildest *Record
	for _, r := range m.records {
		if r.status != Healthy && (mildest == nil || r.status < mildest.status) {
			mildest = r
		}
	}
	if mildest == nil || mildest.status >= status {
		return false
	}
	m.reset(now, mildest)
	return true
}

// assess returns the health status that the observations call for.
func (m *Monitor) assess(now time.Time, r *Record) Status {
	streakStatus := m.assessStreaks(now, r)
	switch {
	case streakStatus == EjectedFailing, m.failsMoreThanPeers(now, r):
		return EjectedFailing
	case r.speed < ejectSpeed:
		return EjectedSlow
	case streakStatus == Suspect:
		return Suspect
	case r.speed < slowSpeed:
		return Slow
	case r.speed < recoveredSpeed && r.status == Slow:
		return Slow
	}
	return Healthy
}

// relativeSpeed returns the endpoint's speed relative to its peers, 1 when equal. While
// there are few observations, priorRuns tasks at the peers' speed are assumed.
func (m *Monitor) relativeSpeed(now time.Time, r *Record, overdue, typical time.Duration) float64 {
	halfLife := m.opts.HalfLife
	prior := priorRuns * typical.Seconds()
	expected := r.seen.expected.Value(now, halfLife)
	used := r.seen.used.Value(now, halfLife)
	peersExpected := max(0, m.sum.expected.Value(now, halfLife)-expected)
	peersUsed := max(0, m.sum.used.Value(now, halfLife)-used)
	own := (prior + expected) / (prior + used + overdue.Seconds())
	peers := (prior + peersExpected) / (prior + peersUsed)
	return own / peers
}

func (m *Monitor) failsMoreThanPeers(now time.Time, r *Record) bool {
	halfLife := m.opts.HalfLife
	failures := r.seen.failures.Value(now, halfLife)
	if failures < minFailures-0.5 {
		return false
	}
	successes := r.seen.successes.Value(now, halfLife)
	peersFailures := max(0, m.sum.failures.Value(now, halfLife)-failures)
	peersSuccesses := max(0, m.sum.successes.Value(now, halfLife)-successes)
	ratio := failures / (failures + successes + priorSuccesses)
	peersFailureRatio := peersFailures / (peersFailures + peersSuccesses + priorSuccesses)
	return ratio >= ejectRatio && ratio >= ejectRatioFactor*peersFailureRatio
}
