// Package share divides the slots of one service's bare endpoints among the entries. A
// bare endpoint does not report what it runs for others, and it refuses a start for
// which it has no slot. Such a refusal guarantees that the task did not run and costs
// two messages. So the division need not be exact: it has to be fast and mostly right.
//
// Every entry places the slots of all endpoints in one sequence and takes a share of it
// in proportion to its measured demand. All entries use the same rule, so the shares
// fit together without messages about individual slots. While no entry lacks slots,
// each may also use others' shares where it estimates slots to be free. As soon as one
// entry reports waiting tasks, the others keep to their own shares.
package share

import (
	"math"
	"time"
)

const (
	// demandSmoothing is the time constant of the average of this entry's demand. If it
	// is shorter, shares move while tasks still run on slots that were given up; if
	// longer, a share grows too late.
	demandSmoothing = 4 * time.Second
	// openSmoothing is the time constant of the average of peers' open starts.
	openSmoothing = time.Second
	// waitingTTL is how long a peer's report of waiting tasks is valid: slightly longer
	// than the interval between two exchanges.
	waitingTTL = 1200 * time.Millisecond
	// reportedDemandTTL is how long peers use the demand that this entry last reported:
	// until its next exchange with one of them.
	reportedDemandTTL = waitingTTL
	// peerTTL is how long a peer's report is used at all.
	peerTTL = 10 * time.Second
	// minShare is the minimum share of an entry, as a fraction of an equal share: the
	// entry may get work at any moment, and has no other slots until its peers know its
	// demand.
	minShare = 0.5
	// stdDevMargin is by how many standard deviations an endpoint's estimated use must
	// be below its capacity before the endpoint is used beyond this entry's share.
	stdDevMargin = 1
	// refusalIncrement is added to the estimates of the other endpoints after a refusal
	// by one: what filled it, usually a large job at another entry, has filled others
	// too.
	refusalIncrement = 0.5
	// Bounds of the mean run time, and its initial value. Peers' open starts are
	// expected to be half replaced after about one mean run time.
	minRunTime     = 25 * time.Millisecond
	maxRunTime     = 2 * time.Second
	initialRunTime = 250 * time.Millisecond
	// runTimeWeight is the weight of one run in the moving average of run times.
	runTimeWeight = 0.02
)

// Entry is one live entry.
type Entry struct{ ID, DataCentre string }

// Endpoint is one bare endpoint that accepts starts.
type Endpoint struct {
	// Address is the IP and port.
	Address    string
	DataCentre string
	Slots      int
}

// Usage is one entry's use of a service's endpoints.
type Usage struct {
	// Demand is the moving average of the number of open and waiting tasks.
	Demand float64
	// Waiting is true while tasks wait for a slot.
	Waiting bool
	// Digest identifies the endpoints that Open counts, in their order.
	Digest uint32
	Open   []int
}

// StartResult is how a start ended.
type StartResult int

// Ends of a start.
const (
	// ResultRan means that the endpoint had a slot for the start, which is free again.
	ResultRan StartResult = iota
	// ResultRejected means that the endpoint had no slot for the start.
	ResultRejected
	// ResultOther reveals nothing about the endpoint's slots.
	ResultOther
)

// slotState is what is known about one endpoint.
type slotState struct {
	Endpoint
	ownOpen int
	// othersOpen is the estimate of peers' open starts at the time estimatedAt. It
	// decays towards their average, othersMean.
	othersOpen  float64
	estimatedAt time.Time
	othersMean  float64
	// ownShare is the number of slots in this entry's share.
	ownShare int
}

// peer is the latest report of another entry.
type peer struct {
	Entry
	demand    float64
	waiting   bool
	updatedAt time.Time
	// open and meanOpen are keyed by address.
	open, meanOpen map[string]float64
}

// Allocator divides the endpoints of one service. It is not safe for concurrent use. The
// caller passes the current time.
type Allocator struct {
	self       Entry
	spareSlots int
	slots      []*slotState
	byAddress  map[string]*slotState
	digest     uint32
	total      int
	entries    []Entry
	peers      map[string]*peer

	demand    float64
	sampledAt time.Time
	// reportedDemand is the demand that was last reported to the peers, at reportedAt.
	reportedDemand float64
	reportedAt     time.Time

	waiting     int
	openStarts  int
	meanRunTime time.Duration
	// outdated is true if the shares must be recomputed.
	outdated bool
}

// New returns a pool without endpoints whose only user is this entry. The pool leaves
// spare slots of an endpoint free where this entry exceeds its own share, because
// peers' tasks arrive at any moment and would be refused. A higher value means fewer
// refusals, but large jobs wait longer while slots are free.
func New(self Entry, spare int) *Allocator {
	return &Allocator{
		self:        self,
		spareSlots:  spare,
		byAddress:   map[string]*slotState{},
		peers:       map[string]*peer{},
		entries:     []Entry{self},
		meanRunTime: initialRunTime,
	}
}

// OwnUse returns this entry's use, to be reported to the peers.
func (p *Allocator) OwnUse() Usage {
	p.reportedDemand, p.reportedAt = p.demand, p.sampledAt
	p.outdated = true
	u := Usage{Demand: p.demand, Waiting: p.waiting > 0, Digest: p.digest, Open: make([]int, len(p.slots))}
	for i, s := range p.slots {
		u.Open[i] = s.ownOpen
	}
	return u
}

