// Package runs is the guard's table of the runs at its runner: which runs exist, which starts
// may still be executed, the resources they reserve, and how long each may last. It only
// decides; package host executes the decisions. It has no clock and does no I/O.
package runs

import (
	"time"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/progress"
)

// Options of a Table. The zero value of a field takes its default.
type Options struct {
	// EntryTimeout is how long an entry may send nothing before its runs are stopped.
	EntryTimeout time.Duration
	// EndTimeout is the time after the last message of an entry by which its runs are over even
	// if the runner answers no stop: the lease is not extended beyond it.
	EndTimeout time.Duration
	// LeaseExtension is the duration by which a lease is extended.
	LeaseExtension time.Duration
	// MaxOrderAge is the age above which an order is rejected.
	MaxOrderAge time.Duration
	// DisableRunProgress turns off progress reports and the estimate of what runs will release.
	DisableRunProgress bool
	// DisableSharedDemand turns off what only entries that share their demand use: the CPU by
	// priority and the estimate of what runs will release.
	DisableSharedDemand bool
	// DisableEndpointSpeeds turns off the estimate of the runner's speed.
	DisableEndpointSpeeds bool
}

// Defaults of Options. A caller whose connection broke submits its job again after 1.3 s (the
// platform's resend_ms); the runs that the first entry started must be over by then.
const (
	DefaultEntryTimeout   = 520 * time.Millisecond
	DefaultEndTimeout     = 1150 * time.Millisecond
	DefaultLeaseExtension = 600 * time.Millisecond
	DefaultMaxOrderAge    = 350 * time.Millisecond
)

// endedRetention is how long the final report of a run is kept for an entry that reconnects
// and asks for it. It is also a tombstone: orders of the run that arrive later are rejected. No
// order arrives later than that, because MaxOrderAge is far shorter.
const endedRetention = 10 * time.Second

// run is one start that the runner may have received.
type run struct {
	id    work.RunID
	owner Owner
	name  work.RunnerRunID
	need  work.Amounts
	spec  string
	// deadline is the uptime at which the caller stops waiting.
	deadline time.Duration
	// orderedAt is the uptime at which the order arrived.
	orderedAt time.Duration
	// started is true once the runner has confirmed the start, and startedAt is the uptime of
	// the confirmation.
	started   bool
	startedAt time.Duration
	// answeredAt is the uptime at which the start or a stop was answered, zero before that. A
	// run listing requested later is conclusive: it contains the run, its end, or neither, and
	// in the last case the run is over.
	answeredAt time.Duration
	// stoppingSince is the uptime at which the run was marked for stopping; zero if it is not.
	stoppingSince time.Duration
	// stopAcked is true once the runner has acknowledged a stop.
	stopAcked bool
	// stopSent is true while a stop is in flight; it prevents a second one.
	stopSent bool
	// startValidUntil is the time on the runner's clock up to which the start is valid.
	startValidUntil time.Duration
	// endUnreadable is true if the listing contained an end that could not be read while it did not contain
	// the run.
	endUnreadable bool
	// endReported is true once the owner has been notified that the run is over, and
	// crashReported once it has been notified of the runner's crash.
	endReported, crashReported bool
	// startInFlight is true while copies of the start are in flight that may go unanswered.
	startInFlight bool
	// unresolved is true once the process that the start was sent to is over or unresponsive
	// while another process under the same id may still execute the start.
	unresolved bool
	// expected is the expected run time on an endpoint of normal speed, zero if it is unknown, and
	// priority that of the job's contract.
	expected time.Duration
	priority int
	// reattached is true for a run that began at an earlier process than the current one.
	reattached bool
	// progress are the readings of the run's progress, reported is the last report on it, and stalled
	// is true if it was stalled when the last run listing was applied.
	progress progress.Run
	reported reportedProgress
	stalled  bool
}

// ownedRun names a run among those of all owners: two entries that received the same job use
// the same run ids.
type ownedRun struct {
	owner Owner
	id    work.RunID
}

// endedRun is the final report on a run and the uptime at which it was made.
type endedRun struct {
	report Report
	at     time.Duration
}

