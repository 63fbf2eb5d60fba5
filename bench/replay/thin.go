package replay

import "time"

// Loads in which the entries of one data centre run only on hosts with a fifth of a
// core, and those of the others on large hosts. The callers of that data centre use
// these entries only.

// thinShare is the share of a core of a small entry host.
const thinShare = 0.192

// Rates that use about three quarters of 68 runners of ten tasks.
const (
	thinHoldRate  = 222
	thinQuoteRate = 50.6
	thinCheckRate = 648
)

func thinEntryLoads() []Load {
	const wait = 1500 * time.Millisecond
	l := Load{
		Name:      "thin-burst",
		For:       12 * time.Second,
		RunnerCPU: 16_000,
		Kinds: []Kind{
			{Name: "hold", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: 1600, PerSecond: thinHoldRate, Deadline: wait, Priority: 0},
			{Name: "quote", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: 1600, PerSecond: thinQuoteRate, Deadline: 3 * wait, Priority: 2},
			{Name: "check", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: 1600, PerSecond: thinCheckRate, Deadline: wait, Priority: 1},
		},
		DataCentres: []DataCentre{
			{Name: "a", Entries: 3, Runners: 17, Callers: 0.27},
			{Name: "b", Entries: 4, Runners: 17, Callers: 0.27},
			{Name: "c", Entries: 3, Runners: 17, Callers: 0.22},
			{Name: "thin", Entries: 2, Runners: 17, Callers: 0.24, Addresses: 15, CPUShare: thinShare},
		},
		Bursts: []Burst{{At: 2 * time.Second, For: 4 * time.Second, Times: 1.8, Kind: "check"}},
	}
	threefold := l
	threefold.Name = "thin-flood"
	threefold.Bursts = []Burst{{At: 2 * time.Second, For: 4 * time.Second, Times: 3}}
	slow := l
	slow.Name = "thin-slow"
	slow.Bursts = nil
	slow.EntrySlowdowns = []EntrySlowdown{{At: 2 * time.Second, For: 3 * time.Second, Times: 6}}
	return []Load{l, threefold, slow}
}
