package replay

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/handover"
	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/sessions/turns"
	"almondstand.dev/guard/demand"
	"almondstand.dev/guard/load"
	"almondstand.dev/guard/runs"
)

// Thresholds for the confirmations that entries with queued tasks send; see
// entry/sessions.
const (
	confirmDelay = 10 * time.Millisecond
	confirmAge   = 10 * time.Millisecond
)

// session is a guard's session with one entry; see guard/uplink.
type session struct {
	guard   *guard
	entry   *entry
	owner   runs.Owner
	pending bool
	demand  int64
	// wantsSpare is true if the entry wants the loads of other entries, sentSpare is when they were sent.
	wantsSpare bool
	sentSpare  time.Duration
	// urgent is the most urgent demand, received at urgentAt; nil if it is not known.
	urgent   *work.Demand
	urgentAt time.Duration
	// open holds the runs that the entry has ordered and that have not ended, by its knowledge.
	// lastSent is the time of its last message to the guard, and turn its next turn to send demand.
	open     map[work.RunID]struct{}
	lastSent time.Duration
	turn     turns.Turn

	reports []runs.Report
	// capacityDue is the time at which capacity is to be sent, reportsDue that of the
	// reports; never when there is nothing to send.
	capacityDue, reportsDue time.Duration
	// progressDue is true if a report on a stalled run is to be sent at once.
	progressDue  bool
	capacitySent time.Duration
	sentCapacity runs.Capacity
	withReports  bool
	// read is the clock reading of the newest message whose receipt the entry has
	// confirmed; awaitingRead is true while the next capacity is withheld until then.
	read         time.Duration
	awaitingRead bool
	// flushID identifies the scheduled flush, at flushAt; older ones are ignored.
	flushID int
	flushAt time.Duration
}

// never is later than any event.
const never = time.Duration(1<<63 - 1)

func (g *guard) attach(e *entry) {
	l := &session{
		guard: g, entry: e, owner: runs.Owner{Entry: e.name, Incarnation: 1},
		capacityDue: g.sim.now, reportsDue: never, open: map[work.RunID]struct{}{},
	}
	g.sessions = append(g.sessions, l)
	l.scheduleFlush()
	g.sim.after(pingInterval, l.ping)
}

func (g *guard) session(e *entry) *session {
	i := slices.IndexFunc(g.sessions, func(l *session) bool { return l.entry == e })
	return g.sessions[i]
}

// ping makes the entry send a message to the guard if its heartbeat is due, or its turn has come to hear
// of waiting tasks; see entry/sessions.
func (l *session) ping() {
	now, e := l.guard.sim.now, l.entry
	interval := idleInterval
	if len(l.open) > 0 {
		interval = pingInterval
	}
	shares := len(l.open) == 0 && slices.ContainsFunc(e.plan.Demand(now, l.guard.id), func(d work.Demand) bool { return d.Jobs > 0 })
	turn := l.turn.Due(now, l.lastSent, shares, &e.turns)
	if turn {
		e.sim.result.DemandMessages++
	}
	if turn || now-l.lastSent >= interval {
		l.lastSent = now
		e.cpu.run(0, func() { e.send(l.guard, orders{}) })
	}
	wait := l.turn.In(now, min(pingInterval, interval-(now-l.lastSent)))
	l.guard.sim.after(max(wait, time.Millisecond), l.ping)
}

// recordSent records a message of the entry.
func (l *session) recordSent(o orders) {
	l.lastSent = l.guard.sim.now
	l.guard.sim.result.EntryMessages++
	for _, x := range o.starts {
		l.open[x.Run] = struct{}{}
	}
}

// recordEnds records the ends of runs that a message to the entry reports.
func (l *session) recordEnds(reports []runs.Report) {
	for _, r := range reports {
		if r.State != runs.Running {
			delete(l.open, r.Run)
		}
	}
}

func (l *session) setPending(pending bool, demand int64) {
	changed := pending && !l.pending
	l.pending, l.demand = pending, demand
	if changed {
		l.guard.deliver(nil)
	}
}

