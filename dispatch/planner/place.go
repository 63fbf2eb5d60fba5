package planner

import (
	"cmp"
	"slices"
	"time"

	"almondstand.dev/dispatch/backlog"
	"almondstand.dev/dispatch/work"
)

const (
	// sampleSize is how many endpoints with free capacity are compared for a placement. With
	// two, the fullest of many endpoints is rarely picked; with more, entries that know the
	// same pick the same endpoint.
	sampleSize = 3
	// maxRandomPicks limits the random picks before all endpoints are searched.
	maxRandomPicks = 8
	// capacityShareDivisor limits what one message takes to an endpoint's free capacity divided
	// by it: other entries know of the same free capacity. Taking all of it has a third more
	// orders refused on a calm day (replay, two seeds).
	capacityShareDivisor = 2
	// maxMissedNeeds limits the needs that are remembered in one round because no endpoint had
	// capacity for them: a task that needs at least as much as one of them is not tried.
	maxMissedNeeds = 6
)

// place starts the tasks that fit. A task that needs less than one for which there is no
// capacity may still fit beside the running ones, so the jobs after it are tried too.
func (p *Planner) place(now time.Duration, s *service) {
	s.shared.heldBack = false
	if len(s.started)+len(s.unstarted) == 0 {
		return
	}
	s.updateSlow(now)
	p.updateSilent(now, s)
	var missed []work.Step
	p.updateShortage(now, s)
	for _, j := range s.order(now) {
		if len(missed) >= maxMissedNeeds {
			return
		}
		if !p.knowsLateStarts(now, j.received) {
			p.contact.blocked = true
			continue
		}
		if j.heldBack = p.heldBack(now, j); j.heldBack {
			s.shared.heldBack = true
			if !j.wasHeldBack {
				j.wasHeldBack = true
				p.out.HeldBack = append(p.out.HeldBack, j.work.ID)
			}
			continue
		}
		unstarted := !j.started
		missed = p.placeJob(now, j, missed)
		if unstarted && j.started {
			s.startedJobs++
		}
	}
}

// latestStartInterval is the number of jobs of which one is chosen by its latest start time,
// regardless of its priority: a contract whose load alone fills the runners must
// not starve the others.
const latestStartInterval = 4

// order returns the waiting jobs in the order in which they are tried: started ones, then
// those that can still meet their response-time target, by priority, with those of contracts over
// their share last, then those that cannot.
func (s *service) order(now time.Duration) []*job {
	late := sortIndex(s.unstarted, func(j *job) bool { return j.startBy >= now })
	inTime := slices.Clone(s.unstarted[late:])
	if s.startedJobs%latestStartInterval != latestStartInterval-1 {
		slices.SortStableFunc(inTime, func(a, b *job) int {
			return cmp.Or(a.terms.Priority-b.terms.Priority, s.shareRank(a)-s.shareRank(b))
		})
	}
	backlog.Reorder(inTime, describeQueued)
	return slices.Concat(s.started, inTime, s.unstarted[:late])
}

// placeJob starts the tasks of a job that fit. It returns missed with the steps added for
// which there was no capacity.
func (p *Planner) placeJob(now time.Duration, j *job, missed []work.Step) []work.Step {
	all := true
	for number, step := range j.work.Steps {
		if !j.eligible(number) {
			continue
		}
		if cannotFit(step, missed) {
			all = false
			continue
		}
		switch p.placeStep(now, j, number) {
		case noCapacity:
			all = false
			missed = append(missed, step)
		case taskWaits:
			all = false
		}
	}
	if all {
		j.service.remove(j)
	} else {
		j.service.promote(j)
	}
	return missed
}

// cannotFit reports whether a step needs at least as much as one for which there was no
// capacity.
func cannotFit(step work.Step, missed []work.Step) bool {
	for _, m := range missed {
		if m.Need.Fits(step.Need) && m.Label == step.Label && m.MaxPerRunner == 0 {
			return true
		}
	}
	return false
}

// placeResult is the result for the startable tasks of a step.
type placeResult int

const (
	allPlaced placeResult = iota
	noCapacity
	// taskWaits: a task suspected of crashing its runner waits for a runner without another
	// suspect, a task with a late start for the runner that may execute it, or a task with little
	// time left for a faster endpoint; tasks that need as much may still find capacity.
	taskWaits
)

func (p *Planner) placeStep(now time.Duration, j *job, step int) placeResult {
	var waiting []*task
	for _, t := range j.tasks {
		if t.step == step && t.startable() {
			waiting = append(waiting, t)
		}
	}
	result := allPlaced
	for len(waiting) > 0 {
		e, n := p.pick(now, j, step, p.placedTogether(now, waiting), waiting[0])
		if e == nil && p.hasLateStart(now, waiting[0]) {
			result = taskWaits
			waiting = waiting[1:]
			continue
		}
		if e == nil && (waiting[0].crashes > 0 || j.service.speeds.differ && now > j.latestStartAt(j.minRunTimes[step], maxFactor)) {
			return taskWaits
		}
		if e == nil {
			return noCapacity
		}
		if e.speed.slow && !j.canWait(now, step, e) {
			e.speed.startProbe(now)
		}
		for _, t := range waiting[:n] {
			p.start(now, t, e)
		}
		waiting = waiting[n:]
	}
	return result
}

