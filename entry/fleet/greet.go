package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/entry/fleet/attach"
	"almondstand.dev/entry/fleet/limit"
	"almondstand.dev/wire/wirev1"
)

const (
	// MaxNamed bounds the guards that one peer may name to this entry.
	MaxNamed = 10_000
	// maxNamedText bounds each text of a name, bytes.
	maxNamedText = 256
	// greetAtOnce bounds the first handshakes under way: each opens a connection.
	greetAtOnce = 64
	// greetFirst and greetLeast are the bound at the beginning, and the least to which
	// slow answers take it.
	greetFirst, greetLeast = 4, 2
	// greetHold is how long one that gets no answer counts as under way, so that
	// the silent guards of a lost rack do not hold up the others.
	greetHold = 250 * time.Millisecond
	// timeoutFactor times the usual time of an answer is added to CallTimeout.
	timeoutFactor = 4
	// Parts of CallTimeout within which an answer is fast, and above which it is slow.
	fastPart, slowPart = 8, 4
)

func newHandshakeLimit(callTimeout time.Duration) *limit.Limit {
	return limit.New(limit.Options{
		First: greetFirst, Least: greetLeast, Most: greetAtOnce,
		Fast: callTimeout / fastPart, Slow: callTimeout / slowPart,
	})
}

// helloTimeout is longer than CallTimeout while all answers take long: the entry is late
// then, and a handshake that is repeated opens a second session.
func (f *Fleet) helloTimeout() time.Duration {
	t := &f.o.Timing
	return min(t.CallTimeout+timeoutFactor*f.handshakes.Typical(), max(t.Lost, t.CallTimeout))
}

// handshakeTurn is the place of one first handshake among those under way.
type handshakeTurn struct {
	limit *limit.Limit
	hold  *time.Timer
}

// handshakeTurn waits for a place; false when ctx ended first.
func (f *Fleet) handshakeTurn(ctx context.Context) (handshakeTurn, bool) {
	if !f.handshakes.Acquire(ctx) {
		return handshakeTurn{}, false
	}
	return handshakeTurn{f.handshakes, time.AfterFunc(greetHold, f.handshakes.Release)}, true
}

// end gives the place back, unless that was done when the hold ended.
func (t handshakeTurn) end(answered bool, took time.Duration) {
	held := t.hold.Stop()
	switch {
	case held && answered:
		t.limit.Answered(took)
	case held:
		t.limit.Release()
	case answered:
		t.limit.AnsweredLate(took)
	}
}

// handshake is the first Hello to a guard that a peer named.
type handshake struct {
	// confirmed: the guard answered as it was named, or announced itself.
	confirmed atomic.Bool
	once      sync.Once
	// settled is closed when the guard takes work or was dropped.
	settled chan struct{}
}

// settle is for any guard: a nil handshake is none.
func (h *handshake) settle() {
	if h != nil {
		h.once.Do(func() { close(h.settled) })
	}
}

// GuardsFor names the guards that this entry has in use and that
// should attach to the given entry, no more than MaxNamed; everywhere means that
// every guard attaches to every entry, so that another one would name the same.
func (f *Fleet) GuardsFor(e *wirev1.EntryInfo) (named []*wirev1.GuardHint, everywhere bool) {
	entries := withEntry(f.o.Attach(), e)
	isCaller := func(one *wirev1.EntryInfo) bool { return one.GetId() == e.GetId() }
	for _, one := range *f.endpoints.Load() {
		g, isGuard := one.(*guard)
		if !isGuard || !g.worthNaming() {
			continue
		}
		if slices.ContainsFunc(attach.Choose(g.name, g.zone, entries, f.o.AttachPolicy), isCaller) {
			named = append(named, g.hint())
		}
	}
	everywhere = len(entries) <= f.o.AttachPolicy.AllUpTo && len(named) <= MaxNamed
	return named[:min(len(named), MaxNamed)], everywhere
}

// withEntry returns the entries with e in the place of an older process of its id.
func withEntry(entries []*wirev1.EntryInfo, e *wirev1.EntryInfo) []*wirev1.EntryInfo {
	others := slices.DeleteFunc(slices.Clone(entries), func(one *wirev1.EntryInfo) bool { return one.GetId() == e.GetId() })
	return append(others, e)
}

