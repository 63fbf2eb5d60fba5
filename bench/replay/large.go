package replay

import "time"

// Loads of hundreds of hosts: 55 entries in six data centres, some of which receive the
// callers of four addresses and some none, and 240 runners of four or six tasks, so
// that no runner can hold all tasks of the widest jobs.

// Rates that use about 73 % of the runners.
const (
	largeWideRate = 334
	largeLongRate = 75.9
	largePairRate = 973
	// largeTaskCPU is what a task needs, in thousandths of a core.
	largeTaskCPU = 7600
)

func largeLoad(name string) Load {
	const wait = 1500 * time.Millisecond
	return Load{
		Name:      name,
		For:       8 * time.Second,
		RunnerCPU: 32_000,
		Sizes:     []float64{1, 1, 1.5},
		Kinds: []Kind{
			{Name: "wide", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: largeTaskCPU, PerSecond: largeWideRate, Deadline: wait, Priority: 0},
			{Name: "long", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: largeTaskCPU, PerSecond: largeLongRate, Deadline: 3 * wait, Priority: 2},
			{Name: "pair", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: largeTaskCPU, PerSecond: largePairRate, Deadline: wait, Priority: 1},
		},
		DataCentres: []DataCentre{
			{Name: "a", Entries: 10, Runners: 40, Callers: 0.19, Addresses: 16},
			{Name: "b", Entries: 11, Runners: 40, Callers: 0.15, Addresses: 13},
			{Name: "c", Entries: 9, Runners: 40, Callers: 0.19, Addresses: 17},
			{Name: "d", Entries: 8, Runners: 40, Callers: 0.16, Addresses: 14},
			{Name: "e", Entries: 9, Runners: 40, Callers: 0.15, Addresses: 12},
			{Name: "f", Entries: 8, Runners: 40, Callers: 0.16, Addresses: 13},
		},
	}
}

// fullLargeLoad scales the large load so that it just saturates its runners.
const fullLargeLoad = 1 / 0.73

func largeLoads() []Load {
	calm := largeLoad("large-calm").scaled(1.1)
	over := largeLoad("large-over").scaled(1.1 * fullLargeLoad)
	wideBurst := largeLoad("large-wide-burst").scaled(1.1)
	wideBurst.Bursts = []Burst{{At: 2 * time.Second, For: 4 * time.Second, Times: 2.5, Kind: "wide"}}
	burst := largeLoad("large-burst").scaled(1.1)
	burst.Bursts = []Burst{{At: 2 * time.Second, For: 4 * time.Second, Times: 1.35}}
	failing := largeLoad("large-failing").scaled(1.1)
	failing.RunnerFaults = []RunnerFault{{At: 2 * time.Second, For: 4 * time.Second, Kind: Failing, Runners: 3}}
	gone := largeLoad("large-gone").scaled(1.1)
	gone.RunnerFaults = []RunnerFault{{At: 2 * time.Second, For: 3 * time.Second, Kind: Gone, Runners: 6}}
	restart := largeLoad("large-restart").scaled(1.1)
	restart.RunnerFaults = []RunnerFault{{At: 2 * time.Second, For: 1500 * time.Millisecond, Kind: Gone, Runners: 40}}
	return []Load{calm, over, wideBurst, burst, failing, gone, restart}
}
