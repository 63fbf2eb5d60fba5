// Package slots manages a guard's slots and its short queue. A slot is held from before the
// runner is called until that call has really ended.
package slots

import (
	"slices"
	"sync"
)

// Admission is the result of requesting a slot with a ticket.
type Admission int

// Results of Enqueue.
const (
	// Granted means that the ticket holds a slot until Release.
	Granted Admission = iota
	// Queued means that the ticket waits until a later Release or SetRunner grants it.
	Queued
	// Full means that no slot is free and the queue is full.
	Full
	// Draining means that no new tasks are started because the guard or its runner is shutting
	// down.
	Draining
	// NoRunner means that no runner is known.
	NoRunner
)

// Ticket is one task's request for a slot.
type Ticket[T any] struct {
	Value T
	// Owner is the session; Load counts its own tickets and those of others.
	Owner string
	// Priority and TasksLeft determine the queue order: the larger Priority first, then fewer
	// tasks left, then the oldest. A ticket that MaxBypassed younger ones have been granted before
	// goes first.
	Priority  uint32
	TasksLeft uint32

	position position
	// arrival is the ticket's number in the order of queueing; bypassed counts the younger
	// tickets that were granted before this one.
	arrival  uint64
	bypassed int
}

// MaxBypassed is the number of younger tickets that may be granted before a waiting one, to
// prevent starvation. With the priority order alone, a job of two tasks never got a slot while
// more entries than there are slots each kept a job of one task waiting: its session had its
// place in the queue, but its jobs exceeded their response time. With the limit, a ticket
// waits at most for that many grants and for those of the tickets that were queued before it.
const MaxBypassed = 8

type position int

const (
	inactive position = iota
	inQueue
	inSlot
)

// Load is a consistent snapshot of the table.
type Load struct {
	// Version increases with every change.
	Version uint64
	Slots   int
	Running int
	Waiting int
	// Own counts the open tickets of the requested owner, Others the rest.
	Own           int
	Others        int
	Draining      bool
	RunnerPresent bool
}

// Table manages the slots and the queue of one guard. It is safe for concurrent use.
type Table[T any] struct {
	queueLen int

	mu             sync.Mutex
	version        uint64
	slots          int
	present        bool
	runnerDraining bool
	closed         bool
	running        int
	arrivals       uint64
	queue          []*Ticket[T]
	open           map[string]int
}

// New returns a table without slots; SetRunner sets their number.
func New[T any](queueLen int) *Table[T] {
	return &Table[T]{queueLen: queueLen, open: map[string]int{}}
}

// Enqueue requests a slot.
func (t *Table[T]) Enqueue(k *Ticket[T]) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.draining():
		return Draining
	case !t.present:
		return NoRunner
	case t.running < t.slots:
		t.admit(k, inSlot)
		return Granted
	case len(t.queue) >= t.queueLen:
		return Full
	}
	t.admit(k, inQueue)
	return Queued
}

// Release frees the slot of a granted ticket and grants it to the next ticket in the queue,
// which it returns; nil if there is none.
func (t *Table[T]) Release(k *Ticket[T]) *Ticket[T] {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.position != inSlot {
		return nil
	}
	t.running--
	t.deactivate(k)
	return t.grantNext()
}

// Remove removes a waiting ticket from the queue; it returns false if the ticket is not
// waiting.
func (t *Table[T]) Remove(k *Ticket[T]) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.position != inQueue {
		return false
	}
	i := slices.Index(t.queue, k)
	t.queue = slices.Delete(t.queue, i, i+1)
	t.deactivate(k)
	return true
}

// Runner is the state of the runner that the table depends on.
type Runner struct {
	Present  bool
	Draining bool
	Slots    int
}

// SetRunner sets the runner's state. It returns the tickets that are granted as a result, and
// those removed from the queue because no tasks are started any more.
func (t *Table[T]) SetRunner(r Runner) (granted, removed []*Ticket[T]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	same := t.present == r.Present && t.runnerDraining == r.Draining && t.slots == r.Slots
	if same {
		return nil, nil
	}
	t.version++
	t.present = r.Present
	t.runnerDraining = r.Draining
	t.slots = r.Slots
	if !t.present || t.draining() {
		return nil, t.clear()
	}
	for {
		k := t.grantNext()
		if k == nil {
			return granted, nil
		}
		granted = append(granted, k)
	}
}

// Close makes the table refuse every new ticket from now on and returns those that were
// waiting.
func (t *Table[T]) Close() []*Ticket[T] {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.closed = true
	return t.clear()
}

// Load returns the state of the table for one owner; with "" every ticket counts as others'.
func (t *Table[T]) Load(owner string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.open[owner]
	return Load{
		Version:       t.version,
		Slots:         t.slots,
		Running:       t.running,
		Waiting:       len(t.queue),
		Own:           own,
		Others:        t.running + len(t.queue) - own,
		Draining:      t.draining(),
		RunnerPresent: t.present,
	}
}

func (t *Table[T]) draining() bool { return t.closed || t.runnerDraining }

// admit puts a new ticket into a slot or into the queue.
func (t *Table[T]) admit(k *Ticket[T], p position) {
	t.version++
	t.open[k.Owner]++
	k.position = p
	if p == inSlot {
		t.running++
		return
	}
	t.arrivals++
	k.arrival = t.arrivals
	i, _ := slices.BinarySearchFunc(t.queue, k, func(a, b *Ticket[T]) int {
		if before(b, a) {
			return 1
		}
		return -1
	})
	t.queue = slices.Insert(t.queue, i, k)
}

// before defines the queue order; equal tickets keep their order of arrival.
func before[T any](a, b *Ticket[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.TasksLeft < b.TasksLeft
}

// nextIndex returns the queue index of the ticket to grant next: the oldest of those bypassed
// MaxBypassed times, otherwise the head.
func (t *Table[T]) nextIndex() int {
	first := -1
	for i, k := range t.queue {
		if k.bypassed >= MaxBypassed && (first < 0 || k.arrival < t.queue[first].arrival) {
			first = i
		}
	}
	return max(first, 0)
}

// grantNext moves the next ticket of the queue into a free slot.
func (t *Table[T]) grantNext() *Ticket[T] {
	if len(t.queue) == 0 || t.running >= t.slots {
		return nil
	}
	i := t.nextIndex()
	k := t.queue[i]
	t.queue = slices.Delete(t.queue, i, i+1)
	for _, waiting := range t.queue {
		if waiting.arrival < k.arrival {
			waiting.bypassed++
		}
	}
	t.version++
	t.running++
	k.position = inSlot
	return k
}

func (t *Table[T]) clear() []*Ticket[T] {
	removed := t.queue
	t.queue = nil
	for _, k := range removed {
		t.deactivate(k)
	}
	return removed
}

func (t *Table[T]) deactivate(k *Ticket[T]) {
	t.version++
	k.position = inactive
	t.open[k.Owner]--
	if t.open[k.Owner] == 0 {
		delete(t.open, k.Owner)
	}
}
