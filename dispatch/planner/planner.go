// Package planner decides which task of which job starts where and when, and which jobs are
// rejected. It tracks endpoints by their capacity. It is a single state machine without a
// clock, input or output: every event carries the time at which it happened, and Act returns
// the actions to carry out.
//
// It handles these load patterns:
//   - more work than capacity: jobs of higher priority go first. A job that cannot be answered
//     within the response-time target of its contract is refused while its caller can still make
//     use of the refusal. If the forecast says that the shortage is brief, the job is kept instead
//     and served late, after those that can still meet their target;
//   - runners that fail, hang, run slowly or leave start orders unanswered: they are used last,
//     or not at all for a while;
//   - many entries that see the same free runner: each picks at random among a few, so that they
//     do not all pick the same one.
package planner

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"almondstand.dev/dispatch/backlog"
	"almondstand.dev/dispatch/work"
)

// Options configure a Planner. Zero values take the defaults.
type Options struct {
	// DataCentre is the data centre of this entry.
	DataCentre string
	// Seed is the random seed for the choice between equal endpoints.
	Seed uint64
	// AsksPeers is true if the other entries can be asked for late starts; see MustAskPeers.
	AsksPeers bool
	// Disabled turns off parts of the planner.
	Disabled Features
}

// Features are parts of the planner that can be turned off.
type Features struct {
	// RunProgress: the progress of runs decides whether they are stopped, and run times are learnt
	// as a distribution.
	RunProgress bool
	// EndpointSpeeds: endpoints that lastingly differ in speed are used accordingly.
	EndpointSpeeds bool
	// SharedDemand: what waits at the other entries decides on the order of jobs and on rejections.
	SharedDemand bool
	// BacklogLimit: the backlog of each contract is limited, and rejected callers return one after
	// the other.
	BacklogLimit bool
}

// Time limits.
const (
	// answerMargin is the part of the caller's time reserved for sending the answer, which
	// takes some milliseconds, and for a timer that fires late.
	answerMargin = 25 * time.Millisecond
	// startMargin is the overhead of a run: the time from the decision to start it until it is
	// running, and from its end to the answer. It covers four messages of a millisecond each,
	// processors at half load and, at the worst load, one or two guards that refuse the order.
	// With bursts of narrow jobs, 3.4 % of the answers are late at 12 ms and 0.2 % at 35 ms,
	// and 2.7 % more are on time; up to 50 ms nothing changes (replay, two seeds).
	startMargin = 35 * time.Millisecond
	// startMarginDivisor limits the start margin to a job's slack divided by it. Without this
	// limit, jobs with a target of some 50 ms would be refused at once whenever another job is
	// waiting.
	startMarginDivisor = 2
	// lateFactor times the response-time target is the latest time at which an answer is still
	// of use to the caller.
	lateFactor = 3
	// maxToMeanRunTime is the ratio of the longest run time of a job's tasks to their mean:
	// tasks of a job differ by some 15 %, and their mean is not known exactly. 1.15 gave 1 %
	// fewer answers on time in bursts (replay, two seeds).
	maxToMeanRunTime = 1.2
)

// startupGrace is how long after its first event an entry waits for runners that it does not
// know yet: guards attach within some 0.1 s, and a runner is adopted with its next report,
// which come 1.5 s apart. Jobs refused during that time could have been answered a moment
// later.
const startupGrace = 3 * time.Second

// inStartupGrace reports whether this entry's first event was less than startupGrace ago.
func (p *Planner) inStartupGrace(now time.Duration) bool {
	if p.firstEvent == 0 {
		p.firstEvent = now
	}
	return now-p.firstEvent < startupGrace
}

// Planner is the state machine. It is not safe for concurrent use.
type Planner struct {
	opt       Options
	random    *rand.Rand
	jobs      map[string]*job
	endpoints map[string]*endpoint
	services  map[string]*service
	estimates map[string]*estimate
	out       Actions
	// nextCheck is when the started jobs must be checked next.
	nextCheck time.Duration
	// firstEvent is the time of the first event; zero before it.
	firstEvent time.Duration
	// pausedUntil is the time until which nothing is started.
	pausedUntil time.Duration
	// attempts holds the highest attempt of each job that has ended without completing since
	// attemptsSince, and olderAttempts those of the span before that, by job id.
	attempts, olderAttempts map[string]int
	attemptsSince           time.Duration
	// runTimesPruned is when the run times of idle contracts were last removed.
	runTimesPruned time.Duration
	// lateStarts are the starts that may still be executed, by task. lateStartsPruned is when
	// those that can't be executed any more were last removed.
	lateStarts       map[work.TaskID][]lateStart
	lateStartsPruned time.Duration
	contact          contact
	// crashes are the crashes of the last seconds, oldest first.
	crashes        []*crash
	crashCounts    CrashCounts
	progressCounts ProgressCounts
	// cordons are the cordoned data centres.
	cordons map[string]bool
	hearing hearing
	// silent holds the data centres whose endpoints get nothing until one of them is heard.
	silent map[string]bool
	// returns are the rejected jobs that are expected to return.
	returns *backlog.Returns
	// entries is the number of known entries; zero if it is unknown.
	entries int
}

