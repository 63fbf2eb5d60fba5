package planner

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"almondstand.dev/dispatch/work"
)

const (
	// maxReportAge is the age from which a guard's report on other entries no longer counts: guards
	// send capacity at least every second, and to entries with waiting tasks far more often.
	maxReportAge = 300 * time.Millisecond
	// shareInterval is the least time between two combinations of the reports, and shareIntervalEach
	// that for each endpoint: entries on small hosts have 0.14 of a core, read hundreds of messages a
	// second, and have up to 990 endpoints with 16 contracts each.
	shareInterval     = 10 * time.Millisecond
	shareIntervalEach = 100 * time.Microsecond
	// negligibleArrivalMilli is the rate of arriving work, in thousandths of a core, below which a
	// contract without waiting tasks is not reported.
	negligibleArrivalMilli = 100
	// ownElsewhereShare is the share of a contract's work at other entries that counts as more urgent
	// than a job of the same contract: only the least slack there is known.
	ownElsewhereShare = 0.5
	// maxIdleContracts is the number of contracts from which those without arriving work are removed
	// whenever a contract is added: a service with cordoned endpoints only reports no demand.
	maxIdleContracts = 256
	// maxOtherEntries is the largest number of entries that a report may cover while the number of
	// entries is not known.
	maxOtherEntries = 1000
)

// contractArrivals is the rate at which work of one contract arrives.
type contractArrivals struct {
	rate     arrivalRate
	priority int
	// slack is the mean time from arrival to the latest start in time, in seconds.
	slack float64
}

// othersReport is a guard's last report on the demand of other entries.
type othersReport struct {
	at      time.Duration
	demand  []work.Demand
	entries int
	// allocated is the CPU held by runs, by work.PriorityClass; nil if it is unknown.
	allocated []int64
}

// sharedDemand is what an entry knows of the demand for a service.
type sharedDemand struct {
	arrivals map[uint32]*contractArrivals
	// own is the demand of this entry; ownStale is true if it must be computed again.
	own      []work.Demand
	ownStale bool

	// The fields below are combined at combinedAt; zero for never.
	combinedAt time.Duration
	// others is the estimated demand of all other entries, with the most urgent first; known is false
	// if no guard has reported it lately.
	others []work.Demand
	known  bool
	// capacity is the CPU of all endpoints, of which this entry sees the share visible, in thousandths
	// of a core.
	capacity float64
	// visible is the share of the service's guards with which this entry has sessions: with subsets,
	// the others serve part of the other entries' demand.
	visible float64
	// rows is the demand of all entries, including this one.
	rows []work.Demand
	// overShare holds the contracts that exceed their share.
	overShare map[uint32]bool
	// queue sums the waiting work of this entry.
	queue ownQueue
	// held is the CPU held by priority class, own starts since the combination included, and heldKnown
	// is true if a guard reports it.
	held      [work.PriorityClasses]int64
	heldKnown bool
	// scarceAt is when the waiting tasks of all entries last needed at least scarceShare of the capacity;
	// zero for never.
	scarceAt time.Duration
	// left is what runs have released and was left to guards, oldest first.
	left []releasedCPU
	// heldBack is true if a job was last left waiting for reserved capacity.
	heldBack bool
	// reserved is the CPU that was last reserved for more urgent work, at reservedAt, for metrics.
	reserved   int64
	reservedAt time.Duration

	// shortAt is when another entry was last reported to have waiting tasks; zero for never. short is
	// true while tasks are waiting anywhere, or were within shortageMemory.
	shortAt time.Duration
	short   bool
}

func newSharedDemand() *sharedDemand {
	return &sharedDemand{arrivals: map[uint32]*contractArrivals{}, ownStale: true}
}

// SetEntries sets the number of known entries, including this one.
func (p *Planner) SetEntries(n int) { p.entries = n }

// sharesDemand reports whether demand is exchanged with other entries.
func (p *Planner) sharesDemand() bool { return !p.opt.Disabled.SharedDemand }

