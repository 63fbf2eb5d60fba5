package fleet

import (
	"context"
	"time"

	"almondstand.dev/telemetry/uptime"
)

// An idle session that the budget for pings doesn't keep is let lapse. Its guard
// stays known: announcements tell its load and that it is there, and the first
// start has it greeted before anything of the task is sent. A start never goes
// out on a lapsed session, so none ends as unknown for that reason.

// closeAfter is how many leases an unused connection is kept: then the pings of
// HTTP/2 on it, 11 bytes a second, have cost as much as a new connection, some 300.
const closeAfter = 2

// mayRest reports whether the session's pings can be left out: it is idle and the
// pings of all sessions would pass their budget.
func (g *guard) mayRest(s *session) bool {
	return s.lease > 0 && s.window.Count() == 0 && !g.suspect.Load() && !g.superseded.Load() && !g.isLeaving() &&
		g.f.pingInterval(0) > s.longestIdle(&g.f.o.Timing)
}

// untilRest returns the time to the next look at a session that may rest.
func (g *guard) untilRest(s *session) time.Duration {
	t := &g.f.o.Timing
	idle := s.sinceRenewed()
	switch limit := s.freshFor(); {
	case idle < limit:
		return limit - idle
	case idle < closeAfter*s.lease:
		return closeAfter*s.lease - idle
	default:
		return max(t.Unannounced-g.sinceAnnounced(), t.Quiet)
	}
}

// stale reports whether an idle session that rests, or may, can't be used any more.
func (g *guard) stale(s *session) bool {
	return !s.fresh() && s.window.Count() == 0 && (g.resting.Load() || g.mayRest(s))
}

// rested lets a stale session rest; true when the guard is to be greeted anew,
// because a start waits for it, because the pings have room now, or because it has
// not announced itself for long. A ping could only tell that the session lapsed.
func (g *guard) rested(s *session) bool {
	g.resting.Store(true)
	silent := g.sinceAnnounced() >= g.f.o.Timing.Unannounced
	if !g.alarmed.Swap(false) && !silent && g.mayRest(s) {
		if s.sinceRenewed() >= closeAfter*s.lease {
			g.main.Load().Rest()
		}
		return false
	}
	// A start that found the session fresh a moment ago may be about to go out on
	// it: unwatched, its loss would be found late. Either it sees here that the
	// session is given up, or this sees it open and goes on watching.
	g.session.Store(nil)
	if s.window.Count() > 0 {
		g.session.Store(s)
		return false
	}
	return true
}

// asleep reports whether a start has to wait until the guard is greeted.
func (g *guard) asleep(s *session) bool {
	if s == nil {
		return g.resting.Load()
	}
	return !s.fresh() && (g.resting.Load() || g.mayRest(s))
}

// awaken has a resting guard greeted and returns the new session; nil when none
// came. Several starts may wait for the same one.
func (g *guard) awaken(ctx context.Context, deadline time.Time) *session {
	// The handshake itself ends within CallTimeout.
	until := time.Now().Add(g.f.o.Timing.CallTimeout + g.f.o.Timing.PingTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	g.alarm()
	for !g.suspect.Load() && time.Now().Before(until) && uptime.Sleep(ctx, refreshTick) {
		if s := g.session.Load(); s != nil && s.fresh() {
			return s
		}
	}
	return nil
}

func (g *guard) noteAnnounced() { g.announced.Store(int64(monotonic())) }

func (g *guard) sinceAnnounced() time.Duration {
	return monotonic() - time.Duration(g.announced.Load())
}
