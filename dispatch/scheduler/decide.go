package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"almondstand.dev/dispatch/admission"
	"almondstand.dev/dispatch/estimate"
	"almondstand.dev/dispatch/health"
	"almondstand.dev/dispatch/internal/indexed"
	"almondstand.dev/dispatch/placement"
	"almondstand.dev/dispatch/queue"
	"almondstand.dev/dispatch/retry"
)

// Scheduler is the Decider that the product ships.
type Scheduler struct {
	opts      Options
	jobs      map[JobID]*jobState
	opens     map[TaskRef]*start
	endpoints map[EndpointID]*endpoint
	queue     *queue.Queue
	places    *placement.Set
	// wakes are the endpoints in a pause or with a probe to come, probes those
	// whose probe is due.
	wakes  *indexed.Heap[*endpoint]
	probes []*endpoint

	gate    *admission.Gate
	learnt  *estimate.Table
	guesses guesses
	// retest is by customer, for those of whom jobs were rejected for their run times.
	retest map[string]*retest
	health *health.Monitor
	budget *retry.Budget

	// capacity is the slots that this entry can count on and usable the
	// endpoints that aren't leaving, as of capacityAt.
	capacity   float64
	usable     int
	capacityAt time.Time
	// latest is the last moment that was passed in.
	latest time.Time
	// admitted counts the jobs taken.
	admitted uint64
}

// jobState is a job with what the queue doesn't need to know.
type jobState struct {
	queue.Job
	// seq orders the jobs by when they came.
	seq   uint64
	kinds []string
	// declared and guessed are kept while run times of some tasks are guesses:
	// what was declared, and the kinds they are of.
	declared []time.Duration
	guessed  map[kindKey]struct{}
	runLimit time.Duration
	open     int
	attempts map[int]int
	// retested are the kinds whose learnt run times the job's first runs replace.
	retested map[string]struct{}
	// avoid is the endpoint of the last start that has to be repeated.
	avoid *endpoint
}

var _ Decider = (*Scheduler)(nil)

// New returns a Scheduler with no endpoints.
func New(o Options, rng *rand.Rand) *Scheduler {
	return &Scheduler{
		opts:      o,
		jobs:      map[JobID]*jobState{},
		opens:     map[TaskRef]*start{},
		endpoints: map[EndpointID]*endpoint{},
		queue:     queue.New(o.queue()),
		places:    placement.New(placement.Options{Zone: o.Zone, Floor: o.floor(), Chooser: o.Placement}, rng),
		wakes:     newWakeHeap(),
		gate:      admission.New(o.Admission, rng),
		learnt:    estimate.New(o.Estimate),
		guesses:   guesses{},
		retest:    map[string]*retest{},
		health:    health.New(o.health(rng)),
		budget:    retry.New(o.Retry),
	}
}

// Admit implements Decider.
func (s *Scheduler) Admit(now time.Time, job Job) error {
	if s.jobs[job.ID] != nil {
		return &Refusal{Err: ErrDuplicateJob}
	}
	s.measure(now)
	state, demand := s.prepare(now, job)
	load := s.load(now, state)
	if s.usable == 0 {
		return &Refusal{Err: ErrNoEndpoint, RetryAfter: s.gate.RetryAfterNone()}
	}
	verdict, retryAfter := s.gate.Decide(now, load, demand)
	switch {
	case verdict == admission.Full:
		return &Refusal{Err: ErrQueueFull, RetryAfter: retryAfter}
	case verdict == admission.TooLate && !s.opts.AdmitAll:
		retest, wait := s.retestDue(now, state, load, demand)
		if wait > 0 {
			retryAfter = wait
		}
		if !retest {
			return &Refusal{Err: ErrBacklog, RetryAfter: retryAfter, Assessment: s.assess(load, demand)}
		}
	}
	s.jobs[job.ID] = state
	s.admitted++
	state.seq = s.admitted
	for k := range state.guessed {
		s.guesses.add(k, state)
	}
	s.queue.Add(now, &state.Job)
	return nil
}

