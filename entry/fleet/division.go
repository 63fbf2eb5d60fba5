package fleet

import (
	"math"
	"sync"
	"time"

	"almondstand.dev/entry/fleet/share"
	"almondstand.dev/wire/wirev1"
)

// A change of demand is reported to the peers immediately if it is at least the total
// number of slots divided by demandChangeDivisor, and at least demandChangeMinSlots.
const (
	demandChangeDivisor  = 6
	demandChangeMinSlots = 4
)

// allocation divides the slots of one service's bare endpoints among the entries and
// reports this entry's share to the scheduler.
type allocation struct {
	f       *Fleet
	service string

	mu        sync.Mutex
	pool      *share.Allocator
	endpoints map[string]*bareEndpoint
	// reportedDemand is the number of open and waiting tasks last reported to the
	// peers.
	reportedDemand int
}

// allocation returns the slot allocation of a service, creating it if necessary.
func (t *bareTable) allocation(service string) *allocation {
	if a, known := t.allocations.Load(service); known {
		return a.(*allocation)
	}
	a, _ := t.allocations.LoadOrStore(service, &allocation{
		f:         t.f,
		service:   service,
		pool:      share.New(t.f.self(), max(t.f.opts.SpareSlots, 0)),
		endpoints: map[string]*bareEndpoint{},
	})
	return a.(*allocation)
}

func (f *Fleet) self() share.Entry {
	return share.Entry{ID: f.opts.EntryID, DataCentre: f.opts.DataCentre}
}

func (t *bareTable) forEach(do func(*allocation)) {
	t.allocations.Range(func(_, a any) bool {
		do(a.(*allocation))
		return true
	})
}

// updateEndpoints passes the current endpoints of a service to its allocation. The
// caller holds t.mu.
func (t *bareTable) updateEndpoints(service string) {
	all := map[string]*bareEndpoint{}
	var usable []share.Endpoint
	for address, r := range t.records {
		if r.Service != service || r.endpoint == nil || !r.endpoint.usable() {
			continue
		}
		all[address] = r.endpoint
		usable = append(usable, share.Endpoint{Address: address, DataCentre: r.DataCentre, Slots: r.Slots})
	}
	a := t.allocation(service)
	a.update(func(p *share.Allocator) {
		a.endpoints = all
		p.SetEndpoints(usable)
		p.SetEntries(t.live)
	})
}

// onUnreachable recomputes the allocation without an endpoint that refuses connections:
// an entry whose share lies on it would have no other slots.
func (t *bareTable) onUnreachable(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateEndpoints(service)
}

func (t *bareTable) setEntries(all []*wirev1.EntryInfo) {
	live := make([]share.Entry, 0, len(all))
	for _, e := range all {
		live = append(live, share.Entry{ID: e.GetId(), DataCentre: e.GetZone()})
	}
	t.mu.Lock()
	t.live = live
	t.mu.Unlock()
	t.forEach(func(a *allocation) {
		a.update(func(p *share.Allocator) { p.SetEntries(live) })
	})
}

// rebalance recomputes every allocation, because estimates age and demand changes.
func (t *bareTable) rebalance() {
	t.forEach(func(a *allocation) {
		waiting := t.f.opts.PendingTasks(a.service)
		a.update(func(p *share.Allocator) { p.SampleDemand(t.f.opts.Now(), waiting) })
		a.reportDemandChange()
	})
}

// update changes the pool and reports the resulting limits to the scheduler.
func (a *allocation) update(do func(*share.Allocator)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	do(a.pool)
	for address, limit := range a.pool.Limits(a.f.opts.Now()) {
		if e := a.endpoints[address]; e != nil {
			e.setSlotLimit(limit)
		}
	}
}

func (a *allocation) started(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool.StartOpened(address)
}

func (a *allocation) ended(address string, end share.StartResult, run time.Duration) {
	a.update(func(p *share.Allocator) { p.StartEnded(a.f.opts.Now(), address, end, run) })
}

// reportDemandChange triggers an early exchange with the peers if the demand has
// changed a lot; otherwise they would continue with shares that no longer fit.
func (a *allocation) reportDemandChange() {
	a.mu.Lock()
	change := a.pool.TaskCount() - a.reportedDemand
	enough := max(demandChangeMinSlots, a.pool.TotalSlots()/demandChangeDivisor)
	a.mu.Unlock()
	if max(change, -change) >= enough {
		a.f.opts.OnChange(false)
	}
}

// usage returns this entry's use of the service, or nil if there are no endpoints.
func (a *allocation) usage() *wirev1.BareUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pool.TotalSlots() == 0 {
		return nil
	}
	a.reportedDemand = a.pool.TaskCount()
	own := a.pool.OwnUse()
	w := &wirev1.BareUse{
		Service:      a.service,
		DemandTenths: uint32(math.Round(own.Demand * 10)),
		Waiting:      own.Waiting,
		Endpoints:    own.Digest,
		Open:         make([]uint32, len(own.Open)),
	}
	for i, n := range own.Open {
		w.Open[i] = uint32(n)
	}
	return w
}

// BareUsage returns this entry's use of the bare endpoints, for the exchange with peers.
func (f *Fleet) BareUsage() []*wirev1.BareUse {
	var all []*wirev1.BareUse
	f.bare.forEach(func(a *allocation) {
		if w := a.usage(); w != nil {
			all = append(all, w)
		}
	})
	return all
}

// ApplyBareUsage applies a peer's reported use of the bare endpoints.
func (f *Fleet) ApplyBareUsage(from string, all []*wirev1.BareUse) {
	for _, w := range all {
		a, known := f.bare.allocations.Load(w.GetService())
		if !known {
			continue
		}
		a.(*allocation).update(func(p *share.Allocator) { p.ApplyReport(f.opts.Now(), from, useOf(w)) })
	}
}

func useOf(w *wirev1.BareUse) share.Usage {
	u := share.Usage{
		Demand:  float64(w.GetDemandTenths()) / 10,
		Waiting: w.GetWaiting(),
		Digest:  w.GetEndpoints(),
		Open:    make([]int, len(w.GetOpen())),
	}
	for i, n := range w.GetOpen() {
		u.Open[i] = int(min(n, maxBareSlots))
	}
	return u
}
