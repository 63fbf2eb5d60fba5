package health

import (
	"time"
)

func (m *Monitor) setAside(now time.Time, r *Record) {
	again := !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < relapse*r.pause
	if !again {
		r.pause = 0
	}
	m.postpone(now, r)
}

// postpone sets the next probe after a longer pause.
func (m *Monitor) postpone(now time.Time, r *Record) {
	r.pause = min(max(2*r.pause, m.opts.FirstPause), m.opts.MaxPause)
	r.probeAt = now.Add(m.spread(r.pause))
	r.postponedAt = now
	r.probing = false
	r.good = 0
}

// spread draws from half the pause to one and a half of it. Entries that set an
// endpoint aside in the same moment would all probe it in the same moment too,
// and none could learn from another's probe.
func (m *Monitor) spread(pause time.Duration) time.Duration {
	if m.opts.Rand == nil {
		return pause
	}
	return pause/2 + time.Duration(m.opts.Rand.Int64N(int64(pause)+1))
}

func (m *Monitor) restore(now time.Time, r *Record) {
	m.stand(r, Steady)
	r.pace = 1
	r.probing = false
	r.restoredAt = now
	m.forget(now, r)
}

// forget takes the endpoint's evidence out of its record and out of the sum.
func (m *Monitor) forget(now time.Time, r *Record) {
	half := m.opts.HalfLife
	m.sum.good.Add(now, half, -r.seen.good.Value(now, half))
	m.sum.bad.Add(now, half, -r.seen.bad.Value(now, half))
	m.sum.expected.Add(now, half, -r.seen.expected.Value(now, half))
	m.sum.used.Add(now, half, -r.seen.used.Value(now, half))
	for _, f := range r.streak.failures {
		m.customer(f.customer).add(now, half, 0, -1)
	}
	r.seen = evidence{}
	r.streak = streak{}
}

// Standing returns how the endpoint is to be used.
func (r *Record) Standing() Standing { return r.standing }

// Pace returns how fast the endpoint is against its peers, 1 when alike.
func (r *Record) Pace() float64 { return r.pace }

// ProbeAt is when the next probe is due; zero while one is open or none needed.
func (r *Record) ProbeAt() time.Time {
	if !r.standing.Aside() || r.probing {
		return time.Time{}
	}
	return r.probeAt
}

// Probing reports whether a probe is open.
func (r *Record) Probing() bool { return r.probing }

// OverdueAt is when the probe has been due for as long as the pause before it.
func (r *Record) OverdueAt() time.Time { return r.probeAt.Add(r.pause) }

// Probe notes that a probe was started.
func (m *Monitor) Probe(r *Record) { r.probing = true }

// ProbeGood ends a probe that completed. Another is due at once, until enough
// in a row were good and the endpoint is steady again.
func (m *Monitor) ProbeGood(now time.Time, r *Record, expected, used time.Duration) {
	if used.Seconds()*crawlPace > expected.Seconds() {
		m.postpone(now, r)
		return
	}
	r.probing = false
	r.good++
	if r.good >= goodProbes {
		r.good = 0
		m.restore(now, r)
	}
}

// ProbeBad ends a probe that failed. It shows nothing when the customer's tasks
// fail anyway.
func (m *Monitor) ProbeBad(now time.Time, r *Record, t Task) {
	if m.blame(now, r, t) < minBlame {
		m.ProbeVoid(r)
		return
	}
	m.postpone(now, r)
}

// ProbeVoid ends a probe that showed nothing; another is due at once.
func (m *Monitor) ProbeVoid(r *Record) { r.probing = false }
