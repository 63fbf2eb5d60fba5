package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/fleet/attach"
	"almondstand.dev/wire/wirev1"
)

func (g *fakeGuard) hint() *wirev1.GuardHint {
	return &wirev1.GuardHint{
		GuardId: g.name, GuardIncarnation: g.incarnation, Address: g.address, Zone: "zagreb", Service: "teardown",
	}
}

// connectHints calls ConnectHints with the hints and requires it to finish within a minute.
func connectHints(t *testing.T, f *Fleet, hints ...*wirev1.GuardHint) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	f.ConnectHints(ctx, hints)
	assert.NilError(t, ctx.Err())
}

// A peer gives a joining entry hints about its guards, more than may be contacted
// concurrently. None of them has announced itself here. Once ConnectHints returns, each of
// them accepts starts on one session, and an announcement that follows opens no second
// one.
func TestNamedGuardsTakeStartsAtOnce(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	var hints []*wirev1.GuardHint
	var guards []*fakeGuard
	for i := range maxHandshakes + 10 {
		g := newFakeGuard(t, fmt.Sprint("g", i), 7)
		guards = append(guards, g)
		hints = append(hints, g.hint())
	}
	connectHints(t, f, hints...)
	for _, g := range guards {
		_, known := sink.get(g.id())
		assert.Assert(t, known, g.name)
		_, err := f.Announce(t.Context(), g.announcement())
		assert.NilError(t, err)
		o := f.Start(t.Context(), callOn(g.id(), "part 4711", budget))
		assert.Assert(t, o.OK(), "%+v", o)
		g.locked(func() { assert.Equal(t, g.sessions, 1) })
	}
}

// A peer's hint may be outdated: the guard is leaving, another process has its address,
// it has moved to another service, nothing listens there, or the hint is malformed. The
// guard's own answer decides. Each of these hints is dropped, and no endpoint remains.
func TestWrongHintsAreDropped(t *testing.T) {
	for name, change := range map[string]func(*fakeGuard, *wirev1.GuardHint){
		"leaves":                   func(g *fakeGuard, _ *wirev1.GuardHint) { g.load.Leaving = true },
		"newer process":            func(_ *fakeGuard, h *wirev1.GuardHint) { h.GuardIncarnation = 6 },
		"incarnation that isn't":   func(_ *fakeGuard, h *wirev1.GuardHint) { h.GuardIncarnation = 99 },
		"other guard":              func(_ *fakeGuard, h *wirev1.GuardHint) { h.GuardId = "g2" },
		"other service":            func(_ *fakeGuard, h *wirev1.GuardHint) { h.Service = "forecast" },
		"other zone":               func(_ *fakeGuard, h *wirev1.GuardHint) { h.Zone = "karlovac" },
		"nothing listens":          func(g *fakeGuard, _ *wirev1.GuardHint) { _ = g.server.Close() },
		"malformed address":        func(_ *fakeGuard, h *wirev1.GuardHint) { h.Address = "guard:0" },
		"no service":               func(_ *fakeGuard, h *wirev1.GuardHint) { h.Service = "" },
		"longer than any name may": func(_ *fakeGuard, h *wirev1.GuardHint) { h.Zone = string(make([]byte, maxHintFieldLen+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			sink := newFakeSink()
			f := newTestFleet(t, sink)
			g := newFakeGuard(t, "g1", 7)
			h := g.hint()
			change(g, h)
			connectHints(t, f, h)
			eventually(t, func() bool { return len(f.Endpoints()) == 0 }, "hint is dropped")
			assert.Equal(t, len(sink.endpoints), 0)
		})
	}
}

// A peer's hint gives a guard a higher incarnation than it has, and an address that
// never answers. Then the guard announces itself. Its announcement overrides the hint:
// it is not rejected as an older process, and accepts starts.
func TestAnnouncementOverridesHint(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink, func(o *Options) { o.Timing.CallTimeout = 5 * time.Second })
	g := newFakeGuard(t, "g1", 7)
	unresponsive := newFakeGuard(t, "hanging", 1)
	r := relayGuard(t, unresponsive)
	dropTraffic(t, r)
	wrong := g.hint()
	wrong.GuardIncarnation, wrong.Address = 99, unresponsive.address
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.ConnectHints(ctx, []*wirev1.GuardHint{wrong})
	}()
	eventually(t, func() bool { return len(f.Endpoints()) == 1 }, "hinted guard is added")
	join(t, f, sink, g)
	stop()
	<-done
	o := f.Start(t.Context(), callOn(g.id(), "part 4711", budget))
	assert.Assert(t, o.OK(), "%+v", o)
}

