package planner

import "time"

const (
	// guess is the run time of a task of which nothing is known.
	guess = 200 * time.Millisecond
	// learnShare is the weight of a new run in the means: some twenty runs count.
	learnShare = 0.05
	// declaredShare is the weight of the caller's own estimate against the mean of
	// the contract's runs: declared times are some 40 % off, and tasks of one
	// contract differ by as much.
	declaredShare = 0.5
	// leastPart of the expected time is the least that work takes: run times of one
	// contract differ by a factor of two. What can't be done in the caller's time by
	// this measure is not started: its caller would wait for nothing.
	leastPart = 0.5
	// firstRetest and maxRetest bound the interval between two jobs of a contract that are
	// taken against its learnt run times.
	firstRetest = time.Second
	maxRetest   = 32 * time.Second
)

// estimate learns the run times of one contract's tasks.
type estimate struct {
	// ran and declared are means in seconds; zero before the first run.
	ran, declared float64
	// learntAt is when a run was last learnt.
	learntAt time.Duration
	// retestAt is the earliest time of the next retest, retestInterval the one after it.
	retestAt, retestInterval time.Duration
}

func (p *Planner) estimate(contract string) *estimate {
	e := p.estimates[contract]
	if e == nil {
		e = &estimate{}
		p.estimates[contract] = e
	}
	return e
}

func (e *estimate) expect(declared time.Duration) time.Duration {
	if e.ran == 0 {
		if declared > 0 {
			return declared
		}
		return guess
	}
	if declared <= 0 || e.declared == 0 {
		return seconds(e.ran)
	}
	own := declared.Seconds() * e.ran / e.declared
	return seconds(declaredShare*own + (1-declaredShare)*e.ran)
}

// least is the least time that a task takes; zero before the first run. The mean of
// the contract's runs bounds it: a declaration that is far too long would have every
// job turned away, and no run would ever show better.
func (e *estimate) least(declared time.Duration) time.Duration {
	if e.ran == 0 {
		return 0
	}
	return time.Duration(leastPart * float64(min(e.expect(declared), seconds(e.ran))))
}

// retestDue reports whether a job is to be taken although the learnt run times leave its
// caller no time, and takes note of it. While all such jobs are rejected nothing runs that
// could correct what was learnt.
func (e *estimate) retestDue(now time.Duration) bool {
	if now-e.learntAt < firstRetest || now < e.retestAt {
		return false
	}
	e.retestInterval = min(max(2*e.retestInterval, firstRetest), maxRetest)
	e.retestAt = now + e.retestInterval
	return true
}

// forget drops what was learnt.
func (e *estimate) forget() { *e = estimate{} }

func (e *estimate) learn(now, ran, declared time.Duration) {
	e.learntAt = now
	e.ran = mean(e.ran, ran.Seconds())
	if declared > 0 {
		e.declared = mean(e.declared, declared.Seconds())
	}
}

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + learnShare*(sample-old)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
