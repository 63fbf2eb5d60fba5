package fleet

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/entry/fleet/attach"
	"almondstand.dev/entry/fleet/link"
	"almondstand.dev/wire/wirev1"
)

// fallbackPingInterval is the idle time after which the fallback connection is probed.
// It is short because that connection is used only when something has failed already.
const fallbackPingInterval = 750 * time.Millisecond

// fallbackIdleTimeout is how long an unused fallback connection is kept open.
const fallbackIdleTimeout = 5 * time.Second

// pingBytes is the typical size of a ping and its reply.
const pingBytes = callOverhead + 80

// drainPollInterval is how often the open starts of a removed guard are checked.
const drainPollInterval = 50 * time.Millisecond

func (g *guard) attrs() []slog.Attr {
	return []slog.Attr{
		slog.String("endpoint", string(g.id)),
		slog.String("service", g.service),
		slog.String("zone", g.dataCentre),
		slog.String("address", g.address),
	}
}

func (g *guard) newLink(pingAfter time.Duration) *link.Link {
	return link.New(link.Options{
		Address:    g.address,
		Secret:     g.f.opts.Secret,
		PingAfter:  pingAfter,
		MaxMessage: g.f.opts.MaxMessage,
	})
}

// replacePrimary closes a link that did not respond, which fails every call on it, and
// installs a new one. Calls that were sent are resolved over the fallback link.
func (g *guard) replacePrimary(old *link.Link) {
	if g.primary.CompareAndSwap(old, g.newLink(0)) {
		old.Close()
		g.f.meter.linksReplaced.Inc(1)
	}
}

// fallbackLink returns the link that queries the fate of starts whose replies were
// lost. It never shares a connection with the primary link, which may have stopped
// responding for good.
func (g *guard) fallbackLink() *link.Link {
	g.fallbackMu.Lock()
	defer g.fallbackMu.Unlock()
	if g.fallback == nil {
		g.fallback = link.New(link.Options{
			Address:     g.address,
			Secret:      g.f.opts.Secret,
			PingAfter:   fallbackPingInterval,
			PingTimeout: fallbackPingInterval,
			IdleTimeout: fallbackIdleTimeout,
			MaxMessage:  g.f.opts.MaxMessage,
		})
		if g.fallbackClosed {
			g.fallback.Close()
		}
	}
	return g.fallback
}

// closeFallback closes the fallback link permanently; later calls on it fail.
func (g *guard) closeFallback() {
	g.fallbackMu.Lock()
	defer g.fallbackMu.Unlock()
	g.fallbackClosed = true
	if g.fallback != nil {
		g.fallback.Close()
	}
}

// discardFallback closes a fallback link that failed, so that the next query dials a
// new connection.
func (g *guard) discardFallback(l *link.Link) {
	g.fallbackMu.Lock()
	if g.fallback == l {
		g.fallback = nil
	}
	g.fallbackMu.Unlock()
	l.Close()
}

// maintainSession keeps a session open until the guard is lost or ctx ends. It runs in
// the guard's session goroutine.
func (g *guard) maintainSession(ctx context.Context) {
	for g.openSession(ctx) && g.monitor(ctx) {
		g.session.Store(nil)
	}
	g.session.Store(nil)
	g.f.removeGuard(g)
	g.awaitOpenStarts(ctx)
}

// awaitOpenStarts waits for the open starts of a removed guard, which still query it
// over the fallback link, and then closes both links.
func (g *guard) awaitOpenStarts(ctx context.Context) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for g.inflight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	g.primary.Load().Close()
	g.closeFallback()
}

// monitor pings the session when a ping is due. It returns true if the session was lost
// and a new one must be opened, false if the guard is lost.
func (g *guard) monitor(ctx context.Context) bool {
	s := g.session.Load()
	retry := g.f.newBackoff()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(g.untilNextCheck(s, &retry))
		select {
		case <-ctx.Done():
			return false
		case <-s.lost:
			return g.sessionLost()
		case <-g.wake:
			g.longWait.Store(false)
		case <-timer.C:
			g.longWait.Store(false)
		}
		if g.idleExpired(s) {
			if g.enterIdle(s) {
				return true
			}
			continue
		}
		if !g.pingDue(s) {
			continue
		}
		switch g.ping(ctx, s) {
		case pingLost:
			return false
		case pingUnknown:
			return g.sessionLost()
		case pingAnswered:
			retry = g.f.newBackoff()
		case pingNoAnswer:
		}
	}
}

func (g *guard) sessionLost() bool {
	g.session.Store(nil)
	g.withdraw()
	eventSessionLost.Log(g.f.ctx, g.f.logger, g.attrs()...)
	return true
}

// untilNextCheck returns the time until the session must be checked again.
func (g *guard) untilNextCheck(s *session, retry *backoff) time.Duration {
	t := &g.f.opts.Timing
	if g.suspect.Load() {
		return retry.nextDelay()
	}
	if s.window.Count() > 0 {
		return max(t.PingAfter-s.sinceReply(), t.PingAfter/8)
	}
	if g.hasUnackedWatermark(s) {
		return t.PingAfter / 8
	}
	// An idle session is checked rarely; the first start wakes the session goroutine.
	g.longWait.Store(true)
	if s.window.Count() > 0 {
		g.longWait.Store(false)
		return t.PingAfter
	}
	if g.canIdle(s) {
		return g.untilIdleCheck(s)
	}
	idle := g.idlePingInterval(s)
	idle -= time.Duration(g.f.opts.Rand() * float64(idle/4))
	return max(idle-s.sinceRenewal(), t.PingAfter/8)
}