// worthNaming leaves out guards that leave or are silent, and those that only a
// peer has named: names must not go round among entries that never met the guard.
func (g *guard) worthNaming() bool {
	return g.believed() && !g.named() && !g.suspect.Load() && !g.superseded.Load() && !g.isLeaving()
}

// believed reports whether the guard was heard lately: by its session, or, while
// that rests to save pings, by its announcements.
func (g *guard) believed() bool {
	if g.resting.Load() {
		return g.sinceAnnounced() < g.f.o.Timing.Unannounced
	}
	s := g.session.Load()
	return s != nil && s.fresh()
}

func (g *guard) hint() *wirev1.GuardHint {
	return &wirev1.GuardHint{
		GuardId:          g.name,
		GuardIncarnation: g.incarnation,
		Address:          g.address,
		Zone:             g.zone,
		Service:          g.service,
	}
}

// Greet opens sessions with guards that a peer named and returns when each has
// answered or was dropped, or ctx ends. The order is random, and few are called
// at a time: entries that join together would else call the guards in step.
func (f *Fleet) Greet(ctx context.Context, named []*wirev1.GuardHint) {
	named = slices.Clone(named[:min(len(named), MaxNamed)])
	for i := range named {
		j := i + int(f.o.Rand()*float64(len(named)-i))
		named[i], named[j] = named[j], named[i]
	}
	var taken []*guard
	for _, h := range named {
		if g := f.takeNamed(h); g != nil {
			taken = append(taken, g)
		}
	}
	for _, g := range taken {
		select {
		case <-g.handshake.settled:
		case <-ctx.Done():
			return
		}
	}
}

// takeNamed starts keeping a guard that a peer named; nil when it is known in any
// incarnation, malformed or not for this entry. A name never displaces a guard:
// a stale one would take the newer process out of use.
func (f *Fleet) takeNamed(h *wirev1.GuardHint) *guard {
	r := &wirev1.AnnounceRequest{
		GuardId:          h.GetGuardId(),
		GuardIncarnation: h.GetGuardIncarnation(),
		Address:          h.GetAddress(),
		Zone:             h.GetZone(),
		Service:          h.GetService(),
	}
	longest := max(len(r.GetGuardId()), len(r.GetZone()), len(r.GetService()))
	if checkAnnouncement(r) != nil || longest > maxNamedText {
		return nil
	}
	entries := f.o.Attach()
	if f.leftToOthers(entries, attach.Choose(r.GetGuardId(), r.GetZone(), entries, f.o.AttachPolicy)) {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.newest[r.GetGuardId()] != nil {
		return nil
	}
	return f.add(r, &handshake{settled: make(chan struct{})})
}

// overNamed makes way for an announcement: it overrides a hint from a peer, whose
// incarnation may be made up and would shut the guard out. It returns the guard
// that counts as known; f.mu is held.
func (f *Fleet) overNamed(newest *guard, r *wirev1.AnnounceRequest) *guard {
	if newest == nil || !newest.named() {
		return newest
	}
	same := newest.incarnation == r.GetGuardIncarnation() && newest.address == r.GetAddress() &&
		newest.service == r.GetService() && newest.zone == r.GetZone()
	if same {
		newest.handshake.confirmed.Store(true)
		return newest
	}
	newest.supersede()
	return nil
}

// named reports whether only a hint from a peer stands for the guard.
func (g *guard) named() bool { return g.handshake != nil && !g.handshake.confirmed.Load() }

// confirmed takes the guard's own answer to Hello, which alone decides; false when
// the guard is another than was named, or leaves.
func (g *guard) confirmed(r *wirev1.HelloResponse) bool {
	if g.handshake == nil {
		return true
	}
	g.f.mu.Lock()
	defer g.f.mu.Unlock()
	if !g.named() {
		return true
	}
	if g.superseded.Load() || r.GetLoad().GetLeaving() || r.GetService() != g.service || r.GetZone() != g.zone {
		return false
	}
	g.handshake.confirmed.Store(true)
	return true
}

// hintUnreachable reports whether nothing listens where a peer said the guard was. It
// is not waited for: a guard that lives announces itself.
func (g *guard) hintUnreachable(err error) bool { return g.named() && refusesConnections(err) }

// droppedUnconfirmed ends a guard that never answered as it was named.
func (g *guard) droppedUnconfirmed() {
	if g.f.ctx.Err() == nil {
		eventNamedDropped.Log(g.f.ctx, g.f.logger, g.attrs()...)
	}
}
