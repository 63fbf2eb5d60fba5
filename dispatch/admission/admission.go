// Package admission decides at once whether a new job can be answered within its answer time,
// and if not, when its caller should retry.
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

// arrivalHorizon is the fraction of the answer time for which arrivals are expected to
// continue at the measured rate.
const arrivalHorizon = 0.5

// Options configure a Controller; zero values take the defaults.
type Options struct {
	// MaxTasks and MaxBytes limit what the queue may hold.
	MaxTasks int
	MaxBytes int64
	// Margin is the fraction of the answer time that the forecast may use.
	Margin float64
	// MinRetry and MaxRetry are the bounds of the retry times for refused jobs.
	MinRetry time.Duration
	MaxRetry time.Duration
}

// Load is the state of the service at the time of a decision.
type Load struct {
	// Waiting is the number of tasks in the queue, Bytes the size of its payloads.
	Waiting int
	Bytes   int64
	// Slots is the number of slots that this entry can count on, without those that other
	// entries use.
	Slots float64
	// Idle is true if no task of the client is waiting.
	Idle bool
	// Ahead is the expected run time of the client's waiting tasks that go before the job's;
	// SmallerArrivalRate is the rate at which such work arrives, in slots.
	Ahead              time.Duration
	SmallerArrivalRate float64
	// FairShare is the client's fair share of the slots, from 0 to 1.
	FairShare float64
	// OthersSlots is the number of slots that other clients use.
	OthersSlots float64
}

// Demand is what a job asks for.
type Demand struct {
	Client string
	Tasks  int
	Bytes  int64
	// Work is the total expected run time of the job's tasks, Longest that of its longest task.
	Work    time.Duration
	Longest time.Duration
	// Learnt is true if the run times were learnt from earlier runs, false if they are a guess.
	Learnt bool
	// AnswerTime is the time left for the answer.
	AnswerTime time.Duration
}

// Verdict is the result of an admission decision.
type Verdict int

// Values of Verdict.
const (
	Admitted Verdict = iota
	// TooLate: the job cannot be answered in time.
	TooLate
	// QueueFull: the queue has reached one of its limits.
	QueueFull
)

// Controller decides on the admission of jobs. It is not safe for concurrent use.
type Controller struct {
	opts   Options
	random *rand.Rand
	// lastRetry holds, for each client with recently refused jobs, the latest retry time that
	// was given out.
	lastRetry map[string]time.Time
}

// New returns a Controller.
func New(o Options, random *rand.Rand) *Controller {
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
	return &Controller{opts: o, random: random, lastRetry: map[string]time.Time{}}
}

// Decide decides on one job. retryAfter is set for every verdict except Admitted.
func (g *Controller) Decide(now time.Time, l Load, d Demand) (v Verdict, retryAfter time.Duration) {
	rate := g.rate(l)
	if l.Waiting+d.Tasks > g.opts.MaxTasks || l.Bytes+d.Bytes > g.opts.MaxBytes {
		return QueueFull, g.retryAfter(now, d, rate, g.opts.MinRetry)
	}
	late := g.Forecast(l, d).Lateness()
	if late <= 0 || g.admitGuess(l, d) {
		return Admitted, 0
	}
	if !g.Feasible(l, d) {
		// The job does not wait for other jobs, so reserving a retry time would only delay the
		// later ones.
		return TooLate, g.AddJitter(min(late, g.opts.MaxRetry))
	}
	return TooLate, g.retryAfter(now, d, rate, late)
}

// Forecast is how long a job would take if it were admitted now.
type Forecast struct {
	// Slots is the number of slots that serve the client.
	Slots float64
	// Drain is the time needed to run the job and all that goes before it, Allowed the time
	// available for that: zero or less if the longest task alone exceeds it.
	Drain, Allowed time.Duration
}

// Lateness returns how late the job would end, zero or less if it ends in time.
func (f Forecast) Lateness() time.Duration { return f.Drain - f.Allowed }

// Forecast returns how long a job would take if it were admitted now.
func (g *Controller) Forecast(l Load, d Demand) Forecast {
	rate := g.rate(l)
	return Forecast{
		Slots:   rate,
		Drain:   drainTime(l, d, rate),
		Allowed: time.Duration(g.opts.Margin*float64(d.AnswerTime)) - d.Longest,
	}
}

// RetryAfterNoEndpoint returns the retry time for a service without known endpoints: a random time
// of up to a second, in which one may announce itself.
func (g *Controller) RetryAfterNoEndpoint() time.Duration { return g.AddJitter(time.Second) }

// rate returns the number of slots that the client can count on: its fair share, or what the
// other clients leave if that is more.
func (g *Controller) rate(l Load) float64 {
	const least = 0.1
	return max(least, l.Slots*l.FairShare, l.Slots-l.OthersSlots)
}

// Feasible reports whether the job could be answered in time if it had the whole service to
// itself.
func (g *Controller) Feasible(l Load, d Demand) bool {
	return g.Forecast(Load{Slots: l.Slots, FairShare: 1}, d).Lateness() <= 0
}

// drainTime returns the time needed to run the job and what goes before it: smaller jobs of
// its client, both those that are waiting and those that arrive while it waits. A large job
// thus gets only the slots that the stream of small ones leaves free. A burst of small jobs is
// assumed to last for a fraction of the answer time. Larger jobs do not count, because the job
// goes before them.
func drainTime(l Load, d Demand, rate float64) time.Duration {
	ahead := (l.Ahead + d.Work).Seconds()
	drain := (ahead + l.SmallerArrivalRate*d.AnswerTime.Seconds()*arrivalHorizon) / rate
	if available := rate - l.SmallerArrivalRate; available > 0 {
		drain = min(drain, ahead/available)
	}
	return time.Duration(drain * float64(time.Second))
}

// admitGuess reports whether to admit a job against a guessed estimate, which is the case if
// nothing of its client is waiting. A guess that is far too long would otherwise lock out a
// client for good, since no task of it could ever run and correct the guess.
func (g *Controller) admitGuess(l Load, d Demand) bool {
	return !d.Learnt && l.Idle
}

// retryAfter gives each refused job its own retry time: the time by which the backlog has
// shrunk enough, and from then on one job after another at the rate at which the client is
// served. If all got the same time, they would all retry together and most would be refused
// again.
func (g *Controller) retryAfter(now time.Time, d Demand, rate float64, late time.Duration) time.Duration {
	g.removePassed(now)
	at := now.Add(max(late, g.opts.MinRetry))
	if previous := g.lastRetry[d.Client]; previous.After(at) {
		at = previous
	}
	at = at.Add(time.Duration(d.Work.Seconds() / rate * float64(time.Second)))
	if latest := now.Add(g.opts.MaxRetry); at.After(latest) {
		at = latest
	}
	g.lastRetry[d.Client] = at
	return g.AddJitter(at.Sub(now))
}

// AddJitter adds random jitter, so that callers given the same time, by several entries or
// because it is the longest one, do not retry at the same moment.
func (g *Controller) AddJitter(wait time.Duration) time.Duration {
	const jitter = 0.2
	return max(g.opts.MinRetry, time.Duration(float64(wait)*(1+jitter*g.random.Float64())))
}

// removePassed removes retry times that have passed once there are many entries.
func (g *Controller) removePassed(now time.Time) {
	const many = 1024
	if len(g.lastRetry) < many {
		return
	}
	for client, at := range g.lastRetry {
		if at.Before(now) {
			delete(g.lastRetry, client)
		}
	}
}
