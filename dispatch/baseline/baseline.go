// Package baseline implements placement policies and job orders that production doesn't
// use but was compared with, and the names by which an experiment selects any policy.
package baseline

import (
	"fmt"
	"time"

	"almondstand.dev/dispatch/placement"
	"almondstand.dev/dispatch/queue"
	"almondstand.dev/dispatch/scheduler"
)

// Random places a task on a random endpoint, regardless of its load.
type Random struct{}

// Choose implements placement.Chooser.
func (Random) Choose(s *placement.Set, avoid *placement.Endpoint) *placement.Endpoint {
	return random(s, avoid)
}

// TwoChoices picks two random endpoints and takes the one believed to have more free
// slots (power of two choices), even if it has none.
type TwoChoices struct{}

// Choose implements placement.Chooser.
func (TwoChoices) Choose(s *placement.Set, avoid *placement.Endpoint) *placement.Endpoint {
	a := random(s, avoid)
	b := random(s, avoid)
	if a == nil || freeSlots(b) > freeSlots(a) {
		return b
	}
	return a
}

func freeSlots(e *placement.Endpoint) int { return e.Slots() - e.Own() - e.Others() }

// random returns a random endpoint that accepts tasks; it returns avoid only when there
// is no other.
func random(s *placement.Set, avoid *placement.Endpoint) *placement.Endpoint {
	all := s.All()
	if len(all) == 0 {
		return nil
	}
	first := s.IntN(len(all))
	var last *placement.Endpoint
	for i := range all {
		e := all[(first+i)%len(all)]
		if e.Excluded() || e.Unavailable() {
			continue
		}
		if e != avoid {
			return e
		}
		last = e
	}
	return last
}

// FIFO starts jobs in order of arrival.
type FIFO struct{}

// Key implements queue.Order.
func (FIFO) Key(*queue.Job) float64 { return 0 }

// EarliestDeadline starts the job with the earliest deadline first.
type EarliestDeadline struct{}

// Key implements queue.Order.
func (EarliestDeadline) Key(j *queue.Job) float64 {
	return float64(j.Deadline.UnixMicro())
}

// FewestTasksLeft starts the job with the fewest unfinished tasks first, relative to its
// weight. It needs no run times.
type FewestTasksLeft struct{}

// Key implements queue.Order.
func (FewestTasksLeft) Key(j *queue.Job) float64 { return float64(j.Left()) / j.Weight }

// LeastSlowdown starts the job first for which the product of remaining expected run
// time and run time of its longest task is least, relative to its weight. This is the
// least-work order with each job weighted by how much its slowdown (response time /
// ideal response time) suffers.
type LeastSlowdown struct{}

// Key implements queue.Order.
func (LeastSlowdown) Key(j *queue.Job) float64 {
	return j.Work().Seconds() * j.Longest().Seconds() / j.Weight
}

// LeastTaskSlowdown is LeastSlowdown with the number of unfinished tasks in place of the
// remaining run time.
type LeastTaskSlowdown struct{}

// Key implements queue.Order.
func (LeastTaskSlowdown) Key(j *queue.Job) float64 {
	return float64(j.Left()) * j.Longest().Seconds() / j.Weight
}

// Names of the policies that a Variant selects.
const (
	PlacementKnownFree  = "known_free"
	PlacementRandom     = "random"
	PlacementTwoChoices = "two_choices"

	OrderFewestTasksLeft   = "fewest_left"
	OrderFIFO              = "fifo"
	OrderEarliestDeadline  = "earliest_deadline"
	OrderLeastWork         = "least_work"
	OrderLeastSlowdown     = "least_slowdown"
	OrderLeastTaskSlowdown = "fewest_slowdown"
)

// Variant selects one combination of policies. Empty fields select the production
// default.
type Variant struct {
	Placement string `json:"placement,omitempty"`
	Order     string `json:"order,omitempty"`
	// Ageing is the fraction of its answer time after which a job alternates with the
	// first job of the order.
	Ageing *float64 `json:"ageing,omitempty"`
	// MinInFlight is the minimum number of tasks in flight allowed per endpoint, whatever the
	// reports say.
	MinInFlight *int `json:"floor,omitempty"`
	// FairQueueing set to false makes the order alone decide between clients.
	FairQueueing *bool `json:"fair_queueing,omitempty"`
	// FairnessSlack is how far a client may be ahead of its fair share.
	FairnessSlack *time.Duration `json:"fair_slack_ns,omitempty"`
	// IgnoreDataCentre makes placement treat the endpoints of all data centres alike.
	IgnoreDataCentre bool `json:"no_zone,omitempty"`
	// DeclaredOnly uses declared run times and disables learning.
	DeclaredOnly bool `json:"declared_only,omitempty"`
	// IgnoreLateness rejects no job for its forecast lateness.
	IgnoreLateness bool `json:"admit_all,omitempty"`
}

// Apply returns the options with the changes that the variant selects.
func (v Variant) Apply(o scheduler.Options) (scheduler.Options, error) {
	switch v.Placement {
	case "", PlacementKnownFree:
	case PlacementRandom:
		o.Placement = Random{}
	case PlacementTwoChoices:
		o.Placement = TwoChoices{}
	default:
		return o, fmt.Errorf("baseline: unknown placement %q", v.Placement)
	}
	switch v.Order {
	case "", OrderLeastWork:
	case OrderFIFO:
		o.Order = FIFO{}
	case OrderEarliestDeadline:
		o.Order = EarliestDeadline{}
	case OrderFewestTasksLeft:
		o.Order = FewestTasksLeft{}
	case OrderLeastSlowdown:
		o.Order = LeastSlowdown{}
	case OrderLeastTaskSlowdown:
		o.Order = LeastTaskSlowdown{}
	default:
		return o, fmt.Errorf("baseline: unknown order %q", v.Order)
	}
	if v.Ageing != nil {
		o.Ageing = zeroMeansOff(*v.Ageing, scheduler.NoAgeing)
	}
	if v.MinInFlight != nil {
		o.MinInFlight = zeroMeansOff(*v.MinInFlight, scheduler.NoMinInFlight)
	}
	if v.FairnessSlack != nil {
		o.FairnessSlack = zeroMeansOff(*v.FairnessSlack, scheduler.NoFairnessSlack)
	}
	if v.FairQueueing != nil {
		o.DisableFairQueueing = !*v.FairQueueing
	}
	if v.IgnoreDataCentre {
		o.DataCentre = ""
	}
	o.Estimate.DeclaredOnly = v.DeclaredOnly
	o.IgnoreLateness = v.IgnoreLateness
	return o, nil
}

// zeroMeansOff converts an explicit zero, which would select the default, into the
// value that disables the option.
func zeroMeansOff[T int | float64 | time.Duration](value, off T) T {
	if value == 0 {
		return off
	}
	return value
}
