package health

import (
	"math"
	"slices"
	"time"
)

const (
	// maxStreakJobs limits the failures kept in a streak.
	maxStreakJobs = 8
	// minEjectJobs is the minimum length of a streak of failed jobs that ejects an
	// endpoint.
	minEjectJobs = 3
	// The improbability of a streak is the negative natural logarithm of the
	// probability that the endpoint isn't at fault: 1 in 20 makes it suspect, 1 in
	// 8,000 ejects it.
	suspectImprobability = 3
	ejectImprobability   = 9
	// baseFailureRatio is the failure ratio expected on any endpoint, weighted like
	// priorTasks tasks.
	baseFailureRatio = 0.02
	priorTasks       = 10
	// baseStreak is the mean streak length expected on any endpoint.
	baseStreak = 0.015
)

// streak holds the failures at an endpoint of tasks that began after its most recent
// success began.
type streak struct{ failures []failure }

// failure is one failed job with its client.
type failure struct {
	job, client string
	began       time.Time
}

// add records a failed task. Each job counts once, because all its tasks may fail by
// its own fault.
func (s *streak) add(t Task) {
	for i, f := range s.failures {
		if f.job == t.Job {
			s.failures[i].began = later(f.began, t.StartedAt)
			return
		}
	}
	if len(s.failures) < maxStreakJobs {
		s.failures = append(s.failures, failure{job: t.Job, client: t.Client, began: t.StartedAt})
	}
}

