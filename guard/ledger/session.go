package ledger

import (
	"sync"
	"time"

	wirev1 "almondstand.dev/wire/wirev1"
)

// Task is one admitted start. Its record outlives the request that created it.
type Task struct {
	session *session
	seq     uint64
	dropped func()
	done    chan struct{}

	// Guarded by session.mu.
	state     wirev1.TaskState
	reason    wirev1.RefusalReason
	result    *wirev1.Result
	stop      func()
	cancelled bool
}

// Done is closed when the task has ended.
func (t *Task) Done() <-chan struct{} { return t.done }

// Report returns the outcome of the task so far. The holder of a Task gets its result even
// after the ledger has evicted it.
func (t *Task) Report() *wirev1.TaskReport {
	t.session.mu.Lock()
	defer t.session.mu.Unlock()
	return t.reportLocked()
}

func (t *Task) reportLocked() *wirev1.TaskReport {
	return &wirev1.TaskReport{State: t.state, Result: t.result, Reason: t.reason}
}

// end sets the final state of a task.
func (t *Task) end(state wirev1.TaskState, reason wirev1.RefusalReason) {
	t.state = state
	t.reason = reason
	t.stop = nil
	close(t.done)
}

// closedRecord is the record of a sequence number that no longer needs a Task.
type closedRecord struct {
	// reason is set if the task never started; otherwise the result was evicted.
	reason wirev1.RefusalReason
	// failure is the failure code of the evicted result, if the task failed.
	failure wirev1.FailureCode
}

func (c closedRecord) report() *wirev1.TaskReport {
	if c.reason != wirev1.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		return &wirev1.TaskReport{State: wirev1.TaskState_TASK_STATE_NEVER_STARTED, Reason: c.reason}
	}
	result := &wirev1.Result{
		Failure: wirev1.FailureCode_FAILURE_CODE_RESULT_DROPPED,
		Message: "the task ran; its result was dropped to bound the guard's memory",
	}
	// "Result dropped" implies that the task ran. That is unknown for a call that the guard
	// gave up on, so its own failure code is kept.
	if c.failure != wirev1.FailureCode_FAILURE_CODE_UNSPECIFIED {
		result.Failure = c.failure
		result.Message = "the guard keeps no more than that the task failed"
	}
	return &wirev1.TaskReport{State: wirev1.TaskState_TASK_STATE_FINISHED, Result: result}
}

// session holds the records of one entry session at this guard.
type session struct {
	ledger      *Ledger
	id          string
	entry       string
	incarnation uint64

	mu          sync.Mutex
	ended       bool
	lastRequest time.Time
	// lowWatermark is the lowest sequence number that can have a record: all below are
	// settled.
	lowWatermark  uint64
	tasks         map[uint64]*Task
	closedRecords map[uint64]closedRecord
}

func newSession(l *Ledger, entry string, incarnation uint64, now time.Time) *session {
	return &session{
		ledger:        l,
		id:            l.opts.NewSessionID(),
		entry:         entry,
		incarnation:   incarnation,
		lastRequest:   now,
		lowWatermark:  1,
		tasks:         map[uint64]*Task{},
		closedRecords: map[uint64]closedRecord{},
	}
}

func (s *session) expired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastRequest) > s.ledger.opts.Lease
}

func (s *session) lastSeen() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRequest.UnixNano()
}

// find returns the record of a sequence number, if there is one.
func (s *session) find(seq uint64) (Answer, bool) {
	if seq < s.lowWatermark {
		// A start that was delayed until after its record was deleted cannot be distinguished
		// from a new one; without this check it would run a second time.
		return final(wirev1.TaskState_TASK_STATE_SETTLED), true
	}
	if t := s.tasks[seq]; t != nil {
		return Answer{Task: t, Report: t.reportLocked()}, true
	}
	if c, ok := s.closedRecords[seq]; ok {
		return Answer{Report: c.report()}, true
	}
	return Answer{}, false
}

func (s *session) admit(seq uint64, dropped func()) (Answer, error) {
	if found, ok := s.find(seq); ok {
		return found, nil
	}
	if !s.reserve() {
		return Answer{}, ErrFull
	}
	t := &Task{
		session: s,
		seq:     seq,
		dropped: dropped,
		done:    make(chan struct{}),
		state:   wirev1.TaskState_TASK_STATE_WAITING,
	}
	s.tasks[seq] = t
	return Answer{Task: t, Report: t.reportLocked(), Admitted: true}, nil
}

func (s *session) resolve(seq uint64, reason wirev1.RefusalReason) (Answer, error) {
	if found, ok := s.find(seq); ok {
		return found, nil
	}
	if !s.reserve() {
		return Answer{}, ErrFull
	}
	// The start may still be in a socket. The rejection must be recorded before the entry
	// receives "never started", or the start could run after the entry has started the task
	// elsewhere.
	s.closedRecords[seq] = closedRecord{reason: reason}
	return Answer{Report: s.closedRecords[seq].report()}, nil
}

