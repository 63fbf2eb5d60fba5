package sessions

import (
	"context"
	"sync"
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// session is one guard's stream.
type session struct {
	server *Server
	guard  string
	stream *stream
	wake   chan struct{}
	cancel context.CancelFunc

	mu     sync.Mutex
	starts []planner.Start
	stops  []planner.Stop
	// decidedAt is when the oldest of the starts was decided on, uptime.
	decidedAt time.Duration
	// readClock is the clock of the newest message that was taken in.
	readClock time.Duration
	// confirmAt is when a message is to confirm that at the latest, uptime; zero when a
	// heartbeat is soon enough.
	confirmAt time.Duration
	// prompt is true when a message is to go out though there are no orders.
	prompt bool
	// retiring is true while the guard asks to be released.
	retiring bool
	// open counts the runs ordered here and not over.
	open int
	// clock is the guard's newest clock, and clockAt when it came, uptime.
	clock, clockAt time.Duration
	lastHeard      time.Duration
	membersVersion uint64
	// nearest is the least difference seen between this host's uptime and the guard's
	// clock when a message was read: the two clocks' offset and the shortest way.
	nearest time.Duration
	// measured is true once nearest is known.
	measured bool
}

// Order implements jobs.Guard.
func (s *session) Order(starts []planner.Start, stops []planner.Stop) {
	s.mu.Lock()
	if len(s.starts) == 0 {
		s.decidedAt = uptime.Now()
	}
	s.starts = append(s.starts, starts...)
	s.stops = append(s.stops, stops...)
	s.open += len(starts)
	s.mu.Unlock()
	s.signal()
}

// Wake implements jobs.Guard.
func (s *session) Wake() {
	s.mu.Lock()
	s.prompt = true
	s.mu.Unlock()
	s.signal()
}

// heard notes the guard's clock. Only a newer one counts: the oldest possible
// time of an order is worked out from it.
func (s *session) heard(clockUs int64) {
	now := uptime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeard = now
	s.clock = time.Duration(clockUs) * time.Microsecond
	s.clockAt = now
}

// age is the time that a message of the guard lay unread or was on the way, beyond the
// least that one of this session has taken.
func (s *session) age(clockUs int64) time.Duration {
	apart := uptime.Now() - time.Duration(clockUs)*time.Microsecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.measured || apart < s.nearest {
		s.nearest, s.measured = apart, true
	}
	return apart - s.nearest
}

// takenIn takes note that a message has been read. Where capacity came and tasks are pending,
// that is confirmed soon, so that the guard sends what changes next.
func (s *session) takenIn(m *wirev1.AttachRequest, age time.Duration) {
	soon := false
	if m.GetCapacity() != nil && age <= confirmAge {
		soon, _ = s.server.jobs.Waiting(s.guard)
	}
	s.mu.Lock()
	s.readClock = time.Duration(m.GetClockUs()) * time.Microsecond
	soon = soon && s.confirmAt == 0
	if soon {
		s.confirmAt = uptime.Now() + confirmDelay
	}
	s.mu.Unlock()
	if soon {
		s.signal()
	}
}

// serve runs the session until either side ends it.
func (s *session) serve(ctx context.Context, open []work.RunID) error {
	entries, version := s.server.members.Known()
	s.mu.Lock()
	s.membersVersion = version
	s.open += len(open)
	s.mu.Unlock()
	handshake := &wirev1.EntryHandshake{Entry: s.server.opt.Entry, Incarnation: s.server.opt.Incarnation}
	for _, r := range open {
		handshake.Open = append(handshake.Open, &wirev1.OpenRun{Task: fleetwire.Task(r.Task), Attempt: uint32(r.Attempt)})
	}
	if err := s.stream.Send(&wirev1.AttachResponse{Handshake: handshake, Entries: entries, Guards: uint32(s.server.jobs.Guards()), ReadUs: s.clock.Microseconds()}); err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() {
		failed <- s.receive()
	}()
	return s.send(ctx, failed)
}

// receive takes messages until the stream ends. It goes on after the session
// has ended, until the handler's return breaks the stream.
func (s *session) receive() error {
	for {
		m, err := s.stream.Receive()
		if err != nil {
			return err
		}
		s.heard(m.GetClockUs())
		news := jobs.News{Room: roomOf(m.GetCapacity())}
		over := 0
		for _, r := range m.GetReports() {
			c := changeOf(r)
			if c != planner.Running {
				over++
			}
			if c == planner.NotTaken || c == planner.Unknown {
				s.server.opt.Lag.Stale()
			}
			news.Reports = append(news.Reports, jobs.Report{
				Run:    fleetwire.FromRun(r.GetTask(), r.GetAttempt()),
				Change: c,
				Ran:    time.Duration(r.GetRanUs()) * time.Microsecond,
				Crash:  crashOf(r.GetCrash()),
			})
		}
		s.mu.Lock()
		s.open = max(s.open-over, 0)
		s.mu.Unlock()
		if news.Room != nil || len(news.Reports) > 0 {
			s.server.jobs.Tell(s.guard, s, news)
		}
		age := s.age(m.GetClockUs())
		s.server.opt.Lag.Read(age)
		s.takenIn(m, age)
		s.setRetiring(m.GetCapacity())
	}
}

// setRetiring takes note of whether the guard asks to be released. The room told with
// it is closed, so nothing more is ordered there.
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

// released reports whether a retiring guard holds no run of this entry any more, and
// takes its endpoint away.
func (s *session) released() bool {
	s.mu.Lock()
	retiring := s.retiring
	s.mu.Unlock()
	return retiring && s.server.jobs.Release(s.guard, s)
}

// signal has the session look for something to send.
func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// send writes orders at once, and a ping when there are none.
func (s *session) send(ctx context.Context, failed chan error) error {
	timer := time.NewTimer(pingBusy)
	defer timer.Stop()
	lastSent := uptime.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-s.wake:
		case <-timer.C:
		}
		now := uptime.Now()
		if s.silentFor(now) > listenFor {
			return context.DeadlineExceeded
		}
		if s.released() {
			return errReleased
		}
		starts, decided := s.pendingStarts()
		m, pause := s.take(now, now-lastSent)
		if !s.server.jobs.Current(s.guard, s) {
			return errOlder
		}
		if m == nil {
			timer.Reset(pause)
			continue
		}
		m.HasPending, m.PendingMilli = s.server.jobs.Waiting(s.guard)
		m.Guards = uint32(s.server.jobs.Guards())
		if err := s.stream.Send(m); err != nil {
			return err
		}
		s.server.opt.Lag.Sent(starts, uptime.Now()-decided)
		lastSent = now
		timer.Reset(pingBusy)
	}
}

