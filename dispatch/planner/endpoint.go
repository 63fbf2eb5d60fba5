package planner

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// EndpointStatus is an endpoint's state as its guard reports it.
type EndpointStatus struct {
	Service string
	// Runner is the runner's current process; empty while there is none.
	Runner work.Incarnation
	// RunnerRevision rises at the guard when the runner's process, its service or its labels
	// change; zero if the guard does not report it.
	RunnerRevision uint64
	AcceptsStarts  bool
	Total          work.Amounts
	Used           work.Amounts
	Labels         []string
	// Reconciled is true once no run that an earlier incarnation of the guard ordered is running
	// or can still start.
	Reconciled bool
	// ColdLeft is how much longer the runner is slow after its start.
	ColdLeft time.Duration
	// ReleasesMilli is the CPU that the runs of all entries are expected to release within each of
	// work.ReleaseHorizons, cumulative, in thousandths of a core; nil if the guard does not
	// estimate it.
	ReleasesMilli []int64
	// RunTimePermille is the mean ratio of run times at the runner to the expected ones, in
	// thousandths, and RunTimeSamples the number of runs that it covers; zero if unknown.
	RunTimePermille, RunTimeSamples int
	// AllocatedByPriorityMilli is the CPU held by the runs of all entries, by work.PriorityClass, in
	// thousandths of a core; nil if the guard does not report it.
	AllocatedByPriorityMilli []int64
	// OthersDemand is the demand that the other entries attached to the guard have reported, and
	// OthersEntries the number of these entries.
	OthersDemand  []work.Demand
	OthersEntries int
}

// endpoint is a runner with its guard.
type endpoint struct {
	id         string
	dataCentre string
	service    *service
	runner     work.Incarnation
	// runnerRevision is that of the guard's last report.
	runnerRevision uint64
	// attached is false while the guard cannot be reached.
	attached bool
	open     bool
	total    work.Amounts
	// maxTotal is the largest capacity that this process of the runner has had: capacity that
	// has shrunk may grow again.
	maxTotal work.Amounts
	// used is what is in use by the guard's report, for all entries; ordered is what this entry
	// has ordered since and the guard has not answered yet.
	used, ordered work.Amounts
	labels        []string
	// reportedAt is when the guard last reported the endpoint's capacity.
	reportedAt time.Duration
	runs       map[work.TaskID]*task
	health     health
	speed      speed
	lasting    lastingSpeed
	// stalledAt is when a run there was first reported stalled within stallWindow; zero for never.
	stalledAt time.Duration
	// suspects counts the open runs of tasks that have crashes attributed to them.
	suspects int
	// cordoned is true while the endpoint's data centre is cordoned.
	cordoned bool
	// coldUntil is the time until which the runner is slow after its start.
	coldUntil time.Duration
	// keepsID is true once a process of the runner has named its start time: the next one may have the
	// same id and execute late starts.
	keepsID bool
	// contactAt is the time up to which the guard's late starts are known from its own messages.
	contactAt time.Duration
	releases  releases
	// acceptedAt is when the endpoint last reported that it accepts starts, and acceptedMilli its
	// capacity then.
	acceptedAt    time.Duration
	acceptedMilli int64
	// others is the guard's last report on other entries.
	others othersReport
}

// cold reports whether the endpoint's runner is still slow after its start.
func (e *endpoint) cold(now time.Duration) bool { return now < e.coldUntil }

func (e *endpoint) free() work.Amounts { return e.total.Sub(e.used).Sub(e.ordered) }