// prune removes the failures that a success refutes. It doesn't refute failures of
// tasks that began after the successful one, because the endpoint may have broken in
// between.
func (s *streak) prune(t Task) {
	s.failures = slices.DeleteFunc(s.failures, func(f failure) bool { return !f.began.After(t.StartedAt) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *streak) countFor(client string) float64 {
	n := 0.0
	for _, f := range s.failures {
		if f.client == client {
			n++
		}
	}
	return n
}

// outcomes holds decaying counts of completed and failed tasks.
type outcomes struct{ successes, failures decaying }

func (o *outcomes) add(now time.Time, halfLife time.Duration, successes, failures float64) {
	o.successes.Add(now, halfLife, successes)
	o.failures.Add(now, halfLife, failures)
}

// maxClients limits the number of clients whose outcomes are counted.
const maxClients = 1024

// client returns the outcome counts of one client.
func (m *Monitor) client(name string) *outcomes {
	c := m.clients[name]
	if c != nil {
		return c
	}
	if len(m.clients) >= maxClients {
		for other := range m.clients {
			delete(m.clients, other)
			break
		}
	}
	c = &outcomes{}
	m.clients[name] = c
	return c
}

// improbability returns how improbable the streak observed by this entry is if the
// endpoint isn't at fault, based on the outcomes of its clients' tasks at other
// endpoints.
func (m *Monitor) improbability(now time.Time, r *Record) float64 {
	if len(r.streak.failures) == 0 {
		return 0
	}
	peers := m.peersFailureRatio(now, r)
	sum := 0.0
	for _, f := range r.streak.failures {
		sum -= math.Log(m.clientFailureRatio(now, r, f.client, peers))
	}
	return sum
}

// peersFailureRatio returns the failure ratio of the peers' tasks.
func (m *Monitor) peersFailureRatio(now time.Time, r *Record) float64 {
	halfLife := m.opts.HalfLife
	failures := max(0, m.sum.failures.Value(now, halfLife)-r.seen.failures.Value(now, halfLife))
	successes := max(0, m.sum.successes.Value(now, halfLife)-r.seen.successes.Value(now, halfLife))
	return (failures + baseFailureRatio*priorTasks) / (failures + successes + priorTasks)
}

// blame returns the part of a failure that is attributed to the endpoint: one minus the
// failure ratio of the client's tasks elsewhere.
func (m *Monitor) blame(now time.Time, r *Record, t Task) float64 {
	return 1 - m.clientFailureRatio(now, r, t.Client, m.peersFailureRatio(now, r))
}

// clientFailureRatio returns the failure ratio of a client's tasks without those of the
// endpoint's streak. For a client with few tasks little is known, so the peers' ratio
// is weighted like one task.
func (m *Monitor) clientFailureRatio(now time.Time, r *Record, name string, peers float64) float64 {
	halfLife := m.opts.HalfLife
	c := m.clients[name]
	if c == nil {
		return peers
	}
	failures := max(0, c.failures.Value(now, halfLife)-r.streak.countFor(name))
	successes := c.successes.Value(now, halfLife)
	return (failures + peers) / (failures + successes + 1)
}

// OutcomeCounts holds an endpoint's own counts of the tasks of all entries.
type OutcomeCounts struct {
	Completed, Failed     uint64
	ConsecutiveFailedJobs int
}

// newer reports whether these counts were taken after the other ones.
func (p OutcomeCounts) newer(other OutcomeCounts) bool {
	return p.Completed+p.Failed > other.Completed+other.Failed
}

// ApplyOutcomeCounts applies the counts that an endpoint reports. They let every entry detect a
// failing endpoint before each has lost its own jobs there, and make one entry's probe
// count for all. It returns true when it rescheduled the next probe.
func (m *Monitor) ApplyOutcomeCounts(now time.Time, r *Record, p OutcomeCounts) (rescheduled bool) {
	before := r.reported
	if !p.newer(before) {
		return false
	}
	r.reported = p
	if r.status != EjectedFailing || r.probing {
		return false
	}
	switch {
	case p.ConsecutiveFailedJobs > 0 && p.Failed > before.Failed:
		return m.postponeForPeerProbe(now, r)
	case p.ConsecutiveFailedJobs == 0 && r.probeAt.After(now):
		r.probeAt = now
		return true
	}
	return false
}

// postponeForPeerProbe postpones the next probe as if the failed probe had been this
// entry's. A task that failed soon after the previous postponement was no probe but was
// already running then.
func (m *Monitor) postponeForPeerProbe(now time.Time, r *Record) bool {
	if now.Before(r.postponedAt.Add(r.probeInterval / 2)) {
		return false
	}
	m.postpone(now, r)
	return true
}

// reportedImprobability is improbability for the streak that the endpoint reports. It
// is compared with the streaks that the peers report: a client whose tasks fail at once
// wherever they run causes streaks everywhere, until tasks that began later complete.
// The result is Chernoff's bound on the tail of a Poisson distribution with the peers'
// mean.
func (m *Monitor) reportedImprobability(r *Record) float64 {
	if r.reported.ConsecutiveFailedJobs == 0 {
		return 0
	}
	n := float64(r.reported.ConsecutiveFailedJobs)
	mean := m.peersMeanStreak(r)
	return max(0, n*math.Log(n/(math.E*mean))+mean)
}

// peersMeanStreak returns the mean length of the streaks that the peers report.
func (m *Monitor) peersMeanStreak(r *Record) float64 {
	sum, peers := 0, 0
	for _, other := range m.records {
		if other != r && !other.status.Ejected() {
			sum += min(other.reported.ConsecutiveFailedJobs, minEjectJobs)
			peers++
		}
	}
	return baseStreak + float64(sum)/float64(max(1, peers))
}

// assessStreaks returns the health status that the observed and the reported streak
// call for.
func (m *Monitor) assessStreaks(now time.Time, r *Record) Status {
	own, reported := m.improbability(now, r), m.reportedImprobability(r)
	switch {
	case len(r.streak.failures) >= minEjectJobs && own >= ejectImprobability:
		return EjectedFailing
	case r.reported.ConsecutiveFailedJobs >= minEjectJobs && reported >= ejectImprobability:
		return EjectedFailing
	case max(own, reported) >= suspectImprobability:
		return Suspect
	}
	return Healthy
}