// countArrival counts a job that has arrived.
func (p *Planner) countArrival(now time.Duration, s *service, j *job) {
	s.arrivals.add(now, j.coreTime()/milli)
	if !p.sharesDemand() {
		return
	}
	j.contract = work.ContractHash(j.terms.Contract)
	a := s.shared.arrivals[j.contract]
	if a == nil {
		if len(s.shared.arrivals) >= maxIdleContracts {
			s.shared.removeIdle(now)
		}
		a = &contractArrivals{}
		s.shared.arrivals[j.contract] = a
	}
	a.rate.add(now, j.coreTime()/milli)
	a.priority = j.terms.Priority
	a.slack = movingAverage(a.slack, (j.startBy - now).Seconds())
}

// removeIdle removes the contracts of which next to no work arrives.
func (d *sharedDemand) removeIdle(now time.Duration) {
	maps.DeleteFunc(d.arrivals, func(_ uint32, a *contractArrivals) bool { return a.arrivingMilli(now) < negligibleArrivalMilli })
}

// arrivingMilli is the rate at which work arrives, in thousandths of a core.
func (a *contractArrivals) arrivingMilli(now time.Duration) int64 {
	return int64(a.rate.value(now) * milli)
}

// Demand returns the demand of the tasks that wait for capacity of the endpoint's service, by
// contract, the most urgent first, at most work.MaxDemands of them. A contract without waiting tasks
// is listed while its work arrives, with the slack that its jobs have on arrival. The result is shared
// and must not be changed.
func (p *Planner) Demand(now time.Duration, endpoint string) []work.Demand {
	e := p.endpoints[endpoint]
	if !p.sharesDemand() || e == nil || e.cordoned || e.service == nil {
		return nil
	}
	return e.service.ownDemand(now)
}

// ownDemand returns the demand at this entry. It is computed at most once per Act.
func (s *service) ownDemand(now time.Duration) []work.Demand {
	if !s.shared.ownStale {
		return s.shared.own
	}
	s.shared.ownStale = false
	rows := map[uint32]*work.Demand{}
	s.shared.removeIdle(now)
	for c, a := range s.shared.arrivals {
		rows[c] = &work.Demand{Contract: c, Priority: a.priority, ArrivingMilli: a.arrivingMilli(now)}
	}
	for _, list := range [][]*job{s.started, s.unstarted} {
		for _, j := range list {
			d := rows[j.contract]
			if d == nil {
				d = &work.Demand{Contract: j.contract, Priority: j.terms.Priority}
				rows[j.contract] = d
			}
			j.addDemand(now, d)
		}
	}
	all := make([]work.Demand, 0, len(rows))
	for c, d := range rows {
		if a := s.shared.arrivals[c]; a != nil && d.Jobs == 0 {
			d.Slack = max(seconds(a.slack), 0)
		}
		all = append(all, *d)
	}
	s.shared.own = work.MergeDemands(all)
	return s.shared.own
}

// addDemand adds the waiting tasks of the job to its contract's demand. A job that is held back does not
// wait for CPU: it would prolong the shortage, at all entries, for which it is held back.
func (j *job) addDemand(now time.Duration, d *work.Demand) {
	waiting := int64(0)
	for _, t := range j.tasks {
		if t.startable() && !j.heldBack {
			waiting += j.work.Steps[t.step].Need.CPUMilli
		}
	}
	d.WaitingMilli += waiting
	d.Work += j.coreTime() / milli
	d.Jobs++
	// A job that is late is served after those in time, so it does not determine the slack.
	if slack := j.startBy - now; slack > 0 && (d.Slack == 0 || slack < d.Slack) {
		d.Slack = slack
	}
}

// maxCovered is the largest number of other entries that a report may cover; one on more is ignored. A
// half more than the known ones may be new ones, or replaced ones that guards have not yet found gone.
func (p *Planner) maxCovered() int {
	// An entry that has just started knows only itself.
	if p.entries <= 1 {
		return maxOtherEntries
	}
	others := p.entries - 1
	return others + (others+1)/2
}