// idlePingInterval grows with the number of guards, so that the pings of all idle
// sessions stay within their budget, but is short enough to renew the lease in time.
func (g *guard) idlePingInterval(s *session) time.Duration {
	t := &g.f.opts.Timing
	longest := s.maxPingInterval(t)
	return min(g.f.budgetPingInterval(min(t.MinIdlePingInterval, longest)), longest)
}

// maxPingInterval is the longest time between two pings that keeps the session alive.
func (s *session) maxPingInterval(t *Timing) time.Duration {
	if s.lease == 0 {
		return t.MinIdlePingInterval
	}
	return s.lease / 3
}

// budgetPingInterval returns the ping interval at which the pings of all sessions stay
// within their bandwidth budget.
func (f *Fleet) budgetPingInterval(shortest time.Duration) time.Duration {
	return attach.Interval(int(f.guards.Load()), pingBytes, attach.IntervalPolicy{
		Min:            shortest,
		Max:            time.Hour,
		BytesPerSecond: f.opts.Timing.PingBytesPerSecond,
	})
}

// pingDue reports whether the session must be pinged now.
func (g *guard) pingDue(s *session) bool {
	if g.pingRequested.Swap(false) || g.suspect.Load() {
		return true
	}
	if s.window.Count() == 0 && g.hasUnackedWatermark(s) {
		return true
	}
	t := &g.f.opts.Timing
	if s.window.Count() > 0 && s.sinceReply() >= t.PingAfter {
		return true
	}
	return !g.canIdle(s) && s.sinceRenewal() >= g.idlePingInterval(s)*3/4
}

// hasUnackedWatermark reports whether a leaving guard still waits for the watermark
// that acknowledges its last results. The guard does not exit before it receives that.
func (g *guard) hasUnackedWatermark(s *session) bool {
	return g.isLeaving() && s.window.Low() > s.ackedLow()
}

// pingResult is the result of a ping.
type pingResult int

const (
	pingAnswered pingResult = iota
	// pingNoAnswer: no reply yet; retry.
	pingNoAnswer
	// pingUnknown: the guard does not know the session.
	pingUnknown
	// pingLost: the guard is lost.
	pingLost
)

// ping pings the guard over the primary link and, if that fails, once more over a new
// one: a connection may stop responding for good while new connections work.
func (g *guard) ping(ctx context.Context, s *session) pingResult {
	err := g.pingOnce(ctx, s)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errUnknownSession) {
		first := err
		if err = g.pingOnce(ctx, s); err == nil {
			eventLinkReplaced.Log(ctx, g.f.logger, append(g.attrs(), slog.Any("error", first))...)
		}
	}
	switch {
	case err == nil:
		return pingAnswered
	case errors.Is(err, errUnknownSession):
		return pingUnknown
	}
	g.markSuspect()
	if g.superseded.Load() || g.f.runningTime()-g.suspectSince > g.f.opts.Timing.RemoveAfter {
		return pingLost
	}
	return pingNoAnswer
}

// errUnknownSession means that the guard replied that it does not know the session.
var errUnknownSession = errors.New("guard does not know the session")

func (g *guard) pingOnce(ctx context.Context, s *session) error {
	ctx, cancel := g.f.withTimeout(ctx, g.f.opts.Timing.PingTimeout)
	defer cancel()
	req := &wirev1.PingRequest{
		Session:          s.id,
		GuardIncarnation: g.incarnation,
		LowWatermark:     s.window.Low(),
	}
	primary := g.primary.Load()
	sent := monotonic()
	resp, err := primary.Ping(ctx, connect.NewRequest(req))
	if err != nil {
		g.f.meter.control(kindPing, req, nil)
		g.replacePrimary(primary)
		return err
	}
	g.f.meter.control(kindPing, req, resp.Msg)
	if !resp.Msg.GetKnown() || resp.Msg.GetGuardIncarnation() != g.incarnation {
		return errUnknownSession
	}
	s.recordReply(sent)
	s.setAckedWatermark(req.GetLowWatermark())
	g.clearSuspect()
	g.applySessionLoad(resp.Msg.GetLoad())
	return nil
}

// markSuspect withdraws a guard that does not respond. The guard stays known for a
// limited time and is published again with its first reply.
func (g *guard) markSuspect() {
	if g.suspect.CompareAndSwap(false, true) {
		g.suspectSince = g.f.runningTime()
	}
	g.withdraw()
}

// clearSuspect publishes a suspect guard again.
func (g *guard) clearSuspect() {
	if g.suspect.CompareAndSwap(true, false) {
		g.publish(nil)
	}
}

// isConnRefused reports whether nothing listens at the address: the process is gone,
// and its ledger of starts with it.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
