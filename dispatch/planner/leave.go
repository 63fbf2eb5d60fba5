package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

// leaveTime is the longest time for which an entry leaves what its runs have released to their guard.
// Guards offer free capacity to the first of the entries within a millisecond, to the next ones 10 ms
// apart. They offer none that is too small for the size that was requested last.
const leaveTime = 100 * time.Millisecond

// releasedCPU is what a run has released at an endpoint, and the entry has left to the guard.
type releasedCPU struct {
	endpoint *endpoint
	need     work.Amounts
	at       time.Duration
	// reportedAt is the time of the endpoint's last report then.
	reportedAt time.Duration
}

// leaveToGuard counts what a run has released as used until the guard reports again, while capacity is
// scarce and tasks wait at other entries: the guard offers it to the entry with the most urgent of them,
// and if the entry whose run has ended took it as well, one of the two orders would be refused. Entries
// that are short of processor time, and late therefore, lost most: one with 0.19 of a core rejected 33 % of
// its jobs, the others of its data centre 1 % (replay, uneven, seed 1). With 55 entries some task waits
// nearly always: if capacity need not be scarce, 9 % more messages are sent on a day without faults
// (large-calm, seed 1).
func (p *Planner) leaveToGuard(now time.Duration, e *endpoint, need work.Amounts) {
	if !p.sharesDemand() || e.service == nil {
		return
	}
	d := e.service.shared
	if d.shortAt == 0 || now-d.shortAt >= shortageMemory || !d.scarce(now) {
		return
	}
	e.used = e.used.Add(need)
	d.left = append(d.left, releasedCPU{e, need, now, e.reportedAt})
}

// takeBack counts what was left to guards that have not reported for leaveTime as free. It returns the
// time at which more is to be taken back; zero if nothing is left to guards that have not reported since.
func (d *sharedDemand) takeBack(now time.Duration) (next time.Duration) {
	for len(d.left) > 0 {
		r := d.left[0]
		if r.endpoint.reportedAt == r.reportedAt {
			if now-r.at < leaveTime {
				return r.at + leaveTime
			}
			r.endpoint.used = r.endpoint.used.Sub(r.need)
		}
		d.left = d.left[1:]
	}
	d.left = nil
	return 0
}
