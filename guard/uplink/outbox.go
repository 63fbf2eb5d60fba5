package uplink

import (
	"context"
	"fmt"
	"slices"
	"time"

	"almondstand.dev/guard/runs"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

func (s *session) setPending(w bool, wants int64) {
	s.mu.Lock()
	changed := w && !s.pending
	s.pending, s.demand = w, wants
	s.mu.Unlock()
	if changed {
		s.up.CapacityChanged()
	}
}

// PendingDemand implements advertise.Session.
func (s *session) PendingDemand() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demand
}

// HasPending implements advertise.Session.
func (s *session) HasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending && !s.retiring
}

// LastSent implements advertise.Session.
func (s *session) LastSent() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacitySent
}

func (s *session) push(r runs.Report) {
	at := time.Now()
	s.mu.Lock()
	if r.State == runs.Running {
		at = at.Add(startsDelay)
	} else {
		// The end says all that the begin would.
		s.reports = slices.DeleteFunc(s.reports, func(old runs.Report) bool { return old.Run == r.Run && old.State == runs.Running })
	}
	s.reports = append(s.reports, r)
	sooner := s.reportsDue.IsZero() || at.Before(s.reportsDue)
	if sooner {
		s.reportsDue = at
	}
	if r.State == runs.NotStarted {
		// What the entry believed of the capacity was wrong.
		s.withReports = true
	}
	s.mu.Unlock()
	if sooner {
		signal(s.wake)
	}
}

// SendAt implements advertise.Session.
func (s *session) SendAt(at time.Time) {
	s.mu.Lock()
	s.capacityDue = at
	s.mu.Unlock()
	signal(s.wake)
}

// SendAfter implements advertise.Session.
func (s *session) SendAfter(pace time.Duration, contended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if due := s.capacitySent.Add(pace); s.capacityDue.IsZero() || due.Before(s.capacityDue) {
		s.capacityDue = due
		signal(s.wake)
	}
	s.withReports = s.withReports || !contended
}

// Withhold implements advertise.Session.
func (s *session) Withhold() {
	s.mu.Lock()
	s.capacityDue = time.Time{}
	s.mu.Unlock()
}

// Unread implements advertise.Session.
func (s *session) Unread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unread()
}

// unread reports whether the entry has yet to confirm the capacity sent last. The lock is
// held.
func (s *session) unread() bool { return s.readClock > 0 && s.capacityClock > s.readClock }

// SendOnceRead implements advertise.Session.
func (s *session) SendOnceRead() {
	s.mu.Lock()
	s.capacityDue, s.owed = time.Time{}, true
	s.mu.Unlock()
}

// takeOwed reports whether capacity that waited for the entry may be sent now.
func (s *session) takeOwed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.owed && !s.unread()
	if due {
		s.owed = false
	}
	return due
}

// send writes messages until the stream ends: reports at once, capacity that
// changed at a bounded pace, and a heartbeat when there is nothing else.
func (s *session) send(ctx context.Context, st *stream) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	heartbeat := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
		reports, capacity, wait := s.take(time.Now())
		if len(reports) == 0 && !capacity && time.Since(heartbeat) < heartbeatInterval {
			timer.Reset(min(wait, heartbeatInterval-time.Since(heartbeat)))
			continue
		}
		clock := uptime.Now()
		m := &wirev1.AttachRequest{ClockUs: clock.Microseconds(), Reports: reports}
		if capacity {
			m.Capacity = s.capacity(clock)
		}
		if err := st.Send(m); err != nil {
			s.cancel(fmt.Errorf("uplink: send: %w", err))
			return
		}
		heartbeat = time.Now()
		timer.Reset(min(wait, heartbeatInterval))
		if capacity {
			timer.Reset(heartbeatInterval)
		}
	}
}

// take returns what is to be sent now; capacity is true when the capacity goes along,
// and wait is the time until it is due.
func (s *session) take(now time.Time) (reports []*wirev1.RunReport, capacity bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := !s.reportsDue.IsZero() && !now.Before(s.reportsDue)
	capacity = !s.capacityDue.IsZero() && !now.Before(s.capacityDue) || s.withReports && due
	if !due && !capacity {
		return nil, false, s.untilDue(now)
	}
	// Every report goes along, also a begin that could wait: capacity counts its run.
	up := uptime.Now()
	for _, r := range s.reports {
		reports = append(reports, wireReport(r, up))
	}
	s.reports, s.reportsDue = nil, time.Time{}
	if !capacity {
		return reports, false, s.untilDue(now)
	}
	s.capacityDue = time.Time{}
	s.capacitySent = now
	s.withReports = false
	return reports, true, 0
}

// untilDue is the time until something is to be sent, heartbeatInterval at most. The lock
// is held.
func (s *session) untilDue(now time.Time) time.Duration {
	wait := heartbeatInterval
	for _, at := range []time.Time{s.capacityDue, s.reportsDue} {
		if !at.IsZero() {
			wait = min(wait, at.Sub(now))
		}
	}
	return wait
}

// capacity returns the capacity that is due now, for a message of the clock given.
func (s *session) capacity(clock time.Duration) *wirev1.Capacity {
	r := s.up.host.Capacity()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentCapacity, s.sentRetiring = r, s.retiring
	s.capacityClock = clock.Truncate(time.Microsecond)
	m := wireCapacity(r)
	m.Open = m.Open && !s.retiring
	m.Retiring = s.retiring
	return m
}

// Changed implements advertise.Session.
func (s *session) Changed(r runs.Capacity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.sentCapacity
	return s.retiring != s.sentRetiring || t.Open != r.Open || t.Cleared != r.Cleared || t.Incarnation != r.Incarnation || t.Total != r.Total
}
