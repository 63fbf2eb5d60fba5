// Package ledger records, for one incarnation of a guard, the outcome of every start that an
// entry has numbered. It is the authority for "never started": a sequence number is admitted
// once, it is recorded before the runner is called, and when an entry asks about a number that
// was never seen, that number is rejected for good. The ledger does no I/O; the clock is
// passed in.
package ledger

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	wirev1 "almondstand.dev/wire/wirev1"
)

// Errors of the ledger. None of them indicates whether a task started.
var (
	// ErrInvalidSeq means that a sequence number is 0.
	ErrInvalidSeq = errors.New("ledger: sequence numbers start at 1")
	// ErrFull means that the limit on records is reached; nothing was recorded.
	ErrFull = errors.New("ledger: too many unsettled records")
	// ErrTooManySessions means that the limit on sessions is reached.
	ErrTooManySessions = errors.New("ledger: too many sessions")
	// ErrStaleEntry means that a newer incarnation of the entry has a session.
	ErrStaleEntry = errors.New("ledger: a newer incarnation of this entry is known")
	// ErrInvalidEntry means that an entry sent no id or no incarnation.
	ErrInvalidEntry = errors.New("ledger: an entry needs an id and an incarnation")
)

// Options of a Ledger.
type Options struct {
	// Incarnation of the guard; a request for another one is not served.
	Incarnation uint64
	// Lease is how long a session stays open without a request.
	Lease time.Duration
	// MaxSessions bounds the sessions of all entries, and MaxEntrySessions those of one entry:
	// if an entry exceeds it, its longest idle session is dropped.
	MaxSessions      int
	MaxEntrySessions int
	// MaxRecords bounds the records of all sessions, MaxSessionRecords those of one.
	MaxRecords        int
	MaxSessionRecords int
	// MaxResultBytes bounds the size of the results kept until they are acknowledged.
	MaxResultBytes int64
	// NewSessionID returns an id that is never used twice, not even by another incarnation of
	// a guard.
	NewSessionID func() string
}

// Ledger holds the sessions of one guard incarnation. It is safe for
// concurrent use.
type Ledger struct {
	opts        Options
	records     atomic.Int64
	resultCache *resultCache

	// mu serializes changes of the session table; readers load the current snapshot without
	// it.
	mu       sync.Mutex
	sessions atomic.Pointer[map[string]*session]
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	l := &Ledger{opts: opts, resultCache: newResultCache(opts.MaxResultBytes)}
	l.sessions.Store(&map[string]*session{})
	return l
}

// Ref identifies one start; every request about the start carries it.
type Ref struct {
	Session string
	Seq     uint64
	// Incarnation of the guard that the request is meant for.
	Incarnation uint64
	// LowWatermark is the lowest sequence number that is still open at the entry; 0 leaves the
	// session's watermark unchanged.
	LowWatermark uint64
}

// Answer is the ledger's state for a Ref: a task, or, if there is no task, a final report.
type Answer struct {
	Task   *Task
	Report *wirev1.TaskReport
	// Admitted is true for the one request that may go on to start the task.
	Admitted bool
}

// Hello opens a session for an entry. A newer incarnation of the entry drops the sessions of
// the older ones: their waiting tasks never start.
func (l *Ledger) Hello(now time.Time, entry string, incarnation uint64) (string, error) {
	if entry == "" || incarnation == 0 {
		return "", ErrInvalidEntry
	}
	l.mu.Lock()
	old, err := l.outdated(now, entry, incarnation)
	if err != nil {
		l.mu.Unlock()
		return "", err
	}
	next := maps.Clone(*l.sessions.Load())
	for _, s := range old {
		delete(next, s.id)
	}
	if len(next) >= l.opts.MaxSessions {
		l.sessions.Store(&next)
		l.mu.Unlock()
		l.drop(old)
		return "", ErrTooManySessions
	}
	s := newSession(l, entry, incarnation, now)
	next[s.id] = s
	l.sessions.Store(&next)
	l.mu.Unlock()
	l.drop(old)
	return s.id, nil
}

// outdated returns the sessions that a Hello ends: those of older incarnations, those whose
// lease has expired, and the longest idle one if the entry has too many.
func (l *Ledger) outdated(now time.Time, entry string, incarnation uint64) ([]*session, error) {
	var old, same []*session
	for _, s := range *l.sessions.Load() {
		switch {
		case s.entry != entry:
		case s.expired(now), s.incarnation < incarnation:
			old = append(old, s)
		case s.incarnation > incarnation:
			// Otherwise a Hello that was delayed in a socket since before the entry restarted
			// would drop the sessions of the running entry.
			return nil, ErrStaleEntry
		default:
			same = append(same, s)
		}
	}
	if len(same) < l.opts.MaxEntrySessions {
		return old, nil
	}
	idle := slices.MinFunc(same, func(a, b *session) int {
		return cmp.Compare(a.lastSeen(), b.lastSeen())
	})
	return append(old, idle), nil
}

// Admit admits a start. At most one call for a sequence number ever returns Admitted; its
// record exists when Admit returns, so the caller may go on to call the runner. dropped is
// called once, without locks held, if the ledger itself ends the task before it began to run.
func (l *Ledger) Admit(now time.Time, ref Ref, dropped func()) (Answer, error) {
	return l.with(now, ref, func(s *session) (Answer, error) {
		return s.admit(ref.Seq, dropped)
	})
}

