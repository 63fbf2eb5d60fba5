package sessions

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// requestDemand requests a message if this entry has no run at the guard, tasks wait that the guard's
// runner could take, and it is the guard's turn to be sent the demand.
func (s *session) requestDemand(now, lastSent time.Duration) {
	s.mu.Lock()
	idle := len(s.open) == 0
	s.mu.Unlock()
	if !s.turn.Due(now, lastSent, idle && s.server.sharesWaiting(s.guard), &s.server.turns) {
		return
	}
	s.mu.Lock()
	s.sendNow = true
	s.mu.Unlock()
}

// sharesWaiting reports whether tasks wait for capacity of the guard's service and their demand is
// shared with the other entries.
func (s *Server) sharesWaiting(guard string) bool {
	return slices.ContainsFunc(s.jobs.Demand(guard), func(d work.Demand) bool { return d.Jobs > 0 })
}