// pick returns the endpoint for the next tasks of a step, of which first is one, and the
// number of tasks to start there.
func (p *Planner) pick(now time.Duration, j *job, step, want int, first *task) (*endpoint, int) {
	s := j.service
	var best *endpoint
	var bestScore score
	found := 0
	lateSeen := false
	consider := func(e *endpoint) {
		if p.mayRunElsewhere(now, first, e) {
			return
		}
		sc := p.score(now, j, step, want, e)
		if first.crashes > 0 {
			sc = sc.forSuspect(e)
		}
		if sc.tasks == 0 {
			return
		}
		found++
		sc.avoided = e == first.avoid
		if s.speeds.differ && !j.inTimeAt(now, step, e.runTimeFactor()) {
			sc.lateEnd = j.predictedEnd(now, step, e)
			lateSeen = true
		}
		if best == nil || sc.better(bestScore) {
			best, bestScore = e, sc
		}
	}
	n := len(s.endpoints)
	if n > maxRandomPicks {
		for range maxRandomPicks {
			if found >= sampleSize {
				break
			}
			consider(s.endpoints[p.random.IntN(n)])
		}
	}
	if best == nil || bestScore.tier > tierNormal || bestScore.avoided || bestScore.lateEnd > 0 && j.inTimeAt(now, step, s.speeds.least) {
		for i, at := 0, p.random.IntN(max(n, 1)); i < n; i++ {
			consider(s.endpoints[(at+i)%n])
		}
	}
	if best != nil {
		best.lasting.decided = lateSeen && bestScore.lateEnd == 0
	}
	return best, bestScore.tasks
}

// score rates an endpoint for the next tasks of a step.
type score struct {
	// tasks is the number of tasks that fit, 0 for none.
	tasks   int
	tier    tier
	avoided bool
	// remoteRack is true when the step's data is in another rack.
	remoteRack bool
	// freeShare is the free share of the endpoint's CPU before the tasks are placed,
	// sameDataCentre whether it is in this entry's data centre.
	freeShare      float64
	sameDataCentre bool
	// lateEnd is when a task is expected to end there if the job is then expected to miss its
	// response-time target; zero if it is in time, or where all endpoints are of one speed.
	lateEnd time.Duration
}

func (s score) better(o score) bool {
	switch {
	case s.avoided != o.avoided:
		return !s.avoided
	case s.tier != o.tier:
		return s.tier < o.tier
	case s.lateEnd != o.lateEnd:
		return s.lateEnd < o.lateEnd
	case s.remoteRack != o.remoteRack:
		return !s.remoteRack
	case s.tasks != o.tasks:
		// Fewer runners for a job mean fewer whose fault can delay it, and fewer messages.
		return s.tasks > o.tasks
	case s.sameDataCentre != o.sameDataCentre:
		return s.sameDataCentre
	default:
		return s.freeShare > o.freeShare
	}
}

func (p *Planner) score(now time.Duration, j *job, step, want int, e *endpoint) score {
	st := e.tier(now)
	spec := j.work.Steps[step]
	if st == tierUnusable || p.silent[e.dataCentre] || !e.hasLabel(spec.Label) {
		return score{}
	}
	if j.service.speeds.differ && now > j.latestStartAt(j.minRunTimes[step], e.runTimeFactor()) {
		return score{}
	}
	free := e.free()
	tasks := (spec.Need.CountFitting(free, capacityShareDivisor*want) + capacityShareDivisor - 1) / capacityShareDivisor
	if st == tierSlow && !j.canWait(now, step, e) {
		if !e.probeDue(now) {
			return score{}
		}
		st = tierProbe
	}
	if st == tierProbe {
		tasks = min(tasks, 1)
	}
	if spec.MaxPerRunner > 0 {
		tasks = min(tasks, spec.MaxPerRunner-e.openRuns(j, step))
	}
	if tasks <= 0 {
		return score{}
	}
	freeShare := 0.0
	if e.total.CPUMilli > 0 {
		freeShare = float64(free.CPUMilli) / float64(e.total.CPUMilli)
	}
	remoteRack := spec.DataRack != "" && !slices.Contains(e.labels, spec.DataRack)
	return score{tasks: tasks, tier: st, remoteRack: remoteRack, freeShare: freeShare, sameDataCentre: e.dataCentre == p.opt.DataCentre}
}

// canWait reports whether a run at a slow endpoint would still end before the caller's
// deadline.
func (j *job) canWait(now time.Duration, step int, e *endpoint) bool {
	run := time.Duration(float64(j.expected[step]) * e.relativeRunTime() * e.runTimeFactor())
	return now+run < j.deadline-answerMargin
}

// openRuns counts the open runs of a step at an endpoint.
func (e *endpoint) openRuns(j *job, step int) int {
	n := 0
	for _, t := range e.runs {
		if t.job == j && t.step == step {
			n++
		}
	}
	return n
}

// start orders the start of a task at an endpoint.
func (p *Planner) start(now time.Duration, t *task, e *endpoint) {
	j := t.job
	t.attempt++
	t.endpoint = e
	t.keepsID = e.runner.StartedMilli > 0
	t.ordered = now
	t.running = 0
	t.stopping = false
	t.progress, t.kept = progress{}, false
	t.orphaned = false
	need := j.work.Steps[t.step].Need
	free := e.free().CPUMilli
	e.ordered = e.ordered.Add(need)
	j.service.shared.addHeld(j, need)
	e.runs[t.id()] = t
	if t.crashes > 0 {
		t.suspect = true
		e.suspects++
	}
	p.nextCheck = min(p.nextCheck, j.deadline-answerMargin)
	if !j.started {
		j.started = true
		j.firstStart = now
	}
	p.out.Starts = append(p.out.Starts, Start{
		Endpoint:  e.id,
		Run:       t.run(),
		Spec:      j.work.Spec,
		Need:      need,
		DecidedAt: now,
		TimeLeft:  j.deadline - now,
		Expected:  j.expected[t.step],
		Priority:  j.terms.Priority,
		Speed:     e.decidedSpeed(),
		FreeMilli: free,
		ReportAge: now - e.reportedAt,

		RunnerRevision: e.runnerRevision,
	})
}