// Resolve returns the outcome of a start. A sequence number that was never seen is rejected
// for good: a start with it that is still in transit will be refused.
func (l *Ledger) Resolve(now time.Time, ref Ref) (Answer, error) {
	return l.with(now, ref, func(s *session) (Answer, error) {
		return s.resolve(ref.Seq, wirev1.RefusalReason_REFUSAL_REASON_BARRED)
	})
}

// Cancel rejects a task that has not started and stops one that is running.
func (l *Ledger) Cancel(now time.Time, ref Ref) (Answer, error) {
	var stop func()
	var dropped *Task
	answer, err := l.with(now, ref, func(s *session) (Answer, error) {
		found, err := s.resolve(ref.Seq, wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
		if err != nil || found.Task == nil {
			return found, err
		}
		stop, dropped = s.cancel(found.Task)
		found.Report = found.Task.reportLocked()
		return found, nil
	})
	if stop != nil {
		stop()
	}
	notify(dropped)
	return answer, err
}

// Ping renews a session's lease and updates its watermark; it returns false if the session is
// unknown or the guard incarnation does not match.
func (l *Ledger) Ping(now time.Time, ref Ref) bool {
	ref.Seq = 1
	answer, err := l.with(now, ref, func(*session) (Answer, error) { return Answer{}, nil })
	return err == nil && answer.Report == nil
}

// Begin marks a waiting task as running; it returns false if the task must not run any more.
// stop ends the call to the runner if the task is cancelled.
//
// The lease is checked here too: a guard process that was suspended with tasks in its queue
// must not start them for an entry that has long given up on the guard.
func (l *Ledger) Begin(now time.Time, t *Task, stop func()) bool {
	s := t.session
	s.mu.Lock()
	expired := !s.ended && now.Sub(s.lastRequest) > l.opts.Lease
	if expired {
		s.mu.Unlock()
		l.remove([]*session{s})
		return false
	}
	defer s.mu.Unlock()
	if t.state != wirev1.TaskState_TASK_STATE_WAITING {
		return false
	}
	t.state = wirev1.TaskState_TASK_STATE_RUNNING
	t.stop = stop
	return true
}

// Reject ends a waiting task as never started; it returns false if the task is not waiting.
func (l *Ledger) Reject(t *Task, reason wirev1.RefusalReason) bool {
	return t.session.refuse(t, wirev1.TaskState_TASK_STATE_WAITING, reason)
}

// MarkNotStarted ends a running task as never started, because the runner itself rejected it or
// nothing of the call reached the runner. It returns false if the task is not running.
func (l *Ledger) MarkNotStarted(t *Task, reason wirev1.RefusalReason) bool {
	return t.session.refuse(t, wirev1.TaskState_TASK_STATE_RUNNING, reason)
}

// Finish ends a running task with its result, which is kept until the entry acknowledges it or
// the limit on kept results is reached.
func (l *Ledger) Finish(t *Task, result *wirev1.Result) bool {
	evicted, ok := t.session.finish(t, result)
	for _, e := range evicted {
		e.session.evictResult(e)
	}
	return ok
}

// Expire drops the sessions whose lease has expired.
func (l *Ledger) Expire(now time.Time) {
	var expired []*session
	for _, s := range *l.sessions.Load() {
		if s.expired(now) {
			expired = append(expired, s)
		}
	}
	l.remove(expired)
}

// Stats counts what the ledger holds.
type Stats struct {
	Sessions    int
	Records     int
	ResultBytes int64
	// UnacknowledgedResults counts finished tasks whose result no entry has acknowledged.
	UnacknowledgedResults int
}

// Stats returns the counts.
func (l *Ledger) Stats() Stats {
	bytes, results := l.resultCache.size()
	return Stats{
		Sessions:              len(*l.sessions.Load()),
		Records:               int(l.records.Load()),
		ResultBytes:           bytes,
		UnacknowledgedResults: results,
	}
}

// with finds the session of a request, renews its lease, updates its watermark and calls do
// with the session locked.
func (l *Ledger) with(now time.Time, ref Ref, do func(*session) (Answer, error)) (Answer, error) {
	if ref.Seq == 0 {
		return Answer{}, ErrInvalidSeq
	}
	if ref.Incarnation != l.opts.Incarnation {
		// The ledger of the other incarnation is lost: if this one answered "never started",
		// it could contradict a start there.
		return final(wirev1.TaskState_TASK_STATE_WRONG_INCARNATION), nil
	}
	s := (*l.sessions.Load())[ref.Session]
	if s == nil {
		return final(wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION), nil
	}
	s.mu.Lock()
	if s.ended || now.Sub(s.lastRequest) > l.opts.Lease {
		s.mu.Unlock()
		l.remove([]*session{s})
		return final(wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION), nil
	}
	if now.After(s.lastRequest) {
		s.lastRequest = now
	}
	dropped := s.settle(ref.LowWatermark)
	answer, err := do(s)
	s.mu.Unlock()
	for _, t := range dropped {
		notify(t)
	}
	return answer, err
}

// remove deletes sessions from the table and drops them.
func (l *Ledger) remove(old []*session) {
	if len(old) == 0 {
		return
	}
	l.mu.Lock()
	next := maps.Clone(*l.sessions.Load())
	for _, s := range old {
		delete(next, s.id)
	}
	l.sessions.Store(&next)
	l.mu.Unlock()
	l.drop(old)
}

func (l *Ledger) drop(old []*session) {
	for _, s := range old {
		for _, t := range s.drop() {
			notify(t)
		}
	}
}

func final(state wirev1.TaskState) Answer {
	return Answer{Report: &wirev1.TaskReport{State: state}}
}

func notify(t *Task) {
	if t != nil && t.dropped != nil {
		t.dropped()
	}
}
