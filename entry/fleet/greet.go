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
	// MaxGuardHints is the maximum number of guard hints accepted from one peer.
	MaxGuardHints = 10_000
	// maxHintFieldLen is the maximum length of each text field of a hint in bytes.
	maxHintFieldLen = 256
	// maxHandshakes is the upper bound of the concurrent first handshakes, each of
	// which opens a connection.
	maxHandshakes = 64
	// initialHandshakes is the limit on concurrent first handshakes at startup, and
	// minHandshakes the least to which slow replies reduce it.
	initialHandshakes, minHandshakes = 4, 2
	// handshakeSlotTimeout is how long an unanswered handshake occupies its slot, so
	// that unresponsive guards of a failed rack do not delay the handshakes with
	// others.
	handshakeSlotTimeout = 250 * time.Millisecond
	// The Hello timeout is CallTimeout plus timeoutFactor times the typical response
	// time.
	timeoutFactor = 4
	// A response is fast within CallTimeout/fastDivisor and slow above
	// CallTimeout/slowDivisor.
	fastDivisor, slowDivisor = 8, 4
)

func newHandshakeLimit(callTimeout time.Duration) *limit.Limit {
	return limit.New(limit.Options{
		Initial: initialHandshakes, Min: minHandshakes, Max: maxHandshakes,
		FastLatency: callTimeout / fastDivisor, SlowLatency: callTimeout / slowDivisor,
	})
}

// helloTimeout exceeds CallTimeout while all responses are slow: the entry itself is
// then overloaded, and a repeated handshake would open a second session.
func (f *Fleet) helloTimeout() time.Duration {
	t := &f.opts.Timing
	return min(t.CallTimeout+timeoutFactor*f.handshakes.Latency(), max(t.RemoveAfter, t.CallTimeout))
}

// handshakeSlot is one unit of the limit on concurrent first handshakes.
type handshakeSlot struct {
	limit  *limit.Limit
	expiry *time.Timer
}

// acquireHandshakeSlot waits for a slot. It returns false if ctx ended first.
func (f *Fleet) acquireHandshakeSlot(ctx context.Context) (handshakeSlot, bool) {
	if !f.handshakes.Acquire(ctx) {
		return handshakeSlot{}, false
	}
	return handshakeSlot{f.handshakes, time.AfterFunc(handshakeSlotTimeout, f.handshakes.Release)}, true
}

// release returns the slot unless handshakeSlotTimeout has returned it already.
func (t handshakeSlot) release(answered bool, took time.Duration) {
	held := t.expiry.Stop()
	switch {
	case held && answered:
		t.limit.ReleaseAnswered(took)
	case held:
		t.limit.Release()
	case answered:
		t.limit.RecordLateResponse(took)
	}
}

// handshake tracks the first Hello to a guard that a peer's hint introduced.
type handshake struct {
	// confirmed is true once the guard's Hello response matched the hint or the guard
	// announced itself.
	confirmed atomic.Bool
	once      sync.Once
	// done is closed when the guard accepts work or was dropped.
	done chan struct{}
}

// finish marks the handshake as done. It is a no-op on nil, so it can be called for any
// guard.
func (h *handshake) finish() {
	if h != nil {
		h.once.Do(func() { close(h.done) })
	}
}

// GuardHintsFor returns hints about the guards that this entry uses and that should attach
// to the given entry, at most MaxGuardHints. allAttached is true if every guard attaches to
// every entry, so that any other entry would return the same hints.
func (f *Fleet) GuardHintsFor(e *wirev1.EntryInfo) (hints []*wirev1.GuardHint, allAttached bool) {
	entries := withEntry(f.opts.LiveEntries(), e)
	isCaller := func(one *wirev1.EntryInfo) bool { return one.GetId() == e.GetId() }
	for _, one := range *f.endpoints.Load() {
		g, isGuard := one.(*guard)
		if !isGuard || !g.hintable() {
			continue
		}
		if slices.ContainsFunc(attach.Choose(g.name, g.dataCentre, entries, f.opts.AttachPolicy), isCaller) {
			hints = append(hints, g.hint())
		}
	}
	allAttached = len(entries) <= f.opts.AttachPolicy.AttachAllLimit && len(hints) <= MaxGuardHints
	return hints[:min(len(hints), MaxGuardHints)], allAttached
}

// withEntry returns the entries with e replacing any older process that has its ID.
func withEntry(entries []*wirev1.EntryInfo, e *wirev1.EntryInfo) []*wirev1.EntryInfo {
	others := slices.DeleteFunc(slices.Clone(entries), func(one *wirev1.EntryInfo) bool { return one.GetId() == e.GetId() })
	return append(others, e)
}

