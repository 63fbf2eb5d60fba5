package work

import (
	"cmp"
	"math"
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

// MergeScaledDemands is MergeDemands with the amounts of each list multiplied by its factor. Factors may
// be negative; a sum below zero counts as zero.
func MergeScaledDemands(lists [][]Demand, factors []float64) []Demand {
	type amounts struct{ waiting, work, jobs, arriving float64 }
	byContract := make(map[uint32]int, MaxDemands)
	var out []Demand
	var sums []amounts
	for n, rows := range lists {
		f := factors[n]
		for _, d := range rows {
			i, found := byContract[d.Contract]
			if !found {
				i = len(out)
				byContract[d.Contract] = i
				out, sums = append(out, d), append(sums, amounts{})
			} else {
				out[i] = out[i].add(d)
			}
			a := &sums[i]
			a.waiting += f * float64(d.WaitingMilli)
			a.work += f * d.Work
			a.jobs += f * float64(d.Jobs)
			a.arriving += f * float64(d.ArrivingMilli)
		}
	}
	for i, a := range sums {
		// Without the rounding, sums of fractions are off by a thousandth of a core, and one more job.
		out[i].WaitingMilli = int64(math.Round(max(a.waiting, 0)))
		out[i].Work = max(a.work, 0)
		out[i].Jobs = int(math.Ceil(max(a.jobs-roundingError, 0)))
		out[i].ArrivingMilli = int64(math.Round(max(a.arriving, 0)))
	}
	return MergeDemands(out)
}

// roundingError is more than the rounding error of a sum of fractions of jobs.
const roundingError = 1e-6

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
