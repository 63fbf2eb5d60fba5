package fleetwire

import (
	"time"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/wire/wirev1"
)

// ToDemands converts demand by contract to the wire type.
func ToDemands(demands []work.Demand) []*wirev1.ContractDemand {
	var out []*wirev1.ContractDemand
	for _, d := range demands {
		out = append(out, &wirev1.ContractDemand{
			Contract:      d.Contract,
			Priority:      uint32(max(d.Priority, 0)),
			WaitingMilli:  d.WaitingMilli,
			WorkCoreMs:    int64(d.Work * 1000),
			SlackMs:       uint32(max(d.Slack.Milliseconds(), 0)),
			Jobs:          uint32(max(d.Jobs, 0)),
			ArrivingMilli: uint32(max(d.ArrivingMilli, 0)),
		})
	}
	return out
}

// FromDemands converts demand by contract from the wire type. It returns at most work.MaxDemands
// contracts and leaves out those with negative amounts.
func FromDemands(demands []*wirev1.ContractDemand) []work.Demand {
	var out []work.Demand
	for _, d := range demands {
		if len(out) == work.MaxDemands {
			break
		}
		if d.GetWaitingMilli() < 0 || d.GetWorkCoreMs() < 0 {
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
