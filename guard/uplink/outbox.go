package uplink

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"almondstand.dev/guard/runs"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

func (s *session) setPending(pending bool, demand int64) {
	s.mu.Lock()
	changed := pending && !s.pending
	s.pending, s.demand = pending, demand
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
		// The report on the end includes all that the one on the start says.
		s.reports = slices.DeleteFunc(s.reports, func(old runs.Report) bool { return old.Run == r.Run && old.State == runs.Running })
	}
	s.reports = append(s.reports, r)
	earlier := s.reportsDue.IsZero() || at.Before(s.reportsDue)
	if earlier {
		s.reportsDue = at
	}
	if r.State == runs.NotStarted {
		// The entry's view of the capacity was wrong.
		s.withReports = true
	}
	s.mu.Unlock()
	if earlier {
		notify(s.wake)
	}
}

// SendAt implements advertise.Session.
func (s *session) SendAt(at time.Time) {
	s.mu.Lock()
	s.capacityDue = at
	s.mu.Unlock()
	notify(s.wake)
}

// SendAfter implements advertise.Session.
func (s *session) SendAfter(interval time.Duration, contended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if due := s.capacitySent.Add(interval); s.capacityDue.IsZero() || due.Before(s.capacityDue) {
		s.capacityDue = due
		notify(s.wake)
	}
	s.withReports = s.withReports || !contended
}

// Withhold implements advertise.Session.
func (s *session) Withhold() {
	s.mu.Lock()
	s.capacityDue = time.Time{}
	s.mu.Unlock()
}

// Unacknowledged implements advertise.Session.
func (s *session) Unacknowledged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unread()
}

// unread reports whether the entry has not yet acknowledged the capacity sent last. s.mu is
// held.
func (s *session) unread() bool { return s.readClock > 0 && s.capacityClock > s.readClock }

// SendOnceAcknowledged implements advertise.Session.
func (s *session) SendOnceAcknowledged() {
	s.mu.Lock()
	s.capacityDue, s.deferred = time.Time{}, true
	s.mu.Unlock()
}

// takeDeferred reports whether capacity that was deferred until the entry's acknowledgement
// may be sent now, and clears the deferral.
func (s *session) takeDeferred() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.deferred && !s.unread()
	if due {
		s.deferred = false
	}
	return due
}

// send sends messages until the stream ends: reports when due, changed capacity at a bounded
// rate, and a heartbeat if there is nothing else.
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
		// The late starts are read after the reports were taken, so that a report on the end of a
		// run is never sent before the late start of that run.
		late := s.takeLateStarts(ctx, uptime.Now())
		sending := len(reports) > 0 || len(late) > 0 || capacity || time.Since(heartbeat) >= heartbeatInterval
		progress := s.takeProgress(sending)
		if !sending && len(progress) == 0 {
			timer.Reset(min(wait, heartbeatInterval-time.Since(heartbeat)))
			continue
		}
		clock := uptime.Now()
		m := &wirev1.AttachRequest{ClockUs: clock.Microseconds(), Reports: reports, LateStarts: late, Progress: progress, SpareEntries: s.spareEntries(clock)}
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

// takeLateStarts returns the late starts that the session has not sent yet. Only the sender calls
// it.
func (s *session) takeLateStarts(ctx context.Context, now time.Duration) []*wirev1.LateStart {
	late, last := s.up.host.LateStarts(s.lateStartsSent)
	s.lateStartsSent = last
	var m []*wirev1.LateStart
	for _, l := range late {
		m = append(m, &wirev1.LateStart{Task: fleetwire.ToTaskName(l.Task), LeftMs: uint32((l.Until - now).Milliseconds())})
	}
	if len(m) > 0 {
		lateStartsSent.Log(ctx, s.up.logger, slog.String("entry", s.owner.Entry), slog.Int("tasks", len(m)),
			slog.String("first_job", m[0].GetTask().GetJob()))
	}
	return m
}

// take returns what is to be sent now; capacity is true if the capacity is to be included, and
// wait is the time until something is due.
func (s *session) take(now time.Time) (reports []*wirev1.RunReport, capacity bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := !s.reportsDue.IsZero() && !now.Before(s.reportsDue)
	capacity = !s.capacityDue.IsZero() && !now.Before(s.capacityDue) || s.withReports && due
	if !due && !capacity {
		return nil, false, s.untilDue(now)
	}
	// All reports are included, even one on a start that could wait, because the capacity
	// counts its run.
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

// untilDue returns the time until something is to be sent, at most heartbeatInterval. s.mu is
// held.
func (s *session) untilDue(now time.Time) time.Duration {
	wait := heartbeatInterval
	for _, at := range []time.Time{s.capacityDue, s.reportsDue} {
		if !at.IsZero() {
			wait = min(wait, at.Sub(now))
		}
	}
	return wait
}

// capacity returns the current capacity for a message with the given clock, and records it as
// sent.
func (s *session) capacity(clock time.Duration) *wirev1.Capacity {
	r := s.up.host.Capacity()
	others, entries := s.up.othersDemand(s.owner.Entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentCapacity, s.sentRetiring = r, s.retiring
	s.capacityClock = clock.Truncate(time.Microsecond)
	m := wireCapacity(clock, r)
	m.OthersDemand, m.OthersEntries = others, uint32(entries)
	m.Open = m.Open && !s.retiring
	m.Retiring = s.retiring
	return m
}

// Changed implements advertise.Session.
func (s *session) Changed(r runs.Capacity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.sentCapacity
	return s.retiring != s.sentRetiring || t.AcceptsStarts != r.AcceptsStarts || t.Reconciled != r.Reconciled || t.RunnerRevision != r.RunnerRevision || t.Total != r.Total
}
