package replay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"almondstand.dev/dispatch/handover"
	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/sessions/turns"
	"almondstand.dev/guard/subset"
)

// Delays, one way each.
const (
	// messageDelay is between an entry and a guard.
	messageDelay = time.Millisecond
	// runnerDelay is the time from a guard's order to the runner's answer, and from the
	// end of a run until the guard knows of it.
	runnerDelay = 2 * time.Millisecond
	// stopGrace is how long a run takes to end after it was stopped.
	stopGrace = 50 * time.Millisecond
	// pingInterval is the interval at which an entry sends a message to a guard even if it has no
	// orders, and idleInterval that for guards at which it has no run.
	pingInterval = 150 * time.Millisecond
	idleInterval = time.Second
	// sweepInterval is the interval at which guards check for runs that must be
	// stopped.
	sweepInterval = 20 * time.Millisecond
)

// Policy is a scheduling policy to compare.
type Policy struct {
	Name string
	// Terms converts the contract's terms into those passed to the planner.
	Terms func(planner.Terms) planner.Terms
}

// Policies returns the production policy and a simple one for comparison.
func Policies() []Policy {
	return []Policy{
		{Name: "almondstand", Terms: func(t planner.Terms) planner.Terms { return t }},
		{Name: "first come, none refused", Terms: deadlineOnly},
	}
}

// deadlineOnly lets every job wait until its caller's deadline, so that jobs start in
// order of their deadlines and none is rejected earlier.
func deadlineOnly(t planner.Terms) planner.Terms {
	t.TargetMargin = time.Hour
	return t
}

// sim is the state of one simulation.
type sim struct {
	load     Load
	policy   Policy
	runs     *rand.Rand
	now      time.Duration
	queue    events
	eventSeq int
	entries  []*entry
	guards   []*guard
	byID     map[string]*guard
	// byAddress holds the entries by their addresses.
	byAddress map[string]*entry
	result    *Result
}

// entrySeeds is larger than the number of entries, so that entries of runs with
// different seeds never share a seed.
const entrySeeds = 100

// simStart is the time at which the simulation starts. It isn't zero because planners
// interpret zero as never.
const simStart = time.Second

