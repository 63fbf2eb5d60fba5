package sessions

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/internal/clockoffset"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/entry/registry/membership"
	"almondstand.dev/entry/sessions/turns"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// session is the server side of one guard's stream.
type session struct {
	server *Server
	guard  string
	// dataCentre is the data centre of the guard.
	dataCentre string
	stream     *stream
	wake       chan struct{}
	cancel     context.CancelFunc

	mu     sync.Mutex
	starts []planner.Start
	stops  []planner.Stop
	// queuedAt is the uptime at which the oldest of the orders was queued.
	queuedAt time.Duration
	// readClock is the guard's clock in the last message that was processed.
	readClock time.Duration
	// ackAt is the uptime by which a message must acknowledge readClock; zero when the next
	// heartbeat is early enough.
	ackAt time.Duration
	// sendNow requests a message even if there are no orders.
	sendNow bool
	// retiring is true while the guard asks this entry to release it.
	retiring bool
	// open holds the runs that were ordered at this guard and have not ended.
	open map[work.RunID]struct{}
	// clock is the guard's clock in its newest message, and clockAt the uptime at which that
	// message was received.
	clock, clockAt time.Duration
	lastReceived   time.Duration
	// members is what the guard has been sent of the entries.
	members membership.Snapshot
	// offset estimates the age of the guard's messages.
	offset clockoffset.Estimate

	// cordon tells the guard whether its data centre is cordoned, and turn is the guard's next turn to
	// be sent demand. Only the send loop uses them.
	cordon cordonNotice
	turn   turns.Turn
}

// SendOrders implements jobs.Guard.
func (s *session) SendOrders(starts []planner.Start, stops []planner.Stop) {
	now := uptime.Now()
	s.mu.Lock()
	if len(s.starts)+len(s.stops) == 0 {
		s.queuedAt = now
	}
	s.starts = append(s.starts, starts...)
	s.stops = append(s.stops, stops...)
	for _, x := range starts {
		s.open[x.Run] = struct{}{}
	}
	s.mu.Unlock()
	s.signal()
}

// Wake implements jobs.Guard.
func (s *session) Wake() {
	s.mu.Lock()
	s.sendNow = true
	s.mu.Unlock()
	s.signal()
}

// recordClock stores the guard's clock from a received message. Orders carry that clock,
// extrapolated to the time of sending; the guard derives the earliest possible time of an order
// from it, so only the newest value counts.
func (s *session) recordClock(clockUs int64) {
	now := uptime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = now
	s.clock = time.Duration(clockUs) * time.Microsecond
	s.clockAt = now
}

// messageAge returns how long a guard's message was in transit or waited unread, beyond the
// smallest such delay seen lately.
func (s *session) messageAge(clockUs int64) time.Duration {
	now := uptime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offset.Age(now, time.Duration(clockUs)*time.Microsecond)
}

// noteRead records that a message was processed. If it carried capacity and tasks are pending, an
// acknowledgement is scheduled soon, because the guard sends its next change only after it.
func (s *session) noteRead(m *wirev1.AttachRequest, messageAge time.Duration) {
	ackSoon := false
	if m.GetCapacity() != nil && messageAge <= ackMaxAge {
		ackSoon, _ = s.server.jobs.PendingDemand(s.guard)
	}
	s.mu.Lock()
	s.readClock = time.Duration(m.GetClockUs()) * time.Microsecond
	ackSoon = ackSoon && s.ackAt == 0
	if ackSoon {
		s.ackAt = uptime.Now() + ackDelay
	}
	s.mu.Unlock()
	if ackSoon {
		s.signal()
	}
}

// serve runs the session until either side ends it.
func (s *session) serve(ctx context.Context, open []work.RunID) error {
	members := s.server.members.Members()
	s.server.jobs.SetEntries(len(members.Addresses))
	s.mu.Lock()
	s.members = members
	for _, r := range open {
		s.open[r] = struct{}{}
	}
	s.mu.Unlock()
	handshake := &wirev1.EntryHandshake{Entry: s.server.opt.Entry, Incarnation: s.server.opt.Incarnation}
	for _, r := range open {
		handshake.Open = append(handshake.Open, &wirev1.OpenRun{Task: fleetwire.ToTaskName(r.Task), Attempt: uint32(r.Attempt)})
	}
	first := &wirev1.AttachResponse{
		Handshake:   handshake,
		Entries:     members.Addresses,
		Discovering: members.Phase == membership.Discovering,
		Guards:      uint32(s.server.jobs.Guards()),
		ReadUs:      s.clock.Microseconds(),
		Cordon:      s.cordon.next(uptime.Now(), s.server.jobs.Cordons(), s.dataCentre),
	}
	if err := s.stream.Send(first); err != nil {
		return err
	}
	receiveErr := make(chan error, 1)
	go func() {
		receiveErr <- s.receive()
	}()
	return s.send(ctx, receiveErr)
}

