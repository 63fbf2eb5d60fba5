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

// rescuePing is the silence after which a connection that asks for lost replies
// is probed: it is used when something is wrong already.
const rescuePing = 750 * time.Millisecond

// rescueIdle is how long such a connection is kept unused.
const rescueIdle = 5 * time.Second

// pingBytes is the usual size of a ping with its answer.
const pingBytes = callOverhead + 80

// drainTick is how often a forgotten guard's open starts are looked at.
const drainTick = 50 * time.Millisecond

func (g *guard) attrs() []slog.Attr {
	return []slog.Attr{
		slog.String("endpoint", string(g.id)),
		slog.String("service", g.service),
		slog.String("zone", g.zone),
		slog.String("address", g.address),
	}
}

func (g *guard) newLink(pingAfter time.Duration) *link.Link {
	return link.New(link.Options{
		Address:    g.address,
		Secret:     g.f.o.Secret,
		PingAfter:  pingAfter,
		MaxMessage: g.f.o.MaxMessage,
	})
}

// replaceMain fails every call on a link that did not answer and puts a new one
// in place. Calls that were sent are resolved over the rescue link.
func (g *guard) replaceMain(old *link.Link) {
	if g.main.CompareAndSwap(old, g.newLink(0)) {
		old.Close()
		g.f.meter.replaced.Inc(1)
	}
}

// rescueLink returns the link for questions about lost replies. It never shares
// a connection with the main link: that one may be silent for good.
func (g *guard) rescueLink() *link.Link {
	g.rescueMu.Lock()
	defer g.rescueMu.Unlock()
	if g.rescue == nil {
		g.rescue = link.New(link.Options{
			Address:     g.address,
			Secret:      g.f.o.Secret,
			PingAfter:   rescuePing,
			PingTimeout: rescuePing,
			Idle:        rescueIdle,
			MaxMessage:  g.f.o.MaxMessage,
		})
		if g.rescueClosed {
			g.rescue.Close()
		}
	}
	return g.rescue
}

// closeRescue ends the rescue link for good: later calls on it fail.
func (g *guard) closeRescue() {
	g.rescueMu.Lock()
	defer g.rescueMu.Unlock()
	g.rescueClosed = true
	if g.rescue != nil {
		g.rescue.Close()
	}
}

// dropRescue closes a rescue link that failed, so that the next question goes
// over a new connection.
func (g *guard) dropRescue(l *link.Link) {
	g.rescueMu.Lock()
	if g.rescue == l {
		g.rescue = nil
	}
	g.rescueMu.Unlock()
	l.Close()
}

// keep holds the session until the guard is lost or ctx ends.
func (g *guard) keep(ctx context.Context) {
	for g.meet(ctx) && g.watch(ctx) {
		g.session.Store(nil)
	}
	g.session.Store(nil)
	g.f.forget(g)
	g.drain(ctx)
}

// drain waits for the open starts of a forgotten guard, which still ask it over
// the rescue link, and then closes that.
func (g *guard) drain(ctx context.Context) {
	tick := time.NewTicker(drainTick)
	defer tick.Stop()
	for g.inflight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	g.main.Load().Close()
	g.closeRescue()
}

// watch pings the session when it is due; true when the session was lost and
// the guard is to be greeted again, false when the guard is lost.
func (g *guard) watch(ctx context.Context) bool {
	s := g.session.Load()
	pauses := g.f.newBackoff()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(g.untilPing(s, &pauses))
		select {
		case <-ctx.Done():
			return false
		case <-s.lost:
			return g.sessionLost()
		case <-g.wake:
			g.dozing.Store(false)
		case <-timer.C:
			g.dozing.Store(false)
		}
		if g.stale(s) {
			if g.rested(s) {
				return true
			}
			continue
		}
		if !g.due(s) {
			continue
		}
		switch g.ping(ctx, s) {
		case pingLost:
			return false
		case pingUnknown:
			return g.sessionLost()
		case pingAnswered:
			pauses = g.f.newBackoff()
		case pingSilent:
		}
	}
}

func (g *guard) sessionLost() bool {
	g.session.Store(nil)
	g.withdraw()
	eventSessionLost.Log(g.f.ctx, g.f.logger, g.attrs()...)
	return true
}

