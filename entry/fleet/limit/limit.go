// Package limit adapts the number of concurrent calls to their response times. A
// process short of CPU time that starts many calls at once delays all of them, and then
// mistakes its own delay for unresponsive peers.
package limit

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// decreaseFactor is applied to the limit after a slow response.
	decreaseFactor = 0.5
	// latencySamples is the number of responses over which the latency is averaged.
	latencySamples = 8
)

// Options configures a Limit. All fields are required.
type Options struct {
	// Initial is the initial limit; Min and Max bound it.
	Initial, Min, Max int
	// A response that takes at most FastLatency raises the limit; one that takes at least
	// SlowLatency lowers it.
	FastLatency, SlowLatency time.Duration
}

// Limit bounds the number of concurrent calls. It is safe for concurrent use.
type Limit struct {
	opts Options

	mu       sync.Mutex
	limit    float64
	inFlight int
	// latency is the smoothed response time, zero before the first response.
	latency time.Duration
	// waiting is the FIFO queue of calls that wait for admission. Each channel is
	// closed once its call is counted as in flight.
	waiting []chan struct{}
}

// New returns a Limit.
func New(o Options) *Limit { return &Limit{opts: o, limit: float64(o.Initial)} }

// Acquire waits until one call may start. It returns false if ctx ended first.
func (l *Limit) Acquire(ctx context.Context) bool {
	admitted := l.enqueue()
	select {
	case <-admitted:
		return true
	case <-ctx.Done():
	}
	return !l.dequeue(admitted)
}

// enqueue returns a channel that is closed once the call is admitted.
func (l *Limit) enqueue() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	admitted := make(chan struct{})
	l.waiting = append(l.waiting, admitted)
	l.admit()
	return admitted
}

// dequeue removes a waiting call. It returns false if the call was admitted at the same
// moment.
func (l *Limit) dequeue(admitted chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, admitted)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// admit admits waiting calls up to the limit. The caller holds l.mu.
func (l *Limit) admit() {
	for len(l.waiting) > 0 && l.inFlight < int(l.limit) {
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
		l.inFlight++
	}
}

// ReleaseAnswered releases a call that got its response after the given time.
func (l *Limit) ReleaseAnswered(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adapt(took)
	l.inFlight--
	l.admit()
}

// RecordLateResponse records the response to a call that was already released.
func (l *Limit) RecordLateResponse(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adapt(took)
}

// adapt updates the latency and the limit from the time of one response. The caller
// holds l.mu.
func (l *Limit) adapt(took time.Duration) {
	if l.latency == 0 {
		l.latency = took
	}
	l.latency += (took - l.latency) / latencySamples
	switch {
	case took <= l.opts.FastLatency:
		l.limit = min(l.limit+1, float64(l.opts.Max))
	case took >= l.opts.SlowLatency:
		l.limit = max(l.limit*decreaseFactor, float64(l.opts.Min))
	}
}

// Release releases a call without a response. It does not change the limit: a missing
// response says nothing about the load of this process, because the called peer may be
// gone.
func (l *Limit) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.admit()
}

// Latency returns the recent response time, zero before the first response.
func (l *Limit) Latency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency
}

// Value returns the current limit.
func (l *Limit) Value() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}
