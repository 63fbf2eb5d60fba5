package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes is the buffer size in bytes: about 2,000 lines, which a busy entry
	// writes in two seconds.
	maxBufferedBytes = 512 << 10
	// batchDelay is how long lines are batched for one write: a system call per line
	// would cost more than producing the line.
	batchDelay = 40 * time.Millisecond
	// flushTimeout bounds the wait for the final flush when a process exits.
	flushTimeout = 300 * time.Millisecond
)

// BufferedWriter is a buffered io.Writer that never blocks. Otherwise a stalled reader of standard
// output would block every request that logs. When the buffer is full, lines are
// dropped and counted.
type BufferedWriter struct {
	out      io.Writer
	notEmpty chan struct{}
	done     chan struct{}
	closing  chan struct{}

	mu       sync.Mutex
	buffered []byte
	dropped  atomic.Int64
}

// NewBufferedWriter returns a BufferedWriter that writes to w in the background until it is closed.
func NewBufferedWriter(w io.Writer) *BufferedWriter {
	q := &BufferedWriter{out: w, notEmpty: make(chan struct{}, 1), done: make(chan struct{}), closing: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer. b must consist of whole lines. Write never fails.
func (q *BufferedWriter) Write(b []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.buffered)+len(b) > maxBufferedBytes {
		q.dropped.Add(1)
		return len(b), nil
	}
	q.buffered = append(q.buffered, b...)
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped because the buffer was full, which happens if
// the output is not read.
func (q *BufferedWriter) Dropped() int64 { return q.dropped.Load() }

// Close flushes the buffer. It gives up after flushTimeout if the output blocks.
func (q *BufferedWriter) Close() {
	close(q.closing)
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

func (q *BufferedWriter) run() {
	defer close(q.done)
	var batch []byte
	for {
		closed := false
		select {
		case <-q.notEmpty:
			select {
			case <-time.After(batchDelay):
			case <-q.closing:
			}
		case <-q.closing:
			closed = true
		}
		q.mu.Lock()
		batch, q.buffered = q.buffered, batch[:0]
		q.mu.Unlock()
		if len(batch) > 0 {
			// There is no way to report that the log output fails.
			_, _ = q.out.Write(batch)
		}
		if closed {
			return
		}
	}
}
