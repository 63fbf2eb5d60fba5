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

// Scheduler is the Policy used in production.
type Scheduler struct {
	opts       Options
	jobs       map[JobID]*jobState
	inFlight   map[TaskRef]*attempt
	endpoints  map[EndpointID]*endpoint
	queue      *queue.Queue
	candidates *placement.Set
	// timers holds the endpoints in backoff or with a future probe, dueProbes those
	// whose probe is due.
	timers    *indexed.Heap[*endpoint]
	dueProbes []*endpoint

	admissionController *admission.Controller
	runTimes            *estimate.Table
	provisionalJobs     provisionalJobs
	// retest holds, by client, the retest schedule of clients whose jobs were rejected
	// because of their learnt run times.
	retest map[string]*retest
	health *health.Monitor
	budget *retry.Budget

	// capacity is the number of slots that this entry can rely on, usable the number of
	// endpoints that aren't draining; both were computed at capacityAt.
	capacity   float64
	usable     int
	capacityAt time.Time
	// lastNow is the most recent time that was passed in.
	lastNow time.Time
	// admitted is the number of jobs admitted.
	admitted uint64
}

// jobState is a queued job with the state that the queue doesn't need.
type jobState struct {
	queue.Job
	// seq orders the jobs by admission.
	seq   uint64
	kinds []string
	// declared (run times by task) and provisionalKinds are set while the estimates of
	// some tasks don't come from measured runs.
	declared         []time.Duration
	provisionalKinds map[kindKey]struct{}
	runLimit         time.Duration
	inFlight         int
	attempts         map[int]int
	// retested holds the kinds whose learnt run times are replaced by the job's first
	// completed runs.
	retested map[string]struct{}
	// avoid is the endpoint of the job's last attempt that has to be retried.
	avoid *endpoint
}

var _ Policy = (*Scheduler)(nil)

// New returns a Scheduler with no endpoints.
func New(o Options, rng *rand.Rand) *Scheduler {
	return &Scheduler{
		opts:                o,
		jobs:                map[JobID]*jobState{},
		inFlight:            map[TaskRef]*attempt{},
		endpoints:           map[EndpointID]*endpoint{},
		queue:               queue.New(o.queue()),
		candidates:          placement.New(placement.Options{DataCentre: o.DataCentre, MinInFlight: o.minInFlight(), Chooser: o.Placement}, rng),
		timers:              newTimerHeap(),
		admissionController: admission.New(o.Admission, rng),
		runTimes:            estimate.New(o.Estimate),
		provisionalJobs:     provisionalJobs{},
		retest:              map[string]*retest{},
		health:              health.New(o.health(rng)),
		budget:              retry.New(o.Retry),
	}
}

// Admit implements Policy.
func (s *Scheduler) Admit(now time.Time, job Job) error {
	if s.jobs[job.ID] != nil {
		return &AdmissionError{Err: ErrDuplicateJob}
	}
	s.updateCapacity(now)
	state, demand := s.prepare(now, job)
	load := s.load(now, state)
	if s.usable == 0 {
		return &AdmissionError{Err: ErrNoEndpoint, RetryAfter: s.admissionController.RetryAfterNoEndpoint()}
	}
	verdict, retryAfter := s.admissionController.Decide(now, load, demand)
	switch {
	case verdict == admission.QueueFull:
		return &AdmissionError{Err: ErrQueueFull, RetryAfter: retryAfter}
	case verdict == admission.TooLate && !s.opts.IgnoreLateness:
		retest, wait := s.retestDue(now, state, load, demand)
		if wait > 0 {
			retryAfter = wait
		}
		if !retest {
			return &AdmissionError{Err: ErrBacklog, RetryAfter: retryAfter, Forecast: s.assess(load, demand)}
		}
	}
	s.jobs[job.ID] = state
	s.admitted++
	state.seq = s.admitted
	for k := range state.provisionalKinds {
		s.provisionalJobs.add(k, state)
	}
	s.queue.Add(now, &state.Job)
	return nil
}