// AttachEndpoint adds an endpoint, or marks it reachable again, and returns the runs whose state its
// guard is to be asked for. newGuard is true for a new incarnation of the guard: it knows
// nothing of the runs that the earlier one was given, and these may go on until it reports that
// its runner is reconciled (EndpointStatus.Reconciled). Starting one of their tasks elsewhere
// before that would run it twice.
func (p *Planner) AttachEndpoint(id, dataCentre string, newGuard bool) []work.RunID {
	e := p.endpoints[id]
	if e == nil {
		e = &endpoint{id: id, dataCentre: dataCentre, runs: map[work.TaskID]*task{}}
		p.endpoints[id] = e
	}
	e.attached = true
	e.dataCentre = dataCentre
	e.cordoned = p.cordons[dataCentre]
	open := make([]work.RunID, 0, len(e.runs))
	for _, t := range e.runs {
		t.orphaned = t.orphaned || newGuard
		if t.orphaned {
			t.progress = progress{}
			continue
		}
		open = append(open, t.run())
		if t.stopping {
			// The stop order may have been lost with the earlier session.
			p.stop(t, t.stopReason)
		}
	}
	if newGuard {
		e.others = othersReport{}
		e.open = false
	}
	return open
}

// closeOrphans closes the runs that an endpoint's earlier guards were given.
func (p *Planner) closeOrphans(now time.Duration, e *endpoint) {
	for _, t := range e.runs {
		if !t.orphaned {
			continue
		}
		if t.keepsID {
			// The earlier guard may have left starts unanswered. The current one has fenced its
			// runner's process, but not the next process under the runner's id.
			p.RecordLateStart(now, e.id, t.id(), work.LateStartWindow)
		}
		// Whether it ran is unknown: its guard's records are lost.
		t.job.mayHaveRun = true
		p.closeRun(t)
		p.requeueTask(t)
	}
}

// DetachEndpoint marks an endpoint whose guard cannot be reached. Its runs stay open, as they may
// still be in progress.
func (p *Planner) DetachEndpoint(id string) {
	if e := p.endpoints[id]; e != nil {
		e.attached = false
	}
}

// ReleaseEndpoint removes an endpoint whose guard serves other entries from now on. It returns false
// while runs are open there or it accepts starts.
func (p *Planner) ReleaseEndpoint(id string) bool {
	e := p.endpoints[id]
	if e == nil {
		return true
	}
	if len(e.runs) > 0 || e.open {
		return false
	}
	p.DetachEndpoint(id)
	return p.RemoveEndpoint(id)
}

// RemoveEndpoint removes a detached endpoint without open runs. It returns false if it has open runs
// or is attached.
func (p *Planner) RemoveEndpoint(id string) bool {
	e := p.endpoints[id]
	if e == nil {
		return true
	}
	if len(e.runs) > 0 || e.attached {
		return false
	}
	p.setService(e, nil)
	delete(p.endpoints, id)
	p.contact.scannedAt = never
	return true
}

// UpdateEndpoint updates an endpoint from its guard's report.
func (p *Planner) UpdateEndpoint(now time.Duration, id string, r EndpointStatus) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if r.Reconciled {
		p.closeOrphans(now, e)
	}
	before := e.service
	if r.Service != "" {
		p.setService(e, p.service(r.Service))
	}
	if r.Runner != e.runner {
		e.health, e.speed = health{}, speed{}
		e.maxTotal = work.Amounts{}
	}
	e.reportedAt = now
	p.recordOthers(now, e, r)
	e.runner, e.runnerRevision = r.Runner, r.RunnerRevision
	if r.Runner.StartedMilli > 0 && !e.keepsID {
		e.keepsID, p.contact.lateStartsPossible = true, true
		p.contact.oldest = min(p.contact.oldest, e.contactAt)
	}
	e.open = r.AcceptsStarts
	e.total = r.Total
	e.maxTotal = e.maxTotal.Max(r.Total)
	e.used = r.Used
	e.labels = r.Labels
	p.updateSpeed(e, r)
	for _, s := range []*service{before, e.service} {
		if s != nil {
			p.refreshFactors(now, s)
		}
	}
	e.releases.update(now, r.ReleasesMilli)
	if r.AcceptsStarts {
		e.acceptedAt, e.acceptedMilli = now, r.Total.CPUMilli
	}
	e.coldUntil = 0
	if r.ColdLeft > 0 {
		e.coldUntil = now + r.ColdLeft
	}
}

