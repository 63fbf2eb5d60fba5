package planner

import "time"

// waitingHoldTime is how long a service still counts as having waiting tasks after the last of
// them was placed: tasks come in bursts, and each change is a message to every guard.
const waitingHoldTime = 40 * time.Millisecond

// PendingDemand reports whether tasks are waiting for capacity of the endpoint's service, or were a
// moment ago, and the CPU that they need, in thousandths of a core.
func (p *Planner) PendingDemand(now time.Duration, endpoint string) (waiting bool, demand int64) {
	e := p.endpoints[endpoint]
	if e == nil || e.cordoned || e.service == nil || !e.service.hasWaiting(now) {
		return false, 0
	}
	return true, e.service.demand
}

func (s *service) hasWaiting(now time.Duration) bool {
	return s.lastWaiting > 0 && now-s.lastWaiting < waitingHoldTime
}

// updateWaiting updates the demand of the waiting tasks, and has the guards notified when tasks
// start waiting for capacity.
func (p *Planner) updateWaiting(now time.Duration, s *service) {
	s.demand = s.waitingDemand()
	if len(s.started)+len(s.unstarted) == 0 {
		return
	}
	if !s.hasWaiting(now) {
		s.shortSince = now
		for _, e := range s.endpoints {
			if e.attached && !e.cordoned {
				p.out.NotifyWaiting = append(p.out.NotifyWaiting, e.id)
			}
		}
	}
	s.lastWaiting = now
}