// Simulate simulates a load with one policy; the same seed gives the same result.
func Simulate(l Load, w Policy, seed uint64) *Result {
	s := &sim{
		load:      l,
		policy:    w,
		runs:      rand.New(rand.NewPCG(seed, runStream)),
		now:       simStart,
		byID:      map[string]*guard{},
		byAddress: map[string]*entry{},
		result:    newResult(l, w.Name),
	}
	s.build(seed)
	for _, a := range arrivals(l, seed) {
		s.at(a.at, func() { s.submit(a) })
	}
	last := simStart + l.For
	for len(s.queue) > 0 {
		e := s.queue.pop()
		if e.at > last+drainTime {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.result
}

// drainTime is how long jobs may continue after the last arrival.
const drainTime = 4 * time.Second

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *sim) at(t time.Duration, do func()) {
	s.eventSeq++
	s.queue.push(event{max(t, s.now), s.eventSeq, do})
}

func (s *sim) build(seed uint64) {
	for _, z := range s.load.DataCentres {
		for range z.Runners {
			g := newGuard(s, len(s.guards), z.Name)
			s.guards = append(s.guards, g)
			s.byID[g.id] = g
		}
	}
	for _, z := range s.load.DataCentres {
		for i := range z.Entries {
			n := len(s.entries)
			e := &entry{
				sim:        s,
				number:     n,
				name:       fmt.Sprint("entry-", n),
				dataCentre: z.Name,
				plan:       planner.New(planner.Options{DataCentre: z.Name, Seed: seed*entrySeeds + uint64(n), Disabled: s.load.Disabled}),
				jobs:       map[string]*pendingJob{},
				clocks:     map[string]clockReading{},
				confirmed:  map[string]time.Duration{},
				cpu:        processor{sim: s, share: z.cpuShare(i)},
				cores:      cmp.Or(z.cpuShare(i), wholeHost),
				hand:       s.newHandingOver(seed*entrySeeds + uint64(n)),
			}
			s.entries = append(s.entries, e)
			s.byAddress[e.address()] = e
			if e.hand != nil {
				e.sampleUsage()
			}
		}
	}
	for _, e := range s.entries {
		e.plan.SetEntries(len(s.entries))
	}
	for _, g := range s.guards {
		for _, e := range s.subset(g) {
			e.plan.AttachEndpoint(g.id, g.dataCentre, true)
			g.attach(e)
		}
	}
	for _, t := range s.load.RunnerFaults {
		s.scheduleFault(t)
	}
	for _, h := range s.load.EntrySlowdowns {
		s.scheduleThrottle(h)
	}
}

// subset returns the entries with which a guard keeps sessions.
func (s *sim) subset(g *guard) []*entry {
	var known []subset.Entry
	for _, e := range s.entries {
		known = append(known, subset.Entry{Address: e.address(), Rank: subset.Rank(g.id, e.address())})
	}
	var chosen []*entry
	for _, name := range subset.Choose(known, subset.DefaultSize) {
		chosen = append(chosen, s.byAddress[name])
	}
	return chosen
}

// scheduleFault schedules a fault of the first runners of each data centre.
func (s *sim) scheduleFault(t RunnerFault) {
	faultyRunners := map[string]int{}
	for _, g := range s.guards {
		if faultyRunners[g.dataCentre]++; faultyRunners[g.dataCentre] > t.Runners {
			continue
		}
		s.at(simStart+t.At, func() { g.injectFault(t) })
		s.at(simStart+t.At+t.For, func() { g.clearFault(t) })
	}
}

// scheduleThrottle schedules a temporary slowdown of the entries' processors.
func (s *sim) scheduleThrottle(h EntrySlowdown) {
	for _, e := range s.entries {
		share := e.cpu.share
		s.at(simStart+h.At, func() { e.cpu.share = share / h.Times })
		s.at(simStart+h.At+h.For, func() { e.cpu.share = share })
	}
}

// pendingJob is a job whose caller waits for the answer.
type pendingJob struct {
	arrival
	// startedRuns is the number of its runs that have started.
	startedRuns int
	// returning is true for a job that was rejected before.
	returning bool
	// from is the entry that handed the job over; nil if none did.
	from *entry
}

// clockReading is the value of a guard's clock and the time at which it was received.
type clockReading struct{ clock, at time.Duration }

// entry simulates an entry with its planner.
type entry struct {
	sim        *sim
	number     int
	name       string
	dataCentre string
	// cores is the number of cores of its host.
	cores    float64
	plan     *planner.Planner
	jobs     map[string]*pendingJob
	jobCount int
	cpu      processor
	// hand is the state of the handover of jobs; nil if none is handed over.
	hand *handingOver
	// clocks holds the last received clock reading of each guard.
	clocks map[string]clockReading
	// confirmed holds, by guard, the newest clock reading that the guard knows this
	// entry has received.
	confirmed map[string]time.Duration
	// turns is the order in which guards without a run are sent demand.
	turns turns.Queue
	// timerID identifies the current timer; older timers are ignored.
	timerID int
}

// submit passes a job to the entry chosen for it in its data centre.
func (s *sim) submit(a arrival) {
	n := 0
	for _, e := range s.entries {
		if e.dataCentre != a.dataCentre {
			continue
		}
		if n == a.entry {
			cost := jobCost
			if e.hand != nil {
				cost = requestCost
			}
			e.cpu.run(cost, func() { e.requested(a) })
			return
		}
		n++
	}
}

func (e *entry) submit(a arrival) {
	id := e.nextID()
	e.scheduleLeave(id, a)
	e.submitAs(id, a, false, nil)
}

// nextID returns the id of the next job.
func (e *entry) nextID() string {
	e.jobCount++
	return fmt.Sprintf("%d-%d", e.number, e.jobCount)
}

// submitAs passes a job to the planner under an id; from is the entry that handed it over, nil if none
// did.
func (e *entry) submitAs(id string, a arrival, returning bool, from *entry) {
	e.jobs[id] = &pendingJob{arrival: a, returning: returning, from: from}
	j, terms := e.sim.job(id, a)
	if from != nil {
		e.plan.SubmitWaited(e.sim.now, a.at+a.deadline, e.sim.now-a.at, j, terms)
	} else {
		e.plan.Submit(e.sim.now, e.sim.now+a.deadline, j, terms)
	}
	e.runPlanner()
}

// job returns the job of an arrival under an id, and its terms.
func (s *sim) job(id string, a arrival) (work.Job, planner.Terms) {
	k := s.load.Kinds[a.kind]
	j := work.Job{ID: id, Steps: []work.Step{{
		Count:    k.Tasks,
		Need:     work.Amounts{CPUMilli: k.CPUMilli},
		Declared: time.Duration(float64(k.Run) * a.declared),
	}}}
	return j, s.policy.Terms(planner.Terms{
		Contract: k.Name, Service: service, Priority: k.Priority, MaxAttempts: 2, TargetFactor: targetFactor, TargetMargin: targetAllowance,
	})
}

// runPlanner carries out the planner's decisions and sets the timer for the next ones.
func (e *entry) runPlanner() {
	s := e.sim
	out, next := e.plan.Act(s.now)
	// The planner iterates over its jobs in no defined order.
	slices.SortStableFunc(out.Stops, func(a, b planner.Stop) int { return byTask(a.Run.Task, b.Run.Task) })
	byGuard := map[string]*orders{}
	var guardIDs []string
	of := func(id string) *orders {
		if byGuard[id] == nil {
			byGuard[id] = &orders{}
			guardIDs = append(guardIDs, id)
		}
		return byGuard[id]
	}
	for _, x := range out.Starts {
		of(x.Endpoint).starts = append(of(x.Endpoint).starts, x)
	}
	for _, x := range out.Stops {
		of(x.Endpoint).stops = append(of(x.Endpoint).stops, x.Run)
		s.result.countStop(s.now-simStart, x.Reason)
	}
	for _, id := range out.NotifyWaiting {
		of(id)
	}
	for _, id := range guardIDs {
		e.send(s.guard(id), *byGuard[id])
	}
	for _, ended := range out.Ended {
		e.ended(ended)
	}
	e.timerID++
	current := e.timerID
	s.at(max(next, s.now+time.Millisecond), func() {
		if e.timerID == current {
			e.cpu.run(0, e.runPlanner)
		}
	})
}

// orders are the starts and stops of one message.
type orders struct {
	starts []planner.Start
	stops  []work.RunID
}

// entryMessage is a message from an entry to a guard.
type entryMessage struct {
	sent, read time.Duration
	pending    bool
	demand     int64
	rows       []work.Demand
	orders     orders
	// load is the load of the entry, wantsSpare true if it hands jobs over or soon will.
	load       handover.Load
	wantsSpare bool
}

// send sends a message to a guard.
func (e *entry) send(g *guard, o orders) {
	e.cpu.addCost(sendCost)
	sent, read := e.guardClock(g.id), e.clocks[g.id].clock
	e.confirmed[g.id] = read
	g.session(e).recordSent(o)
	m := entryMessage{sent: sent, read: read, orders: o, rows: e.plan.Demand(e.sim.now, g.id)}
	m.pending, m.demand = e.plan.PendingDemand(e.sim.now, g.id)
	e.reportLoad(&m)
	e.sim.after(messageDelay, func() { g.receive(e, m) })
}

// guardClock returns the guard's current clock as the entry estimates it: the last
// reading plus the time since.
func (e *entry) guardClock(guard string) time.Duration {
	r := e.clocks[guard]
	return r.clock + e.sim.now - r.at
}

func (s *sim) guard(id string) *guard { return s.byID[id] }
