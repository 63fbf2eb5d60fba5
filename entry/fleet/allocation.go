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
	pool      *share.Pool
	endpoints map[string]*bareEndpoint
	// reportedDemand is the number of open and waiting tasks last reported to the
	// peers.
	reportedDemand int
}

// allocation returns the slot allocation of a service, creating it if necessary.
func (t *bareTable) allocation(service string) *allocation {
	if d, known := t.allocations.Load(service); known {
		return d.(*allocation)
	}
	d, _ := t.allocations.LoadOrStore(service, &allocation{
		f:         t.f,
		service:   service,
		pool:      share.New(t.f.self(), max(t.f.opts.SpareSlots, 0)),
		endpoints: map[string]*bareEndpoint{},
	})
	return d.(*allocation)
}

func (f *Fleet) self() share.Entry { return share.Entry{ID: f.opts.EntryID, Zone: f.opts.Zone} }

func (t *bareTable) forEach(do func(*allocation)) {
	t.allocations.Range(func(_, d any) bool {
		do(d.(*allocation))
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
		usable = append(usable, share.Endpoint{Address: address, Zone: r.Zone, Slots: r.Slots})
	}
	d := t.allocation(service)
	d.update(func(p *share.Pool) {
		d.endpoints = all
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
		live = append(live, share.Entry{ID: e.GetId(), Zone: e.GetZone()})
	}
	t.mu.Lock()
	t.live = live
	t.mu.Unlock()
	t.forEach(func(d *allocation) {
		d.update(func(p *share.Pool) { p.SetEntries(live) })
	})
}

// rebalance recomputes every allocation, because estimates age and demand changes.
func (t *bareTable) rebalance() {
	t.forEach(func(d *allocation) {
		waiting := t.f.opts.Waiting(d.service)
		d.update(func(p *share.Pool) { p.Sample(t.f.opts.Now(), waiting) })
		d.reportDemandChange()
	})
}

// update changes the pool and reports the resulting limits to the scheduler.
func (d *allocation) update(do func(*share.Pool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do(d.pool)
	for address, limit := range d.pool.Limits(d.f.opts.Now()) {
		if e := d.endpoints[address]; e != nil {
			e.setSlotLimit(limit)
		}
	}
}

func (d *allocation) started(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.Started(address)
}

func (d *allocation) ended(address string, end share.End, run time.Duration) {
	d.update(func(p *share.Pool) { p.Ended(d.f.opts.Now(), address, end, run) })
}

// reportDemandChange triggers an early exchange with the peers if the demand has
// changed a lot; otherwise they would continue with shares that no longer fit.
func (d *allocation) reportDemandChange() {
	d.mu.Lock()
	change := d.pool.Wanted() - d.reportedDemand
	enough := max(demandChangeMinSlots, d.pool.Total()/demandChangeDivisor)
	d.mu.Unlock()
	if max(change, -change) >= enough {
		d.f.opts.Changed(false)
	}
}

// usage returns this entry's use of the service, or nil if there are no endpoints.
func (d *allocation) usage() *wirev1.BareUse {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pool.Total() == 0 {
		return nil
	}
	d.reportedDemand = d.pool.Wanted()
	own := d.pool.Own()
	w := &wirev1.BareUse{
		Service:      d.service,
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

// Use returns this entry's use of the bare endpoints, for the exchange with peers.
func (f *Fleet) Use() []*wirev1.BareUse {
	var all []*wirev1.BareUse
	f.bare.forEach(func(d *allocation) {
		if w := d.usage(); w != nil {
			all = append(all, w)
		}
	})
	return all
}

// ApplyUse applies a peer's reported use of the bare endpoints.
func (f *Fleet) ApplyUse(from string, all []*wirev1.BareUse) {
	for _, w := range all {
		d, known := f.bare.allocations.Load(w.GetService())
		if !known {
			continue
		}
		d.(*allocation).update(func(p *share.Pool) { p.Hear(f.opts.Now(), from, useOf(w)) })
	}
}

func useOf(w *wirev1.BareUse) share.Use {
	u := share.Use{
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
