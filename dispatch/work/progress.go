package work

import "time"

// Progress is the progress of a run as its runner lists it.
type Progress struct {
	// Percent is 0 to 100.
	Percent int
	// CPUMilli is the CPU that the run recently used, in thousandths of a core.
	CPUMilli int64
}

// ReleaseHorizons are the times within which guards estimate how much CPU their runs release.
var ReleaseHorizons = [...]time.Duration{
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
	800 * time.Millisecond,
	1600 * time.Millisecond,
}