// recordDemand records the entry's demand by contract; see guard/uplink.
func (l *session) recordDemand(rows []work.Demand) {
	if l.guard.sim.load.Disabled.SharedDemand {
		return
	}
	l.guard.demand.Record(l.guard.sim.now, l.owner.Entry, rows)
	l.urgent = nil
	if d, found := demand.MostUrgent(rows); found {
		l.urgent, l.urgentAt = &d, l.guard.sim.now
	}
}

// recordLoad records the entry's load; see guard/uplink.
func (l *session) recordLoad(m entryMessage) {
	l.guard.loads.Record(l.guard.sim.now, l.owner.Entry, m.load)
	l.wantsSpare = m.wantsSpare
}

// takeSpare lists the entries with spare processor time for the next message.
func (l *session) takeSpare() []handover.Load {
	now := l.guard.sim.now
	if !l.wantsSpare || now-l.sentSpare < load.ListInterval {
		return nil
	}
	l.sentSpare = now
	return l.guard.loads.Spare(now, l.owner.Entry)
}

// MostUrgent implements advertise.Session.
func (l *session) MostUrgent() (d work.Demand, known bool) {
	if l.urgent == nil || l.guard.sim.now-l.urgentAt >= demand.MaxAge {
		return work.Demand{}, false
	}
	return *l.urgent, true
}

// PendingDemand implements advertise.Session.
func (l *session) PendingDemand() int64 { return l.demand }

// HasPending implements advertise.Session.
func (l *session) HasPending() bool { return l.pending }

// LastSent implements advertise.Session.
func (l *session) LastSent() time.Time { return toTime(l.capacitySent) }

// Changed implements advertise.Session.
func (l *session) Changed(r runs.Capacity) bool {
	t := l.sentCapacity
	return t.AcceptsStarts != r.AcceptsStarts || t.Reconciled != r.Reconciled || t.Incarnation != r.Incarnation || t.Total != r.Total
}

// SendAt implements advertise.Session.
func (l *session) SendAt(at time.Time) {
	l.capacityDue = time.Duration(at.UnixNano())
	l.scheduleFlush()
}

// SendAfter implements advertise.Session.
func (l *session) SendAfter(interval time.Duration, contended bool) {
	l.capacityDue = min(l.capacityDue, l.capacitySent+interval)
	l.withReports = l.withReports || !contended
	l.scheduleFlush()
}

// Withhold implements advertise.Session.
func (l *session) Withhold() { l.capacityDue = never }

// Unacknowledged implements advertise.Session.
func (l *session) Unacknowledged() bool { return l.read < l.capacitySent }

// SendOnceAcknowledged implements advertise.Session.
func (l *session) SendOnceAcknowledged() { l.capacityDue, l.awaitingRead = never, true }

// confirmRead records up to which message the entry has received.
func (l *session) confirmRead(read time.Duration) {
	l.read = max(l.read, read)
	if l.awaitingRead && !l.Unacknowledged() {
		l.awaitingRead = false
		l.guard.deliver(nil)
	}
}

func (l *session) queueReport(r runs.Report) {
	at := l.guard.sim.now
	if r.State == runs.Running {
		at += startReportDelay
	} else {
		l.reports = slices.DeleteFunc(l.reports, func(old runs.Report) bool { return old.Run == r.Run })
	}
	l.reports = append(l.reports, r)
	l.reportsDue = min(l.reportsDue, at)
	l.withReports = l.withReports || r.State == runs.NotStarted
	l.scheduleFlush()
}

// sendProgress sends the progress reports that are due at once.
func (l *session) sendProgress() {
	l.progressDue = true
	l.scheduleFlush()
}

// scheduleFlush schedules the next message for the time at which it is due.
func (l *session) scheduleFlush() {
	next := min(l.capacityDue, l.reportsDue)
	if l.progressDue {
		next = l.guard.sim.now
	}
	if next == l.flushAt {
		return
	}
	l.flushID++
	l.flushAt = next
	current := l.flushID
	if next == never {
		return
	}
	l.guard.sim.at(next, func() {
		if l.flushID == current {
			l.flushAt = 0
			l.sendMessage()
		}
	})
}

