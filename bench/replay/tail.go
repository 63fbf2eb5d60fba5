package replay

import "time"

// Loads with a heavy tail: three jobs in a hundred run seven times as long, and their declarations
// say so. There is one with the tail alone, one with runners that hang as well, and one with such
// runners only.

// Rates that use about 72 % of 12 runners of 32 cores with the tail, of three entries.
const (
	tailLookupRate = 32
	tailCheckRate  = 6
	tailCardRate   = 96
)

func tailLoad(name string) Load {
	const wait = 1500 * time.Millisecond
	l := Load{
		Name:      name,
		For:       60 * time.Second,
		RunnerCPU: 32_000,
		Kinds: []Kind{
			{Name: "lookup", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: 2900, PerSecond: tailLookupRate, Deadline: wait, Priority: 0},
			{Name: "check", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: 2900, PerSecond: tailCheckRate, Deadline: 3 * wait, Priority: 2},
			{Name: "card", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: 2900, PerSecond: tailCardRate, Deadline: wait, Priority: 1},
		},
		DataCentres: []DataCentre{
			{Name: "a", Entries: 1, Runners: 4, Callers: 0.34},
			{Name: "b", Entries: 1, Runners: 4, Callers: 0.33},
			{Name: "c", Entries: 1, Runners: 4, Callers: 0.33},
		},
	}
	for k := range l.Kinds {
		l.Kinds[k].TailShare, l.Kinds[k].TailTimes, l.Kinds[k].Spread = 0.03, 7, 0.4
	}
	return l
}

func tailLoads() []Load {
	hang := []RunnerFault{{At: 30 * time.Second, For: 8 * time.Second, Kind: Hanging, Runners: 1}}
	hanging := tailLoad("hanging-small")
	hanging.RunnerFaults = hang
	for k := range hanging.Kinds {
		hanging.Kinds[k].TailShare = 0
	}
	both := tailLoad("tail-hanging")
	both.RunnerFaults = hang
	return []Load{tailLoad("tail"), hanging, both}
}