// untilPing returns the time to the next look at the session.
func (g *guard) untilPing(s *session, pauses *backoff) time.Duration {
	t := &g.f.o.Timing
	if g.suspect.Load() {
		return pauses.pause()
	}
	if s.window.Count() > 0 {
		return max(t.Quiet-s.sinceHeard(), t.Quiet/8)
	}
	if g.owesWatermark(s) {
		return t.Quiet / 8
	}
	// An idle session is looked at seldom; the first start wakes the keeper.
	g.dozing.Store(true)
	if s.window.Count() > 0 {
		g.dozing.Store(false)
		return t.Quiet
	}
	if g.mayRest(s) {
		return g.untilRest(s)
	}
	idle := g.idleInterval(s)
	idle -= time.Duration(g.f.o.Rand() * float64(idle/4))
	return max(idle-s.sinceRenewed(), t.Quiet/8)
}

// idleInterval stretches with the number of guards, so that the pings of all idle
// sessions stay within their budget, but renews the lease in good time.
func (g *guard) idleInterval(s *session) time.Duration {
	t := &g.f.o.Timing
	longest := s.longestIdle(t)
	return min(g.f.pingInterval(min(t.IdlePing, longest)), longest)
}

// longestIdle is the longest pause between two pings that keep the session.
func (s *session) longestIdle(t *Timing) time.Duration {
	if s.lease == 0 {
		return t.IdlePing
	}
	return s.lease / 3
}

// pingInterval is the pause with which the pings of all sessions cost no more
// than their budget.
func (f *Fleet) pingInterval(shortest time.Duration) time.Duration {
	return attach.Interval(int(f.guards.Load()), pingBytes, attach.Pace{
		Shortest:       shortest,
		Longest:        time.Hour,
		BytesPerSecond: f.o.Timing.PingBytesPerSecond,
	})
}

// due reports whether the session is to be pinged now.
func (g *guard) due(s *session) bool {
	if g.alarmed.Swap(false) || g.suspect.Load() {
		return true
	}
	if s.window.Count() == 0 && g.owesWatermark(s) {
		return true
	}
	t := &g.f.o.Timing
	if s.window.Count() > 0 && s.sinceHeard() >= t.Quiet {
		return true
	}
	return !g.mayRest(s) && s.sinceRenewed() >= g.idleInterval(s)*3/4
}

// owesWatermark reports whether a leaving guard waits for the word that its last
// results have arrived: it stays up for them.
func (g *guard) owesWatermark(s *session) bool {
	return g.isLeaving() && s.window.Low() > s.told()
}

// pingResult is how a ping ended.
type pingResult int

const (
	pingAnswered pingResult = iota
	// pingSilent: no answer yet; try again.
	pingSilent
	// pingUnknown: the guard does not know the session.
	pingUnknown
	// pingLost: the guard is gone.
	pingLost
)

// ping asks over the main link, and once more over a new one: a connection may
// go silent for good while new ones work.
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
	g.failing()
	if g.superseded.Load() || g.f.awake()-g.silentSince > g.f.o.Timing.Lost {
		return pingLost
	}
	return pingSilent
}

// errUnknownSession means that the guard answered and does not know the session.
var errUnknownSession = errors.New("guard does not know the session")

func (g *guard) pingOnce(ctx context.Context, s *session) error {
	ctx, cancel := g.f.withTimeout(ctx, g.f.o.Timing.PingTimeout)
	defer cancel()
	req := &wirev1.PingRequest{
		Session:          s.id,
		GuardIncarnation: g.incarnation,
		LowWatermark:     s.window.Low(),
	}
	main := g.main.Load()
	sent := monotonic()
	resp, err := main.Ping(ctx, connect.NewRequest(req))
	if err != nil {
		g.f.meter.control(kindPing, req, nil)
		g.replaceMain(main)
		return err
	}
	g.f.meter.control(kindPing, req, resp.Msg)
	if !resp.Msg.GetKnown() || resp.Msg.GetGuardIncarnation() != g.incarnation {
		return errUnknownSession
	}
	s.answered(sent)
	s.tell(req.GetLowWatermark())
	g.answering()
	g.loadFromSession(resp.Msg.GetLoad())
	return nil
}

// failing takes a guard that does not answer out of use. It is kept for a
// bounded silence and comes back with its first answer.
func (g *guard) failing() {
	if g.suspect.CompareAndSwap(false, true) {
		g.silentSince = g.f.awake()
	}
	g.withdraw()
}

// answering puts a guard back that was out of use.
func (g *guard) answering() {
	if g.suspect.CompareAndSwap(true, false) {
		g.publish(nil)
	}
}

// refusesConnections reports whether nothing listens at the address: the process
// is gone, and its ledger with it.
func refusesConnections(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
