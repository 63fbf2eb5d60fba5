package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondstand.dev/platform/runner"
)

const (
	// minHedgeDelay is the shortest time after which an unanswered call is hedged: a runner
	// answers within a millisecond or two unless it or this host is short of CPU time. Calls
	// name their run, so the runner ignores a second copy if the first has arrived, and
	// rejects a copy that arrives after the run's end. Without hedging, a lost call cost its
	// task 150 ms and a stop: with one call in 25 lost, this hit three in ten jobs of eight
	// tasks.
	minHedgeDelay = 12 * time.Millisecond
	// maxSends bounds how often a call is sent, the first copy included: with one call in 25
	// lost, one in 25 of the lost ones is lost twice.
	maxSends = 3
	// timerStall is how late a timer must fire to show that this process was stalled itself.
	// The answer may have arrived during the stall and not have been read yet.
	timerStall = 6 * time.Millisecond
	// readDelay is the time that this process has after a stall to read an answer, and
	// maxReadDelays bounds how often it has it for one call.
	readDelay     = 12 * time.Millisecond
	maxReadDelays = 3
)

// reply is the result of a call.
type reply struct {
	clock time.Duration
	err   error
	// definite is true if the runner rejected the call and no copy of it went unanswered, so
	// that none can be executed later.
	definite bool
	// hedged is true if the call was sent more than once.
	hedged bool
	// attempt is the number, from 1, of the copy that was answered, and needless is true if
	// another copy was sent after that one.
	attempt  int
	needless bool
	// rest are the other copies of the call.
	rest rest
}

// update is a change of a copy of a call: it has a connection, or it is over.
type update struct {
	connected bool
	reply     reply
}

// rest are the copies of a call beside the one that ended it: those in flight, and, if unanswered is
// true, others that went unanswered.
type rest struct {
	updates    <-chan update
	inFlight   int
	unanswered bool
}

// wait waits until no copy is in flight, at most for the timeout of the call, and reports whether a
// copy went unanswered.
func (r rest) wait() (unanswered bool) {
	unanswered = r.unanswered
	for r.inFlight > 0 {
		change := <-r.updates
		if change.connected {
			continue
		}
		r.inFlight--
		unanswered = unanswered || errors.Is(change.reply.err, runner.ErrOutcomeUnknown)
	}
	return unanswered
}

// copies are the copies of one call.
type copies struct {
	mu sync.Mutex
	// waiting holds the functions that cancel the copies without a connection, by attempt, and
	// canceled the copies that were cancelled so.
	waiting  map[int]context.CancelFunc
	canceled map[int]bool
	// latest is the latest copy that was made or sent.
	latest int
}

// add records a copy that has no connection yet.
func (c *copies) add(attempt int, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[attempt], c.latest = cancel, attempt
}

// connected records that a copy is sent, cancels those that wait for a connection, and reports
// whether the copy was still wanted.
func (c *copies) connected(attempt int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled[attempt] {
		return false
	}
	delete(c.waiting, attempt)
	c.cancelWaitingLocked()
	c.latest = attempt
	return true
}

// cancelWaiting cancels the copies that wait for a connection.
func (c *copies) cancelWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWaitingLocked()
}

// cancelWaitingLocked is cancelWaiting while c.mu is held.
func (c *copies) cancelWaitingLocked() {
	for attempt, cancel := range c.waiting {
		cancel()
		c.canceled[attempt] = true
	}
	clear(c.waiting)
}

// over records the end of a copy. It reports whether the copy had been cancelled, and whether
// another was made after it.
func (c *copies) over(attempt int) (canceled, followed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, attempt)
	return c.canceled[attempt], attempt < c.latest
}

// send makes a call and hedges it whenever it goes unanswered for the delay, counted from the
// moment at which it has a connection; each copy has its own timeout. The first success ends it,
// whatever happened to the other copies. A copy that waits for a connection for the delay is
// followed by another, and only the first of them that has one is sent.
func (h *Host) send(timeout, delay time.Duration, call func(context.Context) (time.Duration, error)) reply {
	// There are at most maxSends copies for each that is sent, with two updates each.
	updates := make(chan update, 2*maxSends*maxSends)
	c := copies{waiting: map[int]context.CancelFunc{}, canceled: map[int]bool{}}
	defer c.cancelWaiting()
	// sent counts the copies that may have been sent or may still be.
	attempts, inFlight, sent, unanswered := 0, 0, 0, false
	last := reply{err: runner.ErrOutcomeUnknown}
	sendCopy := func() {
		if sent == maxSends || h.ctx.Err() != nil {
			return
		}
		attempts++
		inFlight++
		sent++
		attempt := attempts
		ctx, cancel := withTimeout(h.ctx, timeout)
		c.add(attempt, cancel)
		ctx = runner.WithProgress(ctx, runner.Progress{
			Connected: func() {
				if c.connected(attempt) {
					updates <- update{connected: true}
				}
			},
			// The answered copy's connection is not to be used by one that waits for it.
			Answered: c.cancelWaiting,
		})
		h.calls.Go(func() {
			defer cancel()
			clock, err := call(ctx)
			updates <- update{reply: reply{clock: clock, err: err, attempt: attempt}}
		})
	}
	sendCopy()
	for inFlight > 0 {
		change, ok := await(updates, delay, sent < maxSends)
		if !ok {
			sendCopy()
			continue
		}
		if change.connected {
			continue
		}
		inFlight--
		answer := change.reply
		canceled, followed := c.over(answer.attempt)
		if canceled && errors.Is(answer.err, runner.ErrUnreachable) {
			sent--
			continue
		}
		answer.hedged, answer.needless = sent > 1, followed
		answer.rest = rest{updates, inFlight, unanswered}
		if answer.err == nil {
			return answer
		}
		last = answer
		if errors.Is(answer.err, runner.ErrOutcomeUnknown) {
			unanswered = true
			if !canceled {
				sendCopy()
			}
			continue
		}
		// The runner rejected the call; sending it again is of no use.
		last.definite = inFlight == 0 && !unanswered
		return last
	}
	last.rest.unanswered = unanswered
	return last
}

// await waits for an update, no longer than the delay if the call may be hedged.
func await(updates <-chan update, delay time.Duration, bounded bool) (update, bool) {
	if !bounded {
		return <-updates, true
	}
	return awaitFor(updates, delay)
}

// withTimeout returns a context that is cancelled after the limit. If this process was not scheduled
// at that time, it has readDelay to read an answer that has arrived.
func withTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var mu sync.Mutex
	var timer *time.Timer
	due, delays := time.Now().Add(limit), 0
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(limit, func() {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); now.Sub(due) >= timerStall && delays < maxReadDelays {
			due = now.Add(readDelay)
			delays++
			timer.Reset(readDelay)
			return
		}
		cancel(context.DeadlineExceeded)
	})
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// awaitFor waits up to the limit for a value. A time span in which this process was not
// scheduled does not count, because a value that arrived during it has not been read yet.
func awaitFor[T any](values <-chan T, limit time.Duration) (value T, ok bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for start := time.Now(); ; start = time.Now() {
		select {
		case value = <-values:
			return value, true
		case <-timer.C:
		}
		select {
		case value = <-values:
			return value, true
		default:
		}
		if time.Since(start) < limit+timerStall {
			return value, false
		}
		timer.Reset(limit)
	}
}