// receive processes messages until the stream ends. It outlives the session: it returns only when
// the handler's return closes the stream.
func (s *session) receive() error {
	for {
		m, err := s.stream.Receive()
		if err != nil {
			return err
		}
		s.recordClock(m.GetClockUs())
		sentAt := uptime.Now() - s.messageAge(m.GetClockUs())
		if loads := loadsOf(m.GetSpareEntries()); len(loads) > 0 {
			s.server.jobs.RecordLoads(loads)
		}
		update := jobs.GuardUpdate{SentAt: sentAt, Status: capacityOf(m.GetCapacity())}
		for _, r := range m.GetReports() {
			c := changeOf(r)
			if c == planner.NotAccepted || c == planner.Unknown {
				s.server.opt.Lag.CountRejectedStart()
			}
			update.Reports = append(update.Reports, jobs.Report{
				Run:    fleetwire.ToRunID(r.GetTask(), r.GetAttempt()),
				Change: c,
				Ran:    time.Duration(r.GetRanUs()) * time.Microsecond,
				Crash:  crashOf(r.GetCrash()),
			})
		}
		for _, l := range m.GetLateStarts() {
			update.LateStarts = append(update.LateStarts, jobs.LateStart{
				Task: fleetwire.FromTaskName(l.GetTask()),
				Left: time.Duration(l.GetLeftMs()) * time.Millisecond,
			})
		}
		update.Progress = progressOf(m.GetProgress())
		s.removeEnded(update.Reports)
		if update.Status != nil || len(update.LateStarts) > 0 || len(update.Reports) > 0 || len(update.Progress) > 0 {
			s.server.jobs.ApplyUpdate(s.guard, s, update)
		} else {
			s.server.jobs.Heard(s.guard, s, sentAt)
		}
		messageAge := s.messageAge(m.GetClockUs())
		s.server.opt.Lag.ObserveMessage(messageAge)
		s.noteRead(m, messageAge)
		s.setRetiring(m.GetCapacity())
	}
}

// removeEnded removes the runs that have ended from the open ones. Guards may report the end of a
// run twice, for example in answer to its stop order.
func (s *session) removeEnded(reports []jobs.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		if r.Change != planner.Running {
			delete(s.open, r.Run)
		}
	}
}

// setRetiring records whether the guard asks to be released. A retiring guard reports closed
// capacity, so nothing more is ordered there.
func (s *session) setRetiring(r *wirev1.Capacity) {
	s.mu.Lock()
	if r != nil {
		s.retiring = r.GetRetiring()
	}
	retiring := s.retiring
	s.mu.Unlock()
	if retiring {
		s.signal()
	}
}

// released reports whether the guard is retiring and none of this entry's runs is open there. In
// that case it also removes the guard's endpoint.
func (s *session) released() bool {
	s.mu.Lock()
	retiring := s.retiring
	s.mu.Unlock()
	return retiring && s.server.jobs.Release(s.guard, s)
}

// signal wakes the send loop without blocking.
func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// send writes orders as soon as they are queued, and heartbeats when there are none.
func (s *session) send(ctx context.Context, receiveErr chan error) error {
	timer := time.NewTimer(heartbeatBusy)
	defer timer.Stop()
	lastSent := uptime.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-receiveErr:
			return err
		case <-s.wake:
		case <-timer.C:
		}
		now := uptime.Now()
		if s.sinceLastReceived(now) > guardTimeout {
			return context.DeadlineExceeded
		}
		if s.released() {
			return errReleased
		}
		// A message tells the guard that this entry is alive, so it must not be sent without the
		// stops for callers that had disconnected by then.
		s.server.jobs.CheckCallers(now)
		s.logLateOrders(ctx, now)
		s.requestDemand(now, lastSent)
		starts, decidedAt := s.pendingStarts(now)
		m, delay, expired := s.nextMessage(now, now-lastSent)
		s.reportExpired(ctx, now, expired)
		if !s.server.jobs.Current(s.guard, s) {
			return errSuperseded
		}
		if m == nil {
			timer.Reset(s.turn.In(now, delay))
			continue
		}
		m.HasPending, m.PendingMilli = s.server.jobs.PendingDemand(s.guard)
		m.Demand = fleetwire.ToDemands(s.server.jobs.Demand(s.guard))
		m.Guards = uint32(s.server.jobs.Guards())
		m.Load, m.WantsSpareEntries = s.server.load()
		m.Cordon = s.cordon.next(now, s.server.jobs.Cordons(), s.dataCentre)
		if err := s.stream.Send(m); err != nil {
			return err
		}
		s.server.opt.Lag.ObserveSend(starts, uptime.Now()-decidedAt)
		lastSent = now
		timer.Reset(heartbeatBusy)
	}
}