// Table tracks the runs at the runner. It is not safe for concurrent use.
type Table struct {
	opt Options
	// runner is the current process of the runner, nil if there is none.
	runner *processState
	// runnerRevision rises when the runner's process, its service or its labels change.
	runnerRevision uint64
	// shuttingDown is true once the guard itself shuts down.
	shuttingDown bool
	cordon       cordon
	// down is true while the runner can't be reached.
	down bool
	used work.Amounts
	runs map[work.TaskID]*run
	// lastNumbers holds the highest run number used for each task.
	lastNumbers map[work.TaskID]taskNumber
	lastHeard   map[Owner]time.Duration
	endedRuns   map[ownedRun]endedRun
	endedOrder  []ownedRun
	// lateStarts are in the order of their numbers, of which lateStartSeq is the highest.
	lateStarts   []LateStart
	lateStartSeq uint64
	// lastNeed is the resource request of the latest order.
	lastNeed work.Amounts
	// stalled are the runs that have become stalled since the last TakeStalled.
	stalled []StalledRun
}

type taskNumber struct {
	number int
	at     time.Duration
}

// New returns an empty table.
func New(o Options) *Table {
	if o.EntryTimeout == 0 {
		o.EntryTimeout = DefaultEntryTimeout
	}
	if o.EndTimeout == 0 {
		o.EndTimeout = DefaultEndTimeout
	}
	if o.LeaseExtension == 0 {
		o.LeaseExtension = DefaultLeaseExtension
	}
	if o.MaxOrderAge == 0 {
		o.MaxOrderAge = DefaultMaxOrderAge
	}
	return &Table{
		opt:         o,
		runs:        map[work.TaskID]*run{},
		lastNumbers: map[work.TaskID]taskNumber{},
		lastHeard:   map[Owner]time.Duration{},
		endedRuns:   map[ownedRun]endedRun{},
	}
}

// ShutDown makes the table reject all starts from now on, because the guard shuts down.
func (t *Table) ShutDown() { t.shuttingDown = true }

// AcceptsStarts reports whether starts are accepted.
func (t *Table) AcceptsStarts() bool {
	return !t.shuttingDown && !t.cordon.active && !t.down && t.runner != nil && t.runner.acceptsStarts() && !t.hasReportedOver()
}

// hasReportedOver reports whether a run was reported as over that the runner may still have.
// Until a run listing shows that it is over, nothing is started, because a start extends the
// lease of all runs.
func (t *Table) hasReportedOver() bool {
	for _, r := range t.runs {
		if r.endReported {
			return true
		}
	}
	return false
}

func (k *processState) acceptsStarts() bool {
	return k.described && k.listingRead && !k.draining && !k.expiring && len(k.orphans) == 0 && k.unreadableRuns == 0
}

// Capacity returns the runner's capacity and the part of it that is reserved.
func (t *Table) Capacity() Capacity {
	if t.runner == nil {
		return Capacity{}
	}
	c := Capacity{Process: t.runner.Process, AcceptsStarts: t.AcceptsStarts(), Reconciled: t.runner.listingRead && len(t.runner.orphans) == 0, Used: t.used, RunnerRevision: t.runnerRevision, ColdUntil: t.runner.coldUntil}
	c.RunTimePermille, c.RunTimeSamples = t.runner.speed.Permille()
	return c
}

// HasCapacity reports whether another run of the size that was requested last fits.
func (t *Table) HasCapacity() bool {
	return t.AcceptsStarts() && t.lastNeed.Fits(t.runner.Total.Sub(t.used))
}

// Idle reports whether no runs, including orphans, are at the runner.
func (t *Table) Idle() bool { return len(t.runs) == 0 && t.orphans() == 0 }

// orphans counts the runs at the runner that this table does not hold, or that could not be identified.
func (t *Table) orphans() int {
	if t.runner == nil {
		return 0
	}
	return len(t.runner.orphans) + t.runner.unreadableRuns
}

// HasRuns reports whether the table contains runs.
func (t *Table) HasRuns() bool { return len(t.runs) > 0 }

// ListingRead reports whether a run listing of the current process has been read.
func (t *Table) ListingRead() bool { return t.runner != nil && t.runner.listingRead }

// LastEndSeq returns the highest sequence number of an ended run that has been read from the current
// process.
func (t *Table) LastEndSeq() int64 {
	if t.runner == nil {
		return 0
	}
	return t.runner.lastEndSeq
}

