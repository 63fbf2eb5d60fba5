package replay

import "time"

// Processor time that an entry takes at a whole core, worked out from the processor time
// and the messages of processes on hosts with a fifth of one: such an entry reads 5,100
// messages a second when it does little else.
const (
	readCost = 32 * time.Microsecond
	sendCost = 45 * time.Microsecond
	// jobCost is for a job: its request, its answer and its decisions.
	jobCost = 300 * time.Microsecond
)

// processor is one entry's share of a core. What comes is taken in its turn; what is
// sent goes out at once, and takes from the time of what comes next.
type processor struct {
	sim *sim
	// share of a core; zero takes no time.
	share   float64
	waiting []step
	busy    bool
	// owed is the processor time of messages sent that nothing has waited for yet.
	owed time.Duration
}

// step is one thing to do and the processor time that it takes.
type step struct {
	cost time.Duration
	do   func()
}

// run does something once all that came before is done.
func (p *processor) run(cost time.Duration, do func()) {
	if p.share == 0 {
		do()
		return
	}
	p.waiting = append(p.waiting, step{cost, do})
	p.next()
}

func (p *processor) next() {
	if p.busy || len(p.waiting) == 0 {
		return
	}
	p.busy = true
	first := p.waiting[0]
	p.waiting = p.waiting[1:]
	cost := first.cost + p.owed
	p.owed = 0
	p.sim.after(time.Duration(float64(cost)/p.share), func() {
		first.do()
		p.busy = false
		p.next()
	})
}

// spend takes processor time from what comes next.
func (p *processor) spend(cost time.Duration) {
	if p.share > 0 {
		p.owed += cost
	}
}