// TaskCount returns the current number of open and waiting tasks.
func (p *Allocator) TaskCount() int { return p.openStarts + p.waiting }

// TotalSlots returns the number of slots of all endpoints.
func (p *Allocator) TotalSlots() int { return p.total }

// SampleDemand records the number of waiting tasks. It should be called often.
func (p *Allocator) SampleDemand(now time.Time, waiting int) {
	p.waiting = waiting
	wanted := float64(p.TaskCount())
	if p.sampledAt.IsZero() {
		p.demand = wanted
	} else {
		p.demand += (wanted - p.demand) * ewmaWeight(now.Sub(p.sampledAt), demandSmoothing)
	}
	p.sampledAt = now
	p.outdated = true
}

// ewmaWeight returns the weight of the current value in an exponentially weighted
// moving average.
func ewmaWeight(since, over time.Duration) float64 {
	return 1 - math.Exp(-max(0, since.Seconds())/over.Seconds())
}

// StartOpened counts one start of this entry.
func (p *Allocator) StartOpened(address string) {
	p.openStarts++
	if s := p.byAddress[address]; s != nil {
		s.ownOpen++
	}
}

// StartEnded counts the end of one start of this entry and updates the estimates.
func (p *Allocator) StartEnded(now time.Time, address string, end StartResult, run time.Duration) {
	p.openStarts--
	s := p.byAddress[address]
	if s == nil {
		return
	}
	before := s.ownOpen
	s.ownOpen = max(0, s.ownOpen-1)
	switch end {
	case ResultRan:
		p.recordRunTime(run)
		// The slot of this start is free now, so peers have at most the remaining
		// slots.
		if maxOthers := float64(s.Slots - before); p.estimateOthers(now, s) > maxOthers {
			s.othersOpen, s.estimatedAt = maxOthers, now
		}
	case ResultRejected:
		p.recordRefusal(now, s)
	case ResultOther:
	}
}

func (p *Allocator) recordRunTime(run time.Duration) {
	run = min(max(run, minRunTime), maxRunTime)
	p.meanRunTime += time.Duration(float64(run-p.meanRunTime) * runTimeWeight)
}

// recordRefusal updates the estimates after a refusal: peers used all slots that this
// entry did not.
func (p *Allocator) recordRefusal(now time.Time, refusing *slotState) {
	for _, s := range p.slots {
		if s != refusing {
			s.othersOpen = min(p.estimateOthers(now, s)+refusalIncrement, float64(s.Slots))
			s.estimatedAt = now
		}
	}
	refusing.othersOpen = float64(refusing.Slots - refusing.ownOpen)
	refusing.estimatedAt = now
}

// estimateOthers returns the expected number of peers' open starts on an endpoint.
func (p *Allocator) estimateOthers(now time.Time, s *slotState) float64 {
	return s.othersMean + (s.othersOpen-s.othersMean)*p.remaining(now.Sub(s.estimatedAt))
}

// stdDev returns the standard deviation of the estimate.
func (p *Allocator) stdDev(now time.Time, s *slotState) float64 {
	const minMean = 0.5
	remaining := p.remaining(now.Sub(s.estimatedAt))
	return math.Sqrt(max(s.othersMean, minMean) * (1 - remaining*remaining))
}

// remaining returns the fraction of a count that is still valid after the given time.
func (p *Allocator) remaining(age time.Duration) float64 { return 1 - ewmaWeight(age, 2*p.meanRunTime) }

// Limits returns the maximum number of this entry's open starts for each endpoint, by
// address.
func (p *Allocator) Limits(now time.Time) map[string]int {
	if p.outdated {
		p.computeShares(now)
	}
	restricted := p.peersWaiting(now)
	limits := make(map[string]int, len(p.slots))
	sum := 0
	for _, s := range p.slots {
		limit := p.limit(now, s, restricted)
		limits[s.Address] = limit
		sum += limit
	}
	if sum == 0 && p.openStarts == 0 {
		p.allowProbe(now, limits)
	}
	return limits
}

func (p *Allocator) limit(now time.Time, s *slotState, restricted bool) int {
	free := float64(s.Slots) - p.estimateOthers(now, s)
	own := min(s.ownShare, roundDown(free))
	if restricted {
		return own
	}
	return max(own, roundDown(free-float64(p.spareSlots)-stdDevMargin*p.stdDev(now, s)))
}

// roundDown rounds down with a small tolerance. Otherwise the remainder of a decaying
// estimate would occupy a slot long after it became free.
func roundDown(x float64) int {
	const tolerance = 0.1
	return max(0, int(math.Floor(x+tolerance)))
}

// allowProbe allows one start at the endpoint that is most likely to have a free slot.
// Otherwise an entry that gets no information about free slots would wait forever.
func (p *Allocator) allowProbe(now time.Time, limits map[string]int) {
	best, bestFree := "", math.Inf(-1)
	for _, s := range p.slots {
		if free := float64(s.Slots) - p.estimateOthers(now, s); free > bestFree {
			best, bestFree = s.Address, free
		}
	}
	if best != "" {
		limits[best] = 1
	}
}

func (p *Allocator) peersWaiting(now time.Time) bool {
	for _, other := range p.peers {
		if other.waiting && now.Sub(other.updatedAt) < waitingTTL {
			return true
		}
	}
	return false
}