// recordOthers records a guard's report on other entries.
func (p *Planner) recordOthers(now time.Duration, e *endpoint, r EndpointStatus) {
	if r.OthersEntries < 0 || r.OthersEntries > p.maxCovered() {
		r.OthersEntries, r.OthersDemand = 0, nil
	}
	waits := slices.ContainsFunc(r.OthersDemand, func(o work.Demand) bool { return o.WaitingMilli > 0 })
	if waits && e.service != nil {
		e.service.shared.shortAt = now
	}
	e.others = othersReport{at: now, demand: r.OthersDemand, entries: r.OthersEntries, allocated: r.AllocatedByPriorityMilli}
}

// combineInterval is the least time between two combinations of the reports for a service.
func (s *service) combineInterval() time.Duration {
	return max(shareInterval, time.Duration(len(s.endpoints))*shareIntervalEach)
}

// combine updates what is known of the demand for a service, at most once per combineInterval.
func (p *Planner) combine(now time.Duration, s *service) *sharedDemand {
	d := s.shared
	if d.combinedAt > 0 && now-d.combinedAt < s.combineInterval() {
		return d
	}
	d.combinedAt = now
	d.others, d.visible, d.known = p.othersDemand(now, s)
	d.queue = s.sumQueue(now)
	d.held, d.heldKnown = s.heldByClass()
	d.rows = work.MergeDemands(s.ownDemand(now), d.others)
	d.capacity = float64(s.capacityMilli()) / d.visible
	// Without demand at other entries, jobs are ordered as without the part.
	d.overShare = nil
	if d.known && d.shortAt > 0 && now-d.shortAt < shortageMemory {
		d.overShare = overShares(d.rows, d.capacity)
	}
	waiting := int64(0)
	for _, row := range d.rows {
		waiting += row.WaitingMilli
	}
	if waiting > 0 && float64(waiting) >= scarceShare*d.capacity {
		d.scarceAt = now
	}
	return d
}

// updateShortage updates whether tasks are waiting anywhere, and only then what is known of the demand:
// without a shortage no decision depends on it.
func (p *Planner) updateShortage(now time.Duration, s *service) {
	last := max(s.lastWaiting, s.shared.shortAt)
	s.shared.short = p.sharesDemand() && last > 0 && now-last < shortageMemory
	if s.shared.short {
		p.combine(now, s)
	}
}

// othersDemand estimates the demand of all other entries from the recent reports of the guards; see
// reportFactors. Guards that serve a subset of the entries cover only some of them. visible is the
// estimated share of the guards that have sessions with this entry.
func (p *Planner) othersDemand(now time.Duration, s *service) (rows []work.Demand, visible float64, known bool) {
	var counts []int
	lists := make([][]work.Demand, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if e.others.entries == 0 || now-e.others.at >= maxReportAge {
			continue
		}
		counts = append(counts, e.others.entries)
		lists = append(lists, e.others.demand)
	}
	if len(counts) == 0 {
		return nil, 1, false
	}
	// The largest report counts: a smaller one may lack entries that were silent for a moment.
	largest := slices.Max(counts)
	most := max(largest, p.entries-1)
	visible = float64(largest+1) / float64(most+1)
	return work.MergeScaledDemands(lists, reportFactors(counts, most)), visible, true
}

// reportFactors returns the factors by which the demand in the guards' reports is multiplied to estimate
// that of all other entries by their sum; counts holds the number of entries that each report covers.
//
// The demand that the guards report is extrapolated linearly over the number of entries to that of all: an
// entry that some guards have heard, and others not, makes the difference between their reports, however
// few have heard it. The mean per covered entry instead would count an entry that gets no capacity, and is
// heard by a third of the guards, as a third of one with runs. The extrapolation goes no further beyond the
// largest number than that is from the mean; the rest, entries of which no guard has heard, are assumed to
// be like the others.
func reportFactors(counts []int, most int) []float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	mean, largest := float64(sum)/float64(len(counts)), float64(slices.Max(counts))
	squares := 0.0
	for _, n := range counts {
		squares += (float64(n) - mean) * (float64(n) - mean)
	}
	to := min(float64(most), 2*largest-mean)
	factors := make([]float64, len(counts))
	for i, n := range counts {
		factors[i] = 1 / float64(len(counts))
		if squares > 0 {
			factors[i] += (float64(n) - mean) * (to - mean) / squares
		}
		factors[i] *= float64(most) / to
	}
	return factors
}

