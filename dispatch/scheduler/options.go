package scheduler

import (
	"math/rand/v2"
	"time"

	"almondstand.dev/dispatch/admission"
	"almondstand.dev/dispatch/estimate"
	"almondstand.dev/dispatch/health"
	"almondstand.dev/dispatch/placement"
	"almondstand.dev/dispatch/queue"
	"almondstand.dev/dispatch/retry"
)

// Defaults of Options.
const (
	DefaultMinInFlight   = 1
	DefaultFairnessSlack = 500 * time.Millisecond
	DefaultAgeing        = 0.5
)

// Values of Options that disable a rule. They are negative because zero selects the
// default.
const (
	NoMinInFlight   = -1
	NoFairnessSlack = -1
	NoAgeing        = -1
)

// Limits of the backoff after an endpoint refused a task.
const (
	minRefusalBackoff = 5 * time.Millisecond
	maxRefusalBackoff = time.Second
)

const (
	// Limits on the starts of one task, independent of the retry budget.
	// maxFailedStarts applies when the task ran and failed: it may well fail on any
	// endpoint, so a single retry covers the case that the endpoint was at fault.
	// maxLostStarts applies when the task may have run. maxRefusedStarts applies when
	// the task was refused, because there may be tasks that no endpoint accepts.
	maxFailedStarts  = 2
	maxLostStarts    = 4
	maxRefusedStarts = 16
	// reevaluateInterval is how often the health of a slow or suspect endpoint is
	// evaluated again.
	reevaluateInterval = time.Second
	// typicalSlots is the number of slots assumed per endpoint for the backoff after a
	// refusal.
	typicalSlots = 8
	// capacityTTL is how long the computed total of slots is reused.
	capacityTTL = 10 * time.Millisecond
)

// Options configures a Scheduler. The zero value is the production configuration.
type Options struct {
	// DataCentre is the data centre of this entry.
	DataCentre string
	// MinInFlight is the minimum number of tasks that this entry may always have in flight on
	// a guard's endpoint, whatever the reports say; NoMinInFlight for none.
	MinInFlight int
	// Placement chooses endpoints; nil selects placement.KnownFree.
	Placement placement.Chooser
	// Order sorts jobs; nil selects queue.LeastWork.
	Order queue.Order
	// Ageing is the fraction of its answer time after which a job alternates with the
	// first job of the order; NoAgeing disables this.
	Ageing float64
	// DisableFairQueueing disables fair queueing between clients.
	DisableFairQueueing bool
	// FairnessSlack is how far a client may be ahead of its fair share; NoFairnessSlack
	// enforces the shares task by task.
	FairnessSlack time.Duration
	// IgnoreLateness rejects a job only when it exceeds the limits of the queue, not for its
	// forecast lateness.
	IgnoreLateness bool

	Admission admission.Options
	Estimate  estimate.Options
	Health    health.Options
	Retry     retry.Options
}

func (o Options) minInFlight() int {
	switch {
	case o.MinInFlight == 0:
		return DefaultMinInFlight
	case o.MinInFlight < 0:
		return 0
	}
	return o.MinInFlight
}

func (o Options) fairnessSlack() time.Duration {
	switch {
	case o.FairnessSlack == 0:
		return DefaultFairnessSlack
	case o.FairnessSlack < 0:
		return 0
	}
	return o.FairnessSlack
}

func (o Options) ageing() float64 {
	switch {
	case o.Ageing == 0:
		return DefaultAgeing
	case o.Ageing < 0:
		return 0
	}
	return o.Ageing
}

func (o Options) health(rng *rand.Rand) health.Options {
	if o.Health.Rand == nil {
		o.Health.Rand = rng
	}
	return o.Health
}

func (o Options) queue() queue.Options {
	return queue.Options{
		Order:               o.Order,
		DisableFairQueueing: o.DisableFairQueueing,
		Slack:               o.fairnessSlack(),
		Ageing:              o.ageing(),
	}
}
