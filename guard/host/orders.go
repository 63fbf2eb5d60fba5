package host

import (
	"context"
	"errors"
	"time"

	"almondstand.dev/platform/runner"
)

const (
	// hedgeStartAfter is how long an order may go unanswered before it is sent again
	// beside the first, at the least: a runner answers within a millisecond or two, unless
	// it or this host is short of processor time. Orders name
	// their run, so the runner does nothing for the second if the first has come, and
	// turns the first down when it comes after the run's end. Without it a lost order
	// cost its task 150 ms and a stop: with one order of 25 lost, three jobs of eight
	// tasks in ten.
	hedgeStartAfter = 12 * time.Millisecond
	// sends bounds how often an order is sent: of 25 lost ones one is lost twice.
	sends = 3
	// lateTimer is how late a timer fires of a guard that was held back itself. The answer may
	// have come meanwhile and be unread.
	lateTimer = 6 * time.Millisecond
)

// reply is the end of an order.
type reply struct {
	clock time.Duration
	err   error
	// sure is true when the error is the runner's word on every time that the order
	// was sent, so that none of them can be carried out later.
	sure bool
	// again is true when the order was sent more than once.
	again bool
	// copy numbers the time that this answer is to, from 1, and inVain is true when the order
	// was sent again after that.
	copy   int
	inVain bool
}

// send gives an order, and again when it goes unanswered for the delay; each time has the
// timeout for itself. An order that was carried out ends it, whatever became of the
// others.
func (h *Host) send(timeout, delay time.Duration, order func(context.Context) (time.Duration, error)) reply {
	answers := make(chan reply, sends)
	open, sent, lost := 0, 0, false
	last := reply{err: runner.ErrUnanswered}
	for {
		if sent < sends && h.ctx.Err() == nil {
			sent++
			open++
			this := sent
			h.calls.Go(func() {
				ctx, cancel := context.WithTimeout(h.ctx, timeout)
				defer cancel()
				clock, err := order(ctx)
				answers <- reply{clock: clock, err: err, copy: this}
			})
		}
		if open == 0 {
			return last
		}
		answer, ok := await(answers, delay, sent < sends)
		if !ok {
			continue
		}
		open--
		answer.again, answer.inVain = sent > 1, answer.copy < sent
		if answer.err == nil {
			return answer
		}
		last = answer
		if errors.Is(answer.err, runner.ErrUnanswered) {
			lost = true
			continue
		}
		// Turned down: to ask again is of no use.
		last.sure = open == 0 && !lost
		return last
	}
}

// await waits for an answer; for the delay at most if the order may be sent again.
func await(answers <-chan reply, delay time.Duration, bounded bool) (reply, bool) {
	if !bounded {
		return <-answers, true
	}
	return awaitFor(answers, delay)
}

// awaitFor waits for a value, so long at most. A span in which this process did not run doesn't
// count: what came in it is still to be read.
func awaitFor[T any](values <-chan T, limit time.Duration) (value T, ok bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for began := time.Now(); ; began = time.Now() {
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
		if time.Since(began) < limit+lateTimer {
			return value, false
		}
		timer.Reset(limit)
	}
}
