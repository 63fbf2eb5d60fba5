package host

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// process is the state of one runner process and its client. It is replaced as a whole,
// because reports, run listings and clocks of one process do not apply to another, even under
// the same id.
type process struct {
	work.Incarnation
	api Runner
	// lastReport is the sequence number of the latest report.
	lastReport int64
	clock      clockSample
	hedge      hedge
	// leasedUntil is the time of this host's monotonic clock by which every granted lease has
	// expired.
	leasedUntil time.Duration
	// ackedEnd is the highest sequence number of an ended run that has been acknowledged to
	// the process.
	ackedEnd int64
	// unresponsive is true while the process answers no polls.
	unresponsive bool
	// leaving is true while a notice of the process's shutdown is being confirmed.
	leaving bool
	// requestedAt is the uptime at which the latest run listing that was read had been
	// requested.
	requestedAt time.Duration
	// readAt is the uptime at which the latest run listing was read, and listingClock the
	// runner's clock in it.
	readAt, listingClock time.Duration
}

// clockSample maps the runner's clock to this host's monotonic clock.
type clockSample struct {
	runner    time.Duration
	monotonic time.Duration
}

// earliest returns the lowest time that the runner's clock can show at a time of this host's
// monotonic clock.
func (s clockSample) earliest(monotonic time.Duration) time.Duration {
	return s.runner + time.Duration(float64(monotonic-s.monotonic)*minClockRate)
}

// syncClock updates the clock sample from an answer of the process.
func (p *process) syncClock(clock, monotonic time.Duration) {
	if clock > 0 && clock > p.clock.earliest(monotonic) {
		p.clock = clockSample{clock, monotonic}
	}
}

// recordReply updates the clock sample and the hedge delay from the result of a call.
func (p *process) recordReply(r reply, monotonic time.Duration) {
	p.syncClock(r.clock, monotonic)
	if r.err == nil {
		p.hedge.record(r.needless)
	}
}

// lease returns the time on the process's clock up to which its lease may be extended for the
// duration span to pass.
func (p *process) lease(span, monotonic time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	p.leasedUntil = max(p.leasedUntil, monotonic+span)
	return p.clock.earliest(monotonic + span)
}

// revokeLease takes back an extension of the lease from one time to another by a call that did not
// reach the process, unless it has been extended again since.
func (p *process) revokeLease(before, after time.Duration) {
	if p.leasedUntil == after {
		p.leasedUntil = before
	}
}

// outdated reports whether a run listing whose poll was in flight together with that of the
// last one read describes an earlier moment of the runner's clock. It may list a run whose end
// has been read already, which would then count as an orphan.
func (p *process) outdated(asked time.Duration, v work.Listing, err error) bool {
	return err == nil && asked < p.readAt && v.Clock < p.listingClock
}

// fence is the highest fencing token that this guard has used for a runner id.
type fence struct {
	id    string
	token int64
}

// next returns the token for a process at a time of its clock. It is above those of previous
// guard processes and of previous processes under the same id. A process's clock starts anew
// with the process, but its start time does not; if the start time was set back, the token
// used before ensures a higher one.
func (f fence) next(i work.Incarnation, clock time.Duration) int64 {
	token := i.StartedMilli + clock.Milliseconds()
	if f.id == i.ID && i.StartedMilli > 0 {
		token = max(token, f.token+1)
	}
	return token
}