// assess describes why a job was rejected.
func (s *Scheduler) assess(l admission.Load, d admission.Demand) *Assessment {
	forecast := s.gate.Forecast(l, d)
	return &Assessment{
		Pending:    l.Waiting,
		Open:       len(s.opens),
		Slots:      l.Slots,
		Rate:       forecast.Rate,
		SetAside:   s.health.Aside(),
		Work:       d.Work,
		Longest:    d.Longest,
		Ahead:      l.Ahead,
		Learnt:     d.Learnt,
		Drain:      forecast.Drain,
		Allowed:    forecast.Allowed,
		AnswerTime: d.AnswerTime,
	}
}

// prepare estimates the job's tasks.
func (s *Scheduler) prepare(now time.Time, job Job) (*jobState, admission.Demand) {
	state := &jobState{
		Job: queue.Job{
			ID:         string(job.ID),
			Customer:   job.Customer,
			Weight:     float64(max(1, job.Urgency)),
			Accepted:   job.Accepted,
			Deadline:   job.Deadline,
			Bytes:      job.Bytes,
			Idempotent: job.Idempotent,
			Estimates:  make([]time.Duration, len(job.Tasks)),
			Shown:      make([]time.Duration, len(job.Tasks)),
		},
		kinds:    make([]string, len(job.Tasks)),
		runLimit: job.RunLimit,
	}
	demand := admission.Demand{
		Customer:   job.Customer,
		Tasks:      len(job.Tasks),
		Bytes:      job.Bytes,
		Learnt:     true,
		AnswerTime: job.Deadline.Sub(now),
	}
	for i, task := range job.Tasks {
		e := s.learnt.Estimate(job.Customer, task.Kind, task.Declared, job.RunLimit)
		state.kinds[i] = task.Kind
		state.Estimates[i] = e.Mean
		state.Shown[i] = e.Shown
		demand.Work += e.Shown
		demand.Longest = max(demand.Longest, e.Shown+e.Deviation)
		if !e.Learnt {
			demand.Learnt = false
			state.guess(i, job.Tasks)
		}
	}
	if demand.Learnt {
		state.Shown = state.Estimates
	}
	return state, demand
}

// guess notes that the run time of a task is a guess.
func (j *jobState) guess(index int, tasks []Task) {
	if j.guessed == nil {
		j.guessed = map[kindKey]struct{}{}
		j.declared = make([]time.Duration, len(tasks))
	}
	j.declared[index] = tasks[index].Declared
	j.guessed[kindKey{j.Customer, tasks[index].Kind}] = struct{}{}
}

func (s *Scheduler) load(now time.Time, state *jobState) admission.Load {
	var work time.Duration
	for _, estimate := range state.Estimates {
		work += estimate
	}
	standing := s.queue.Standing(now, state.Customer, state.Weight, work)
	return admission.Load{
		Waiting:     s.queue.Waiting(),
		Bytes:       s.queue.Bytes(),
		Slots:       s.capacity,
		Idle:        standing.Idle,
		Ahead:       standing.Ahead,
		SmallerRate: standing.SmallerRate,
		Share:       standing.Share,
		OthersRate:  standing.OthersRate,
	}
}

// measure sums up the slots that this entry can count on.
func (s *Scheduler) measure(now time.Time) {
	if !s.capacityAt.IsZero() && now.Sub(s.capacityAt) < capacityAge {
		return
	}
	s.capacityAt = now
	s.capacity, s.usable = s.places.Capacity()
	s.queue.SetCapacity(s.capacity)
}

// Next implements Decider.
func (s *Scheduler) Next(now time.Time) (Assignment, bool) {
	if s.queue.Waiting() == 0 {
		return Assignment{}, false
	}
	s.latest = now
	s.measure(now)
	s.wake(now)
	job := s.head()
	if e := s.dueProbe(now, job); e != nil {
		index := s.queue.StartShortest(now, &job.Job)
		return s.assign(now, job, index, e, true), true
	}
	e := s.choose(now, job)
	if e == nil {
		return Assignment{}, false
	}
	if e.health.Standing() != health.Slow {
		return s.assign(now, job, s.queue.Start(now, &job.Job), e, false), true
	}
	if !s.hides(job, e) {
		return Assignment{}, false
	}
	return s.assign(now, job, s.queue.StartShortest(now, &job.Job), e, false), true
}

