package fleet

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/fleet/link"
	"almondstand.dev/wire/wirev1"
)

// guard is one incarnation of a guard as this entry sees it.
type guard struct {
	f           *Fleet
	name        string
	incarnation uint64
	id          scheduler.EndpointID
	service     string
	zone        string
	address     string

	// main carries starts and pings; it is replaced when it goes silent.
	main atomic.Pointer[link.Link]
	// session is nil while there is none.
	session atomic.Pointer[session]
	// resting is true while the session is let lapse, and until the next one.
	resting atomic.Bool
	// announced is when the last announcement came (monotonic).
	announced atomic.Int64
	// superseded is true once a newer incarnation has announced itself.
	superseded atomic.Bool
	// suspect is true from a failed ping to the next answer.
	suspect atomic.Bool
	// silentSince is when it became suspect (Fleet.awake); the keeper's own.
	silentSince time.Duration
	// alarmed asks the keeper for a ping at once.
	alarmed atomic.Bool
	// inflight counts the open starts of every session.
	inflight atomic.Int64

	// handshake is nil unless a peer named the guard before it announced itself.
	handshake *handshake
	// met is true once a handshake has begun; the keeper's own.
	met bool

	// wake interrupts the keeper's pause; dozing tells whether that is long.
	wake   chan struct{}
	dozing atomic.Bool

	rescueMu     sync.Mutex
	rescue       *link.Link
	rescueClosed bool

	// What the sink was told last.
	mu        sync.Mutex
	published bool
	shown     scheduler.Endpoint
	version   uint64
	leaving   bool
}

func endpointID(name string, incarnation uint64) scheduler.EndpointID {
	return scheduler.EndpointID(fmt.Sprintf("%s#%d", name, incarnation))
}

func newGuard(f *Fleet, r *wirev1.AnnounceRequest) *guard {
	g := &guard{
		f:           f,
		name:        r.GetGuardId(),
		incarnation: r.GetGuardIncarnation(),
		id:          endpointID(r.GetGuardId(), r.GetGuardIncarnation()),
		service:     r.GetService(),
		zone:        r.GetZone(),
		address:     r.GetAddress(),
		wake:        make(chan struct{}, 1),
	}
	g.main.Store(g.newLink(0))
	g.noteAnnounced()
	return g
}

// nudge makes the keeper look now.
func (g *guard) nudge() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// alarm makes the keeper ping now: a call on the main link broke.
func (g *guard) alarm() {
	g.alarmed.Store(true)
	g.nudge()
}

// open counts this entry's open starts in the current session.
func (g *guard) open() int {
	s := g.session.Load()
	if s == nil {
		return 0
	}
	return s.window.Count()
}

// loadFromSession takes the load out of a reply to this entry's session.
func (g *guard) loadFromSession(l *wirev1.Load) {
	if l != nil {
		g.applyLoad(l, int(l.GetOthersOpen()))
	}
}

// loadFromAnnouncement takes the load out of an announcement, which counts every
// open task as others': this entry's own are taken off.
func (g *guard) loadFromAnnouncement(l *wirev1.Load) {
	if l != nil {
		g.applyLoad(l, max(0, int(l.GetOthersOpen())-g.open()))
	}
}

func (g *guard) applyLoad(l *wirev1.Load, others int) {
	g.mu.Lock()
	if l.GetVersion() >= g.version {
		g.version = l.GetVersion()
		g.show(l)
	}
	leaving := g.shown.Leaving
	published := g.published
	g.mu.Unlock()
	if !published {
		return
	}
	g.f.o.Sink.ApplyReport(g.service, g.id, scheduler.Report{
		Version:    l.GetVersion(),
		OthersOpen: others,
		Slots:      int(l.GetSlots()),
		Leaving:    leaving,
		Past: scheduler.Past{
			Completed:   l.GetCompleted(),
			Failed:      l.GetFailed(),
			FailedInRow: int(l.GetFailedInRow()),
		},
	})
}

// show tells the sink when slots or availability changed; g.mu is held. A guard
// without a runner is shown like a leaving one: it would refuse every start.
func (g *guard) show(l *wirev1.Load) {
	if l.GetLeaving() {
		g.noteLeaving()
	}
	next := g.shown
	next.Slots = int(l.GetSlots())
	next.Leaving = g.leaving || g.superseded.Load() || !l.GetRunnerPresent()
	g.update(next)
}

func (g *guard) update(next scheduler.Endpoint) {
	if next == g.shown {
		return
	}
	g.shown = next
	if g.published {
		g.f.o.Sink.SetEndpoint(g.service, next)
	}
}

// noteLeaving is final for this incarnation; g.mu is held.
func (g *guard) noteLeaving() {
	if g.leaving {
		return
	}
	g.leaving = true
	eventGuardLeaving.Log(g.f.ctx, g.f.logger, g.attrs()...)
}

// leave stops new work at once.
func (g *guard) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteLeaving()
	g.closeToWork()
	// A keeper that lets the session rest would find its end only much later.
	g.nudge()
}

// supersede stops new work because a newer incarnation exists. The older one may
// still run and finish what it has: its open starts are not settled by this.
func (g *guard) supersede() {
	g.superseded.Store(true)
	g.mu.Lock()
	g.closeToWork()
	g.mu.Unlock()
	g.nudge()
}

func (g *guard) closeToWork() {
	next := g.shown
	next.Leaving = true
	g.update(next)
}

// publish puts the endpoint into the sink.
func (g *guard) publish(l *wirev1.Load) {
	g.mu.Lock()
	g.shown.ID = g.id
	g.shown.Zone = g.zone
	if l != nil && l.GetVersion() >= g.version {
		g.version = l.GetVersion()
		g.show(l)
	}
	if !g.published {
		g.published = true
		g.f.o.Sink.SetEndpoint(g.service, g.shown)
	}
	g.mu.Unlock()
	g.loadFromSession(l)
}

// withdraw takes the endpoint out of the sink.
func (g *guard) withdraw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.published {
		g.published = false
		g.f.o.Sink.RemoveEndpoint(g.service, g.id)
	}
}

func (g *guard) status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{
		ID:      g.id,
		Service: g.service,
		Zone:    g.zone,
		Address: g.address,
		Slots:   g.shown.Slots,
		Leaving: g.leaving,
		Usable:  g.published && !g.shown.Leaving,
		Open:    g.open(),
	}
}

func (g *guard) isLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}
