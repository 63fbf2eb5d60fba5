package planner

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// job is one submitted job.
type job struct {
	work    work.Job
	terms   Terms
	service *service
	// contract is the hash of the contract's name.
	contract uint32
	// heldBack is true while the job waits for capacity reserved for more urgent work, and wasHeldBack
	// once it has.
	heldBack, wasHeldBack bool
	tasks                 []*task
	// arrived is the time of submission, deadline the end of the caller's wait.
	arrived, deadline time.Duration
	// received is when this entry got the job; later than arrived if it waited at another entry. What was
	// known of late starts before that does not count for it.
	received time.Duration
	// startBy is the latest start that meets the response-time target, keepUntil the latest
	// start for an answer that is of any use.
	startBy, keepUntil time.Duration
	// left is the expected time from the start of a step on normal endpoints until all steps that
	// depend on it have ended, by step, and inTimeEnd the latest end of the job's last task that meets
	// the response-time target.
	left      []time.Duration
	inTimeEnd time.Duration
	// expected is the expected run time of a task, by step.
	expected []time.Duration
	// minRunTimes is the minimum run time of a task on a normal endpoint, by step, and
	// minCriticalPath that of the critical path of steps.
	minRunTimes     []time.Duration
	minCriticalPath time.Duration
	// runTimeLimits are the run times on a normal endpoint from which a run is considered hung, by
	// step, as long as nothing is known of the other tasks.
	runTimeLimits []time.Duration
	// retest is true for a job accepted against the learnt run times, until its first run is
	// done.
	retest bool
	// started is true once a start order was sent, mayHaveRun once a run may have started.
	// started goes back to false if no start led to a run.
	started, mayHaveRun bool
	firstStart          time.Duration
	outcome             Outcome
	// unfinished counts the unfinished tasks, by step.
	unfinished []int
	// queued is true while the job is in one of its service's lists.
	queued bool
	// meanRunTime is the mean run time of the finished tasks, in units of a normal endpoint.
	meanRunTime time.Duration
	doneTasks   int
	admission   jobAdmission
}

// task is one task of a job.
type task struct {
	job         *job
	step, index int
	attempt     int
	failures    int
	// crashes counts the runners that crashed while running the task, newestCrashes those of
	// them on which it had started last.
	crashes, newestCrashes int
	// crashedAt is the endpoint of the last crash that counts.
	crashedAt *endpoint
	// suspect is true while the open run is of a task with crashes.
	suspect bool
	// overruns counts the runs that were stopped for taking too long.
	overruns int
	done     bool
	// endpoint is where the open run is; nil if there is none.
	endpoint *endpoint
	// keepsID is true if the open run's runner names its start time, so that its next process may
	// have the same id.
	keepsID bool
	// ordered is when the start order was sent, running when the run started by its guard's
	// report; running is zero before that report.
	ordered, running time.Duration
	// stopping is true once the stop of the open run was ordered, and stopReason is the reason.
	stopping   bool
	stopReason Reason
	// progress is what the guard last reported of the open run, and kept is true once that run was
	// kept beyond its limit because of it.
	progress progress
	kept     bool
	// orphaned is true when the guard that got the open run is gone and its successor has not
	// reported the runner as reconciled yet.
	orphaned bool
	// avoid is the endpoint where the last run failed or was refused.
	avoid *endpoint
}

func (t *task) open() bool { return t.endpoint != nil }

func (t *task) id() work.TaskID {
	return work.TaskID{Job: t.job.work.ID, Step: t.step, Index: t.index}
}

func (t *task) run() work.RunID { return work.RunID{Task: t.id(), Attempt: t.attempt} }

func newJob(now, deadline time.Duration, w work.Job, t Terms) *job {
	j := &job{work: w, terms: t, arrived: now, deadline: deadline, unfinished: make([]int, len(w.Steps))}
	for s, step := range w.Steps {
		j.unfinished[s] = step.Count
		for i := range step.Count {
			j.tasks = append(j.tasks, &task{job: j, step: s, index: i})
		}
	}
	return j
}

// predict computes the latest start times of the job.
func (j *job) predict(e *estimate, meanFactor float64) {
	ends := make([]time.Duration, len(j.work.Steps))
	minEnds := make([]time.Duration, len(j.work.Steps))
	var criticalPath time.Duration
	for s, step := range j.work.Steps {
		run := e.expectedRunTime(step.Declared)
		least := e.minRunTime(step.Declared)
		j.expected = append(j.expected, run)
		j.minRunTimes = append(j.minRunTimes, least)
		j.runTimeLimits = append(j.runTimeLimits, e.runTimeLimit(step.Declared, run))
		for _, a := range step.After {
			ends[s] = max(ends[s], ends[a])
			minEnds[s] = max(minEnds[s], minEnds[a])
		}
		ends[s] += run
		criticalPath = max(criticalPath, ends[s])
		minEnds[s] += least
		j.minCriticalPath = max(j.minCriticalPath, minEnds[s])
	}
	longest := time.Duration(float64(criticalPath) * maxToMeanRunTime)
	target := time.Duration(float64(criticalPath)*j.terms.TargetFactor*meanFactor) + j.terms.TargetMargin
	end := j.deadline - answerMargin
	margin := min(startMargin, max(target-longest, 0)/startMarginDivisor)
	j.left, j.inTimeEnd = j.pathsLeft(), min(j.arrived+target, end)-margin
	j.startBy = j.inTimeEnd - longest
	j.keepUntil = min(j.arrived+lateFactor*target, end) - longest - margin
}

