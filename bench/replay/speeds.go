package replay

import "time"

// Loads on runners of which one in four takes 0.55 of the normal run time and the others 1.2.

// Rates of the base load that use 72 % of these runners, and all of them: 1280 cores that do the
// work of 1385.
const (
	speedsNormalScale = 0.92
	speedsFullScale   = 1.27
)

func speedsLoad(name string, scale float64) Load {
	l := base(name).scaled(scale)
	l.Speeds = []float64{0.55, 1.2, 1.2, 1.2}
	for i := range l.Kinds {
		l.Kinds[i].Priority = []int{0, 2, 1}[i]
	}
	return l
}

func speedsLoads() []Load {
	calm := speedsLoad("speeds", speedsNormalScale)
	burst := speedsLoad("speeds-burst", speedsFullScale)
	burst.Bursts = []Burst{{At: 4 * time.Second, For: 4 * time.Second, Times: 1.3}}
	slow := speedsLoad("speeds-slow", speedsNormalScale)
	// The first runner of every other data centre is a fast one.
	slow.RunnerFaults = []RunnerFault{{At: 4 * time.Second, For: 5 * time.Second, Kind: Slow, Runners: 1, Times: 5}}
	return []Load{calm, burst, slow}
}