// setService assigns an endpoint to another service, or to none for nil.
func (p *Planner) setService(e *endpoint, to *service) {
	if e.service == to {
		return
	}
	if e.service != nil {
		e.service.endpoints = slices.DeleteFunc(e.service.endpoints, func(o *endpoint) bool { return o == e })
		e.service.speeds.stale = true
	}
	e.service = to
	if to != nil {
		to.endpoints = append(to.endpoints, e)
		to.speeds.stale = true
	}
}

// acceptsStarts reports whether starts may be sent to the endpoint.
func (e *endpoint) acceptsStarts() bool { return e.attached && e.open && !e.cordoned }

// CountReachable counts the endpoints that accept starts, or that are cordoned and can be reached.
func (p *Planner) CountReachable() int {
	n := 0
	for _, e := range p.endpoints {
		if e.attached && (e.open || e.cordoned) {
			n++
		}
	}
	return n
}

// State is the state of an endpoint, for metrics.
type State string

// Values of State.
const (
	// Accepting: it gets starts.
	Accepting State = "taking"
	// Closed: its guard accepts no starts.
	Closed State = "closed"
	// Ejected: it is ejected because its runs fail, and a single task is tried there now and then;
	// or its runner restarts too often.
	Ejected State = "set_aside"
	// Unresponsive: a start order there, or in its data centre, is overdue for an answer.
	Unresponsive State = "silent"
	// Cordoned: its data centre is cordoned.
	Cordoned State = "cordoned"
	// Detached: its guard cannot be reached.
	Detached State = "detached"
)

// States returns all values of State.
func States() []State { return []State{Accepting, Closed, Ejected, Unresponsive, Cordoned, Detached} }

// CountEndpoints counts the endpoints by state; every state is in the result.
func (p *Planner) CountEndpoints(now time.Duration) map[State]int {
	n := map[State]int{}
	for _, s := range States() {
		n[s] = 0
	}
	for _, e := range p.endpoints {
		state := e.state(now)
		if state == Accepting && p.silent[e.dataCentre] {
			state = Unresponsive
		}
		n[state]++
	}
	return n
}

func (e *endpoint) state(now time.Duration) State {
	switch {
	case !e.attached:
		return Detached
	case e.cordoned:
		return Cordoned
	case !e.open:
		return Closed
	case e.unanswered(now):
		return Unresponsive
	case e.health.ejected:
		return Ejected
	default:
		return Accepting
	}
}

// fit reports whether the endpoints of a service could ever run a job.
type fit int

const (
	fitsSome fit = iota
	noEndpoint
	// fitsCordoned: only cordoned endpoints could run a step.
	fitsCordoned
	tooLarge
)

// fits reports whether for each unfinished step there is an endpoint that could ever run it. The capacity
// that a runner had before it shrank counts: a task too large for what is left may still be
// served in time.
func (s *service) fits(j *job) fit {
	result := fitsSome
	for number, step := range j.work.Steps {
		if j.unfinished[number] == 0 {
			continue
		}
		switch f := s.fitsStep(step); f {
		case noEndpoint, tooLarge:
			return f
		case fitsCordoned:
			result = fitsCordoned
		}
	}
	return result
}

func (s *service) fitsStep(step work.Step) fit {
	result := noEndpoint
	for _, e := range s.endpoints {
		if e.maxTotal == (work.Amounts{}) {
			continue
		}
		if result == noEndpoint {
			result = tooLarge
		}
		if !step.Need.Fits(e.maxTotal) || !e.hasLabel(step.Label) {
			continue
		}
		if !e.cordoned {
			return fitsSome
		}
		result = fitsCordoned
	}
	return result
}

func (e *endpoint) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.labels, label)
}
