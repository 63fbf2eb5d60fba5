package fleetwire

import (
	"math"
	"time"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/wire/wirev1"
)

// maxDemandAmount is the largest valid amount of waiting CPU and work in a row, in thousandths: a million
// cores waiting for 1,000 s. Sums of larger ones over the rows and entries could overflow.
const maxDemandAmount = 1_000_000_000_000

// ToDemands converts demand by contract to the wire type.
func ToDemands(demands []work.Demand) []*wirev1.ContractDemand {
	var out []*wirev1.ContractDemand
	for _, d := range demands {
		out = append(out, &wirev1.ContractDemand{
			Contract:      d.Contract,
			Priority:      uint32(max(d.Priority, 0)),
			WaitingMilli:  d.WaitingMilli,
			WorkCoreMs:    int64(math.Round(d.Work * 1000)),
			SlackMs:       slackMillis(d.Slack),
			Jobs:          uint32(max(d.Jobs, 0)),
			ArrivingMilli: uint32(max(d.ArrivingMilli, 0)),
		})
	}
	return out
}

// slackMillis returns a slack in milliseconds, rounded up: zero stands for jobs that are late.
func slackMillis(d time.Duration) uint32 {
	return uint32(max((d + time.Millisecond - 1).Milliseconds(), 0))
}

// FromDemands converts demand by contract from the wire type. It returns at most work.MaxDemands
// contracts and leaves out those with negative or impossibly large amounts.
func FromDemands(demands []*wirev1.ContractDemand) []work.Demand {
	var out []work.Demand
	for _, d := range demands {
		if len(out) == work.MaxDemands {
			break
		}
		if d.GetWaitingMilli() < 0 || d.GetWaitingMilli() > maxDemandAmount || d.GetWorkCoreMs() < 0 || d.GetWorkCoreMs() > maxDemandAmount {
			continue
		}
		out = append(out, work.Demand{
			Contract:      d.GetContract(),
			Priority:      int(d.GetPriority()),
			WaitingMilli:  d.GetWaitingMilli(),
			Work:          float64(d.GetWorkCoreMs()) / 1000,
			Slack:         time.Duration(d.GetSlackMs()) * time.Millisecond,
			Jobs:          int(d.GetJobs()),
			ArrivingMilli: int64(d.GetArrivingMilli()),
		})
	}
	return out
}
