package quota

import (
	"math"
	"strings"

	"almondstand.dev/wire/wirev1"
)

// milliPerTask is the number of wire units in one task.
const milliPerTask = 1000

// roundingSlack compensates for rounding shares down to thousandths. With fewer than
// 1/roundingSlack entries it never adds up to one task.
const roundingSlack = 0.005

// amounts is a part of a client's limits.
type amounts struct {
	// rate is in tasks per second, burst and inFlight are in tasks.
	rate, burst, inFlight float64
}

func (a amounts) plus(b amounts) amounts {
	return amounts{a.rate + b.rate, a.burst + b.burst, a.inFlight + b.inFlight}
}

func (a amounts) minus(b amounts) amounts {
	return amounts{a.rate - b.rate, a.burst - b.burst, a.inFlight - b.inFlight}
}

func (a amounts) times(f float64) amounts {
	return amounts{a.rate * f, a.burst * f, a.inFlight * f}
}

func (a amounts) min(b amounts) amounts {
	return amounts{min(a.rate, b.rate), min(a.burst, b.burst), min(a.inFlight, b.inFlight)}
}

func (a amounts) max(b amounts) amounts {
	return amounts{max(a.rate, b.rate), max(a.burst, b.burst), max(a.inFlight, b.inFlight)}
}

// positive replaces negative amounts by zero.
func (a amounts) positive() amounts { return a.max(amounts{}) }

// rounded rounds down to wire units.
func (a amounts) rounded() amounts {
	return amounts{float64(units(a.rate)) / milliPerTask, float64(units(a.burst)) / milliPerTask, float64(units(a.inFlight)) / milliPerTask}
}

// negligible reports whether all amounts round down to zero wire units, so that they are not worth
// a message.
func (a amounts) negligible() bool { return units(a.rate)+units(a.burst)+units(a.inFlight) == 0 }

func units(v float64) uint64 {
	if v <= 0 {
		return 0
	}
	// 1e-6 compensates for binary fractions just below a whole unit.
	return uint64(math.Floor(v*milliPerTask + 1e-6))
}

func peerDemandOf(d *wirev1.Demand) peerDemand {
	return peerDemand{
		amounts: amounts{
			rate:     float64(d.GetRateMilli()) / milliPerTask,
			burst:    float64(d.GetBurstMilli()) / milliPerTask,
			inFlight: float64(d.GetInFlightMilli()) / milliPerTask,
		},
		oversized: float64(d.GetJobMilli()) / milliPerTask,
		call:      d.GetCall(),
	}
}

func leaseAmounts(l *wirev1.Loan) amounts {
	return amounts{
		rate:     float64(l.GetRateMilli()) / milliPerTask,
		burst:    float64(l.GetBurstMilli()) / milliPerTask,
		inFlight: float64(l.GetInFlightMilli()) / milliPerTask,
	}
}

func compare(a, b string) int { return strings.Compare(a, b) }
