package host

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// process is what this guard knows of one process of the runner, and how it is called. It is
// replaced as a whole: reports, accounts and clocks of one process say nothing of another, though
// they may have one id.
type process struct {
	work.Incarnation
	api Runner
	// heard is the number of the newest report.
	heard int64
	clock sample
	hedge hedge
	// leased is the steady time by which every lease given has run out.
	leased time.Duration
	// acked is the highest end that the process knows to be taken note of.
	acked int64
	// silent is true while it answers no polls.
	silent bool
	// polledAt is the uptime at which the newest account read was asked for.
	polledAt time.Duration
	// readAt is the uptime at which the newest account was read, and accountAt the
	// runner's clock in it.
	readAt, accountAt time.Duration
}

// sample ties the runner's clock to this host's steady clock.
type sample struct {
	runner time.Duration
	steady time.Duration
}

// at is the least that the runner's clock shows at a steady time.
func (s sample) at(steady time.Duration) time.Duration {
	return s.runner + time.Duration(float64(steady-s.steady)*slowClock)
}

// read notes the process's clock from an answer.
func (p *process) read(clock, steady time.Duration) {
	if clock > 0 && clock > p.clock.at(steady) {
		p.clock = sample{clock, steady}
	}
}

// answered notes what the answer of an order says of the process.
func (p *process) answered(r reply, steady time.Duration) {
	p.read(r.clock, steady)
	if r.err == nil {
		p.hedge.answered(r.inVain)
	}
}

// lease returns the process's time to which its lease may be extended by a span.
func (p *process) lease(span, steady time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	p.leased = max(p.leased, steady+span)
	return p.clock.at(steady + span)
}

// older reports whether an account that was under way beside the last one read is of an
// earlier moment, by the runner's clock: it may list a run whose end has been read, and
// that would count as one that nobody here has started.
func (p *process) older(asked time.Duration, v work.Account, err error) bool {
	return err == nil && asked < p.readAt && v.Clock < p.accountAt
}

// fence is the highest token that this guard has used for a runner's id.
type fence struct {
	id    string
	token int64
}

// next is the token for a process, at a time of its clock: above those of older guards, and of
// the processes before it under its id. Clocks start anew with the process, start times don't; a
// start time that was set back is caught by the token used before.
func (f fence) next(i work.Incarnation, clock time.Duration) int64 {
	token := i.Born + clock.Milliseconds()
	if f.id == i.ID && i.Born > 0 {
		token = max(token, f.token+1)
	}
	return token
}
