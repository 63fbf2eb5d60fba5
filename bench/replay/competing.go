package replay

import "time"

// Loads in which entries and contracts compete for too little capacity.

// competingLoads returns a load with a burst of long, least urgent work and, in the middle of it, of
// the most urgent work, and one whose demand moves between the data centres.
func competingLoads() []Load {
	const wait = 1500 * time.Millisecond
	burst := Load{
		Name:      "competing",
		For:       14 * time.Second,
		RunnerCPU: 16_000,
		Sizes:     []float64{1, 1, 1.5},
		// These rates use 65 % of the runners; in the middle of the burst 105 % are asked for.
		Kinds: []Kind{
			{Name: "hold", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: 1700, PerSecond: 218, Deadline: wait, Priority: 0},
			{Name: "quote", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: 1700, PerSecond: 40, Deadline: 3 * wait, Priority: 2},
			{Name: "check", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: 1700, PerSecond: 636, Deadline: wait, Priority: 1},
		},
		DataCentres: []DataCentre{
			{Name: "a", Entries: 4, Runners: 19, Callers: 0.29, Addresses: 20, CPUShares: []float64{0.8, 0.8, 0.48, 0.192}},
			{Name: "b", Entries: 4, Runners: 19, Callers: 0.27, Addresses: 20, CPUShares: []float64{0.8, 0.48, 0.48, 0.192}},
			{Name: "c", Entries: 3, Runners: 18, Callers: 0.23, Addresses: 18, CPUShares: []float64{0.8, 0.48, 0.192}},
			{Name: "d", Entries: 3, Runners: 18, Callers: 0.21, Addresses: 18, CPUShares: []float64{0.8, 0.192, 0.192}},
		},
		Bursts: []Burst{
			{At: 2 * time.Second, For: 7 * time.Second, Times: 2.5, Kind: "quote"},
			{At: 4 * time.Second, For: 3 * time.Second, Times: 1.9, Kind: "hold"},
		},
	}
	uneven := Load{
		Name:      "uneven",
		For:       15 * time.Second,
		RunnerCPU: 16_000,
		Sizes:     []float64{1, 1, 1.5},
		// These rates use 88 % of the runners, and 115 % during the burst.
		Kinds: []Kind{
			{Name: "hold", Tasks: 8, Run: 51 * time.Millisecond, CPUMilli: 1400, PerSecond: 330, Deadline: wait, Priority: 0},
			{Name: "quote", Tasks: 4, Run: 760 * time.Millisecond, CPUMilli: 1400, PerSecond: 61, Deadline: 3 * wait, Priority: 2},
			{Name: "check", Tasks: 2, Run: 170 * time.Millisecond, CPUMilli: 1400, PerSecond: 965, Deadline: wait, Priority: 1},
		},
		DataCentres: []DataCentre{
			{Name: "a", Entries: 4, Runners: 20, Callers: 0.36, Phase: 0, CPUShares: []float64{0.8, 0.8, 0.8, 0.48}},
			{Name: "b", Entries: 3, Runners: 20, Callers: 0.34, Phase: 1. / 3, CPUShares: []float64{0.8, 0.8, 0.192}},
			{Name: "c", Entries: 3, Runners: 19, Callers: 0.30, Phase: 2. / 3, CPUShares: []float64{0.8, 0.8, 0.48}},
		},
		Swing:  Swing{Depth: 0.55, Period: 15 * time.Second},
		Bursts: []Burst{{At: 3 * time.Second, For: 8 * time.Second, Times: 1.3}},
	}
	return []Load{burst, uneven}
}
