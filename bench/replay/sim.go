package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/subset"
)

// Delays, each way.
const (
	// messageTime is between an entry and a guard.
	messageTime = time.Millisecond
	// startTime is from a guard's order to the runner's answer, and from the end of
	// a run to the guard's knowledge of it.
	startTime = 2 * time.Millisecond
	// stopGrace is how long a run takes to end that is stopped.
	stopGrace = 50 * time.Millisecond
	// pingEvery is the pause after which a busy guard hears from an entry.
	pingEvery = 150 * time.Millisecond
	// sweepEvery paces the guards' check of what must end.
	sweepEvery = 20 * time.Millisecond
)

// Way of deciding that is compared.
type Way struct {
	Name string
	// Terms turns the contract's terms into those that the planner is given.
	Terms func(planner.Terms) planner.Terms
}

// Ways returns the product's way and the simple one that it is held against.
func Ways() []Way {
	return []Way{
		{Name: "almondstand", Terms: func(t planner.Terms) planner.Terms { return t }},
		{Name: "first come, none refused", Terms: patient},
	}
}

// patient gives every job until its caller's deadline, so that jobs start in the
// order of their deadlines and none is turned away before.
func patient(t planner.Terms) planner.Terms {
	t.Allowance = time.Hour
	return t
}

// sim is one run.
type sim struct {
	load    Load
	way     Way
	runs    *rand.Rand
	now     time.Duration
	queue   events
	pushed  int
	entries []*entry
	guards  []*guard
	byID    map[string]*guard
	result  *Result
}

// entrySeeds keeps the seeds of the entries of different runs apart.
const entrySeeds = 100

// begin is the time of the first event: planners take zero for never.
const begin = time.Second

