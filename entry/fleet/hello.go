package fleet

import (
	"context"
	"log/slog"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

// openSession opens a session. The first handshake with a guard waits for a handshake
// slot.
func (g *guard) openSession(ctx context.Context) bool {
	if g.handshakeStarted {
		return g.helloWithRetry(ctx)
	}
	g.handshakeStarted = true
	slot, ok := g.f.acquireHandshakeSlot(ctx)
	if !ok {
		return false
	}
	began := monotonic()
	opened := g.helloWithRetry(ctx)
	slot.release(opened, monotonic()-began)
	return opened
}

// helloWithRetry sends Hello until a session is open. It returns false if the guard is
// lost or another incarnation answered.
func (g *guard) helloWithRetry(ctx context.Context) bool {
	began := g.f.runningTime()
	retry := g.f.newBackoff()
	for ctx.Err() == nil {
		resp, sent, err := g.sendHello(ctx)
		if err == nil {
			return g.handleHello(resp, sent)
		}
		eventHelloFailed.Log(ctx, g.f.logger, append(g.attrs(), slog.Any("error", err))...)
		g.markSuspect()
		if g.superseded.Load() || g.hintUnreachable(err) || g.f.runningTime()-began > g.f.opts.Timing.RemoveAfter {
			return false
		}
		if !uptime.Sleep(ctx, retry.nextDelay()) {
			return false
		}
	}
	return false
}

func (g *guard) sendHello(ctx context.Context) (*wirev1.HelloResponse, time.Duration, error) {
	ctx, cancel := g.f.withTimeout(ctx, g.f.helloTimeout())
	defer cancel()
	req := &wirev1.HelloRequest{
		EntryId:          g.f.opts.EntryID,
		EntryIncarnation: g.f.opts.Incarnation,
		Zone:             g.f.opts.DataCentre,
	}
	sent := monotonic()
	primary := g.primary.Load()
	resp, err := primary.Hello(ctx, connect.NewRequest(req))
	if err != nil {
		g.f.meter.control(kindHello, req, nil)
		g.replacePrimary(primary)
		return nil, sent, err
	}
	g.f.meter.control(kindHello, req, resp.Msg)
	return resp.Msg, sent, nil
}

func (g *guard) handleHello(r *wirev1.HelloResponse, sent time.Duration) bool {
	if r.GetGuardId() != g.name || r.GetGuardIncarnation() != g.incarnation {
		// Another process has taken the address; it announces itself.
		return false
	}
	if !g.confirmHint(r) {
		return false
	}
	g.suspect.Store(false)
	g.session.Store(newSession(r, sent))
	g.publish(r.GetLoad())
	g.markAnnounced()
	g.handshake.finish()
	if !g.idleMode.Swap(false) {
		eventGuardJoined.Log(g.f.ctx, g.f.logger, g.attrs()...)
	}
	return true
}
