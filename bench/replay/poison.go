package replay

import "time"

// Loads with jobs of which one task crashes every runner on which it starts.

// longestDeadlineKind is the index of the kind whose callers wait longest: its jobs
// have the time to crash the most runners.
const longestDeadlineKind = 1

// usualCrashDelay is the time after the start of a task within which most crashing
// tasks crash their runner.
const usualCrashDelay = 5 * time.Millisecond

// withCrashingJobs adds jobs that crash runners to a load, in its third second.
func (l Load) withCrashingJobs(name string, jobs int, after time.Duration) Load {
	l.Name = name
	l.Bursts = nil
	l.CrashingJobs = []CrashingJobs{{At: 2 * time.Second, Jobs: jobs, Kind: longestDeadlineKind, After: after}}
	return l
}

func crashLoads() []Load {
	thirty := smallLoad("").scaled(30.0 / 11 * 0.95 * fullLoad)
	thirty.For = 8 * time.Second
	thirty.DataCentres = []DataCentre{
		{Name: "a", Entries: 2, Runners: 10, Callers: 0.34},
		{Name: "b", Entries: 2, Runners: 10, Callers: 0.33},
		{Name: "c", Entries: 1, Runners: 10, Callers: 0.33},
	}
	many := largeLoad("").scaled(0.95 * fullLargeLoad)
	return []Load{
		thirty.withCrashingJobs("poison-5", 5, usualCrashDelay),
		thirty.withCrashingJobs("poison-20", 20, usualCrashDelay),
		thirty.withCrashingJobs("poison-late-5", 5, 150*time.Millisecond),
		many.withCrashingJobs("large-poison-20", 20, usualCrashDelay),
	}
}
