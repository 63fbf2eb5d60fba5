package runs

import "almondstand.dev/dispatch/work"

// allocatedByPriority returns the CPU held by the runs, by work.PriorityClass, in thousandths of a
// core.
func (t *Table) allocatedByPriority() []int64 {
	held := make([]int64, work.PriorityClasses)
	for _, r := range t.runs {
		held[work.PriorityClass(r.priority)] += r.need.CPUMilli
	}
	return held
}