// service holds the endpoints of one service and the jobs waiting for them.
type service struct {
	name      string
	endpoints []*endpoint
	// started holds jobs that have started tasks and have others waiting, by priority and then
	// by arrival; unstarted holds jobs without a started task, by startBy.
	started, unstarted []*job
	// lastWaiting is when a task was last left waiting for capacity; zero for never.
	lastWaiting time.Duration
	// demand is the CPU that the waiting tasks need, in thousandths of a core.
	demand int64
	// startedJobs counts the jobs of which a task has been started.
	startedJobs int
	// shortSince is the time since which tasks have been waiting for capacity.
	shortSince time.Duration
	// arrivals is the rate at which work arrives.
	arrivals arrivalRate
	// failureRate is the share of runs that fail, over all endpoints.
	failureRate float64
	// runTimes is the level of the service's run times.
	runTimes level
	// stallsUntil is the time until which stalled runs are not stopped at once, as runs have stalled
	// at more than half of the endpoints.
	stallsUntil time.Duration
	speeds      serviceSpeeds
	outlook     outlook
	entry       entryState
	// shared is what is known of the demand of all entries.
	shared *sharedDemand
}

// New returns a planner without endpoints.
func New(o Options) *Planner {
	return &Planner{
		opt:       o,
		random:    rand.New(rand.NewPCG(o.Seed, o.Seed)),
		jobs:      map[string]*job{},
		endpoints: map[string]*endpoint{},
		services:  map[string]*service{},
		estimates: map[string]*estimate{},
		attempts:  map[string]int{},

		lateStarts: map[work.TaskID][]lateStart{},
		contact:    newContact(),
		hearing:    newHearing(),
		silent:     map[string]bool{},
		returns:    backlog.NewReturns(),
	}
}

func (p *Planner) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{name: name, runTimes: newLevel(), shared: newSharedDemand()}
		p.services[name] = s
	}
	return s
}

// JobForecast is the forecast for a job at its submission.
type JobForecast struct {
	// StartIn is the time left for a start that meets the response-time target, MaxWait the
	// longest time for which the job may wait at all.
	StartIn, MaxWait time.Duration
	// ExpectedRunTime is the expected run time of a task of the first step.
	ExpectedRunTime time.Duration
	// JobsAhead counts the service's jobs that have waiting tasks, including this job if it has.
	JobsAhead int
}

// Forecast returns the forecast for an open job.
func (p *Planner) Forecast(id string) JobForecast {
	j := p.jobs[id]
	if j == nil {
		return JobForecast{}
	}
	return JobForecast{
		StartIn:         j.startBy - j.arrived,
		MaxWait:         j.keepUntil - j.arrived,
		ExpectedRunTime: j.expected[0],
		JobsAhead:       len(j.service.unstarted) + len(j.service.started),
	}
}

// Verdict is the result of a submission.
type Verdict int

// Values of Verdict.
const (
	// Accepted: the job was accepted; it waits or runs.
	Accepted Verdict = iota + 1
	// Duplicate: a job with this id is already open; the caller joins it.
	Duplicate
	// StillEnding: a job with this id has ended, and a run of it may still be in progress.
	StillEnding
)

// Submit adds a job whose caller waits until the deadline.
func (p *Planner) Submit(now, deadline time.Duration, w work.Job, t Terms) Verdict {
	return p.SubmitWaited(now, deadline, 0, w, t)
}

