package runs

import (
	"slices"
	"sort"
	"time"

	"almondstand.dev/dispatch/work"
)

// LateStart is a task of which a start went unanswered. Until the uptime Until the start may be
// executed by this runner, also by a later process under its id, or what it started may go on.
//
// The process that the start was sent to rejects it once the run has been stopped or has ended
// there. A later process has no record of the run and accepts the start until it is fenced, which
// may be after it has executed the start. Until then the task must not run at another runner.
type LateStart struct {
	// Seq numbers the late starts in the order in which they became known.
	Seq   uint64
	Task  work.TaskID
	Until time.Duration
	// inFlight is the run whose start is in flight, zero if a copy of it went unanswered.
	inFlight work.RunnerRunID
}

// StartSent records that a start is being sent and that its copies may go unanswered.
func (t *Table) StartSent(name work.RunnerRunID) {
	// A process that does not report its start time has an id of its own, and the next one
	// rejects starts that name it.
	if r := t.find(name); r != nil && t.runner != nil && t.runner.StartedMilli > 0 {
		r.startInFlight = true
	}
}

// StartSettled records that no copy of a start is in flight any more. unanswered is true if one of
// them was not answered.
func (t *Table) StartSettled(now time.Duration, name work.RunnerRunID, unanswered bool) {
	r := t.find(name)
	if r != nil {
		r.startInFlight = false
	}
	t.lateStarts = slices.DeleteFunc(t.lateStarts, func(l LateStart) bool { return l.inFlight == name })
	if unanswered {
		t.addLateStart(now, name.Task, work.RunnerRunID{})
	}
}

// keepLateStart records a late start for a run that is over while copies of its start are in flight:
// its owner may start the task again at once.
func (t *Table) keepLateStart(now time.Duration, r *run) {
	if r.startInFlight {
		t.addLateStart(now, r.id.Task, r.name)
	}
}

// addLateStart records that a start of the task may still be executed.
func (t *Table) addLateStart(now time.Duration, task work.TaskID, inFlight work.RunnerRunID) {
	t.lateStartSeq++
	t.lateStarts = append(t.lateStarts, LateStart{t.lateStartSeq, task, now + work.LateStartWindow, inFlight})
}

// LateStartsSince returns the late starts with a higher sequence number that have not expired, and
// the highest sequence number.
func (t *Table) LateStartsSince(now time.Duration, seq uint64) ([]LateStart, uint64) {
	newer := sort.Search(len(t.lateStarts), func(i int) bool { return t.lateStarts[i].Seq > seq })
	var late []LateStart
	for _, l := range t.lateStarts[newer:] {
		if l.Until > now {
			late = append(late, l)
		}
	}
	return late, t.lateStartSeq
}

// LastLateStart returns the highest sequence number of a late start.
func (t *Table) LastLateStart() uint64 { return t.lateStartSeq }

// pruneLateStarts removes the late starts that have expired.
func (t *Table) pruneLateStarts(now time.Duration) {
	n := 0
	for n < len(t.lateStarts) && t.lateStarts[n].Until <= now {
		n++
	}
	t.lateStarts = t.lateStarts[n:]
}
