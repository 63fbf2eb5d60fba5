package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/entry/fleet/share"
	"almondstand.dev/wire/wirev1"
)

// Limits on a bare runner's announcement.
const (
	minBareTTL       = time.Second
	maxBareTTL       = time.Minute
	maxBareSlots     = 1 << 16
	maxAnnounceBytes = 64 << 10
	announcesPerTTL  = 3
	maxDialFailures  = 3
)

// BareAnnouncement is the announcement of a runner without a guard.
type BareAnnouncement struct {
	Service string
	// Address is the runner's IP and port.
	Address     string
	DataCentre  string
	Slots       int
	Connections int
	// TTL is how long the announcement is valid.
	TTL     time.Duration
	Leaving bool
}

func (b BareAnnouncement) check() error {
	switch {
	case b.Service == "":
		return &InvalidError{Field: "service", Problem: "missing"}
	case b.Slots < 1 || b.Slots > maxBareSlots:
		return &InvalidError{Field: "slots", Problem: fmt.Sprintf("%d is not between 1 and %d", b.Slots, maxBareSlots)}
	case b.Connections < 1 || b.Connections > maxBareSlots:
		return &InvalidError{Field: "connections", Problem: fmt.Sprintf("%d is not between 1 and %d", b.Connections, maxBareSlots)}
	case b.TTL < minBareTTL || b.TTL > maxBareTTL:
		return &InvalidError{Field: "ttl", Problem: fmt.Sprintf("%s is not between %s and %s", b.TTL, minBareTTL, maxBareTTL)}
	}
	return checkAddress(b.Address)
}

// bareRecord is the state of one address. A leaving record is kept for the maximum TTL,
// so that an older announcement that a peer still forwards does not restore the
// endpoint.
type bareRecord struct {
	BareAnnouncement
	stamp   uint64
	expires time.Time
	// deleteAt is when the record itself may be deleted.
	deleteAt time.Time
	endpoint *bareEndpoint
}

// bareTable holds every bare endpoint.
type bareTable struct {
	f       *Fleet
	entries atomic.Int64

	mu            sync.Mutex
	records       map[string]*bareRecord
	endpointCount atomic.Int64
	// reportVersion is the version of the latest report to the scheduler.
	reportVersion atomic.Uint64

	// allocations maps a service to its slot allocation. It is read at the end of every
	// start.
	allocations sync.Map
	// live are the entries that share the slots; guarded by mu.
	live []share.Entry
}

func newBareTable(f *Fleet) *bareTable {
	t := &bareTable{f: f, records: map[string]*bareRecord{}}
	t.entries.Store(1)
	return t
}

func (t *bareTable) count() int { return int(t.endpointCount.Load()) }

// AnnounceBare handles a runner's announcement at this entry and returns the time until
// the next one is due. The error is an *InvalidError.
func (f *Fleet) AnnounceBare(now time.Time, b BareAnnouncement) (time.Duration, error) {
	if err := b.check(); err != nil {
		return 0, err
	}
	f.bare.announce(now, b)
	next := f.announceInterval(callOverhead + len(b.Address) + len(b.Service))
	return min(next, b.TTL/announcesPerTTL), nil
}

// BareEndpoints returns the bare endpoints sorted by address, for the exchange with peers.
func (f *Fleet) BareEndpoints() []*wirev1.BareEndpoint { return f.bare.snapshot(f.opts.Now()) }

// ApplyBareEndpoints applies a peer's records of bare endpoints.
func (f *Fleet) ApplyBareEndpoints(all []*wirev1.BareEndpoint) {
	now := f.opts.Now()
	for _, b := range all {
		f.bare.apply(now, b)
	}
}

// SetEntries sets the live entries, including this one, among which the slots and
// connections of the bare endpoints are divided.
func (f *Fleet) SetEntries(all []*wirev1.EntryInfo) {
	n := int64(max(len(all), 1))
	if f.bare.entries.Swap(n) != n {
		f.bare.updateConnections()
	}
	f.bare.setEntries(all)
}

func (t *bareTable) announce(now time.Time, b BareAnnouncement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stamp := uint64(now.UnixMicro())
	if r := t.records[b.Address]; r != nil {
		// Clocks of entries differ: the announcement received last at this entry is the
		// newest.
		stamp = max(stamp, r.stamp+1)
	}
	keep := b.TTL
	if b.Leaving {
		keep = maxBareTTL
	}
	significant := isSignificant(t.records[b.Address], b)
	t.putRecord(now, b, stamp, keep)
	if significant {
		// Only this entry received the announcement. It reports the change to all
		// peers, which need not forward it.
		t.f.opts.OnChange(true)
	}
}