// pendingStarts counts the starts that are to be sent, and says when the oldest was
// decided on.
func (s *session) pendingStarts() (n int, decided time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.starts), s.decidedAt
}

func (s *session) silentFor(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.lastHeard
}

// take builds the next message. It is nil when there is nothing to tell and the
// last was sent a short while ago; nothing is taken as told then, and pause is
// the time until a ping is due.
func (s *session) take(now, since time.Duration) (m *wirev1.AttachResponse, pause time.Duration) {
	entries, version := s.server.members.Known()
	s.mu.Lock()
	defer s.mu.Unlock()
	every := pingIdle
	if s.open > 0 {
		every = pingBusy
	}
	news := len(s.starts) > 0 || len(s.stops) > 0 || s.prompt || version != s.membersVersion
	confirm := s.confirmAt > 0 && now >= s.confirmAt
	if !news && !confirm && since < every {
		return nil, s.untilDue(now, every-since)
	}
	m = &wirev1.AttachResponse{
		EchoUs: (s.clock + now - s.clockAt).Microseconds(),
		ReadUs: s.readClock.Microseconds(),
		Starts: group(s.starts),
	}
	s.confirmAt = 0
	for _, x := range s.stops {
		m.Stops = append(m.Stops, &wirev1.StopOrder{Task: fleetwire.Task(x.Run.Task), Attempt: uint32(x.Run.Attempt)})
	}
	s.starts, s.stops, s.prompt = nil, nil, false
	if version != s.membersVersion {
		s.membersVersion = version
		m.Entries = entries
	}
	return m, 0
}

