// Package window assigns sequence numbers to the starts of one session and tracks its
// low watermark: the lowest number that is still open. Everything below the watermark
// is settled at the entry, so the guard may forget it, and refuses it.
package window

import "sync"

// Window tracks the open sequence numbers of a session. It is safe for concurrent use.
type Window struct {
	mu   sync.Mutex
	next uint64
	low  uint64
	// closed holds the numbers above low that are already settled.
	closed map[uint64]struct{}
	open   int
}

// New returns a window whose first number is 1.
func New() *Window {
	return &Window{next: 1, low: 1, closed: map[uint64]struct{}{}}
}

// Open assigns the next number. low is the watermark at that moment and is never above
// seq.
func (w *Window) Open() (seq, low uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seq = w.next
	w.next++
	w.open++
	return seq, w.low
}

// Close settles a number permanently. It must be called once per number.
func (w *Window) Close(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
	if seq != w.low {
		w.closed[seq] = struct{}{}
		return
	}
	w.low++
	for len(w.closed) > 0 {
		if _, settled := w.closed[w.low]; !settled {
			return
		}
		delete(w.closed, w.low)
		w.low++
	}
}

// Low returns the watermark.
func (w *Window) Low() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.low
}

// Count returns the number of open sequence numbers.
func (w *Window) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open
}
