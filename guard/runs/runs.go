// Package runs is the guard's account of what its runner holds: which runs are
// there, which may still come, what they take, and until when each may last. It
// decides; package host carries out. It has no clock, input or output.
package runs

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// Options of a Table. The zero value of a field takes its default.
type Options struct {
	// Silence is how long an entry may be silent before its runs are stopped.
	Silence time.Duration
	// EndBound is the time after an entry's last sign of life by which its runs
	// are over, also when the runner answers no order: the lease isn't extended
	// beyond it.
	EndBound time.Duration
	// Hold is the span that a lease is extended by.
	Hold time.Duration
	// Stale is the age above which an order isn't carried out.
	Stale time.Duration
}

// Defaults of Options. A caller whose connection broke submits its job again
// after 1.3 s (the platform's resend_ms): what an entry started before must be
// over by then.
const (
	DefaultSilence  = 520 * time.Millisecond
	DefaultEndBound = 1150 * time.Millisecond
	DefaultHold     = 600 * time.Millisecond
	DefaultStale    = 350 * time.Millisecond
)

// keepEnded is how long the fate of a run that is over is kept, for an entry
// that attaches again and asks for it.
const keepEnded = 10 * time.Second

// run is one start that may be at the runner.
type run struct {
	id    work.RunID
	owner Owner
	name  work.RunName
	need  work.Amounts
	spec  string
	// expires is when its caller stops waiting, uptime.
	expires time.Duration
	// entered is the uptime of its order.
	entered time.Duration
	// started is true once the runner has said so, and began is the uptime then.
	started bool
	began   time.Duration
	// settled is the uptime from which the runner's account decides: its
	// account asked for later holds the run, its end, or neither, and then the
	// run is over. Zero while the start or its bar is unanswered.
	settled time.Duration
	// stopping is the uptime since which it is to end; zero if it isn't.
	stopping time.Duration
	// barred is true once the runner has acknowledged a stop.
	barred bool
	// stopSent keeps a second stop from being sent while one is under way.
	stopSent bool
	// until is the runner's time up to which the start order was valid.
	until time.Duration
	// reported is true once its owner knows that it is over, and blamed once it knows of the
	// runner's crash.
	reported, blamed bool
	// inDoubt is true once the process that its start was sent to is over or silent, and the
	// start may still be carried out by another under the same id.
	inDoubt bool
}

// fate is the last report on a run that is over.
type fate struct {
	report Report
	at     time.Duration
}

// Table is the account of what runs. It is not safe for concurrent use.
type Table struct {
	opt Options
	// runner is nil while there is none.
	runner *known
	// leaving is set by the guard's own end.
	leaving bool
	used    work.Amounts
	runs    map[work.TaskID]*run
	// numbers are the highest run numbers used, by task.
	numbers map[work.TaskID]numbered
	alive   map[Owner]time.Duration
	ended   map[work.RunID]fate
	order   []work.RunID
	// asked is what the newest order needed.
	asked work.Amounts
}

type numbered struct {
	number int
	at     time.Duration
}

// New returns an empty account.
func New(o Options) *Table {
	if o.Silence == 0 {
		o.Silence = DefaultSilence
	}
	if o.EndBound == 0 {
		o.EndBound = DefaultEndBound
	}
	if o.Hold == 0 {
		o.Hold = DefaultHold
	}
	if o.Stale == 0 {
		o.Stale = DefaultStale
	}
	return &Table{
		opt:     o,
		runs:    map[work.TaskID]*run{},
		numbers: map[work.TaskID]numbered{},
		alive:   map[Owner]time.Duration{},
		ended:   map[work.RunID]fate{},
	}
}

// Leave closes the guard for good.
func (b *Table) Leave() { b.leaving = true }

// Open reports whether starts are taken.
func (b *Table) Open() bool { return !b.leaving && b.runner != nil && b.runner.open() }

func (k *known) open() bool { return k.described && k.checked && !k.draining && len(k.orphans) == 0 }

// Capacity returns what the runner has and what is taken.
func (b *Table) Capacity() Capacity {
	if b.runner == nil {
		return Capacity{}
	}
	return Capacity{Process: b.runner.Process, Open: b.Open(), Cleared: b.runner.checked && len(b.runner.orphans) == 0, Used: b.used}
}

// HasFree reports whether there is room for another run like the newest asked for.
func (b *Table) HasFree() bool {
	return b.Open() && b.asked.Fits(b.runner.Total.Sub(b.used))
}

// Idle reports whether nothing is at the runner.
func (b *Table) Idle() bool { return len(b.runs) == 0 && b.orphans() == 0 }

// orphans counts the runs at the runner that this account doesn't hold.
func (b *Table) orphans() int {
	if b.runner == nil {
		return 0
	}
	return len(b.runner.orphans)
}

// Holds reports whether runs of this account are at the runner.
func (b *Table) Holds() bool { return len(b.runs) > 0 }

// Checked reports whether an account of this life has been read.
func (b *Table) Checked() bool { return b.runner != nil && b.runner.checked }

// Seen is the highest end of the process taken note of.
func (b *Table) Seen() int64 {
	if b.runner == nil {
		return 0
	}
	return b.runner.seen
}

// Alive takes note that the owner lived at the uptime given.
func (b *Table) Alive(o Owner, at time.Duration) {
	if at > b.alive[o] {
		b.alive[o] = at
	}
}

// Ask decides on one ordered run. sent is the earliest uptime at which the owner
// can have sent the order. The run is to be started, or refused with a report.
func (b *Table) Ask(now, sent time.Duration, owner Owner, o Order) (*Start, *Report) {
	if why := b.refuse(now, sent, owner, o); why != NoRefusal {
		return nil, &Report{Owner: owner, Run: o.Run, State: NotStarted, Refusal: why}
	}
	return b.enter(now, sent, owner, o), nil
}