// SubmitWaited is Submit for a job that has waited at another entry, or to be taken over by one, for
// the given time. Its response-time target counts from its arrival there, what must be known of late
// starts from now.
func (p *Planner) SubmitWaited(now, deadline, waited time.Duration, w work.Job, t Terms) Verdict {
	if j := p.jobs[w.ID]; j != nil {
		if j.outcome != 0 {
			return StillEnding
		}
		return Duplicate
	}
	j := newJob(now-waited, deadline, w, t)
	j.received = now
	for _, t := range j.tasks {
		t.attempt = max(p.attempts[w.ID], p.olderAttempts[w.ID])
	}
	j.service = p.service(t.Service)
	estimate := p.estimate(t.Contract)
	j.predict(estimate, j.service.meanFactor())
	j.allowStartAt(now)
	if now > j.latestStart(j.minCriticalPath) && estimate.retestDue(now) {
		j.retestRunTimes()
	}
	p.jobs[w.ID] = j
	p.countArrival(now, j.service, j)
	p.recordArrival(now, j)
	switch fit := j.service.fits(j); {
	case fit == fitsCordoned && !p.inStartupGrace(now):
		p.refuse(now, j, ReasonCordoned)
	case fit == noEndpoint:
		if !p.inStartupGrace(now) {
			j.keepUntil = j.startBy
		}
		j.service.addUnstarted(j)
	case fit == tooLarge:
		p.end(now, j, Failed, ReasonTooLarge)
	default:
		if !p.rejectOnArrival(now, j) {
			j.service.addUnstarted(j)
		}
	}
	return Accepted
}

// Cancel ends a job whose caller stopped waiting.
func (p *Planner) Cancel(now time.Duration, id string) {
	if j := p.jobs[id]; j != nil && j.outcome == 0 {
		p.end(now, j, Cancelled, ReasonCallerGone)
	}
}

// Counts are the numbers of open jobs.
type Counts struct {
	// Waiting counts the jobs without a started task.
	Waiting int
	Running int
	// Oldest is how long the oldest waiting job has waited; zero if there is none.
	Oldest time.Duration
}

// Count returns the number of open jobs of a contract, or of all contracts for "".
func (p *Planner) Count(now time.Duration, contract string) Counts {
	var c Counts
	for _, j := range p.jobs {
		if j.outcome != 0 || contract != "" && j.terms.Contract != contract {
			continue
		}
		if j.started {
			c.Running++
		} else {
			c.Waiting++
			c.Oldest = max(c.Oldest, now-j.arrived)
		}
	}
	return c
}

// State returns the state of a job as callers see it: known is false if there is no such job.
func (p *Planner) State(id string) (outcome Outcome, started, known bool) {
	j := p.jobs[id]
	if j == nil {
		return 0, false, false
	}
	return j.outcome, j.started, true
}

// end sets the outcome of a job and stops its open runs.
func (p *Planner) end(now time.Duration, j *job, o Outcome, reason Reason) {
	j.outcome = o
	j.service.remove(j)
	waited := now - j.arrived
	if j.started {
		waited = j.firstStart - j.arrived
	}
	ended := Ended{Job: j.work.ID, Outcome: o, Reason: reason, Waited: waited, Started: j.started, Prediction: j.admission.prediction, Returned: j.admission.returning}
	if o == Refused {
		ended.RetryAfter = p.bookRetry(now, j, reason)
	}
	p.out.Ended = append(p.out.Ended, ended)
	for _, t := range j.tasks {
		if t.open() && !t.stopping {
			p.stop(t, reason)
		}
	}
	p.settle(j)
}

// stop orders the stop of a task's open run.
func (p *Planner) stop(t *task, reason Reason) {
	t.stopping, t.stopReason = true, reason
	p.out.Stops = append(p.out.Stops, Stop{t.endpoint.id, t.run(), reason})
}

// settle removes a job that has ended once all its runs are over.
func (p *Planner) settle(j *job) {
	if j.outcome == 0 {
		return
	}
	highest := 0
	for _, t := range j.tasks {
		if t.open() {
			return
		}
		highest = max(highest, t.attempt)
	}
	if p.jobs[j.work.ID] == j {
		delete(p.jobs, j.work.ID)
		if highest > 0 && j.outcome != Completed {
			p.attempts[j.work.ID] = highest
		}
		p.out.Settled = append(p.out.Settled, j.work.ID)
	}
}

// attemptRetention is the minimum time for which the attempts of an ended job are kept: longer
// than guards keep the ends of runs, so that no run of a job submitted again has the name of one
// that a guard remembers.
const attemptRetention = 12 * time.Second

// forgetAttempts drops the attempts of jobs that ended longer ago than attemptRetention.
func (p *Planner) forgetAttempts(now time.Duration) {
	if now-p.attemptsSince >= attemptRetention {
		p.olderAttempts, p.attempts = p.attempts, map[string]int{}
		p.attemptsSince = now
	}
}

// Bounds of RetryAfter for refused jobs.
const (
	minRetryAfter = backlog.MinRetry
	maxRetryAfter = backlog.MaxRetry
)