// head is the job whose task goes next.
func (s *Scheduler) head() *jobState {
	return s.jobs[JobID(s.queue.Peek(s.latest).ID)]
}

// wake acts on the moments that have come: pauses end, probes fall due, slow
// endpoints are judged.
func (s *Scheduler) wake(now time.Time) {
	for s.wakes.Len() > 0 && !s.wakes.Min().wakeAt.After(now) {
		e := s.wakes.Pop()
		if e.health.Standing().Aside() {
			s.probes = append(s.probes, e)
			continue
		}
		s.judge(now, e)
		s.refresh(now, e)
	}
}

// dueProbe returns an endpoint that is to get a task of the job as its probe.
// Jobs that a bad probe does little harm are preferred; any has to do once none
// has come for a while.
func (s *Scheduler) dueProbe(now time.Time, job *jobState) *endpoint {
	for _, e := range s.probes {
		if e.mayProbe() && (s.spares(job, e) || !e.health.OverdueAt().After(now)) {
			return e
		}
	}
	return nil
}

// spares reports whether a bad probe would do the job little harm: a request
// that failed can be repeated if it is idempotent.
func (s *Scheduler) spares(job *jobState, e *endpoint) bool {
	if e.health.Standing() == health.Failing {
		return job.Idempotent
	}
	return s.hides(job, e)
}

// hides reports whether the job's shortest task can run at the endpoint's pace
// without making the job late: behind its longest task, or while the rest of it
// waits for slots.
func (s *Scheduler) hides(job *jobState, e *endpoint) bool {
	run := job.Shortest().Seconds() / e.health.Pace()
	rest := job.Work().Seconds() / max(1, s.capacity)
	return run <= max(job.Longest().Seconds(), rest)
}

// choose picks an endpoint and looks at its pace before it is used, since one
// that answers nothing any more shows in nothing but its overdue starts.
func (s *Scheduler) choose(now time.Time, job *jobState) *endpoint {
	var avoid *placement.Endpoint
	if job.avoid != nil {
		avoid = job.avoid.place
	}
	for {
		place := s.places.Choose(avoid)
		if place == nil {
			return nil
		}
		e := s.endpoints[EndpointID(place.ID)]
		if !s.judge(now, e) {
			return e
		}
	}
}

// judge brings the endpoint's standing up to date; true when that changed.
func (s *Scheduler) judge(now time.Time, e *endpoint) bool {
	changed, relieved := s.health.Judge(now, e.health, e.overdue(now), s.learnt.Mean())
	if !changed {
		return false
	}
	s.refresh(now, e)
	if relieved {
		s.refreshAll(now)
	}
	return true
}

// refresh brings the endpoint's place in the choice and in the wakes in line
// with its standing.
func (s *Scheduler) refresh(now time.Time, e *endpoint) {
	s.places.Hold(e.place, e.removed || e.held(now))
	s.places.SetPace(e.place, e.pace())
	s.places.SetTrial(e.place, e.health.Standing() == health.Suspect)
	s.wakes.Remove(e)
	s.probes = slices.DeleteFunc(s.probes, func(p *endpoint) bool { return p == e })
	if e.removed {
		return
	}
	if e.wakeAt = e.nextWake(now); !e.wakeAt.IsZero() {
		s.wakes.Push(e)
	}
}

func (s *Scheduler) assign(now time.Time, job *jobState, index int, e *endpoint, probe bool) Assignment {
	started := &start{
		job:      job,
		index:    index,
		endpoint: e,
		at:       now,
		expected: job.Shown[index],
		probe:    probe,
	}
	ref := TaskRef{Job: JobID(job.ID), Index: index}
	s.opens[ref] = started
	job.open++
	job.avoid = nil
	e.add(started)
	s.places.Open(e.place)
	if probe {
		s.health.Probe(e.health)
		s.refresh(now, e)
	}
	return Assignment{
		Task:      ref,
		Endpoint:  e.id,
		TasksLeft: job.Left(),
		Expected:  max(started.expected, s.learnt.Mean()),
		Probe:     probe,
		At:        now,
	}
}
