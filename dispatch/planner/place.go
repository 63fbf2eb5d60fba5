package planner

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

const (
	// samples is how many endpoints with room are compared for a placement. With
	// two, the fullest of many is rarely hit; more make entries that know the same
	// pick the same.
	samples = 3
	// tries bounds the random picks before all endpoints are looked through.
	tries = 8
	// shareOfRoom is the part, one in so many, of the room believed free that one
	// message takes: the others know of the same room. All of it has a third more
	// orders turned down on a calm day (replay, two seeds).
	shareOfRoom = 2
	// misses bounds the needs that found no room in a round and are remembered: a
	// task that needs as much as one of them isn't tried.
	misses = 6
)

// place starts what fits. A task that needs less than one that found no room may
// still fit beside what runs, so the jobs behind are tried too.
func (p *Planner) place(now time.Duration, s *service) {
	var missed []work.Step
	for _, j := range s.order(now) {
		if len(missed) >= misses {
			return
		}
		fresh := !j.begun
		missed = p.placeJob(now, j, missed)
		if fresh && j.begun {
			s.turn++
		}
	}
}

// plainTurn, one in so many, of the jobs begins in the order of the latest starts,
// whatever its urgency: a contract whose load alone fills the runners can't shut the
// others out.
const plainTurn = 4

// order is the one in which waiting jobs are tried: begun ones, then by urgency those
// that can be answered in the time wanted, then those that can't any more.
func (s *service) order(now time.Duration) []*job {
	late := sortIndex(s.fresh, func(j *job) bool { return j.startBy >= now })
	inTime := slices.Clone(s.fresh[late:])
	if s.turn%plainTurn != plainTurn-1 {
		slices.SortStableFunc(inTime, func(a, b *job) int { return a.terms.Urgency - b.terms.Urgency })
	}
	return slices.Concat(s.begun, inTime, s.fresh[:late])
}

