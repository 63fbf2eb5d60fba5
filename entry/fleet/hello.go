package fleet

import (
	"context"
	"log/slog"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

// meet is hello; the first with a guard waits for its turn.
func (g *guard) meet(ctx context.Context) bool {
	if g.met {
		return g.hello(ctx)
	}
	g.met = true
	turn, ok := g.f.handshakeTurn(ctx)
	if !ok {
		return false
	}
	began := monotonic()
	opened := g.hello(ctx)
	turn.end(opened, monotonic()-began)
	return opened
}

// hello opens a session; false when the guard is lost or another incarnation.
func (g *guard) hello(ctx context.Context) bool {
	began := g.f.awake()
	pauses := g.f.newBackoff()
	for ctx.Err() == nil {
		resp, sent, err := g.sayHello(ctx)
		if err == nil {
			return g.opened(resp, sent)
		}
		eventHelloFailed.Log(ctx, g.f.logger, append(g.attrs(), slog.Any("error", err))...)
		g.failing()
		if g.superseded.Load() || g.hintUnreachable(err) || g.f.awake()-began > g.f.o.Timing.Lost {
			return false
		}
		if !uptime.Sleep(ctx, pauses.pause()) {
			return false
		}
	}
	return false
}

func (g *guard) sayHello(ctx context.Context) (*wirev1.HelloResponse, time.Duration, error) {
	ctx, cancel := g.f.withTimeout(ctx, g.f.helloTimeout())
	defer cancel()
	req := &wirev1.HelloRequest{
		EntryId:          g.f.o.EntryID,
		EntryIncarnation: g.f.o.Incarnation,
		Zone:             g.f.o.Zone,
	}
	sent := monotonic()
	main := g.main.Load()
	resp, err := main.Hello(ctx, connect.NewRequest(req))
	if err != nil {
		g.f.meter.control(kindHello, req, nil)
		g.replaceMain(main)
		return nil, sent, err
	}
	g.f.meter.control(kindHello, req, resp.Msg)
	return resp.Msg, sent, nil
}

func (g *guard) opened(r *wirev1.HelloResponse, sent time.Duration) bool {
	if r.GetGuardId() != g.name || r.GetGuardIncarnation() != g.incarnation {
		// The address belongs to another process by now, which announces itself.
		return false
	}
	if !g.confirmed(r) {
		return false
	}
	g.suspect.Store(false)
	g.session.Store(newSession(r, sent))
	g.publish(r.GetLoad())
	g.noteAnnounced()
	g.handshake.settle()
	if !g.resting.Swap(false) {
		eventGuardJoined.Log(g.f.ctx, g.f.logger, g.attrs()...)
	}
	return true
}