// EntryAlive records that the owner was alive at the given uptime.
func (t *Table) EntryAlive(o Owner, at time.Duration) {
	if at > t.lastHeard[o] {
		t.lastHeard[o] = at
	}
}

// Admit decides on one ordered run: it returns either a start to send to the runner or a report
// that rejects the order. sent is the earliest uptime at which the owner can have sent the
// order.
func (t *Table) Admit(now, sent time.Duration, owner Owner, o Order) (*Start, *Report) {
	if reason := t.refuse(now, sent, owner, o); reason != NoRefusal {
		report := Report{Owner: owner, Run: o.Run, State: NotStarted, Refusal: reason}
		if _, kept := t.endedRuns[ownedRun{owner, o.Run}]; !kept {
			t.keep(now, report)
		}
		return nil, &report
	}
	return t.add(now, sent, owner, o), nil
}

// add inserts a run into the table and reserves its resources.
func (t *Table) add(now, sent time.Duration, owner Owner, o Order) *Start {
	n := max(o.Run.Attempt, t.lastNumbers[o.Run.Task].number+1)
	r := &run{
		id:        o.Run,
		owner:     owner,
		name:      work.RunnerRunID{Task: o.Run.Task, Number: n},
		need:      o.Need,
		spec:      o.Spec,
		deadline:  sent + o.TimeLeft,
		orderedAt: now,
		expected:  o.Expected,
		priority:  o.Priority,
	}
	t.lastNumbers[o.Run.Task] = taskNumber{n, now}
	t.runs[o.Run.Task] = r
	t.used = t.used.Add(o.Need)
	return &Start{Run: o.Run, Name: r.name, Spec: o.Spec}
}

func (t *Table) refuse(now, sent time.Duration, owner Owner, o Order) Refusal {
	if now-sent > t.opt.MaxOrderAge || o.TimeLeft <= now-sent {
		return StaleOrder
	}
	if _, over := t.endedRuns[ownedRun{owner, o.Run}]; over {
		return StaleOrder
	}
	if !t.AcceptsStarts() {
		return NotAccepting
	}
	if other, found := t.runs[o.Run.Task]; found {
		// The caller has submitted its job again to another entry, so no caller waits for the
		// older run any more.
		if other.owner != owner {
			t.stop(now, other)
		}
		return NotAccepting
	}
	// The entry may not know yet that the runner has been replaced: this process may lack the label
	// that the task requires, or belong to another service.
	if o.RunnerRevision != 0 && o.RunnerRevision != t.runnerRevision {
		return RunnerReplaced
	}
	t.lastNeed = o.Need
	if !o.Need.Fits(t.runner.Total.Sub(t.used)) {
		return InsufficientCapacity
	}
	return NoRefusal
}

// ValidUntil records the time on the runner's clock up to which a start is valid.
func (t *Table) ValidUntil(name work.RunnerRunID, until time.Duration) {
	if r := t.find(name); r != nil {
		r.startValidUntil = max(r.startValidUntil, until)
	}
}

// Started records that the runner has started the run.
func (t *Table) Started(now time.Duration, name work.RunnerRunID) (Report, bool) {
	r := t.find(name)
	if r == nil {
		return Report{}, false
	}
	r.answeredAt = now
	if r.started || r.endReported {
		return Report{}, false
	}
	return r.markRunning(now), true
}

// markRunning records that the run is running and returns the report on it.
func (r *run) markRunning(now time.Duration) Report {
	r.started, r.startedAt, r.unresolved = true, now, false
	return Report{Owner: r.owner, Run: r.id, State: Running, StartedAt: now}
}

// StartRejected records that the runner has not started the run and will not start it.
func (t *Table) StartRejected(now time.Duration, name work.RunnerRunID, reason Refusal) []Report {
	r := t.find(name)
	if r == nil || r.started {
		return nil
	}
	return t.endWithReason(now, r, NotStarted, reason)
}

// StartUnanswered records that a start was not answered. The runner may execute it later, so the run
// keeps its reserved resources until an acknowledged stop or the end of its lease rules that
// out.
func (t *Table) StartUnanswered(now time.Duration, name work.RunnerRunID) {
	r := t.find(name)
	if r == nil || r.started {
		return
	}
	t.stop(now, r)
}

