package replay

import "time"

// Loads of which nearly half of the work is long and least urgent, with callers whose rate
// swings in each data centre out of phase. Two data centres have small entry hosts only.

// Rates that use about 82 % of 58 runners of 32 and 48 cores.
const (
	shiftedLookupRate = 166
	shiftedCheckRate  = 65.9
	shiftedCardRate   = 486
)

func shiftedLoad(name string) Load {
	const wait = 1500 * time.Millisecond
	return Load{
		Name:      name,
		For:       14 * time.Second,
		RunnerCPU: 27_500,
		Sizes:     []float64{1, 1, 1.5},
		Kinds: []Kind{
			{Name: "lookup", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: 2700, PerSecond: shiftedLookupRate, Deadline: wait, Priority: 0},
			{Name: "check", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: 2700, PerSecond: shiftedCheckRate, Deadline: 3 * wait, Priority: 2},
			{Name: "card", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: 2700, PerSecond: shiftedCardRate, Deadline: wait, Priority: 1},
		},
		DataCentres: []DataCentre{
			{Name: "a", Entries: 3, Runners: 15, Callers: 0.27, Phase: 0.96, Addresses: 16},
			{Name: "b", Entries: 3, Runners: 15, Callers: 0.30, Phase: 0.23, Addresses: 18},
			{Name: "thin-1", Entries: 2, Runners: 14, Callers: 0.21, Phase: 0.5, Addresses: 12, CPUShare: thinShare},
			{Name: "thin-2", Entries: 2, Runners: 14, Callers: 0.22, Phase: 0.75, Addresses: 13, CPUShare: thinShare},
		},
		Swing: Swing{Depth: 0.27, Period: 11 * time.Second},
	}
}

func shiftedLoads() []Load {
	burst := shiftedLoad("shifted-burst")
	burst.Bursts = []Burst{{At: 2 * time.Second, For: 4 * time.Second, Times: 1.3}}
	flapping := shiftedLoad("shifted-flapping")
	flapping.Bursts = burst.Bursts
	flapping.RunnerFaults = []RunnerFault{{At: 4 * time.Second, For: 6500 * time.Millisecond, Kind: Flapping, Runners: 1}}
	short := shiftedLoad("shifted-short")
	short.Bursts = burst.Bursts
	short.RunnerFaults = []RunnerFault{{At: 5 * time.Second, For: 9 * time.Second, Kind: Gone, Runners: 3}}
	return []Load{burst, flapping, short}
}