// pendingStarts counts the queued starts that have not expired, and returns when the planner
// decided on the oldest.
func (s *session) pendingStarts(now time.Duration) (n int, decidedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.starts {
		if isExpired(now, x) {
			continue
		}
		if n == 0 || x.DecidedAt < decidedAt {
			decidedAt = x.DecidedAt
		}
		n++
	}
	return n, decidedAt
}

// isExpired reports whether a start has waited for too long to be sent.
func isExpired(now time.Duration, x planner.Start) bool { return now-x.DecidedAt > maxStartWait }

// takeExpired removes the expired starts and their stops from the queue, and their runs from the
// open ones. It returns the starts. The caller holds the lock.
func (s *session) takeExpired(now time.Duration) []planner.Start {
	var taken []planner.Start
	for _, x := range s.starts {
		if isExpired(now, x) {
			taken = append(taken, x)
		}
	}
	if taken == nil {
		return nil
	}
	runs := make(map[work.RunID]struct{}, len(taken))
	for _, x := range taken {
		runs[x.Run] = struct{}{}
		delete(s.open, x.Run)
	}
	s.starts = slices.DeleteFunc(s.starts, func(x planner.Start) bool { return isExpired(now, x) })
	s.stops = slices.DeleteFunc(s.stops, func(x planner.Stop) bool {
		_, found := runs[x.Run]
		return found
	})
	return taken
}

// reportExpired reports starts that expired in the queue to the planner as not accepted: they were
// never sent, so their tasks can start elsewhere.
func (s *session) reportExpired(ctx context.Context, now time.Duration, starts []planner.Start) {
	if len(starts) == 0 {
		return
	}
	startsExpired.Log(ctx, s.server.logger, slog.String("guard", s.guard),
		slog.Int64("waited_ms", (now-starts[0].DecidedAt).Milliseconds()), slog.Int("starts", len(starts)))
	update := jobs.GuardUpdate{Reports: make([]jobs.Report, len(starts))}
	for i, x := range starts {
		s.server.opt.Lag.CountRejectedStart()
		update.Reports[i] = jobs.Report{Run: x.Run, Change: planner.NotAccepted}
	}
	s.server.jobs.ApplyUpdate(s.guard, s, update)
}

// logLateOrders logs orders that have waited for too long before their message is built.
func (s *session) logLateOrders(ctx context.Context, now time.Duration) {
	s.mu.Lock()
	starts, stops, waited := len(s.starts), len(s.stops), now-s.queuedAt
	s.mu.Unlock()
	if starts+stops > 0 && waited > lateOrderDelay {
		ordersLate.Log(ctx, s.server.logger, slog.String("guard", s.guard), slog.Int64("waited_ms", waited.Milliseconds()),
			slog.Int("starts", starts), slog.Int("stops", stops))
	}
}

func (s *session) sinceLastReceived(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.lastReceived
}

// nextMessage builds the next message and marks its content as sent. It returns nil and keeps the
// queue when there is nothing to send and no heartbeat is due yet; delay is then the time until
// the next message is due. The starts that have expired are taken off the queue and returned.
func (s *session) nextMessage(now, since time.Duration) (m *wirev1.AttachResponse, delay time.Duration, expired []planner.Start) {
	members := s.server.members.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	expired = s.takeExpired(now)
	interval := heartbeatIdle
	if len(s.open) > 0 {
		interval = heartbeatBusy
	}
	hasUpdate := len(s.starts) > 0 || len(s.stops) > 0 || s.sendNow || members.Version != s.members.Version
	ackDue := s.ackAt > 0 && now >= s.ackAt
	if !hasUpdate && !ackDue && since < interval {
		return nil, s.nextDue(now, interval-since), expired
	}
	m = &wirev1.AttachResponse{
		EchoUs: (s.clock + now - s.clockAt).Microseconds(),
		ReadUs: s.readClock.Microseconds(),
		Starts: groupByStep(now, s.starts),

		Discovering: members.Phase == membership.Discovering,
	}
	s.ackAt = 0
	for _, x := range s.stops {
		m.Stops = append(m.Stops, &wirev1.StopOrder{Task: fleetwire.ToTaskName(x.Run.Task), Attempt: uint32(x.Run.Attempt)})
	}
	s.starts, s.stops, s.sendNow = nil, nil, false
	if members.Version != s.members.Version {
		change := membership.Diff(s.members.Addresses, members.Addresses)
		m.EntriesAdded, m.EntriesRemoved = change.Added, change.Removed
		s.members = members
	}
	return m, 0, expired
}

// nextDue returns the time until the next message without orders is due. The caller holds the
// lock.
func (s *session) nextDue(now, heartbeat time.Duration) time.Duration {
	due := min(heartbeat, heartbeatBusy)
	if s.ackAt > 0 {
		due = min(due, s.ackAt-now)
	}
	return due
}
