package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/task"
	"almondstand.dev/wire/wirev1"
)

// noPingBudget leaves no bandwidth for pings of idle sessions.
func noPingBudget(o *Options) { o.Timing.PingBytesPerSecond = 1 }

// joinIdle adds a guard and lets its session lapse at both ends.
func joinIdle(t *testing.T, f *Fleet, sink *fakeSink, g *fakeGuard) *guard {
	t.Helper()
	g.lease = 200 * time.Millisecond
	join(t, f, sink, g)
	kept := (*f.endpoints.Load())[g.id()].(*guard)
	eventually(t, func() bool { return kept.idleMode.Load() }, "session is in idle mode")
	g.locked(func() { g.session = "dropped by the lease" })
	return kept
}

// The pings of hundreds of idle guards exceed the budget, even at an interval of a
// third of the lease. Their sessions lapse without a ping, the endpoint stays
// published, and the first start is held until a new session is open: sent on the
// lapsed session it would end as unknown although it never ran.
func TestIdleSessionBeyondPingBudgetEntersIdleMode(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, noPingBudget)
	g := newFakeGuard(t, "g1", 7)
	joinIdle(t, f, sink, g)
	_, shown := sink.get(g.id())
	assert.Assert(t, shown)

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))

	assert.Assert(t, o.OK(), "%+v", o)
	g.locked(func() {
		assert.Equal(t, g.pings, 0)
		assert.Equal(t, g.sessions, 2)
		assert.Equal(t, g.arrived[1], 1)
	})
}

// A guard dies undetected while its session is in idle mode. The start that detects
// this has sent nothing of its task yet, so the task may run elsewhere. A second start
// is not delayed, because the endpoint is withdrawn by then.
func TestGuardLostInIdleMode(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, noPingBudget)
	g := newFakeGuard(t, "g1", 7)
	r := relayGuard(t, g)
	joinIdle(t, f, sink, g)
	dropTraffic(t, r)

	o := f.Start(context.Background(), callOn(g.id(), "part 4711", budget))

	assert.Equal(t, o.Ran, task.RanNo)
	assert.Equal(t, o.Code, task.CodeRefused)
	eventually(t, func() bool { _, shown := sink.get(g.id()); return !shown }, "endpoint is withdrawn")
	eventually(t, func() bool { return len(f.Endpoints()) == 0 }, "guard is removed")
	_, total := g.startCounts()
	assert.Equal(t, total, 0)
}

// A guard dies while its session is in idle mode, and no start detects it. Its
// announcements stop; after the configured time without one it is sent a Hello, and
// removed.
func TestUnresponsiveGuardIsRemovedWithoutAStart(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, noPingBudget, func(o *Options) { o.Timing.AnnounceTimeout = 500 * time.Millisecond })
	g := newFakeGuard(t, "g1", 7)
	joinIdle(t, f, sink, g)
	assert.NilError(t, g.server.Close())
	eventually(t, func() bool { return len(f.Endpoints()) == 0 }, "guard is removed")
}

// A start finds the lease valid, but before it is counted as open the session goroutine
// gives the session up for a new one. If the start were sent on the old session, which
// is no longer monitored, a lost reply would be detected late and could end as unknown.
func TestStartDoesNotUseReplacedSession(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, noPingBudget)
	g := newFakeGuard(t, "g1", 7)
	kept := joinIdle(t, f, sink, g)
	s := kept.session.Load()
	seq, _ := s.window.Open()
	assert.Assert(t, !kept.enterIdle(s), "a start is open")
	s.window.Close(seq)
	kept.pingRequested.Store(true)
	assert.Assert(t, kept.enterIdle(s))
	assert.Assert(t, kept.session.Load() != s)
}

// A guard whose session is in idle mode announces that it is leaving, and exits. Its
// endpoint must not remain listed as leaving until three minutes without announcements
// have passed.
func TestLeavingGuardInIdleModeIsRemoved(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, noPingBudget)
	g := newFakeGuard(t, "g1", 7)
	s := joinIdle(t, f, sink, g).session.Load()
	eventually(t, func() bool { return s.sinceRenewal() > 2*idleCloseLeases*s.lease }, "connection is closed too")
	notice := g.announcement()
	notice.Leaving = true
	_, err := f.Announce(context.Background(), notice)
	assert.NilError(t, err)
	assert.NilError(t, g.server.Close())
	eventually(t, func() bool { return len(f.Endpoints()) == 0 }, "guard is removed")
}

// Hundreds of guards are idle, so their sessions are in idle mode. A joining entry asks
// for the guards and must get hints about these too: otherwise it would know almost no
// guard of a large idle fleet and refuse its first jobs. A guard without recent
// announcements may be gone and is omitted.
func TestGuardInIdleModeIsHintedToJoiningEntry(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, noPingBudget, func(o *Options) { o.Timing.AnnounceTimeout = time.Hour })
	g := newFakeGuard(t, "g1", 7)
	kept := joinIdle(t, f, sink, g)
	hints, _ := f.GuardHintsFor(&wirev1.EntryInfo{Id: "e2"})
	assert.Equal(t, len(hints), 1)
	kept.lastAnnounced.Store(int64(monotonic() - 2*time.Hour))
	hints, _ = f.GuardHintsFor(&wirev1.EntryInfo{Id: "e2"})
	assert.Equal(t, len(hints), 0)
}
