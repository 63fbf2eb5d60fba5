package replay

import (
	"time"

	"almondstand.dev/entry/lag"
)

// Processor time of an entry's operations on a whole core. The values were derived from
// the processor time and the message counts of processes on hosts with a fifth of a
// core: such an entry reads 5,100 messages a second when it does little else.
const (
	readCost = 32 * time.Microsecond
	sendCost = 45 * time.Microsecond
	// jobCost is the cost of a job: its request, its answer and its scheduling
	// decisions.
	jobCost = 300 * time.Microsecond
	// requestCost is the part of jobCost that is spent at the entry that receives the request, also
	// if it hands the job over.
	requestCost = 200 * time.Microsecond
)

// processor simulates one entry's share of a core. Incoming messages are processed in
// order; outgoing messages leave at once, and their cost delays the next operation.
type processor struct {
	sim *sim
	// share is the share of a core; zero disables the simulation.
	share   float64
	waiting []operation
	busy    bool
	// deferredCost is the processor time of sent messages that has not delayed an
	// operation yet.
	deferredCost time.Duration
	// used is the processor time that was used, also without a share.
	used time.Duration
	// delays are the recent delays of operations.
	delays lag.Delays
}

// operation is one operation with its processor time.
type operation struct {
	cost     time.Duration
	do       func()
	queuedAt time.Duration
}

// run executes an operation once all earlier ones have completed.
func (p *processor) run(cost time.Duration, do func()) {
	if p.share == 0 {
		p.used += cost
		p.delays.Observe(p.sim.now, 0)
		do()
		return
	}
	p.waiting = append(p.waiting, operation{cost, do, p.sim.now})
	p.next()
}

func (p *processor) next() {
	if p.busy || len(p.waiting) == 0 {
		return
	}
	p.busy = true
	first := p.waiting[0]
	p.waiting = p.waiting[1:]
	cost := first.cost + p.deferredCost
	p.used += cost
	p.delays.Observe(p.sim.now, p.sim.now-first.queuedAt+time.Duration(float64(p.deferredCost)/p.share))
	p.deferredCost = 0
	p.sim.after(time.Duration(float64(cost)/p.share), func() {
		first.do()
		p.busy = false
		p.next()
	})
}

// addCost adds processor time to the next operation.
func (p *processor) addCost(cost time.Duration) {
	if p.share == 0 {
		p.used += cost
		return
	}
	p.deferredCost += cost
}
