package fleet

import (
	"context"
	"time"

	"almondstand.dev/telemetry/uptime"
)

// Idle mode: if the ping budget does not allow pings for an idle session, its lease is
// allowed to lapse. The guard remains known: its announcements carry its load and show
// that it is alive, and the first start opens a new session before anything of the task
// is sent. A start is never sent on a lapsed session, so none ends as unknown for that
// reason.

// idleCloseLeases is the number of leases for which an unused connection is kept open.
// By then the HTTP/2 pings on it, 11 bytes a second, have cost as much as a new
// connection, about 300 bytes.
const idleCloseLeases = 2

// canIdle reports whether the session's pings can be omitted: the session is idle, and
// the pings of all sessions would exceed their budget.
func (g *guard) canIdle(s *session) bool {
	return s.lease > 0 && s.window.Count() == 0 && !g.suspect.Load() && !g.superseded.Load() && !g.isLeaving() &&
		g.f.budgetPingInterval(0) > s.maxPingInterval(&g.f.opts.Timing)
}

// untilIdleCheck returns the time until a session that may be in idle mode must be
// checked again.
func (g *guard) untilIdleCheck(s *session) time.Duration {
	t := &g.f.opts.Timing
	idle := s.sinceRenewal()
	switch limit := s.usableFor(); {
	case idle < limit:
		return limit - idle
	case idle < idleCloseLeases*s.lease:
		return idleCloseLeases*s.lease - idle
	default:
		return max(t.AnnounceTimeout-g.sinceAnnouncement(), t.PingAfter)
	}
}

// idleExpired reports whether a session that is or may be in idle mode can no longer be
// used.
func (g *guard) idleExpired(s *session) bool {
	return !s.leaseValid() && s.window.Count() == 0 && (g.idleMode.Load() || g.canIdle(s))
}

// enterIdle puts an expired idle session into idle mode. It returns true if a new
// session must be opened instead, because a start waits for it, because the ping budget
// allows the session again, or because the guard has not announced itself for long. A
// ping would only reveal that the session has lapsed.
func (g *guard) enterIdle(s *session) bool {
	g.idleMode.Store(true)
	announcementsOverdue := g.sinceAnnouncement() >= g.f.opts.Timing.AnnounceTimeout
	if !g.pingRequested.Swap(false) && !announcementsOverdue && g.canIdle(s) {
		if s.sinceRenewal() >= idleCloseLeases*s.lease {
			g.primary.Load().CloseIdle()
		}
		return false
	}
	// A start that just found the lease valid may be about to use the session. If
	// nobody monitored that session, a lost start would be detected late. Either the
	// start sees here that the session was given up, or this goroutine sees the open
	// start and continues to monitor the session.
	g.session.Store(nil)
	if s.window.Count() > 0 {
		g.session.Store(s)
		return false
	}
	return true
}

// needsNewSession reports whether a start must wait until a new session is open.
func (g *guard) needsNewSession(s *session) bool {
	if s == nil {
		return g.idleMode.Load()
	}
	return !s.leaseValid() && (g.idleMode.Load() || g.canIdle(s))
}

// exitIdle requests a new session with a guard in idle mode and returns it, or nil if
// none was opened in time. Several starts may wait for the same session.
func (g *guard) exitIdle(ctx context.Context, deadline time.Time) *session {
	// The handshake itself ends within CallTimeout.
	until := time.Now().Add(g.f.opts.Timing.CallTimeout + g.f.opts.Timing.PingTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	g.requestPing()
	for !g.suspect.Load() && time.Now().Before(until) && uptime.Sleep(ctx, sessionPollInterval) {
		if s := g.session.Load(); s != nil && s.leaseValid() {
			return s
		}
	}
	return nil
}

func (g *guard) markAnnounced() { g.lastAnnounced.Store(int64(monotonic())) }

func (g *guard) sinceAnnouncement() time.Duration {
	return monotonic() - time.Duration(g.lastAnnounced.Load())
}