// enter takes a run into the account.
func (b *Table) enter(now, sent time.Duration, owner Owner, o Order) *Start {
	n := max(o.Run.Attempt, b.numbers[o.Run.Task].number+1)
	r := &run{
		id:      o.Run,
		owner:   owner,
		name:    work.RunName{Task: o.Run.Task, Number: n},
		need:    o.Need,
		spec:    o.Spec,
		expires: sent + o.Life,
		entered: now,
	}
	b.numbers[o.Run.Task] = numbered{n, now}
	b.runs[o.Run.Task] = r
	b.used = b.used.Add(o.Need)
	return &Start{Run: o.Run, Name: r.name, Spec: o.Spec}
}

func (b *Table) refuse(now, sent time.Duration, owner Owner, o Order) Refusal {
	if now-sent > b.opt.Stale || o.Life <= now-sent {
		return Late
	}
	if !b.Open() {
		return Closed
	}
	if other, here := b.runs[o.Run.Task]; here {
		// The caller has submitted its job again to another entry, so nobody
		// waits for the older run any more.
		if other.owner != owner {
			b.stop(now, other)
		}
		return Closed
	}
	b.asked = o.Need
	if !o.Need.Fits(b.runner.Total.Sub(b.used)) {
		return Full
	}
	return NoRefusal
}

// ValidUntil notes the runner's time up to which a start is valid.
func (b *Table) ValidUntil(name work.RunName, until time.Duration) {
	if r := b.find(name); r != nil {
		r.until = max(r.until, until)
	}
}

// Started takes note that the runner has begun the run.
func (b *Table) Started(now time.Duration, name work.RunName) (Report, bool) {
	r := b.find(name)
	if r == nil {
		return Report{}, false
	}
	r.settled = now
	if r.started || r.reported {
		return Report{}, false
	}
	return r.begin(now), true
}

// begin takes note that the run goes on.
func (r *run) begin(now time.Duration) Report {
	r.started, r.began, r.inDoubt = true, now, false
	return Report{Owner: r.owner, Run: r.id, State: Running, Began: now}
}

// Declined takes note that the runner has not begun the run and won't.
func (b *Table) Declined(now time.Duration, name work.RunName, why Refusal) []Report {
	r := b.find(name)
	if r == nil || r.started {
		return nil
	}
	return b.close(now, r, NotStarted, why)
}

// Doubtful takes note that a start got no answer: it may be carried out later,
// so the run keeps its room until a bar or its lease makes sure.
func (b *Table) Doubtful(now time.Duration, name work.RunName) {
	r := b.find(name)
	if r == nil || r.started {
		return
	}
	b.stop(now, r)
}

// Barred takes note that the runner has acknowledged a stop at the uptime given.
func (b *Table) Barred(now time.Duration, name work.RunName) {
	r := b.find(name)
	if r == nil {
		return
	}
	r.stopSent = false
	r.barred = true
	r.settled = now
}

// StopFailed takes note that a stop was not acknowledged; it is sent again.
func (b *Table) StopFailed(name work.RunName) {
	if r := b.find(name); r != nil {
		r.stopSent = false
	}
	if b.runner == nil {
		return
	}
	if _, orphan := b.runner.orphans[name]; orphan {
		b.runner.orphans[name] = false
	}
}

// Cancel stops a run at its owner's wish.
func (b *Table) Cancel(now time.Duration, owner Owner, id work.RunID) (Report, bool) {
	r, here := b.runs[id.Task]
	if here && r.owner == owner && r.id == id {
		b.stop(now, r)
		return Report{}, false
	}
	if f, kept := b.ended[id]; kept && f.report.Owner == owner {
		return f.report, true
	}
	return Report{Owner: owner, Run: id, State: NotStarted, Refusal: Unknown}, true
}

func (b *Table) find(name work.RunName) *run {
	r, ok := b.runs[name.Task]
	if !ok || r.name != name {
		return nil
	}
	return r
}

func (b *Table) stop(now time.Duration, r *run) {
	if r.stopping == 0 {
		r.stopping = max(now, 1)
	}
}

// Lapse tells the owners of all runs that these are over: the lease of the
// runner, which answers nothing, has run out. Their room stays taken until the
// runner itself accounts for them. A start without an answer may have been carried
// out before the runner went silent, so none is reported as not started, and one that a
// process under the same id may carry out is reported on later. gone is true when
// the runner's process has ended; a runner that is silent may go on and has not crashed.
func (b *Table) Lapse(now time.Duration, gone bool) []Report {
	if gone && b.runner != nil && !b.runner.draining {
		return b.crashed(now, b.doubt)
	}
	var reports []Report
	for _, r := range b.runs {
		if !b.doubt(r) {
			reports = append(reports, b.report(now, r, Stopped, Unwell)...)
		}
	}
	return reports
}

// over ends a run and gives its room back.
func (b *Table) over(now time.Duration, r *run, s State) []Report {
	return b.close(now, r, s, Unwell)
}

func (b *Table) close(now time.Duration, r *run, s State, why Refusal) []Report {
	delete(b.runs, r.id.Task)
	b.used = b.used.Sub(r.need)
	return b.report(now, r, s, why)
}

// report makes the last report on a run, once.
func (b *Table) report(now time.Duration, r *run, s State, why Refusal) []Report {
	if r.reported {
		return nil
	}
	r.reported = true
	report := Report{Owner: r.owner, Run: r.id, State: s, Began: r.began, Over: now}
	if s == NotStarted {
		report.Refusal = why
	}
	b.ended[r.id] = fate{report, now}
	b.order = append(b.order, r.id)
	return []Report{report}
}