// hintable excludes guards that are leaving or not responding, and guards known only
// from a peer's hint: otherwise hints would circulate among entries that never
// contacted the guard.
func (g *guard) hintable() bool {
	return g.recentlyHeard() && !g.unconfirmedHint() && !g.suspect.Load() && !g.superseded.Load() && !g.isLeaving()
}

// recentlyHeard reports whether the guard is known to be alive: from its session or, in
// idle mode (which saves pings), from its announcements.
func (g *guard) recentlyHeard() bool {
	if g.idleMode.Load() {
		return g.sinceAnnouncement() < g.f.opts.Timing.AnnounceTimeout
	}
	s := g.session.Load()
	return s != nil && s.leaseValid()
}

func (g *guard) hint() *wirev1.GuardHint {
	return &wirev1.GuardHint{
		GuardId:          g.name,
		GuardIncarnation: g.incarnation,
		Address:          g.address,
		Zone:             g.dataCentre,
		Service:          g.service,
	}
}

// ConnectHints opens sessions with the guards that a peer's hints describe. It returns when
// each guard has answered or was dropped, or when ctx ends. The order is random and the
// concurrency limited, because entries that join at the same time would otherwise call
// the guards in the same order.
func (f *Fleet) ConnectHints(ctx context.Context, hints []*wirev1.GuardHint) {
	hints = slices.Clone(hints[:min(len(hints), MaxGuardHints)])
	for i := range hints {
		j := i + int(f.opts.Rand()*float64(len(hints)-i))
		hints[i], hints[j] = hints[j], hints[i]
	}
	var added []*guard
	for _, h := range hints {
		if g := f.addHinted(h); g != nil {
			added = append(added, g)
		}
	}
	for _, g := range added {
		select {
		case <-g.handshake.done:
		case <-ctx.Done():
			return
		}
	}
}

// addHinted adds a guard from a peer's hint. It returns nil if the guard is known in
// any incarnation, the hint is malformed, or the guard attaches to other entries. A
// hint never replaces a known guard, because a stale hint would take the newer process
// out of use.
func (f *Fleet) addHinted(h *wirev1.GuardHint) *guard {
	r := &wirev1.AnnounceRequest{
		GuardId:          h.GetGuardId(),
		GuardIncarnation: h.GetGuardIncarnation(),
		Address:          h.GetAddress(),
		Zone:             h.GetZone(),
		Service:          h.GetService(),
	}
	longest := max(len(r.GetGuardId()), len(r.GetZone()), len(r.GetService()))
	if checkAnnouncement(r) != nil || longest > maxHintFieldLen {
		return nil
	}
	entries := f.opts.LiveEntries()
	if f.isAttachedElsewhere(entries, attach.Choose(r.GetGuardId(), r.GetZone(), entries, f.opts.AttachPolicy)) {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.newest[r.GetGuardId()] != nil {
		return nil
	}
	return f.addGuard(r, &handshake{done: make(chan struct{})})
}

// overrideHint lets an announcement override an unconfirmed hint from a peer, whose
// incarnation may be invented and would then lock out the real guard. It returns the
// guard that still counts as known. The caller holds f.mu.
func (f *Fleet) overrideHint(newest *guard, r *wirev1.AnnounceRequest) *guard {
	if newest == nil || !newest.unconfirmedHint() {
		return newest
	}
	same := newest.incarnation == r.GetGuardIncarnation() && newest.address == r.GetAddress() &&
		newest.service == r.GetService() && newest.dataCentre == r.GetZone()
	if same {
		newest.handshake.confirmed.Store(true)
		return newest
	}
	newest.supersede()
	return nil
}

// unconfirmedHint reports whether the guard is known only from a peer's hint.
func (g *guard) unconfirmedHint() bool { return g.handshake != nil && !g.handshake.confirmed.Load() }

// confirmHint checks the guard's own Hello response, which alone is authoritative,
// against the hint. It returns false if the guard differs from the hint or is leaving.
func (g *guard) confirmHint(r *wirev1.HelloResponse) bool {
	if g.handshake == nil {
		return true
	}
	g.f.mu.Lock()
	defer g.f.mu.Unlock()
	if !g.unconfirmedHint() {
		return true
	}
	if g.superseded.Load() || r.GetLoad().GetLeaving() || r.GetService() != g.service || r.GetZone() != g.dataCentre {
		return false
	}
	g.handshake.confirmed.Store(true)
	return true
}

// hintUnreachable reports whether nothing listens at the address in a peer's hint. Such
// a guard is not retried: if it is alive, it announces itself.
func (g *guard) hintUnreachable(err error) bool { return g.unconfirmedHint() && isConnRefused(err) }

// logHintDropped logs that a hinted guard was dropped because it never answered as
// described.
func (g *guard) logHintDropped() {
	if g.f.ctx.Err() == nil {
		eventHintDropped.Log(g.f.ctx, g.f.logger, g.attrs()...)
	}
}
