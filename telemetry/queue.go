package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueBytes bounds what waits to be written, bytes: some 2,000 lines, two
	// seconds' worth of a busy entry.
	queueBytes = 512 << 10
	// gather is how long lines are gathered for one write: a system call a line
	// would cost more than the line.
	gather = 40 * time.Millisecond
	// lastWrite bounds the wait for the last lines when a process ends.
	lastWrite = 300 * time.Millisecond
)

// Queue is a writer that never blocks. A reader of standard output that has
// stopped would otherwise stop every request that logs; it costs lines instead,
// and these are counted.
type Queue struct {
	to   io.Writer
	wake chan struct{}
	done chan struct{}
	end  chan struct{}

	mu      sync.Mutex
	waiting []byte
	dropped atomic.Int64
}

// NewQueue returns a queue that writes to w until it is closed.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{to: w, wake: make(chan struct{}, 1), done: make(chan struct{}), end: make(chan struct{})}
	go q.run()
	return q
}

// Write takes whole lines; it implements io.Writer and never fails.
func (q *Queue) Write(b []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting)+len(b) > queueBytes {
		q.dropped.Add(1)
		return len(b), nil
	}
	q.waiting = append(q.waiting, b...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// Dropped counts the lines left out because nobody read.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits, unless nobody reads.
func (q *Queue) Close() {
	close(q.end)
	select {
	case <-q.done:
	case <-time.After(lastWrite):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	var batch []byte
	for {
		ended := false
		select {
		case <-q.wake:
			select {
			case <-time.After(gather):
			case <-q.end:
			}
		case <-q.end:
			ended = true
		}
		q.mu.Lock()
		batch, q.waiting = q.waiting, batch[:0]
		q.mu.Unlock()
		if len(batch) > 0 {
			// Nothing can be done about an output that fails.
			_, _ = q.to.Write(batch)
		}
		if ended {
			return
		}
	}
}
