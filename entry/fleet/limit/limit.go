// Package limit adapts the number of calls under way to how long their answers take. A
// process short of processor time that starts many at once makes all of them late, and
// takes its own lateness for the silence of those it calls.
package limit

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// decrease is the part of the limit that is left after a slow answer.
	decrease = 0.5
	// smoothing is the number of answers over which their time is averaged.
	smoothing = 8
)

// Options of a Limit. All are required.
type Options struct {
	// First is the limit at the beginning, Least and Most bound it.
	First, Least, Most int
	// Fast is the longest that an answer takes which raises the limit, Slow the shortest
	// of one which lowers it.
	Fast, Slow time.Duration
}

// Limit bounds the calls under way. It is safe for concurrent use.
type Limit struct {
	opts Options

	mu    sync.Mutex
	limit float64
	held  int
	// typical is the smoothed time of answers, zero before the first.
	typical time.Duration
	// waiting are those without room, the first to come first. Each channel is closed once
	// its call is counted.
	waiting []chan struct{}
}

// New returns a Limit.
func New(o Options) *Limit { return &Limit{opts: o, limit: float64(o.First)} }

// Acquire waits for room for one call; false when ctx ended first.
func (l *Limit) Acquire(ctx context.Context) bool {
	turn := l.join()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	return !l.leave(turn)
}

// join returns a channel that is closed once the call has room.
func (l *Limit) join() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	turn := make(chan struct{})
	l.waiting = append(l.waiting, turn)
	l.admit()
	return turn
}

// leave gives up waiting; false when the call has got room in the same moment.
func (l *Limit) leave(turn chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, turn)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// admit counts those for whom there is room; l.mu is held.
func (l *Limit) admit() {
	for len(l.waiting) > 0 && l.held < int(l.limit) {
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
		l.held++
	}
}

// Answered releases a call that was answered after a time.
func (l *Limit) Answered(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adapt(took)
	l.held--
	l.admit()
}

// AnsweredLate takes note of the answer to a call that was released before.
func (l *Limit) AnsweredLate(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adapt(took)
}

// adapt follows the time of one answer; l.mu is held.
func (l *Limit) adapt(took time.Duration) {
	if l.typical == 0 {
		l.typical = took
	}
	l.typical += (took - l.typical) / smoothing
	switch {
	case took <= l.opts.Fast:
		l.limit = min(l.limit+1, float64(l.opts.Most))
	case took >= l.opts.Slow:
		l.limit = max(l.limit*decrease, float64(l.opts.Least))
	}
}

// Release releases a call that has no answer. That says nothing of the caller: whoever was
// called may be gone.
func (l *Limit) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held--
	l.admit()
}

// Typical is how long answers take of late, zero before the first.
func (l *Limit) Typical() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.typical
}

// Value is the present limit.
func (l *Limit) Value() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}
