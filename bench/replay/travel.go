package replay

import "time"

// Loads of tasks that take a tenth of a runner, with few entries and runners, so that
// one entry's wrong decision affects a tenth of the capacity. The widest kind is the
// most urgent, the longest the least.

// Rates that use about 72 % of eleven runners of ten tasks.
const (
	holdRate  = 34.4
	quoteRate = 6.25
	checkRate = 100
)

func smallLoad(name string) Load {
	const wait = 1500 * time.Millisecond
	return Load{
		Name:      name,
		For:       14 * time.Second,
		RunnerCPU: 16_000,
		Kinds: []Kind{
			{Name: "hold", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: 1600, PerSecond: holdRate, Deadline: wait, Priority: 0},
			{Name: "quote", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: 1600, PerSecond: quoteRate, Deadline: 3 * wait, Priority: 2},
			{Name: "check", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: 1600, PerSecond: checkRate, Deadline: wait, Priority: 1},
		},
		DataCentres: []DataCentre{
			{Name: "a", Entries: 1, Runners: 4, Callers: 0.32},
			{Name: "b", Entries: 1, Runners: 4, Callers: 0.31},
			{Name: "c", Entries: 1, Runners: 3, Callers: 0.37},
		},
	}
}

// scaled multiplies the rate of every kind.
func (l Load) scaled(x float64) Load {
	kinds := make([]Kind, len(l.Kinds))
	for i, k := range l.Kinds {
		k.PerSecond *= x
		kinds[i] = k
	}
	l.Kinds = kinds
	return l
}

// withKindScaled multiplies the rate of one kind by x and those of the others by
// others.
func (l Load) withKindScaled(kind string, x, others float64) Load {
	l = l.scaled(others)
	for i := range l.Kinds {
		if l.Kinds[i].Name == kind {
			l.Kinds[i].PerSecond *= x / others
		}
	}
	return l
}

// fullLoad scales the small load so that it just saturates its runners.
const fullLoad = 1.0 / 0.72

func smallLoads() []Load {
	over := smallLoad("over-1.2").scaled(1.2 * fullLoad)
	heavier := smallLoad("over-1.5").scaled(1.5 * fullLoad)
	burst := smallLoad("small-burst")
	burst.Bursts = []Burst{{At: 4 * time.Second, For: 4 * time.Second, Times: 2}}
	skewed := smallLoad("one-zone").scaled(1.1)
	skewed.DataCentres = []DataCentre{{Name: "a", Entries: 1, Runners: 4, Callers: 1}, {Name: "b", Entries: 1, Runners: 4}, {Name: "c", Entries: 1, Runners: 3}}
	wide := smallLoad("wide").withKindScaled("hold", 4, 0.7)
	long := smallLoad("long").withKindScaled("quote", 2.6, 0.8)
	restart := smallLoad("restart").scaled(0.95 * fullLoad)
	restart.RunnerFaults = []RunnerFault{{At: 4 * time.Second, For: 1500 * time.Millisecond, Kind: Gone, Runners: 11}}
	grown := smallLoad("grown").scaled(6.5 * 1.1)
	grown.DataCentres = []DataCentre{
		{Name: "a", Entries: 4, Runners: 22, Callers: 0.34},
		{Name: "b", Entries: 4, Runners: 22, Callers: 0.33},
		{Name: "c", Entries: 3, Runners: 21, Callers: 0.33},
	}
	grown.Bursts = []Burst{{At: 4 * time.Second, For: 4 * time.Second, Times: 1.5}}
	return []Load{over, heavier, burst, skewed, wide, long, restart, grown}
}
