package share

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// SetEndpoints sets the endpoints that accept starts. The state of endpoints that
// remain is kept.
func (p *Allocator) SetEndpoints(all []Endpoint) {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Address, b.Address))
	})
	byAddress := make(map[string]*slotState, len(all))
	p.slots = make([]*slotState, 0, len(all))
	p.total = 0
	names := fnv.New32a()
	for _, e := range all {
		s := p.byAddress[e.Address]
		if s == nil {
			s = &slotState{}
		}
		s.Endpoint = e
		byAddress[e.Address] = s
		p.slots = append(p.slots, s)
		p.total += e.Slots
		_, _ = names.Write([]byte(e.Address + "\n"))
	}
	p.byAddress = byAddress
	p.digest = names.Sum32()
	p.outdated = true
}

// SetEntries sets the live entries, including this one.
func (p *Allocator) SetEntries(all []Entry) {
	all = slices.Clone(all)
	if !slices.Contains(all, p.self) {
		all = append(all, p.self)
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID))
	})
	if slices.Equal(all, p.entries) {
		return
	}
	p.entries = all
	for id := range p.peers {
		if !slices.ContainsFunc(all, func(e Entry) bool { return e.ID == id }) {
			// The starts of a removed entry end when its connections close, so its
			// slots must not stay unused.
			delete(p.peers, id)
		}
	}
	p.outdated = true
	p.sumMeans()
}

// ApplyReport applies the usage report of another entry.
func (p *Allocator) ApplyReport(now time.Time, from string, u Usage) {
	if from == p.self.ID {
		return
	}
	other := p.peers[from]
	if other == nil {
		other = &peer{open: map[string]float64{}, meanOpen: map[string]float64{}}
		p.peers[from] = other
	}
	weight := 1.0
	if !other.updatedAt.IsZero() {
		weight = ewmaWeight(now.Sub(other.updatedAt), openSmoothing)
	}
	other.demand, other.waiting, other.updatedAt = u.Demand, u.Waiting, now
	p.outdated = true
	if u.Digest != p.digest || len(u.Open) != len(p.slots) {
		// The peer counts a different set of endpoints until changes have reached both
		// entries.
		return
	}
	for i, s := range p.slots {
		open := float64(u.Open[i])
		other.open[s.Address] = open
		other.meanOpen[s.Address] += (open - other.meanOpen[s.Address]) * weight
	}
	p.sumMeans()
	p.refreshEstimates(now)
}

// sumMeans sums the mean numbers of open starts of all peers.
func (p *Allocator) sumMeans() {
	for _, s := range p.slots {
		s.othersMean = 0
		for _, other := range p.peers {
			s.othersMean += other.meanOpen[s.Address]
		}
	}
}

// refreshEstimates estimates from each peer's latest report how many starts it has open
// now.
func (p *Allocator) refreshEstimates(now time.Time) {
	for _, s := range p.slots {
		sum := 0.0
		for _, other := range p.peers {
			mean := other.meanOpen[s.Address]
			sum += mean + (other.open[s.Address]-mean)*p.remaining(now.Sub(other.updatedAt))
		}
		s.othersOpen, s.estimatedAt = sum, now
	}
}

// computeShares places the slots of all endpoints in one sequence and assigns every
// entry a contiguous range of it. Endpoints and entries are sorted by data centre, so
// that the slots of a data centre go to the entries there as far as possible.
func (p *Allocator) computeShares(now time.Time) {
	p.outdated = false
	p.removeStalePeers(now)
	minWeight := minShare * float64(p.total) / float64(len(p.entries))
	sum, before, own := 0.0, 0.0, 0.0
	for _, e := range p.entries {
		weight := minWeight + p.demandOf(now, e)
		sum += weight
		switch {
		case e == p.self:
			own = weight
		case own == 0:
			before += weight
		}
	}
	if sum == 0 {
		return
	}
	scale := float64(p.total) / sum
	from, to := shareBoundary(before*scale), shareBoundary((before+own)*scale)
	at := 0
	for _, s := range p.slots {
		s.ownShare = max(0, min(to, at+s.Slots)-max(from, at))
		at += s.Slots
	}
}

// shareBoundary returns the first whole slot of a share. Both ends of a share are
// rounded in the same way, so that neighbouring shares neither overlap nor leave a slot
// out.
func shareBoundary(x float64) int { return int(math.Ceil(x - 1e-6)) }

// demandOf returns an entry's demand as known to the other entries. For this entry it
// is the demand that it last reported: a share that grew immediately would take slots
// that the others still use, and a start of one of the two would be refused.
func (p *Allocator) demandOf(now time.Time, e Entry) float64 {
	if e == p.self {
		if now.Sub(p.reportedAt) < reportedDemandTTL {
			return p.reportedDemand
		}
		return p.demand
	}
	if other := p.peers[e.ID]; other != nil {
		return other.demand
	}
	return 0
}

// removeStalePeers removes entries without a recent report. If such an entry is only
// disconnected from this one, it may still use the endpoints, which refusals will show.
func (p *Allocator) removeStalePeers(now time.Time) {
	dropped := false
	for id, other := range p.peers {
		if now.Sub(other.updatedAt) > peerTTL {
			delete(p.peers, id)
			dropped = true
		}
	}
	if dropped {
		p.sumMeans()
	}
}