// retryAfter is the time in which the waiting work will have drained, with random jitter so
// that callers refused together do not retry all at once.
func (p *Planner) retryAfter(s *service) time.Duration {
	queued, capacity := s.waitingWork(), s.capacity()
	drain := minRetryAfter
	if capacity > 0 {
		drain += time.Duration(queued / capacity * float64(time.Second))
	}
	drain = time.Duration(float64(drain) * (1 + p.random.Float64()))
	return min(drain, maxRetryAfter)
}

// PauseStarts holds back all starts until the given time; everything else goes on.
func (p *Planner) PauseStarts(until time.Duration) { p.pausedUntil = until }

// Act returns the actions to carry out now, and the latest time of the next call.
func (p *Planner) Act(now time.Duration) (Actions, time.Duration) {
	next := now + time.Second
	// The startup time counts from the first event, also when that event brings no job.
	p.inStartupGrace(now)
	p.forgetAttempts(now)
	p.forgetLateStarts(now)
	p.forgetRunTimes(now)
	p.contact.blocked = false
	for _, s := range p.services {
		next = min(next, p.refreshFactors(now, s))
		p.endOverdue(now, s)
		if due := s.shared.takeBack(now); due > 0 {
			next = min(next, due)
		}
		if now >= p.pausedUntil {
			p.place(now, s)
			if s.shared.heldBack {
				next = min(next, now+heldBackInterval)
			}
		} else {
			next = min(next, p.pausedUntil)
		}
		p.updateWaiting(now, s)
		s.shared.ownStale = true
		next = min(next, s.nextDue(now))
	}
	if now >= p.nextCheck {
		p.nextCheck = p.checkStarted(now)
	}
	next = min(next, p.nextCheck)
	if p.contact.blocked {
		next = min(next, now+blockedAskInterval)
	}
	out := p.out
	p.out = Actions{}
	return out, next
}

// endOverdue ends waiting jobs whose time is over, or too short for the work left, and those that
// only cordoned endpoints could run.
func (p *Planner) endOverdue(now time.Duration, s *service) {
	p.endCordoned(now, s)
	var waitingForecast forecast
	waiting := 0.0
	if len(s.unstarted) > 0 && now > s.unstarted[0].startBy {
		waitingForecast, waiting = s.forecast(now), s.waitingWork()
	}
	for _, j := range append([]*job(nil), s.unstarted...) {
		switch {
		case now > j.latestStart(j.minCriticalPath):
			p.refuse(now, j, ReasonTooLittleTime)
		case now >= j.keepUntil:
			p.refuse(now, j, p.shortage(now, j))
		default:
			switch {
			case p.startsTooLate(now, j):
				p.rejectEarly(now, j, false)
			case now > j.startBy && !waitingForecast.drainsWithin(waiting, j.keepUntil-now):
				p.refuse(now, j, p.shortage(now, j))
			}
		}
	}
	for _, j := range append([]*job(nil), s.started...) {
		if now > j.latestUsefulStart() {
			p.end(now, j, Expired, ReasonTooLittleTime)
		}
	}
}

// refuse ends a job of which no task has started. If one of its tasks has a late start, the job was
// submitted before, and its tasks may have run.
func (p *Planner) refuse(now time.Duration, j *job, reason Reason) {
	if p.mayHaveRunBefore(now, j) {
		p.end(now, j, Expired, ReasonLateStart)
		return
	}
	p.end(now, j, Refused, reason)
}

// mayHaveRunBefore reports whether a task of a job has a late start.
func (p *Planner) mayHaveRunBefore(now time.Duration, j *job) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return p.hasLateStart(now, t) })
}

// shortage returns the reason for which a job's tasks can't be started.
func (p *Planner) shortage(now time.Duration, j *job) Reason {
	switch {
	case len(j.service.endpoints) == 0:
		return ReasonNoRunner
	case !p.knowsLateStarts(now, j.received):
		return ReasonLateStartsUnknown
	default:
		return ReasonOverload
	}
}

// checkStarted ends started jobs whose caller's deadline is due, and stops runs that take too
// long. It returns the time of the next check.
func (p *Planner) checkStarted(now time.Duration) time.Duration {
	next := now + time.Second
	for _, j := range p.jobs {
		if j.outcome != 0 || !j.started {
			continue
		}
		if now >= j.deadline-answerMargin {
			reason := ReasonDeadline
			for _, t := range j.tasks {
				if t.open() && !t.endpoint.attached {
					reason = ReasonGuardUnreachable
				}
			}
			p.end(now, j, Expired, reason)
			continue
		}
		next = min(next, j.deadline-answerMargin, p.stopLongRuns(now, j))
	}
	return next
}

// sortIndex returns the first position for which the function is true.
func sortIndex(list []*job, less func(*job) bool) int {
	return sort.Search(len(list), func(i int) bool { return less(list[i]) })
}