// assess returns the figures that explain why a job was rejected.
func (s *Scheduler) assess(l admission.Load, d admission.Demand) *BacklogForecast {
	forecast := s.admissionController.Forecast(l, d)
	return &BacklogForecast{
		Queued:             l.Waiting,
		InFlight:           len(s.inFlight),
		UsableSlots:        l.Slots,
		ClientSlots:        forecast.Slots,
		Ejected:            s.health.Ejected(),
		Work:               d.Work,
		Longest:            d.Longest,
		Ahead:              l.Ahead,
		SmallerArrivalRate: l.SmallerArrivalRate,
		Learnt:             d.Learnt,
		Drain:              forecast.Drain,
		Allowed:            forecast.Allowed,
		AnswerTime:         d.AnswerTime,
	}
}

// prepare estimates the run times of the job's tasks.
func (s *Scheduler) prepare(now time.Time, job Job) (*jobState, admission.Demand) {
	state := &jobState{
		Job: queue.Job{
			ID:                 string(job.ID),
			Client:             job.Client,
			Weight:             float64(max(1, job.Priority)),
			Accepted:           job.Accepted,
			Deadline:           job.Deadline,
			Bytes:              job.Bytes,
			Idempotent:         job.Idempotent,
			Estimates:          make([]time.Duration, len(job.Tasks)),
			AdmissionEstimates: make([]time.Duration, len(job.Tasks)),
		},
		kinds:    make([]string, len(job.Tasks)),
		runLimit: job.RunLimit,
	}
	demand := admission.Demand{
		Client:     job.Client,
		Tasks:      len(job.Tasks),
		Bytes:      job.Bytes,
		Learnt:     true,
		AnswerTime: job.Deadline.Sub(now),
	}
	for i, task := range job.Tasks {
		e := s.runTimes.Estimate(job.Client, task.Kind, task.Declared, job.RunLimit)
		state.kinds[i] = task.Kind
		state.Estimates[i] = e.Mean
		state.AdmissionEstimates[i] = e.Observed
		demand.Work += e.Observed
		demand.Longest = max(demand.Longest, e.Observed+e.Deviation)
		if !e.FromSamples {
			demand.Learnt = false
			state.markProvisional(i, job.Tasks)
		}
	}
	if demand.Learnt {
		state.AdmissionEstimates = state.Estimates
	}
	return state, demand
}

// markProvisional records that the estimate of a task doesn't come from measured runs.
func (j *jobState) markProvisional(index int, tasks []Task) {
	if j.provisionalKinds == nil {
		j.provisionalKinds = map[kindKey]struct{}{}
		j.declared = make([]time.Duration, len(tasks))
	}
	j.declared[index] = tasks[index].Declared
	j.provisionalKinds[kindKey{j.Client, tasks[index].Kind}] = struct{}{}
}

func (s *Scheduler) load(now time.Time, state *jobState) admission.Load {
	var work time.Duration
	for _, estimate := range state.Estimates {
		work += estimate
	}
	position := s.queue.ClientLoad(now, state.Client, state.Weight, work)
	return admission.Load{
		Waiting:            s.queue.Waiting(),
		Bytes:              s.queue.Bytes(),
		Slots:              s.capacity,
		Idle:               position.Idle,
		Ahead:              position.Ahead,
		SmallerArrivalRate: position.SmallerArrivalRate,
		FairShare:          position.FairShare,
		OthersSlots:        position.OthersSlots,
	}
}

// updateCapacity computes the number of slots that this entry can rely on.
func (s *Scheduler) updateCapacity(now time.Time) {
	if !s.capacityAt.IsZero() && now.Sub(s.capacityAt) < capacityTTL {
		return
	}
	s.capacityAt = now
	s.capacity, s.usable = s.candidates.Capacity()
	s.queue.SetCapacity(s.capacity)
}

// Next implements Policy.
func (s *Scheduler) Next(now time.Time) (Assignment, bool) {
	if s.queue.Waiting() == 0 {
		return Assignment{}, false
	}
	s.lastNow = now
	s.updateCapacity(now)
	s.runTimers(now)
	job := s.head()
	if e := s.probeTarget(now, job); e != nil {
		index := s.queue.StartShortest(now, &job.Job)
		return s.assign(now, job, index, e, true), true
	}
	e := s.choose(now, job)
	if e == nil {
		return Assignment{}, false
	}
	if e.health.Status() != health.Slow {
		return s.assign(now, job, s.queue.Start(now, &job.Job), e, false), true
	}
	if !s.toleratesSlowRun(job, e) {
		return Assignment{}, false
	}
	return s.assign(now, job, s.queue.StartShortest(now, &job.Job), e, false), true
}