// placeJob starts the tasks of a job that fit. It returns the steps that found
// no room in this round.
func (p *Planner) placeJob(now time.Duration, j *job, missed []work.Step) []work.Step {
	all := true
	for number, step := range j.work.Steps {
		if !j.eligible(number) {
			continue
		}
		if hopeless(step, missed) {
			all = false
			continue
		}
		switch p.placeStep(now, j, number) {
		case noRoom:
			all = false
			missed = append(missed, step)
		case held:
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

// hopeless reports whether a step needs at least what has found no room.
func hopeless(step work.Step, missed []work.Step) bool {
	for _, m := range missed {
		if m.Need.Fits(step.Need) && m.Label == step.Label && m.MaxPerRunner == 0 {
			return true
		}
	}
	return false
}

// placed is what became of the tasks of a step that may start.
type placed int

const (
	allPlaced placed = iota
	noRoom
	// held: a task that may crash its runner waits for one where no other such runs; tasks
	// that need as much may find room.
	held
)

func (p *Planner) placeStep(now time.Duration, j *job, step int) placed {
	var waiting []*task
	for _, t := range j.tasks {
		if t.step == step && t.waits() {
			waiting = append(waiting, t)
		}
	}
	for len(waiting) > 0 {
		e, n := p.pick(now, j, step, alike(waiting), waiting[0])
		if e == nil && waiting[0].crashes > 0 {
			return held
		}
		if e == nil {
			return noRoom
		}
		for _, t := range waiting[:n] {
			p.start(now, t, e)
		}
		waiting = waiting[n:]
	}
	return allPlaced
}

// pick returns the endpoint for the next tasks of a step, of which first is one, and how
// many it takes.
func (p *Planner) pick(now time.Duration, j *job, step, want int, first *task) (*endpoint, int) {
	s := j.service
	var best *endpoint
	var bestScore score
	found := 0
	consider := func(e *endpoint) {
		sc := p.score(now, j, step, want, e)
		if first.crashes > 0 {
			sc = sc.forSuspect(e)
		}
		if sc.takes == 0 {
			return
		}
		found++
		sc.avoided = e == first.avoid
		if best == nil || sc.better(bestScore) {
			best, bestScore = e, sc
		}
	}
	n := len(s.endpoints)
	if n > tries {
		for range tries {
			if found >= samples {
				break
			}
			consider(s.endpoints[p.random.IntN(n)])
		}
	}
	if best == nil || bestScore.standing > steady || bestScore.avoided {
		for i, at := 0, p.random.IntN(max(n, 1)); i < n; i++ {
			consider(s.endpoints[(at+i)%n])
		}
	}
	return best, bestScore.takes
}

// score of an endpoint for the next tasks of a step.
type score struct {
	// takes is the number of tasks that fit, 0 for none.
	takes    int
	standing standing
	avoided  bool
	// far is true when the step's data is in another rack.
	far bool
	// left is the share of its processors that stays free.
	left float64
	here bool
}

func (s score) better(o score) bool {
	switch {
	case s.avoided != o.avoided:
		return !s.avoided
	case s.standing != o.standing:
		return s.standing < o.standing
	case s.far != o.far:
		return !s.far
	case s.takes != o.takes:
		// Fewer runners for a job: fewer that can spoil it, and fewer messages.
		return s.takes > o.takes
	case s.here != o.here:
		return s.here
	default:
		return s.left > o.left
	}
}

func (p *Planner) score(now time.Duration, j *job, step, want int, e *endpoint) score {
	st := e.standing(now, j.service)
	spec := j.work.Steps[step]
	if st == unusable || !e.labelled(spec.Label) {
		return score{}
	}
	free := e.free()
	takes := (spec.Need.Times(free, shareOfRoom*want) + shareOfRoom - 1) / shareOfRoom
	if st == probe {
		takes = min(takes, 1)
	}
	if spec.MaxPerRunner > 0 {
		takes = min(takes, spec.MaxPerRunner-e.holds(j, step))
	}
	if takes <= 0 {
		return score{}
	}
	if st == slow && !j.canWait(now, step, e) {
		return score{}
	}
	left := 0.0
	if e.total.CPUMilli > 0 {
		left = float64(free.CPUMilli) / float64(e.total.CPUMilli)
	}
	far := spec.DataRack != "" && !slices.Contains(e.labels, spec.DataRack)
	return score{takes: takes, standing: st, far: far, left: left, here: e.zone == p.opt.Zone}
}

// canWait reports whether a slow endpoint would still be in time to be of use.
func (j *job) canWait(now time.Duration, step int, e *endpoint) bool {
	run := time.Duration(float64(j.expected[step]) * e.health.speed())
	return now+run < j.deadline-answerMargin
}

// holds counts the runs of a step at an endpoint.
func (e *endpoint) holds(j *job, step int) int {
	n := 0
	for _, t := range e.runs {
		if t.job == j && t.step == step {
			n++
		}
	}
	return n
}

// start orders a task at an endpoint.
func (p *Planner) start(now time.Duration, t *task, e *endpoint) {
	j := t.job
	t.attempt++
	t.endpoint = e
	t.ordered = now
	t.running = 0
	t.stopping = false
	t.orphaned = false
	need := j.work.Steps[t.step].Need
	free := e.free().CPUMilli
	e.ordered = e.ordered.Add(need)
	e.runs[t.id()] = t
	if t.crashes > 0 {
		t.suspect = true
		e.suspects++
	}
	p.watchAt = min(p.watchAt, j.deadline-answerMargin)
	if !j.begun {
		j.begun = true
		j.firstStart = now
	}
	p.out.Starts = append(p.out.Starts, Start{
		Endpoint: e.id,
		Run:      t.run(),
		Spec:     j.work.Spec,
		Need:     need,
		Life:     j.deadline - now,
		Free:     free,
		Age:      now - e.told,
	})
}
