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

// guard is this entry's view of one incarnation of a guard.
type guard struct {
	f           *Fleet
	name        string
	incarnation uint64
	id          scheduler.EndpointID
	service     string
	dataCentre  string
	address     string

	// primary carries starts and pings. It is replaced when it stops responding.
	primary atomic.Pointer[link.Link]
	// session is nil while no session is open.
	session atomic.Pointer[session]
	// idleMode is true from the moment the idle session's lease is allowed to lapse
	// until the next session is open.
	idleMode atomic.Bool
	// lastAnnounced is the time of the last announcement, as returned by monotonic.
	lastAnnounced atomic.Int64
	// superseded is true once a newer incarnation has announced itself.
	superseded atomic.Bool
	// suspect is true from a failed call of the session goroutine until the next reply.
	suspect atomic.Bool
	// suspectSince is the value of Fleet.runningTime at which the guard became suspect.
	// Only the session goroutine accesses it.
	suspectSince time.Duration
	// pingRequested makes the session goroutine ping immediately.
	pingRequested atomic.Bool
	// inflight counts the open starts of all sessions.
	inflight atomic.Int64

	// handshake is nil unless a peer's hint introduced the guard before its own
	// announcement.
	handshake *handshake
	// handshakeStarted is true once the first handshake was attempted. Only the session
	// goroutine accesses it.
	handshakeStarted bool

	// wake interrupts the wait of the session goroutine. longWait is true while that
	// wait is a long one.
	wake     chan struct{}
	longWait atomic.Bool

	fallbackMu     sync.Mutex
	fallback       *link.Link
	fallbackClosed bool

	// The state that was last reported to the sink.
	mu           sync.Mutex
	published    bool
	lastEndpoint scheduler.Endpoint
	loadVersion  uint64
	leaving      bool
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
		dataCentre:  r.GetZone(),
		address:     r.GetAddress(),
		wake:        make(chan struct{}, 1),
	}
	g.primary.Store(g.newLink(0))
	g.markAnnounced()
	return g
}

// wakeSessionLoop makes the session goroutine check the session immediately.
func (g *guard) wakeSessionLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// requestPing makes the session goroutine ping immediately, because a call on the
// primary link failed.
func (g *guard) requestPing() {
	g.pingRequested.Store(true)
	g.wakeSessionLoop()
}

// openStarts returns the number of this entry's open starts in the current session.
func (g *guard) openStarts() int {
	s := g.session.Load()
	if s == nil {
		return 0
	}
	return s.window.Count()
}

// applySessionLoad applies the load from a reply to this entry's session.
func (g *guard) applySessionLoad(l *wirev1.Load) {
	if l != nil {
		g.applyLoad(l, int(l.GetOthersOpen()))
	}
}

// applyAnnouncedLoad applies the load from an announcement. An announcement counts all
// open tasks as those of other entries, so this entry's own are subtracted.
func (g *guard) applyAnnouncedLoad(l *wirev1.Load) {
	if l != nil {
		g.applyLoad(l, max(0, int(l.GetOthersOpen())-g.openStarts()))
	}
}

func (g *guard) applyLoad(l *wirev1.Load, others int) {
	g.mu.Lock()
	if l.GetVersion() >= g.loadVersion {
		g.loadVersion = l.GetVersion()
		g.updateFromLoad(l)
	}
	leaving := g.lastEndpoint.Draining
	published := g.published
	g.mu.Unlock()
	if !published {
		return
	}
	g.f.opts.Sink.ApplyReport(g.service, g.id, scheduler.Report{
		Version:        l.GetVersion(),
		OthersInFlight: others,
		Slots:          int(l.GetSlots()),
		Draining:       leaving,
		Outcomes: scheduler.OutcomeCounts{
			Completed:             l.GetCompleted(),
			Failed:                l.GetFailed(),
			ConsecutiveFailedJobs: int(l.GetFailedInRow()),
		},
	})
}

// updateFromLoad notifies the sink if slots or availability changed. A guard without a
// runner is reported as leaving, because it would refuse every start. The caller holds
// g.mu.
func (g *guard) updateFromLoad(l *wirev1.Load) {
	if l.GetLeaving() {
		g.markLeaving()
	}
	next := g.lastEndpoint
	next.Slots = int(l.GetSlots())
	next.Draining = g.leaving || g.superseded.Load() || !l.GetRunnerPresent()
	g.updateEndpoint(next)
}

func (g *guard) updateEndpoint(next scheduler.Endpoint) {
	if next == g.lastEndpoint {
		return
	}
	g.lastEndpoint = next
	if g.published {
		g.f.opts.Sink.SetEndpoint(g.service, next)
	}
}

// markLeaving records that the guard is leaving, which is final for this incarnation.
// The caller holds g.mu.
func (g *guard) markLeaving() {
	if g.leaving {
		return
	}
	g.leaving = true
	eventGuardLeaving.Log(g.f.ctx, g.f.logger, g.attrs()...)
}

// setLeaving marks the guard as leaving and immediately stops new starts on it.
func (g *guard) setLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markLeaving()
	g.markUnavailable()
	// In idle mode the session goroutine would detect the end of the guard much later.
	g.wakeSessionLoop()
}

// supersede stops new starts because a newer incarnation exists. The older process may
// still run and finish its tasks, so its open starts are not settled here.
func (g *guard) supersede() {
	g.superseded.Store(true)
	g.mu.Lock()
	g.markUnavailable()
	g.mu.Unlock()
	g.wakeSessionLoop()
}

func (g *guard) markUnavailable() {
	next := g.lastEndpoint
	next.Draining = true
	g.updateEndpoint(next)
}

// publish adds the endpoint to the sink.
func (g *guard) publish(l *wirev1.Load) {
	g.mu.Lock()
	g.lastEndpoint.ID = g.id
	g.lastEndpoint.DataCentre = g.dataCentre
	if l != nil && l.GetVersion() >= g.loadVersion {
		g.loadVersion = l.GetVersion()
		g.updateFromLoad(l)
	}
	if !g.published {
		g.published = true
		g.f.opts.Sink.SetEndpoint(g.service, g.lastEndpoint)
	}
	g.mu.Unlock()
	g.applySessionLoad(l)
}

// withdraw removes the endpoint from the sink.
func (g *guard) withdraw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.published {
		g.published = false
		g.f.opts.Sink.RemoveEndpoint(g.service, g.id)
	}
}

func (g *guard) status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{
		ID:         g.id,
		Service:    g.service,
		DataCentre: g.dataCentre,
		Address:    g.address,
		Slots:      g.lastEndpoint.Slots,
		Draining:   g.leaving,
		Usable:     g.published && !g.lastEndpoint.Draining,
		InFlight:   g.openStarts(),
	}
}

func (g *guard) isLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}
