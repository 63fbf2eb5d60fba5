package host

import (
	"context"
	"errors"
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
	// copies are those of the call that are still in flight.
	copies copies
}

// copies are the copies of a call that are in flight. unanswered is true if another copy went
// unanswered before.
type copies struct {
	answers    <-chan reply
	inFlight   int
	unanswered bool
}

// wait waits until none is in flight, at most for the timeout of the call, and reports whether a
// copy of the call went unanswered.
func (c copies) wait() (unanswered bool) {
	unanswered = c.unanswered
	for range c.inFlight {
		answer := <-c.answers
		unanswered = unanswered || errors.Is(answer.err, runner.ErrOutcomeUnknown)
	}
	return unanswered
}

// send makes a call and hedges it whenever it goes unanswered for the delay; each copy has its
// own timeout. The first success ends it, whatever happened to the other copies.
func (h *Host) send(timeout, delay time.Duration, call func(context.Context) (time.Duration, error)) reply {
	answers := make(chan reply, maxSends)
	inFlight, sent, unanswered := 0, 0, false
	last := reply{err: runner.ErrOutcomeUnknown}
	for {
		if sent < maxSends && h.ctx.Err() == nil {
			sent++
			inFlight++
			attempt := sent
			h.calls.Go(func() {
				ctx, cancel := context.WithTimeout(h.ctx, timeout)
				defer cancel()
				clock, err := call(ctx)
				answers <- reply{clock: clock, err: err, attempt: attempt}
			})
		}
		if inFlight == 0 {
			last.copies.unanswered = unanswered
			return last
		}
		answer, ok := await(answers, delay, sent < maxSends)
		if !ok {
			continue
		}
		inFlight--
		answer.hedged, answer.needless = sent > 1, answer.attempt < sent
		answer.copies = copies{answers, inFlight, unanswered}
		if answer.err == nil {
			return answer
		}
		last = answer
		if errors.Is(answer.err, runner.ErrOutcomeUnknown) {
			unanswered = true
			continue
		}
		// The runner rejected the call; sending it again is of no use.
		last.definite = inFlight == 0 && !unanswered
		return last
	}
}

// await waits for an answer, no longer than the delay if the call may be hedged.
func await(answers <-chan reply, delay time.Duration, bounded bool) (reply, bool) {
	if !bounded {
		return <-answers, true
	}
	return awaitFor(answers, delay)
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