// sendMessage sends the reports, and the capacity if it is due or accompanies them.
func (l *session) sendMessage() {
	now := l.guard.sim.now
	due := l.capacityDue <= now || l.withReports && l.reportsDue <= now
	reports := l.reports
	l.reports, l.reportsDue, l.progressDue = nil, never, false
	progress, _ := l.guard.table.DueProgress(now, l.owner)
	for _, p := range progress {
		l.guard.sim.result.countProgress(p.Stalled)
	}
	var capacity *planner.EndpointStatus
	if due {
		r := l.guard.table.CapacityAt(now)
		l.sentCapacity, l.capacitySent, l.capacityDue, l.withReports = r, now, never, false
		others, entries := l.guard.demand.Others(now, l.owner.Entry)
		capacity = &planner.EndpointStatus{
			Service:       service,
			Runner:        r.Incarnation,
			AcceptsStarts: r.AcceptsStarts,
			Total:         r.Total,
			Used:          r.Used,
			Reconciled:    r.Reconciled,

			ReleasesMilli:            r.ReleasesMilli,
			RunTimePermille:          r.RunTimePermille,
			RunTimeSamples:           r.RunTimeSamples,
			AllocatedByPriorityMilli: r.AllocatedByPriorityMilli,
			OthersDemand:             others,
			OthersEntries:            entries,
		}
	}
	l.guard.sim.result.Messages++
	e := l.entry
	spare := l.takeSpare()
	l.guard.sim.after(messageDelay, func() {
		e.cpu.run(readCost, func() {
			e.recordLoads(spare)
			l.recordEnds(reports)
			e.receive(l.guard.id, now, reports, progress, capacity)
		})
	})
	l.scheduleFlush()
}

// receive handles a guard's message.
func (e *entry) receive(guard string, sent time.Duration, reports []runs.Report, progress []runs.Progress, capacity *planner.EndpointStatus) {
	e.clocks[guard] = clockReading{sent, e.sim.now}
	for _, r := range reports {
		if r.State == runs.Crashed {
			e.plan.ReportCrash(e.sim.now, guard, r.Run, r.RunTime(sent), planner.Crash{OtherCount: r.Crash.OtherCount, Newest: r.Crash.Newest})
			continue
		}
		e.plan.ReportRun(e.sim.now, guard, r.Run, changeOf(r), r.RunTime(sent))
	}
	for _, r := range progress {
		e.plan.RecordProgress(e.sim.now, guard, planner.RunProgress{Run: r.Run, Percent: r.Percent, Left: r.Left, Stalled: r.Stalled})
	}
	if capacity != nil {
		e.plan.UpdateEndpoint(e.sim.now, guard, *capacity)
	}
	e.runPlanner()
	if capacity != nil {
		e.confirmCapacity(guard, sent)
	}
}

// confirmCapacity tells a guard after a short delay that its capacity was received,
// unless another message to the guard has done so by then; see entry/sessions.
func (e *entry) confirmCapacity(guard string, sent time.Duration) {
	pending, _ := e.plan.PendingDemand(e.sim.now, guard)
	if !pending || e.sim.now-sent-messageDelay > confirmAge {
		return
	}
	e.sim.after(confirmDelay, func() {
		if e.confirmed[guard] < sent {
			e.cpu.run(0, func() { e.send(e.sim.guard(guard), orders{}) })
		}
	})
}

func changeOf(r runs.Report) planner.RunEvent {
	switch r.State {
	case runs.Running:
		return planner.Running
	case runs.Done:
		return planner.Done
	case runs.Failed:
		return planner.TaskFailed
	case runs.Stopped:
		return planner.Stopped
	}
	switch r.Refusal {
	case runs.InsufficientCapacity:
		return planner.NoCapacity
	case runs.RunnerFailed:
		return planner.NotStarted
	default:
		return planner.NotAccepted
	}
}
