// Package work holds what jobs ask for and what runners have, as the deciding
// packages see it.
package work

import "time"

// Amounts are what a task takes from its runner, or what a runner has.
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

// Fits reports whether a fits into room in every dimension.
func (a Amounts) Fits(room Amounts) bool {
	return a.CPUMilli <= room.CPUMilli && a.MemoryMB <= room.MemoryMB && a.GPUs <= room.GPUs
}

// Times returns how many of a fit into room, most at most.
func (a Amounts) Times(room Amounts, most int) int {
	n := most
	for _, d := range [...][2]int64{{a.CPUMilli, room.CPUMilli}, {a.MemoryMB, room.MemoryMB}, {a.GPUs, room.GPUs}} {
		if d[0] <= 0 {
			continue
		}
		n = min(n, int(max(d[1], 0)/d[0]))
	}
	return max(n, 0)
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// RunID names one start of a task by the entry that owns its job. Attempts
// rise from 1.
type RunID struct {
	Task    TaskID
	Attempt int
}

// Step is a set of like tasks.
type Step struct {
	Count int
	Need  Amounts
	// Declared is the caller's estimate of one task's run time; zero when none.
	Declared time.Duration
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Label must be among the runner's; empty asks for none.
	Label string
	// DataRack is the label of the rack where the step's data lies; empty for none.
	DataRack string
	// MaxPerRunner bounds the tasks of the step at a time on one runner; zero for none.
	MaxPerRunner int
}

// Job is what a caller submits.
type Job struct {
	ID string
	// Spec is handed to the runner as it is.
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
