package health

import (
	"time"
)

func (m *Monitor) eject(now time.Time, r *Record) {
	relapsed := !r.resetAt.IsZero() && now.Sub(r.resetAt) < relapseFactor*r.probeInterval
	if !relapsed {
		r.probeInterval = 0
	}
	m.postpone(now, r)
}

// postpone schedules the next probe after a longer interval.
func (m *Monitor) postpone(now time.Time, r *Record) {
	r.probeInterval = min(max(2*r.probeInterval, m.opts.MinProbeInterval), m.opts.MaxProbeInterval)
	r.probeAt = now.Add(m.jitter(r.probeInterval))
	r.postponedAt = now
	r.probing = false
	r.successes = 0
}

// jitter draws from half the interval to one and a half of it. Without it, entries that
// eject an endpoint at the same time would also probe it at the same time, and none
// could benefit from another's probe.
func (m *Monitor) jitter(probeInterval time.Duration) time.Duration {
	if m.opts.Rand == nil {
		return probeInterval
	}
	return probeInterval/2 + time.Duration(m.opts.Rand.Int64N(int64(probeInterval)+1))
}

func (m *Monitor) reset(now time.Time, r *Record) {
	m.setStatus(r, Healthy)
	r.speed = 1
	r.probing = false
	r.resetAt = now
	m.forget(now, r)
}

// forget clears the endpoint's observations and subtracts them from the totals.
func (m *Monitor) forget(now time.Time, r *Record) {
	halfLife := m.opts.HalfLife
	m.sum.successes.Add(now, halfLife, -r.seen.successes.Value(now, halfLife))
	m.sum.failures.Add(now, halfLife, -r.seen.failures.Value(now, halfLife))
	m.sum.expected.Add(now, halfLife, -r.seen.expected.Value(now, halfLife))
	m.sum.used.Add(now, halfLife, -r.seen.used.Value(now, halfLife))
	for _, f := range r.streak.failures {
		m.client(f.client).add(now, halfLife, 0, -1)
	}
	r.seen = evidence{}
	r.streak = streak{}
}

// Status returns the health status of the endpoint.
func (r *Record) Status() Status { return r.status }

// RelativeSpeed returns the endpoint's speed relative to its peers, 1 when equal.
func (r *Record) RelativeSpeed() float64 { return r.speed }

// ProbeAt returns when the next probe is due; zero while one is in flight or none is
// needed.
func (r *Record) ProbeAt() time.Time {
	if !r.status.Ejected() || r.probing {
		return time.Time{}
	}
	return r.probeAt
}

// Probing reports whether a probe is in flight.
func (r *Record) Probing() bool { return r.probing }

// ProbeOverdueAt returns the time at which the due probe is overdue: it has then waited for
// as long as the interval before it.
func (r *Record) ProbeOverdueAt() time.Time { return r.probeAt.Add(r.probeInterval) }

// ProbeStarted records the start of a probe.
func (m *Monitor) ProbeStarted(r *Record) { r.probing = true }

// ProbeCompleted records a completed probe. Another one is due at once, until enough in a
// row were successful and the endpoint is readmitted. A probe that ran too slowly
// counts as failed.
func (m *Monitor) ProbeCompleted(now time.Time, r *Record, expected, used time.Duration) {
	if used.Seconds()*ejectSpeed > expected.Seconds() {
		m.postpone(now, r)
		return
	}
	r.probing = false
	r.successes++
	if r.successes >= successfulProbes {
		r.successes = 0
		m.reset(now, r)
	}
}

// ProbeFailed records a failed probe. The probe is inconclusive when the client's tasks
// fail on other endpoints too.
func (m *Monitor) ProbeFailed(now time.Time, r *Record, t Task) {
	if m.blame(now, r, t) < minProbeBlame {
		m.ProbeInconclusive(r)
		return
	}
	m.postpone(now, r)
}

// ProbeInconclusive records an inconclusive probe; another is due at once.
func (m *Monitor) ProbeInconclusive(r *Record) { r.probing = false }