// capacityMilli is the CPU of the service's endpoints that are not cordoned.
func (s *service) capacityMilli() int64 {
	var sum int64
	for _, e := range s.endpoints {
		if !e.cordoned {
			sum += e.total.CPUMilli
		}
	}
	return sum
}

// ownQueue holds sums of the waiting work of this entry, in core-seconds.
type ownQueue struct {
	// started is the work of jobs that have started, which go before all others.
	started float64
	// inTime holds the jobs that can still start in time by priority, late those that can't.
	inTime map[int]workByStart
	late   workByStart
}

// workByStart is a list of jobs by their latest start, with the sums of their work.
type workByStart struct {
	startBy []time.Duration
	// upTo is the work of the jobs up to and including each one.
	upTo []float64
}

func (l workByStart) add(j *job) workByStart {
	return workByStart{append(l.startBy, j.startBy), append(l.upTo, l.total()+j.coreTime()/milli)}
}

func (l workByStart) total() float64 { return l.before(math.MaxInt64) }

// before returns the work of the jobs that must start before the given time.
func (l workByStart) before(startBy time.Duration) float64 {
	n := sort.Search(len(l.startBy), func(i int) bool { return l.startBy[i] >= startBy })
	if n == 0 {
		return 0
	}
	return l.upTo[n-1]
}

func (s *service) sumQueue(now time.Duration) ownQueue {
	q := ownQueue{inTime: map[int]workByStart{}}
	for _, j := range s.started {
		q.started += j.coreTime() / milli
	}
	for _, j := range s.unstarted {
		if j.startBy < now {
			q.late = q.late.add(j)
			continue
		}
		q.inTime[j.terms.Priority] = q.inTime[j.terms.Priority].add(j)
	}
	return q
}

// ahead returns the work of this entry that goes before a job.
func (q ownQueue) ahead(now time.Duration, j *job) float64 {
	sum := q.started
	late := j.startBy < now
	for priority, l := range q.inTime {
		switch {
		case late || priority < j.terms.Priority:
			sum += l.total()
		case priority == j.terms.Priority:
			sum += l.before(j.startBy)
		}
	}
	if late {
		sum += q.late.before(j.startBy)
	}
	return sum
}

// workAhead returns the waiting work of all entries that goes before a job at the endpoints of this
// entry, in core-seconds; known is false if the demand of the other entries is not known, or nothing
// waits there.
func (p *Planner) workAhead(now time.Duration, j *job) (coreSeconds float64, known bool) {
	d := j.service.shared
	if !p.sharesDemand() || d.shortAt == 0 || now-d.shortAt >= maxReportAge {
		return 0, false
	}
	p.combine(now, j.service)
	waiting := slices.ContainsFunc(d.others, func(o work.Demand) bool { return o.WaitingMilli > 0 })
	if !d.known || !waiting {
		return 0, false
	}
	sum := d.queue.ahead(now, j)
	for _, o := range d.others {
		sum += o.Work * j.shareAhead(now, o) * d.visible
	}
	return sum, true
}

// shareAhead returns the share of a contract's work at other entries that goes before the job.
func (j *job) shareAhead(now time.Duration, o work.Demand) float64 {
	slack := j.startBy - now
	switch {
	case o.Priority < j.terms.Priority:
		return 1
	case o.Priority > j.terms.Priority || o.Slack <= 0 || slack > 0 && o.Slack >= slack:
		return 0
	case o.Contract == j.contract:
		return ownElsewhereShare
	default:
		return 1
	}
}
