package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
)

// suspendPeriodically suspends and resumes a node's process alternately until stop is called.
func suspendPeriodically(n *fleet.Node, suspended, running time.Duration) (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		p := n.Process()
		defer p.Resume()
		for {
			select {
			case <-end:
				return
			default:
			}
			p.Suspend()
			time.Sleep(suspended)
			p.Resume()
			time.Sleep(running)
		}
	}()
	return func() {
		close(end)
		<-ended
	}
}

// Guards against a guard short of processor time that sends each order and each poll several
// times, because it takes its own delay for a lost answer.
func TestGuardHeldBackSendsOrdersOnce(t *testing.T) {
	parallel(t)
	f := startFleet(t, 1, 2)
	stopSuspending := suspendPeriodically(f.Guards[0], 60*time.Millisecond, 20*time.Millisecond)
	ordersBefore, pollsBefore := f.Runners[0].Calls()
	startsBefore := f.Checker.Starts()
	otherBefore, otherPollsBefore := f.Runners[1].Calls()
	stop := load(t, f, 20*time.Millisecond, 4, 40)
	time.Sleep(4 * time.Second)
	got := stop()
	stopSuspending()
	orders, polls := f.Runners[0].Calls()
	other, otherPolls := f.Runners[1].Calls()
	orders, polls, other, otherPolls = orders-ordersBefore, polls-pollsBefore, other-otherBefore, otherPolls-otherPollsBefore
	starts := f.Checker.Starts() - startsBefore
	t.Logf("%d starts, answers %v; suspended guard: %d orders, %d polls; the other: %d orders, %d polls", starts, got, orders, polls, other, otherPolls)
	assert.Assert(t, starts > 200 && orders > 100)
	assert.Assert(t, (orders+other)*10 <= starts*11, "%d orders for %d starts", orders+other, starts)
	assert.Assert(t, polls*other <= 2*otherPolls*orders, "more than twice the polls of the other guard for each order")
}
