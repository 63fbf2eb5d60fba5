// Package admission decides at once whether a new job can be answered within
// its answer time, and says when to come back when it can't.
package admission

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	DefaultMaxTasks = 100_000
	DefaultMaxBytes = 256 << 20
	DefaultMargin   = 0.7
	DefaultMinRetry = 100 * time.Millisecond
	DefaultMaxRetry = time.Minute
)

// rushPart is the part of the answer time for which arrivals are expected to go
// on as measured.
const rushPart = 0.5

// Options of a Gate; zero values take the defaults.
type Options struct {
	// MaxTasks and MaxBytes bound what the queue may hold.
	MaxTasks int
	MaxBytes int64
	// Margin is the part of the answer time that the estimate may fill.
	Margin float64
	// MinRetry and MaxRetry bound the times told to those refused.
	MinRetry time.Duration
	MaxRetry time.Duration
}

// Load is the state of the service at the moment of a decision.
type Load struct {
	// Waiting and Bytes are what the queue holds.
	Waiting int
	Bytes   int64
	// Slots is what this entry can count on, free of others' work.
	Slots float64
	// Idle is true when nothing of the customer waits.
	Idle bool
	// Ahead is the expected run time of the customer's waiting tasks that go
	// before the job's, SmallerRate what arrives of such work per second, in
	// slots.
	Ahead       time.Duration
	SmallerRate float64
	// Share is the customer's fair part of the slots, from 0 to 1.
	Share float64
	// OthersRate is the slots that other customers use.
	OthersRate float64
}

// Demand is what a job asks for.
type Demand struct {
	Customer string
	Tasks    int
	Bytes    int64
	// Work is the expected run time of the job's tasks together, Longest that
	// of its longest task.
	Work    time.Duration
	Longest time.Duration
	// Learnt is true when the times were learnt and not guessed.
	Learnt bool
	// AnswerTime is the time left for the answer.
	AnswerTime time.Duration
}

// Verdict is the outcome of a decision.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota
	// TooLate: the job can't be answered in time.
	TooLate
	// Full: a bound of the queue is reached.
	Full
)

// Gate decides on admission. It is not safe for concurrent use.
type Gate struct {
	opts Options
	rng  *rand.Rand
	// returns holds, for each customer refused of late, the moment up to which
	// those refused have been asked to come back.
	returns map[string]time.Time
}

// New returns a Gate.
func New(o Options, rng *rand.Rand) *Gate {
	if o.MaxTasks == 0 {
		o.MaxTasks = DefaultMaxTasks
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.Margin == 0 {
		o.Margin = DefaultMargin
	}
	if o.MinRetry == 0 {
		o.MinRetry = DefaultMinRetry
	}
	if o.MaxRetry == 0 {
		o.MaxRetry = DefaultMaxRetry
	}
	return &Gate{opts: o, rng: rng, returns: map[string]time.Time{}}
}

// Decide judges one job. retryAfter is set for every verdict but Admitted.
func (g *Gate) Decide(now time.Time, l Load, d Demand) (v Verdict, retryAfter time.Duration) {
	rate := g.rate(l)
	if l.Waiting+d.Tasks > g.opts.MaxTasks || l.Bytes+d.Bytes > g.opts.MaxBytes {
		return Full, g.retryAfter(now, d, rate, g.opts.MinRetry)
	}
	late := g.Forecast(l, d).Lateness()
	if late <= 0 || g.trial(l, d) {
		return Admitted, 0
	}
	if !g.Feasible(l, d) {
		// It waits for no other job, so an appointment would only defer later ones.
		return TooLate, g.Spread(min(late, g.opts.MaxRetry))
	}
	return TooLate, g.retryAfter(now, d, rate, late)
}

// Forecast is how long a job would take if it were taken now.
type Forecast struct {
	// Rate is the slots that serve the customer.
	Rate float64
	// Drain is the time to serve the job and all that goes before it, Allowed the
	// time there is for that: zero or less when the longest task alone fills it.
	Drain, Allowed time.Duration
}

// Lateness is how much too late the job would end, zero or less when it is in time.
func (f Forecast) Lateness() time.Duration { return f.Drain - f.Allowed }

// Forecast returns how long a job would take.
func (g *Gate) Forecast(l Load, d Demand) Forecast {
	rate := g.rate(l)
	return Forecast{
		Rate:    rate,
		Drain:   drainTime(l, d, rate),
		Allowed: time.Duration(g.opts.Margin*float64(d.AnswerTime)) - d.Longest,
	}
}

// RetryAfterNone is for a service of which no endpoint is known: a random time
// of up to a second, in which one may announce itself.
func (g *Gate) RetryAfterNone() time.Duration { return g.Spread(time.Second) }

// rate is the slots that the customer can count on: its fair share, or what the
// others leave when that is more.
func (g *Gate) rate(l Load) float64 {
	const least = 0.1
	return max(least, l.Slots*l.Share, l.Slots-l.OthersRate)
}

// Feasible reports whether the job could be answered in time if it had the whole service
// for itself.
func (g *Gate) Feasible(l Load, d Demand) bool {
	return g.Forecast(Load{Slots: l.Slots, Share: 1}, d).Lateness() <= 0
}

// drainTime is the time to serve the job and what goes before it. Smaller jobs of its
// customer that wait go before it, and so do those that come while it waits: a large job
// gets only what the stream of small ones leaves. A rush of small ones is taken
// to last for a part of the answer time. Jobs larger than it don't count, as it
// overtakes them.
func drainTime(l Load, d Demand, rate float64) time.Duration {
	ahead := (l.Ahead + d.Work).Seconds()
	drain := (ahead + l.SmallerRate*d.AnswerTime.Seconds()*rushPart) / rate
	if left := rate - l.SmallerRate; left > 0 {
		drain = min(drain, ahead/left)
	}
	return time.Duration(drain * float64(time.Second))
}

// trial lets a job through against a guessed estimate when nothing of its
// customer waits. A guess that is far too long would otherwise shut a customer
// out for good, since nothing of its could ever run and correct the guess.
func (g *Gate) trial(l Load, d Demand) bool {
	return !d.Learnt && l.Idle
}

// retryAfter gives those refused an appointment each: the time by which the
// backlog has shrunk enough, and after it one job after the other at the rate
// at which the customer is served. Told the same moment, they would all come
// back together and most be refused again.
func (g *Gate) retryAfter(now time.Time, d Demand, rate float64, late time.Duration) time.Duration {
	g.sweep(now)
	at := now.Add(max(late, g.opts.MinRetry))
	if booked := g.returns[d.Customer]; booked.After(at) {
		at = booked
	}
	at = at.Add(time.Duration(d.Work.Seconds() / rate * float64(time.Second)))
	if latest := now.Add(g.opts.MaxRetry); at.After(latest) {
		at = latest
	}
	g.returns[d.Customer] = at
	return g.Spread(at.Sub(now))
}

// Spread adds a random part, so that those told the same moment, by several
// entries or at the longest wait, don't come in the same one.
func (g *Gate) Spread(wait time.Duration) time.Duration {
	const part = 0.2
	return max(g.opts.MinRetry, time.Duration(float64(wait)*(1+part*g.rng.Float64())))
}

// sweep drops appointments that have passed once there are many.
func (g *Gate) sweep(now time.Time) {
	const many = 1024
	if len(g.returns) < many {
		return
	}
	for customer, at := range g.returns {
		if at.Before(now) {
			delete(g.returns, customer)
		}
	}
}