// allowStartAt lets a job with hardly any time start at the given time: it is served only if there is
// capacity at once.
func (j *job) allowStartAt(now time.Duration) {
	j.startBy = max(j.startBy, now+time.Millisecond)
	j.keepUntil = max(j.keepUntil, j.startBy)
}

// pathsLeft returns the expected time from the start of each step until all that depend on it have ended.
func (j *job) pathsLeft() []time.Duration {
	after := make([]time.Duration, len(j.work.Steps))
	left := make([]time.Duration, len(j.work.Steps))
	for s := len(left) - 1; s >= 0; s-- {
		left[s] = time.Duration(float64(j.expected[s])*maxToMeanRunTime) + after[s]
		for _, a := range j.work.Steps[s].After {
			after[a] = max(after[a], left[s])
		}
	}
	return left
}

// retestRunTimes lets the job start regardless of the learnt run times.
func (j *job) retestRunTimes() {
	j.retest = true
	clear(j.minRunTimes)
	j.minCriticalPath = 0
}

// latestStart is the latest start, on the fastest endpoint of the service, of work that takes at least
// the given time on a normal endpoint and ends before the caller's deadline.
func (j *job) latestStart(least time.Duration) time.Duration {
	return j.latestStartAt(least, j.service.leastFactor())
}

// latestStartAt is latestStart on an endpoint with the given run time factor.
func (j *job) latestStartAt(least time.Duration, factor float64) time.Duration {
	return j.deadline - answerMargin - time.Duration(float64(least)*factor)
}

// latestUsefulStart is the latest start of the waiting tasks with which the job can still
// complete.
func (j *job) latestUsefulStart() time.Duration {
	last := j.deadline
	for _, t := range j.tasks {
		if t.startable() {
			last = min(last, j.latestStart(j.minRunTimes[t.step]))
		}
	}
	return last
}

// eligible reports whether the steps that the step depends on are done.
func (j *job) eligible(step int) bool {
	for _, a := range j.work.Steps[step].After {
		if j.unfinished[a] > 0 {
			return false
		}
	}
	return true
}

// startable reports whether the task may start now.
func (t *task) startable() bool { return !t.done && !t.open() && t.job.eligible(t.step) }

// hasStartable reports whether any task may start now.
func (j *job) hasStartable() bool { return slices.ContainsFunc(j.tasks, (*task).startable) }

// coreTime is the work not yet started, in thousandths of a core times seconds.
func (j *job) coreTime() float64 {
	var sum float64
	for _, t := range j.tasks {
		if !t.done && !t.open() {
			sum += float64(j.work.Steps[t.step].Need.CPUMilli) * j.expected[t.step].Seconds()
		}
	}
	return sum
}

// waitingWork is the work of the waiting tasks, in core-seconds.
func (s *service) waitingWork() float64 {
	sum := 0.0
	for _, list := range [][]*job{s.started, s.unstarted} {
		for _, j := range list {
			sum += j.coreTime()
		}
	}
	return sum / milli
}

func (s *service) addUnstarted(j *job) {
	at := sortIndex(s.unstarted, func(o *job) bool {
		if o.startBy != j.startBy {
			return o.startBy > j.startBy
		}
		return o.terms.Priority > j.terms.Priority
	})
	s.unstarted = slices.Insert(s.unstarted, at, j)
	j.queued = true
}

func (s *service) addStarted(j *job) {
	at := sortIndex(s.started, func(o *job) bool {
		if o.terms.Priority != j.terms.Priority {
			return o.terms.Priority > j.terms.Priority
		}
		return o.arrived > j.arrived
	})
	s.started = slices.Insert(s.started, at, j)
	j.queued = true
}

func (s *service) remove(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	same := func(o *job) bool { return o == j }
	s.started = slices.DeleteFunc(s.started, same)
	s.unstarted = slices.DeleteFunc(s.unstarted, same)
}

// waitingDemand is the CPU that the waiting tasks need, in thousandths of a core.
func (s *service) waitingDemand() int64 {
	var sum int64
	for _, list := range [][]*job{s.started, s.unstarted} {
		for _, j := range list {
			for _, t := range j.tasks {
				if t.startable() {
					sum += j.work.Steps[t.step].Need.CPUMilli
				}
			}
		}
	}
	return sum
}

// promote moves a job of which some tasks have started to the list of started jobs: it must
// not be refused any more.
func (s *service) promote(j *job) {
	if j.started {
		s.remove(j)
		s.addStarted(j)
	}
}

// requeue adds a job with startable tasks to the list where it belongs.
func (s *service) requeue(j *job) {
	if j.outcome != 0 || j.queued || !j.hasStartable() {
		return
	}
	if j.started {
		s.addStarted(j)
	} else {
		s.addUnstarted(j)
	}
}

// nextDue is when the first waiting job runs out of time.
func (s *service) nextDue(now time.Duration) time.Duration {
	next := now + time.Second
	for _, j := range s.unstarted {
		due := j.startBy + time.Millisecond
		if now > j.startBy {
			due = j.keepUntil
		}
		next = min(next, due, max(j.latestStart(j.minCriticalPath), now)+time.Millisecond)
	}
	for _, j := range s.started {
		next = min(next, max(j.latestUsefulStart(), now)+time.Millisecond)
	}
	return next
}
