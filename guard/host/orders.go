package host

import (
	"context"
	"errors"
	"time"

	"almondstand.dev/platform/runner"
)

const (
	// hedgeStartAfter is how long an order may go unanswered before it is sent again
	// beside the first; a runner answers within a millisecond or two. Orders name
	// their run, so the runner does nothing for the second if the first has come, and
	// turns the first down when it comes after the run's end. Without it a lost order
	// cost its task 150 ms and a stop: with one order of 25 lost, three jobs of eight
	// tasks in ten.
	hedgeStartAfter = 12 * time.Millisecond
	// sends bounds how often an order is sent: of 25 lost ones one is lost twice.
	sends = 3
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
}

// send gives an order, and again when it goes unanswered; each time has the
// timeout for itself. An order that was carried out ends it, whatever became of the
// others.
func (h *Host) send(timeout time.Duration, order func(context.Context) (time.Duration, error)) reply {
	answers := make(chan reply, sends)
	open, sent, lost := 0, 0, false
	last := reply{err: runner.ErrUnanswered}
	for {
		if sent < sends && h.ctx.Err() == nil {
			sent++
			open++
			h.calls.Go(func() {
				ctx, cancel := context.WithTimeout(h.ctx, timeout)
				defer cancel()
				clock, err := order(ctx)
				answers <- reply{clock: clock, err: err}
			})
		}
		if open == 0 {
			return last
		}
		answer, ok := await(answers, sent < sends)
		if !ok {
			continue
		}
		open--
		answer.again = sent > 1
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

// await waits for an answer; hedgeStartAfter at most if the order may be sent again.
func await(answers <-chan reply, bounded bool) (reply, bool) {
	if !bounded {
		return <-answers, true
	}
	wait := time.NewTimer(hedgeStartAfter)
	defer wait.Stop()
	select {
	case a := <-answers:
		return a, true
	case <-wait.C:
		return reply{}, false
	}
}