// untilDue is the time until the next message without orders is due. The lock is held.
func (s *session) untilDue(now, heartbeat time.Duration) time.Duration {
	due := min(heartbeat, pingBusy)
	if s.confirmAt > 0 {
		due = min(due, s.confirmAt-now)
	}
	return due
}

// group puts the tasks of one step into one order.
func group(starts []planner.Start) []*wirev1.StartOrder {
	var out []*wirev1.StartOrder
	for _, s := range starts {
		t := &wirev1.TaskStart{Index: uint32(s.Run.Task.Index), Attempt: uint32(s.Run.Attempt)}
		if n := len(out); n > 0 && out[n-1].Job == s.Run.Task.Job && out[n-1].Step == uint32(s.Run.Task.Step) {
			out[n-1].Tasks = append(out[n-1].Tasks, t)
			continue
		}
		out = append(out, &wirev1.StartOrder{
			Job:    s.Run.Task.Job,
			Step:   uint32(s.Run.Task.Step),
			Spec:   s.Spec,
			Need:   fleetwire.Amounts(s.Need),
			LifeMs: uint32(max(s.Life.Milliseconds(), 0)),
			Tasks:  []*wirev1.TaskStart{t},
		})
	}
	return out
}

func roomOf(r *wirev1.Capacity) *planner.Room {
	if r == nil {
		return nil
	}
	return &planner.Room{
		Service: r.GetService(),
		Runner:  work.Incarnation{ID: r.GetRunner(), Born: r.GetRunnerBornMs()},
		Open:    r.GetOpen(),
		Total:   fleetwire.FromAmounts(r.GetTotal()),
		Used:    fleetwire.FromAmounts(r.GetAllocated()),
		Labels:  r.GetLabels(),
		Cleared: r.GetCleared(),
	}
}

func changeOf(r *wirev1.RunReport) planner.Change {
	switch r.GetState() {
	case wirev1.RunState_RUN_STATE_RUNNING:
		return planner.Running
	case wirev1.RunState_RUN_STATE_DONE:
		return planner.Done
	case wirev1.RunState_RUN_STATE_FAILED:
		return planner.TaskFailed
	case wirev1.RunState_RUN_STATE_CRASHED:
		return planner.Crashed
	case wirev1.RunState_RUN_STATE_NOT_STARTED:
		return refusalOf(r.GetRefusal())
	default:
		return planner.Stopped
	}
}

// crashOf reads what a guard knows of a crash; nil for a run that ended otherwise.
func crashOf(c *wirev1.Crash) *jobs.Crash {
	if c == nil {
		return nil
	}
	crash := &jobs.Crash{Crash: planner.Crash{
		Runner: work.Incarnation{ID: c.GetRunner(), Born: c.GetRunnerBornMs()},
		Others: int(c.GetOthers()),
		Newest: c.GetNewest(),
	}}
	for _, t := range c.GetBeside() {
		crash.Beside = append(crash.Beside, t.GetJob())
	}
	return crash
}

func refusalOf(r wirev1.Refusal) planner.Change {
	switch r {
	case wirev1.Refusal_REFUSAL_ROOM:
		return planner.NoRoom
	case wirev1.Refusal_REFUSAL_RUNNER:
		return planner.NotStarted
	case wirev1.Refusal_REFUSAL_UNKNOWN:
		return planner.Unknown
	default:
		return planner.NotTaken
	}
}