// A guard is known here, and a peer's hint names an older or newer incarnation of it.
// The hint does not replace the guard, which continues to accept starts.
func TestHintDoesNotReplaceKnownGuard(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	g := newFakeGuard(t, "g1", 7)
	join(t, f, sink, g)
	for _, incarnation := range []uint64{6, 7, 8} {
		h := g.hint()
		h.GuardIncarnation = incarnation
		connectHints(t, f, h)
	}
	e, known := sink.get(g.id())
	assert.Assert(t, known && !e.Draining)
	assert.Equal(t, len(f.Endpoints()), 1)
	g.locked(func() { assert.Equal(t, g.sessions, 1) })
}

// Hints are given only for guards with which this entry holds a session: not for one
// that is leaving, nor for one that does not respond.
func TestGuardsForReturnsGuardsInUse(t *testing.T) {
	sink := newFakeSink()
	f := newTestFleet(t, sink)
	used, leaving, unresponsive := newFakeGuard(t, "used", 7), newFakeGuard(t, "leaving", 7), newFakeGuard(t, "hanging", 7)
	r := relayGuard(t, unresponsive)
	for _, g := range []*fakeGuard{used, leaving, unresponsive} {
		join(t, f, sink, g)
	}
	notice := leaving.announcement()
	notice.Leaving = true
	_, err := f.Announce(t.Context(), notice)
	assert.NilError(t, err)
	dropTraffic(t, r)
	eventually(t, func() bool { _, known := sink.get(unresponsive.id()); return !known }, "unresponsive guard is withdrawn")
	hints, allAttached := f.GuardHintsFor(&wirev1.EntryInfo{Id: "e2"})
	assert.Equal(t, len(hints), 1)
	assert.Equal(t, hints[0].String(), used.hint().String())
	assert.Assert(t, allAttached)
}

// With more entries than a guard attaches to, a peer returns only hints about the
// guards that should attach to the joining entry (counting that entry), and says that
// other entries know more guards. A joining entry ignores hints about guards that
// attach to other entries.
func TestHintsFollowAttachment(t *testing.T) {
	sink := newFakeSink()
	caller := &wirev1.EntryInfo{Id: "e3"}
	entries := []*wirev1.EntryInfo{{Id: "e1"}, {Id: "e2"}}
	policy := attach.Policy{AttachAllLimit: 1, AttachCount: 1}
	f := newTestFleet(t, sink, func(o *Options) { o.AttachPolicy = policy })
	want := map[string]bool{}
	var all []*wirev1.GuardHint
	for i := range 12 {
		g := newFakeGuard(t, fmt.Sprint("g", i), 7)
		join(t, f, sink, g)
		all = append(all, g.hint())
		if attach.Choose(g.name, "zagreb", append(entries[:2:2], caller), policy)[0].GetId() == "e3" {
			want[g.name] = true
		}
	}
	assert.Assert(t, len(want) > 0 && len(want) < len(all), "%d", len(want))
	f.opts.LiveEntries = func() []*wirev1.EntryInfo { return entries }
	hints, allAttached := f.GuardHintsFor(caller)
	assert.Assert(t, !allAttached)
	assert.Equal(t, len(hints), len(want))
	for _, h := range hints {
		assert.Assert(t, want[h.GetGuardId()], h.GetGuardId())
	}
	joining := newTestFleet(t, newFakeSink(), func(o *Options) {
		o.EntryID, o.AttachPolicy = "e3", policy
		o.LiveEntries = func() []*wirev1.EntryInfo { return append(entries[:2:2], caller) }
	})
	connectHints(t, joining, all...)
	assert.Equal(t, len(joining.Endpoints()), len(want))
}
