package planner

import (
	"time"

	"almondstand.dev/dispatch/durations"
)

const (
	// defaultRunTime is the assumed run time of a task when nothing is known about it.
	defaultRunTime = 200 * time.Millisecond
	// averageWeight is the weight of a new run in the moving averages, which thus cover some
	// twenty runs.
	averageWeight = 0.05
	// declaredWeight is the weight of the caller's own estimate against the mean of the
	// contract's runs: declared times are off by some 40 %, and tasks of one contract differ by
	// as much.
	declaredWeight = 0.5
	// minRunTimeFactor of the expected run time is the minimum that work takes: run times of one
	// contract differ by a factor of two. Work that by this measure cannot be done before the
	// caller's deadline is not started: its caller would wait in vain.
	minRunTimeFactor = 0.5
	// maxNormalRunAge is the time without runs on endpoints that are not slow after which a
	// contract's run times are learnt from slow ones.
	maxNormalRunAge = time.Second
	// minRetestInterval and maxRetestInterval are the bounds of the interval between two jobs
	// of a contract that are accepted against its learnt run times.
	minRetestInterval = time.Second
	maxRetestInterval = 32 * time.Second
	// runTimesRetention is the time without runs after which the distribution of a contract's run
	// times is removed, and runTimesPruneInterval that between two removals. With 990 endpoints a
	// distribution takes some 0.2 MB, and contracts come and go.
	runTimesRetention     = 10 * time.Minute
	runTimesPruneInterval = time.Minute
)

// estimate learns the run times of one contract's tasks.
type estimate struct {
	// meanRan and meanDeclared are the means of actual and declared run times in seconds; zero
	// before the first run.
	meanRan, meanDeclared float64
	// updatedAt is when a run time was last added.
	updatedAt time.Duration
	// normalRunAt is when a run last ended on an endpoint that is not slow.
	normalRunAt time.Duration
	// retestAt is the earliest time of the next retest, retestInterval the last interval, which
	// doubles with each retest.
	retestAt, retestInterval time.Duration
	// runTimes is the distribution of the run times, which decides instead of the means once it has
	// learnt a heavy tail; nil if Features.RunProgress is turned off.
	runTimes *durations.Distribution
}

func (p *Planner) estimate(contract string) *estimate {
	e := p.estimates[contract]
	if e == nil {
		e = &estimate{}
		if !p.opt.Disabled.RunProgress {
			e.runTimes = durations.New()
		}
		p.estimates[contract] = e
	}
	return e
}

func (e *estimate) expectedRunTime(declared time.Duration) time.Duration {
	if run, known := e.runTimes.Expected(declared); known {
		return run
	}
	if e.meanRan == 0 {
		if declared > 0 {
			return declared
		}
		return defaultRunTime
	}
	if declared <= 0 || e.meanDeclared == 0 {
		return seconds(e.meanRan)
	}
	own := declared.Seconds() * e.meanRan / e.meanDeclared
	return seconds(declaredWeight*own + (1-declaredWeight)*e.meanRan)
}

// minRunTime is the minimum run time of a task; zero before the first run. The mean of the
// contract's runs is an upper bound for it: otherwise a declaration that is far too long would
// have every job refused, and no run could ever show that it is wrong.
func (e *estimate) minRunTime(declared time.Duration) time.Duration {
	if e.meanRan == 0 {
		return 0
	}
	if run, known := e.runTimes.Min(declared); known {
		return run
	}
	return time.Duration(minRunTimeFactor * float64(min(e.expectedRunTime(declared), seconds(e.meanRan))))
}

// runTimeLimit is the run time on a normal endpoint from which a run is considered hung if nothing is
// known of its progress and of the job's other tasks.
func (e *estimate) runTimeLimit(declared, expected time.Duration) time.Duration {
	limit := time.Duration(runTimeLimitFactor * float64(expected))
	if run, known := e.runTimes.Limit(declared); known {
		limit = max(limit, run)
	}
	return limit
}

// retestDue reports whether a job is to be accepted although the learnt run times leave its
// caller no time, and if so schedules the next retest. While all such jobs are refused,
// nothing runs that could correct the learnt run times.
func (e *estimate) retestDue(now time.Duration) bool {
	if now-e.updatedAt < minRetestInterval || now < e.retestAt {
		return false
	}
	e.retestInterval = min(max(2*e.retestInterval, minRetestInterval), maxRetestInterval)
	e.retestAt = now + e.retestInterval
	return true
}

// learnsFrom reports whether the run time of a run that ended now is learnt. On a slow endpoint run
// times do not reflect the tasks, unless the contract has had no runs on others for
// maxNormalRunAge: then its tasks may be what takes long.
func (e *estimate) learnsFrom(now time.Duration, slow bool) bool {
	return !slow || now-e.normalRunAt >= maxNormalRunAge
}

// reset resets the learnt run times.
func (e *estimate) reset() {
	runTimes := e.runTimes
	if runTimes != nil {
		runTimes = durations.New()
	}
	*e = estimate{normalRunAt: e.normalRunAt, runTimes: runTimes}
}

// forgetRunTimes removes the distributions of contracts without runs for runTimesRetention.
func (p *Planner) forgetRunTimes(now time.Duration) {
	if now-p.runTimesPruned < runTimesPruneInterval {
		return
	}
	p.runTimesPruned = now
	for _, e := range p.estimates {
		if e.runTimes != nil && now-e.updatedAt >= runTimesRetention {
			e.runTimes = durations.New()
		}
	}
}

// forgetTail resets the distribution after a run that was stopped for taking too long, if none has
// completed for maxNormalRunAge. The distribution has only runs that completed: it would keep its
// limits, and no run would complete again.
func (e *estimate) forgetTail(now time.Duration) {
	if e.runTimes.HasTail() && now-e.normalRunAt >= maxNormalRunAge {
		e.runTimes = durations.New()
	}
}

func (e *estimate) learn(now, ran, declared time.Duration) {
	e.updatedAt = now
	e.meanRan = movingAverage(e.meanRan, ran.Seconds())
	if declared > 0 {
		e.meanDeclared = movingAverage(e.meanDeclared, declared.Seconds())
	}
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + averageWeight*(sample-old)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
