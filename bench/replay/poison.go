package replay

import "time"

// Loads with jobs of which one task crashes every runner that starts it.

// patientKind is the kind whose callers wait longest: their jobs crash most runners.
const patientKind = 1

// fresh is the time after a start at which most tasks that crash their runner do so.
const fresh = 5 * time.Millisecond

// poisoned adds jobs that crash runners to a load, in its third second.
func (l Load) poisoned(name string, jobs int, after time.Duration) Load {
	l.Name = name
	l.Bursts = nil
	l.Poison = []Poison{{At: 2 * time.Second, Jobs: jobs, Kind: patientKind, After: after}}
	return l
}

func poison() []Load {
	thirty := small("").times(30.0 / 11 * 0.95 * full)
	thirty.For = 8 * time.Second
	thirty.Zones = []Zone{
		{Name: "a", Entries: 2, Runners: 10, Callers: 0.34},
		{Name: "b", Entries: 2, Runners: 10, Callers: 0.33},
		{Name: "c", Entries: 1, Runners: 10, Callers: 0.33},
	}
	many := manyHosts("").times(0.95 * fullLarge)
	return []Load{
		thirty.poisoned("poison-5", 5, fresh),
		thirty.poisoned("poison-20", 20, fresh),
		thirty.poisoned("poison-late-5", 5, 150*time.Millisecond),
		many.poisoned("large-poison-20", 20, fresh),
	}
}