// cancel stops a task. It returns what to call after unlocking the session.
func (s *session) cancel(t *Task) (stop func(), dropped *Task) {
	switch t.state {
	case wirev1.TaskState_TASK_STATE_WAITING:
		s.endNeverStarted(t, wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
		return nil, t
	case wirev1.TaskState_TASK_STATE_RUNNING:
		if t.cancelled {
			return nil, nil
		}
		t.cancelled = true
		return t.stop, nil
	default:
		return nil, nil
	}
}

// refuse ends a task as never started if it is in state from.
func (s *session) refuse(t *Task, from wirev1.TaskState, reason wirev1.RefusalReason) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != from {
		return false
	}
	s.endNeverStarted(t, reason)
	return true
}

// endNeverStarted ends a task as never started and keeps only the reason.
func (s *session) endNeverStarted(t *Task, reason wirev1.RefusalReason) {
	t.end(wirev1.TaskState_TASK_STATE_NEVER_STARTED, reason)
	if s.tasks[t.seq] != t {
		return
	}
	delete(s.tasks, t.seq)
	s.closedRecords[t.seq] = closedRecord{reason: reason}
}

// finish ends a running task. It returns the tasks whose results are evicted to stay within
// the limit.
func (s *session) finish(t *Task, result *wirev1.Result) ([]*Task, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != wirev1.TaskState_TASK_STATE_RUNNING {
		return nil, false
	}
	t.result = result
	t.end(wirev1.TaskState_TASK_STATE_FINISHED, wirev1.RefusalReason_REFUSAL_REASON_UNSPECIFIED)
	if s.tasks[t.seq] != t {
		return nil, true
	}
	return s.ledger.resultCache.put(t), true
}

// evictResult reduces the record of a finished task to the fact that it ended, and how it
// failed.
func (s *session) evictResult(t *Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.seq] != t {
		return
	}
	delete(s.tasks, t.seq)
	s.closedRecords[t.seq] = closedRecord{failure: t.result.GetFailure()}
}

// settle raises the watermark and deletes the records below it. It returns the tasks that were
// waiting there: the entry no longer needs them, so they are ended without being run. Running
// tasks continue and keep their slot.
func (s *session) settle(low uint64) []*Task {
	if low <= s.lowWatermark {
		return nil
	}
	from := s.lowWatermark
	s.lowWatermark = low
	var dropped []*Task
	if low-from > uint64(len(s.tasks)+len(s.closedRecords)) {
		for seq := range s.tasks {
			dropped = s.settleOne(seq, dropped)
		}
		for seq := range s.closedRecords {
			dropped = s.settleOne(seq, dropped)
		}
		return dropped
	}
	for seq := from; seq < low; seq++ {
		dropped = s.settleOne(seq, dropped)
	}
	return dropped
}

func (s *session) settleOne(seq uint64, dropped []*Task) []*Task {
	if seq >= s.lowWatermark {
		return dropped
	}
	if _, ok := s.closedRecords[seq]; ok {
		delete(s.closedRecords, seq)
		s.release()
	}
	t := s.tasks[seq]
	if t == nil {
		return dropped
	}
	delete(s.tasks, seq)
	s.release()
	s.ledger.resultCache.remove(t)
	if t.state != wirev1.TaskState_TASK_STATE_WAITING {
		return dropped
	}
	t.end(wirev1.TaskState_TASK_STATE_NEVER_STARTED, wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
	return append(dropped, t)
}

// drop ends the session for good and returns the tasks that were waiting in it.
func (s *session) drop() []*Task {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	var dropped []*Task
	for seq, t := range s.tasks {
		delete(s.tasks, seq)
		s.release()
		s.ledger.resultCache.remove(t)
		if t.state != wirev1.TaskState_TASK_STATE_WAITING {
			continue
		}
		t.end(wirev1.TaskState_TASK_STATE_NEVER_STARTED, wirev1.RefusalReason_REFUSAL_REASON_CANCELLED)
		dropped = append(dropped, t)
	}
	s.ledger.records.Add(-int64(len(s.closedRecords)))
	clear(s.closedRecords)
	return dropped
}

// reserve counts one more record; it returns false if a limit is reached.
func (s *session) reserve() bool {
	if len(s.tasks)+len(s.closedRecords) >= s.ledger.opts.MaxSessionRecords {
		return false
	}
	if s.ledger.records.Add(1) > int64(s.ledger.opts.MaxRecords) {
		s.ledger.records.Add(-1)
		return false
	}
	return true
}

func (s *session) release() { s.ledger.records.Add(-1) }
