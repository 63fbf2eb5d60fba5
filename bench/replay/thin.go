package replay

import "time"

// Loads in which one data centre has only entries on thin hosts, a fifth of a core each,
// and the others have large ones. Its callers stay with these entries.

// thinShare of a core.
const thinShare = 0.192

// Rates that fill some three quarters of 68 runners of ten tasks.
const (
	thinHold  = 222
	thinQuote = 50.6
	thinCheck = 648
)

func thin() []Load {
	const wait = 1500 * time.Millisecond
	l := Load{
		Name:      "thin-burst",
		For:       12 * time.Second,
		RunnerCPU: 16_000,
		Kinds: []Kind{
			{Name: "hold", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: 1600, PerSecond: thinHold, Deadline: wait, Urgency: 0},
			{Name: "quote", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: 1600, PerSecond: thinQuote, Deadline: 3 * wait, Urgency: 2},
			{Name: "check", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: 1600, PerSecond: thinCheck, Deadline: wait, Urgency: 1},
		},
		Zones: []Zone{
			{Name: "a", Entries: 3, Runners: 17, Callers: 0.27},
			{Name: "b", Entries: 4, Runners: 17, Callers: 0.27},
			{Name: "c", Entries: 3, Runners: 17, Callers: 0.22},
			{Name: "thin", Entries: 2, Runners: 17, Callers: 0.24, Clients: 15, Share: thinShare},
		},
		Bursts: []Burst{{At: 2 * time.Second, For: 4 * time.Second, Times: 1.8, Kind: "check"}},
	}
	flood := l
	flood.Name = "thin-flood"
	flood.Bursts = []Burst{{At: 2 * time.Second, For: 4 * time.Second, Times: 3}}
	slow := l
	slow.Name = "thin-slow"
	slow.Bursts = nil
	slow.Held = []Held{{At: 2 * time.Second, For: 3 * time.Second, Times: 6}}
	return []Load{l, flood, slow}
}
