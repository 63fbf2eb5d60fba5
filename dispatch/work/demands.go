package work

import (
	"cmp"
	"slices"
	"time"
)

// MergeDemands adds up the demand of rows with the same contract, over all lists, and returns the rows
// with the most urgent first. Those beyond MaxDemands are added up in the last row, which has the
// contract 0 and the least urgent priority among them. The rows passed are not changed.
func MergeDemands(lists ...[]Demand) []Demand {
	byContract := make(map[uint32]int, MaxDemands)
	var out []Demand
	for _, rows := range lists {
		for _, d := range rows {
			i, found := byContract[d.Contract]
			if !found {
				byContract[d.Contract] = len(out)
				out = append(out, d)
				continue
			}
			out[i] = out[i].add(d)
		}
	}
	slices.SortFunc(out, Demand.compare)
	if len(out) <= MaxDemands {
		return out
	}
	rest := out[MaxDemands-1]
	rest.Contract = 0
	for _, d := range out[MaxDemands:] {
		rest = rest.add(d)
	}
	return append(out[:MaxDemands-1], rest)
}

// add returns the sum of two rows. Contract 0 stands for several contracts, and its priority is the
// least urgent of them.
func (d Demand) add(o Demand) Demand {
	if d.Contract == 0 {
		d.Priority = max(d.Priority, o.Priority)
	} else {
		d.Priority = min(d.Priority, o.Priority)
	}
	d.WaitingMilli += o.WaitingMilli
	d.Work += o.Work
	d.Slack = minSlack(d.Slack, o.Slack)
	d.Jobs += o.Jobs
	d.ArrivingMilli += o.ArrivingMilli
	return d
}

// minSlack returns the lesser slack of jobs that can still start in time; zero stands for none.
func minSlack(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return max(b, 0)
	}
	return a
}

// compare orders demand by urgency: by priority, then by slack, with the contracts that can no longer
// start in time last.
func (d Demand) compare(o Demand) int {
	late := func(d Demand) int {
		if d.Slack > 0 {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(d.Priority, o.Priority), cmp.Compare(late(d), late(o)), cmp.Compare(d.Slack, o.Slack), cmp.Compare(d.Contract, o.Contract))
}