func (t *bareTable) apply(now time.Time, w *wirev1.BareEndpoint) {
	b := BareAnnouncement{
		Service:     w.GetService(),
		Address:     w.GetAddress(),
		DataCentre:  w.GetZone(),
		Slots:       int(w.GetSlots()),
		Connections: int(w.GetConnections()),
		TTL:         maxBareTTL,
		Leaving:     w.GetLeaving(),
	}
	ttl := min(time.Duration(w.GetTtlMs())*time.Millisecond, maxBareTTL)
	if b.check() != nil || ttl <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[b.Address]; r != nil && r.stamp >= w.GetStamp() {
		return
	}
	t.putRecord(now, b, w.GetStamp(), ttl)
}

// putRecord replaces the record of an address and keeps it for the given time. The
// caller holds t.mu.
func (t *bareTable) putRecord(now time.Time, b BareAnnouncement, stamp uint64, keep time.Duration) {
	old := t.records[b.Address]
	// A leaving record does not get a new full TTL at each entry that receives it,
	// otherwise it would circulate forever.
	r := &bareRecord{BareAnnouncement: b, stamp: stamp, expires: now.Add(min(keep, b.TTL)), deleteAt: now.Add(keep)}
	if old != nil {
		r.endpoint = old.endpoint
	}
	if r.endpoint != nil && r.endpoint.identityChanged(b) {
		t.dropEndpoint(r)
	}
	t.records[b.Address] = r
	if r.endpoint == nil && !b.Leaving {
		r.endpoint = t.addEndpoint(b)
	}
	if r.endpoint != nil {
		r.endpoint.update(b, int(t.entries.Load()))
	}
	t.updateEndpoints(b.Service)
}

// isSignificant reports whether an announcement must be forwarded early: a runner is
// new, is leaving, or has changed its service or slots.
func isSignificant(old *bareRecord, b BareAnnouncement) bool {
	if old == nil {
		return true
	}
	return old.Leaving != b.Leaving || old.Service != b.Service || old.Slots != b.Slots
}

// addEndpoint creates the endpoint of an address. The caller holds t.mu.
func (t *bareTable) addEndpoint(b BareAnnouncement) *bareEndpoint {
	e := newBareEndpoint(t.f, b)
	t.f.mu.Lock()
	t.f.addEndpoint(e.id, e)
	t.f.mu.Unlock()
	t.endpointCount.Add(1)
	eventBareJoined.Log(t.f.ctx, t.f.logger, e.attrs()...)
	return e
}

// dropEndpoint removes the endpoint of a record. The caller holds t.mu.
func (t *bareTable) dropEndpoint(r *bareRecord) {
	e := r.endpoint
	r.endpoint = nil
	t.f.mu.Lock()
	t.f.dropEndpoint(e.id, e)
	t.f.mu.Unlock()
	t.endpointCount.Add(-1)
	e.withdraw()
	e.close()
	t.updateEndpoints(e.service)
}

// expire removes expired endpoints and records.
func (t *bareTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, r := range t.records {
		if r.endpoint != nil && now.After(r.expires) {
			if !r.Leaving {
				eventBareLost.Log(t.f.ctx, t.f.logger, r.endpoint.attrs()...)
			}
			t.dropEndpoint(r)
		}
		if now.After(r.deleteAt) {
			delete(t.records, address)
		}
	}
}

func (t *bareTable) updateConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.endpoint != nil {
			r.endpoint.update(r.BareAnnouncement, int(t.entries.Load()))
		}
	}
}

func (t *bareTable) snapshot(now time.Time) []*wirev1.BareEndpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*wirev1.BareEndpoint, 0, len(t.records))
	for _, r := range t.records {
		left := r.expires.Sub(now)
		if r.Leaving {
			left = r.deleteAt.Sub(now)
		}
		if left < time.Millisecond {
			continue
		}
		all = append(all, &wirev1.BareEndpoint{
			Service:     r.Service,
			Address:     r.Address,
			Zone:        r.DataCentre,
			Slots:       uint32(r.Slots),
			Connections: uint32(r.Connections),
			Leaving:     r.Leaving,
			TtlMs:       uint32(left.Milliseconds()),
			Stamp:       r.stamp,
		})
	}
	slices.SortFunc(all, func(a, b *wirev1.BareEndpoint) int { return cmp.Compare(a.Address, b.Address) })
	return all
}

func (t *bareTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.endpoint != nil {
			t.dropEndpoint(r)
		}
	}
}