// StopAcknowledged records that the runner acknowledged a stop at the given uptime.
func (t *Table) StopAcknowledged(now time.Duration, name work.RunnerRunID) {
	r := t.find(name)
	if r == nil {
		return
	}
	r.stopSent = false
	r.stopAcked = true
	r.answeredAt = now
}

// StopFailed records that a stop was not acknowledged; Stops returns it again.
func (t *Table) StopFailed(name work.RunnerRunID) {
	if r := t.find(name); r != nil {
		r.stopSent = false
	}
	if t.runner == nil {
		return
	}
	if _, orphan := t.runner.orphans[name]; orphan {
		t.runner.orphans[name] = false
	}
}

// Cancel stops a run at its owner's request. It returns a report if the run is already over.
func (t *Table) Cancel(now time.Duration, owner Owner, id work.RunID) (Report, bool) {
	r, found := t.runs[id.Task]
	if found && r.owner == owner && r.id == id && !r.endReported {
		t.stop(now, r)
		return Report{}, false
	}
	return t.finalReport(now, owner, id), true
}

// finalReport returns the final report on a run that is not open. If there is none, the run
// never started; the report on that is kept, so that its order is rejected if it arrives later.
func (t *Table) finalReport(now time.Duration, owner Owner, id work.RunID) Report {
	if f, kept := t.endedRuns[ownedRun{owner, id}]; kept {
		return f.report
	}
	report := Report{Owner: owner, Run: id, State: NotStarted, Refusal: UnknownRun}
	t.keep(now, report)
	return report
}

// keep records the final report on a run.
func (t *Table) keep(now time.Duration, r Report) {
	k := ownedRun{r.Owner, r.Run}
	if _, kept := t.endedRuns[k]; !kept {
		t.endedOrder = append(t.endedOrder, k)
	}
	t.endedRuns[k] = endedRun{r, now}
}

func (t *Table) find(name work.RunnerRunID) *run {
	r, ok := t.runs[name.Task]
	if !ok || r.name != name {
		return nil
	}
	return r
}

func (t *Table) stop(now time.Duration, r *run) {
	if r.stoppingSince == 0 {
		r.stoppingSince = max(now, 1)
	}
}

// LeaseExpired reports the end of all runs to their owners after the lease of an unresponsive runner
// has expired. The runs keep their reserved resources until a run listing of the runner shows
// that they are over. An unanswered start may have been executed before the runner became
// unresponsive, so none is reported as not started; one that a process under the same id may
// still execute is reported on later. processEnded is true if the runner's process has ended; a
// process that is only unresponsive may continue and has not crashed.
func (t *Table) LeaseExpired(now time.Duration, processEnded bool) []Report {
	if processEnded && t.runner != nil && !t.runner.draining {
		return t.reportCrashes(now, t.markUnresolved)
	}
	var reports []Report
	for _, r := range t.runs {
		if !t.markUnresolved(r) {
			reports = append(reports, t.report(now, r, Stopped, RunnerFailed)...)
		}
	}
	return reports
}

// end ends a run and releases its resources.
func (t *Table) end(now time.Duration, r *run, s State) []Report {
	return t.endWithReason(now, r, s, RunnerFailed)
}

func (t *Table) endWithReason(now time.Duration, r *run, s State, reason Refusal) []Report {
	t.release(r)
	return t.report(now, r, s, reason)
}

// release removes a run from the table and releases its resources.
func (t *Table) release(r *run) {
	delete(t.runs, r.id.Task)
	t.used = t.used.Sub(r.need)
}

// reportEnd makes the final report on a run, once.
func (t *Table) report(now time.Duration, r *run, s State, reason Refusal) []Report {
	if r.endReported {
		return nil
	}
	r.endReported = true
	if s != Done {
		// A task that is done is not started again.
		t.keepLateStart(now, r)
	}
	report := Report{Owner: r.owner, Run: r.id, State: s, StartedAt: r.startedAt, EndedAt: now}
	if s == NotStarted {
		report.Refusal = reason
	}
	t.keep(now, report)
	return []Report{report}
}
