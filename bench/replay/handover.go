package replay

import (
	"time"

	"almondstand.dev/dispatch/handover"
	"almondstand.dev/dispatch/planner"
	"almondstand.dev/entry/lag"
)

// Handover of jobs between the entries; see dispatch/handover. Entries report their loads to the guards
// and get those of others from them.

// Limits at the entry that takes a job over; see entry/jobs.
const (
	maxTakenOver = 128
	maxTakeLag   = 20 * time.Millisecond
)

// loadInterval is the interval at which the processor time of an entry is sampled; see entry/lag.
const loadInterval = 100 * time.Millisecond

// wholeHost is the number of cores of an entry host whose processor time is not simulated.
const wholeHost = 1

// handingOver is the state of one entry.
type handingOver struct {
	policy *handover.Policy
	// takenOver is the number of jobs of other entries here.
	takenOver int
	usage     lag.Usage
}

// newHandingOver returns the state of an entry; nil if no jobs are handed over.
func (s *sim) newHandingOver(seed uint64) *handingOver {
	if !s.load.HandOver {
		return nil
	}
	return &handingOver{policy: handover.New(seed)}
}

// sampleUsage samples the processor time that the entry has used.
func (e *entry) sampleUsage() {
	e.hand.usage.Observe(e.sim.now, e.cpu.used)
	e.sim.after(loadInterval, e.sampleUsage)
}

// lag returns the recent lag of the entry.
func (e *entry) lag() time.Duration { return e.cpu.delays.Mean(e.sim.now) }

// spareMilli returns the processor time that the entry does not use, in thousandths of a core.
func (e *entry) spareMilli() int {
	return e.hand.usage.SpareMilli(e.cores)
}

// state returns the state of the entry for the decision.
func (e *entry) state() handover.State {
	s := handover.State{Lag: e.lag()}
	if e.cpu.share > 0 {
		s.UsedPermille = 1000 - int(float64(e.spareMilli())/e.cores)
	}
	return s
}

// address returns the address of the entry.
func (e *entry) address() string { return e.name }

// reportLoad adds the load of the entry to a message to a guard.
func (e *entry) reportLoad(m *entryMessage) {
	if e.hand == nil {
		return
	}
	m.load = handover.Load{Address: e.address(), Lag: e.lag(), SpareMilli: e.spareMilli()}
	m.wantsSpare = e.hand.policy.Wanted(e.sim.now, e.state())
}

// recordLoads records the loads that a guard lists.
func (e *entry) recordLoads(loads []handover.Load) {
	for _, l := range loads {
		e.hand.policy.RecordLoad(e.sim.now, l)
	}
}

// requested decides about a job whose request has been read.
func (e *entry) requested(a arrival) {
	if to := e.choose(a); to != nil {
		e.handOver(a, to)
		return
	}
	if e.hand != nil {
		e.cpu.addCost(jobCost - requestCost)
	}
	e.submit(a)
}

// choose returns the entry that a job is handed over to; nil if it stays here.
func (e *entry) choose(a arrival) *entry {
	if e.hand == nil {
		return nil
	}
	now := e.sim.now
	deadline := a.at + a.deadline
	j, terms := e.sim.job("", a)
	preview := e.plan.Preview(now, deadline, now-a.at, j, terms)
	address, _, ok := e.hand.policy.Choose(now, e.state(), handover.Job{Slack: preview.Slack, TimeLeft: deadline - now})
	if !ok {
		return nil
	}
	return e.sim.byAddress[address]
}

// handOver sends a job to another entry.
func (e *entry) handOver(a arrival, to *entry) {
	s := e.sim
	s.result.HandedOver++
	e.cpu.addCost(sendCost)
	s.after(messageDelay, func() {
		to.cpu.run(readCost, func() { to.takeOver(a, e) })
	})
}

// takeOver runs a job for another entry, or answers that it does not take it.
func (e *entry) takeOver(a arrival, from *entry) {
	if e.hand.takenOver >= maxTakenOver || e.lag() > maxTakeLag || e.spareMilli() == 0 {
		e.answer(from, handover.NotTaken, func() {
			e.sim.result.NotTaken++
			from.cpu.addCost(jobCost - requestCost)
			from.submit(a)
		})
		return
	}
	e.hand.takenOver++
	e.cpu.addCost(jobCost - requestCost)
	id := e.nextID()
	e.scheduleLeave(id, a)
	e.submitAs(id, a, false, from)
}

// answer sends the answer for a job to the entry that handed it over.
func (e *entry) answer(to *entry, o handover.Outcome, do func()) {
	e.cpu.addCost(sendCost)
	e.sim.after(messageDelay, func() {
		to.cpu.run(readCost, func() {
			to.hand.policy.Ended(e.sim.now, e.address(), o)
			do()
		})
	})
}

// ended records the end of a job at this entry, and answers the entry that handed it over.
func (e *entry) ended(d planner.Ended) {
	j := e.jobs[d.Job]
	if j.from == nil {
		e.sim.result.jobEnded(e.sim, j, d)
		e.scheduleRetry(j, d)
		return
	}
	e.hand.takenOver--
	e.answer(j.from, handover.Answered, func() {
		e.sim.result.jobEnded(e.sim, j, d)
		j.from.scheduleRetry(j, d)
	})
}