// Play runs a load in one way; the same seed gives the same run.
func Play(l Load, w Way, seed uint64) *Result {
	s := &sim{
		load:   l,
		way:    w,
		runs:   rand.New(rand.NewPCG(seed, runStream)),
		now:    begin,
		byID:   map[string]*guard{},
		result: newResult(l, w.Name),
	}
	s.build(seed)
	for _, a := range arrivals(l, seed) {
		s.at(a.at, func() { s.submit(a) })
	}
	last := begin + l.For
	for len(s.queue) > 0 {
		e := s.queue.pop()
		if e.at > last+settleFor {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.result
}

// settleFor is how long jobs may go on after the last arrival.
const settleFor = 4 * time.Second

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *sim) at(t time.Duration, do func()) {
	s.pushed++
	s.queue.push(event{max(t, s.now), s.pushed, do})
}

func (s *sim) build(seed uint64) {
	for _, z := range s.load.Zones {
		for range z.Runners {
			g := newGuard(s, len(s.guards), z.Name)
			s.guards = append(s.guards, g)
			s.byID[g.id] = g
		}
	}
	for _, z := range s.load.Zones {
		for range z.Entries {
			n := len(s.entries)
			s.entries = append(s.entries, &entry{
				sim:       s,
				number:    n,
				zone:      z.Name,
				plan:      planner.New(planner.Options{Zone: z.Name, Seed: seed*entrySeeds + uint64(n)}),
				jobs:      map[string]*submitted{},
				clocks:    map[string]reading{},
				confirmed: map[string]time.Duration{},
				cpu:       processor{sim: s, share: z.Share},
			})
		}
	}
	for _, g := range s.guards {
		for _, e := range s.subset(g) {
			e.plan.Attach(g.id, g.zone, true)
			g.attach(e)
		}
	}
	for _, t := range s.load.Troubles {
		s.trouble(t)
	}
	for _, h := range s.load.Held {
		s.hold(h)
	}
}

// subset returns the entries with which a guard keeps sessions.
func (s *sim) subset(g *guard) []*entry {
	byName := map[string]*entry{}
	var known []subset.Entry
	for _, e := range s.entries {
		name := fmt.Sprint("entry-", e.number)
		byName[name] = e
		known = append(known, subset.Entry{Address: name, Rank: subset.Rank(g.id, name)})
	}
	var chosen []*entry
	for _, name := range subset.Choose(known, subset.Size) {
		chosen = append(chosen, byName[name])
	}
	return chosen
}

// trouble befalls the first runners of each zone.
func (s *sim) trouble(t Trouble) {
	hit := map[string]int{}
	for _, g := range s.guards {
		if hit[g.zone]++; hit[g.zone] > t.Runners {
			continue
		}
		s.at(begin+t.At, func() { g.suffer(t) })
		s.at(begin+t.At+t.For, func() { g.recover(t) })
	}
}

// hold slows the processors of entries for a while.
func (s *sim) hold(h Held) {
	for _, e := range s.entries {
		share := e.cpu.share
		s.at(begin+h.At, func() { e.cpu.share = share / h.Times })
		s.at(begin+h.At+h.For, func() { e.cpu.share = share })
	}
}

// submitted is a job whose caller waits.
type submitted struct {
	arrival
	// began counts the runs that have begun.
	began int
}

// reading of a guard's clock, and when it was read.
type reading struct{ clock, at time.Duration }

// entry is one planner.
type entry struct {
	sim    *sim
	number int
	zone   string
	plan   *planner.Planner
	jobs   map[string]*submitted
	made   int
	cpu    processor
	// clocks are the guards' clocks as last read, by guard.
	clocks map[string]reading
	// confirmed are the newest clocks that the guards know to have been read.
	confirmed map[string]time.Duration
	// wake is the newest wake: older ones are void.
	wake int
}

// submit has a job taken by its zone's entry.
func (s *sim) submit(a arrival) {
	n := 0
	for _, e := range s.entries {
		if e.zone != a.zone {
			continue
		}
		if n == a.entry {
			e.cpu.run(jobCost, func() { e.submit(a) })
			return
		}
		n++
	}
}

func (e *entry) submit(a arrival) {
	k := e.sim.load.Kinds[a.kind]
	e.made++
	id := fmt.Sprintf("%d-%d", e.number, e.made)
	e.jobs[id] = &submitted{arrival: a}
	j := work.Job{ID: id, Steps: []work.Step{{
		Count:    k.Tasks,
		Need:     work.Amounts{CPUMilli: k.CPUMilli},
		Declared: time.Duration(float64(k.Run) * a.declared),
	}}}
	terms := e.sim.way.Terms(planner.Terms{
		Contract: k.Name, Service: service, Urgency: k.Urgency, MaxAttempts: 2, Stretch: stretch, Allowance: allowance,
	})
	e.plan.Submit(e.sim.now, e.sim.now+k.Deadline, j, terms)
	e.act()
}

// act carries the planner's orders out.
func (e *entry) act() {
	s := e.sim
	out, next := e.plan.Act(s.now)
	// The planner looks through its jobs in no order.
	slices.SortStableFunc(out.Stops, func(a, b planner.Stop) int { return byTask(a.Run.Task, b.Run.Task) })
	byGuard := map[string]*orders{}
	var touched []string
	of := func(id string) *orders {
		if byGuard[id] == nil {
			byGuard[id] = &orders{}
			touched = append(touched, id)
		}
		return byGuard[id]
	}
	for _, x := range out.Starts {
		of(x.Endpoint).starts = append(of(x.Endpoint).starts, x)
	}
	for _, x := range out.Stops {
		of(x.Endpoint).stops = append(of(x.Endpoint).stops, x.Run)
	}
	for _, id := range out.Wake {
		of(id)
	}
	for _, id := range touched {
		e.send(s.guard(id), *byGuard[id])
	}
	for _, ended := range out.Ended {
		s.result.ended(s, e, ended)
	}
	e.wake++
	mine := e.wake
	s.at(max(next, s.now+time.Millisecond), func() {
		if e.wake == mine {
			e.cpu.run(0, e.act)
		}
	})
}

// orders of one message.
type orders struct {
	starts []planner.Start
	stops  []work.RunID
}

// send puts a message to a guard on its way.
func (e *entry) send(g *guard, o orders) {
	e.cpu.spend(sendCost)
	sent, read := e.date(g.id), e.clocks[g.id].clock
	e.confirmed[g.id] = read
	pending, demand := e.plan.Waiting(e.sim.now, g.id)
	e.sim.after(messageTime, func() { g.receive(e, sent, read, pending, demand, o) })
}

// date is the guard's clock as the entry knows it: what it read last, and the time since.
func (e *entry) date(guard string) time.Duration {
	r := e.clocks[guard]
	return r.clock + e.sim.now - r.at
}

func (s *sim) guard(id string) *guard { return s.byID[id] }