// head returns the job whose task starts next.
func (s *Scheduler) head() *jobState {
	return s.jobs[JobID(s.queue.Peek(s.lastNow).ID)]
}

// runTimers handles the endpoints whose timer has expired: it ends backoffs, marks
// probes as due and evaluates slow endpoints.
func (s *Scheduler) runTimers(now time.Time) {
	for s.timers.Len() > 0 && !s.timers.Min().timerAt.After(now) {
		e := s.timers.Pop()
		if e.health.Status().Ejected() {
			s.dueProbes = append(s.dueProbes, e)
			continue
		}
		s.evaluate(now, e)
		s.refresh(now, e)
	}
}

// probeTarget returns an endpoint that should receive a task of the job as its probe.
// Jobs that a failed probe harms little are preferred; once a probe is overdue, any job
// is used.
func (s *Scheduler) probeTarget(now time.Time, job *jobState) *endpoint {
	for _, e := range s.dueProbes {
		if e.canProbe() && (s.toleratesFailedProbe(job, e) || !e.health.ProbeOverdueAt().After(now)) {
			return e
		}
	}
	return nil
}

// toleratesFailedProbe reports whether a failed probe would do the job little harm. A
// task that failed can be retried if it is idempotent.
func (s *Scheduler) toleratesFailedProbe(job *jobState, e *endpoint) bool {
	if e.health.Status() == health.EjectedFailing {
		return job.Idempotent
	}
	return s.toleratesSlowRun(job, e)
}

// toleratesSlowRun reports whether the job's shortest task can run at the endpoint's
// speed without delaying the job, because the job's longest task or the wait of its
// other tasks for slots takes at least as long.
func (s *Scheduler) toleratesSlowRun(job *jobState, e *endpoint) bool {
	run := job.Shortest().Seconds() / e.health.RelativeSpeed()
	rest := job.Work().Seconds() / max(1, s.capacity)
	return run <= max(job.Longest().Seconds(), rest)
}

// choose selects an endpoint and evaluates its health before use: an endpoint that has
// stopped answering is noticeable only by its overdue attempts.
func (s *Scheduler) choose(now time.Time, job *jobState) *endpoint {
	var avoid *placement.Endpoint
	if job.avoid != nil {
		avoid = job.avoid.candidate
	}
	for {
		candidate := s.candidates.Choose(avoid)
		if candidate == nil {
			return nil
		}
		e := s.endpoints[EndpointID(candidate.ID)]
		if !s.evaluate(now, e) {
			return e
		}
	}
}

// evaluate updates the endpoint's health status and reports whether it changed.
func (s *Scheduler) evaluate(now time.Time, e *endpoint) bool {
	changed, readmitted := s.health.Evaluate(now, e.health, e.overdue(now), s.runTimes.Mean())
	if !changed {
		return false
	}
	s.refresh(now, e)
	if readmitted {
		s.refreshAll(now)
	}
	return true
}

// refresh updates the endpoint's placement state and timer to match its health status.
func (s *Scheduler) refresh(now time.Time, e *endpoint) {
	s.candidates.SetExcluded(e.candidate, e.removed || e.excluded(now))
	s.candidates.SetSlotWeight(e.candidate, e.speed())
	s.candidates.SetProbing(e.candidate, e.health.Status() == health.Suspect)
	s.timers.Remove(e)
	s.dueProbes = slices.DeleteFunc(s.dueProbes, func(p *endpoint) bool { return p == e })
	if e.removed {
		return
	}
	if e.timerAt = e.nextTimer(now); !e.timerAt.IsZero() {
		s.timers.Push(e)
	}
}

func (s *Scheduler) assign(now time.Time, job *jobState, index int, e *endpoint, probe bool) Assignment {
	started := &attempt{
		job:      job,
		index:    index,
		endpoint: e,
		at:       now,
		expected: job.AdmissionEstimates[index],
		probe:    probe,
	}
	ref := TaskRef{Job: JobID(job.ID), Index: index}
	s.inFlight[ref] = started
	job.inFlight++
	job.avoid = nil
	e.add(started)
	s.candidates.CountStart(e.candidate)
	if probe {
		s.health.ProbeStarted(e.health)
		s.refresh(now, e)
	}
	return Assignment{
		Task:      ref,
		Endpoint:  e.id,
		TasksLeft: job.Left(),
		Expected:  max(started.expected, s.runTimes.Mean()),
		Probe:     probe,
		DecidedAt: now,
	}
}
