package replay

import "time"

// Loads of hundreds of hosts: 55 entries in six data centres, some with the callers of
// four client addresses and some with none, and 240 runners of four or six tasks, so
// that no runner holds all tasks of the widest jobs.

// Rates that fill some 73 % of the runners.
const (
	largeWide = 334
	largeLong = 75.9
	largePair = 973
	// largeTask is what a task takes, thousandths of a core.
	largeTask = 7600
)

func manyHosts(name string) Load {
	const wait = 1500 * time.Millisecond
	return Load{
		Name:      name,
		For:       8 * time.Second,
		RunnerCPU: 32_000,
		Sizes:     []float64{1, 1, 1.5},
		Kinds: []Kind{
			{Name: "wide", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: largeTask, PerSecond: largeWide, Deadline: wait, Urgency: 0},
			{Name: "long", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: largeTask, PerSecond: largeLong, Deadline: 3 * wait, Urgency: 2},
			{Name: "pair", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: largeTask, PerSecond: largePair, Deadline: wait, Urgency: 1},
		},
		Zones: []Zone{
			{Name: "a", Entries: 10, Runners: 40, Callers: 0.19, Clients: 16},
			{Name: "b", Entries: 11, Runners: 40, Callers: 0.15, Clients: 13},
			{Name: "c", Entries: 9, Runners: 40, Callers: 0.19, Clients: 17},
			{Name: "d", Entries: 8, Runners: 40, Callers: 0.16, Clients: 14},
			{Name: "e", Entries: 9, Runners: 40, Callers: 0.15, Clients: 12},
			{Name: "f", Entries: 8, Runners: 40, Callers: 0.16, Clients: 13},
		},
	}
}

// fullLarge is the load at which these runners are just busy.
const fullLarge = 1 / 0.73

func large() []Load {
	calm := manyHosts("large-calm").times(1.1)
	over := manyHosts("large-over").times(1.1 * fullLarge)
	wave := manyHosts("large-wide-burst").times(1.1)
	wave.Bursts = []Burst{{At: 2 * time.Second, For: 4 * time.Second, Times: 2.5, Kind: "wide"}}
	burst := manyHosts("large-burst").times(1.1)
	burst.Bursts = []Burst{{At: 2 * time.Second, For: 4 * time.Second, Times: 1.35}}
	failing := manyHosts("large-failing").times(1.1)
	failing.Troubles = []Trouble{{At: 2 * time.Second, For: 4 * time.Second, Wrong: Failing, Runners: 3}}
	gone := manyHosts("large-gone").times(1.1)
	gone.Troubles = []Trouble{{At: 2 * time.Second, For: 3 * time.Second, Wrong: Gone, Runners: 6}}
	back := manyHosts("large-restart").times(1.1)
	back.Troubles = []Trouble{{At: 2 * time.Second, For: 1500 * time.Millisecond, Wrong: Gone, Runners: 40}}
	return []Load{calm, over, wave, burst, failing, gone, back}
}
