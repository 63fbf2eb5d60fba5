// Package work defines what jobs ask for and what runners have, as used by the packages that
// make scheduling decisions.
package work

import "time"

// Amounts are resources: what a task takes from its runner, or what a runner has.
type Amounts struct {
	// CPUMilli is in thousandths of a core.
	CPUMilli int64
	MemoryMB int64
	GPUs     int64
}

// Add returns the sum.
func (a Amounts) Add(b Amounts) Amounts {
	return Amounts{a.CPUMilli + b.CPUMilli, a.MemoryMB + b.MemoryMB, a.GPUs + b.GPUs}
}

// Sub returns the difference.
func (a Amounts) Sub(b Amounts) Amounts {
	return Amounts{a.CPUMilli - b.CPUMilli, a.MemoryMB - b.MemoryMB, a.GPUs - b.GPUs}
}

// Max returns the larger of each amount.
func (a Amounts) Max(b Amounts) Amounts {
	return Amounts{max(a.CPUMilli, b.CPUMilli), max(a.MemoryMB, b.MemoryMB), max(a.GPUs, b.GPUs)}
}

// Fits reports whether a fits into capacity in every resource.
func (a Amounts) Fits(capacity Amounts) bool {
	return a.CPUMilli <= capacity.CPUMilli && a.MemoryMB <= capacity.MemoryMB && a.GPUs <= capacity.GPUs
}

// CountFitting returns how many times a fits into capacity, at most limit.
func (a Amounts) CountFitting(capacity Amounts, limit int) int {
	n := limit
	for _, d := range [...][2]int64{{a.CPUMilli, capacity.CPUMilli}, {a.MemoryMB, capacity.MemoryMB}, {a.GPUs, capacity.GPUs}} {
		if d[0] <= 0 {
			continue
		}
		n = min(n, int(max(d[1], 0)/d[0]))
	}
	return max(n, 0)
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// RunID identifies one start of a task by the entry that owns its job. Attempts count from 1.
type RunID struct {
	Task    TaskID
	Attempt int
}

// Step is a set of tasks with equal requirements.
type Step struct {
	Count int
	Need  Amounts
	// Declared is the caller's estimate of one task's run time; zero if there is none.
	Declared time.Duration
	// After lists the earlier steps whose tasks must all be done first.
	After []int
	// Label must be one of the runner's labels; empty for no requirement.
	Label string
	// DataRack is the label of the rack that holds the step's data; empty for none.
	DataRack string
	// MaxPerRunner limits how many tasks of the step run on one runner at a time; zero for no
	// limit.
	MaxPerRunner int
}

// Job is what a caller submits.
type Job struct {
	ID string
	// Spec is passed to the runner unchanged.
	Spec  string
	Steps []Step
}

// Tasks returns the number of tasks of all steps.
func (j Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}
