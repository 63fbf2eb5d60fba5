package planner

import (
	"time"

	"almondstand.dev/dispatch/work"
)

const (
	// reserveMargin is the factor by which more capacity is reserved than the arriving urgent work
	// uses on average: it arrives unevenly.
	reserveMargin = 1.2
	// maxReservedShare is the largest share of the capacity that is reserved, so that less urgent work
	// does not starve.
	maxReservedShare = 0.75
	// shortageMemory is the time after which a shortage is over: gaps of a shortage are as long as an
	// entry's demand takes to reach the others.
	shortageMemory = 200 * time.Millisecond
	// heldBackInterval is the interval at which held-back jobs are tried again. A shortage ends by time,
	// and the next message of a guard can be a second away.
	heldBackInterval = shortageMemory / 4
	// scarceShare is the share of the capacity that waiting tasks must need for some to be reserved.
	// With 55 entries at 85 % load, some task waits nearly always, for milliseconds: at 0.01, 12 long jobs
	// were rejected on a day without faults, at 0.04 none (replay, large-calm, seed 1).
	scarceShare = 0.04
)

// heldByClass returns the CPU held by the runs of all entries by priority class, with those of this
// entry's starts that the guards' reports do not include yet; known is false if no guard reports it.
func (s *service) heldByClass() (held [work.PriorityClasses]int64, known bool) {
	for _, e := range s.endpoints {
		if e.cordoned {
			continue
		}
		reported := len(e.others.allocated) == work.PriorityClasses
		known = known || reported
		if reported {
			for c, cpu := range e.others.allocated {
				held[c] += max(cpu, 0)
			}
		}
		for _, t := range e.runs {
			// Guards without this report tell nothing of other entries' runs.
			if !reported || t.ordered > e.others.at {
				held[work.PriorityClass(t.job.terms.Priority)] += t.job.work.Steps[t.step].Need.CPUMilli
			}
		}
	}
	return held, known
}

// scarce reports whether waiting tasks needed at least scarceShare of the capacity within shortageMemory.
func (d *sharedDemand) scarce(now time.Duration) bool {
	return d.scarceAt > 0 && now-d.scarceAt < shortageMemory
}

// addHeld counts a start of this entry.
func (d *sharedDemand) addHeld(j *job, need work.Amounts) {
	d.held[work.PriorityClass(j.terms.Priority)] += need.CPUMilli
}

// reservedFor returns the CPU that is reserved for the work of the given priority and more urgent
// work, in thousandths of a core. Only work for which the job is long counts: a run of the job takes
// longer than that work can wait.
func (j *job) reservedFor(priority int, rows []work.Demand, capacity int64) int64 {
	longest := time.Duration(0)
	for step, run := range j.expected {
		if j.unfinished[step] > 0 {
			longest = max(longest, run)
		}
	}
	arriving := int64(0)
	for _, d := range rows {
		if d.Priority <= priority && longest > d.Slack {
			arriving += d.ArrivingMilli
		}
	}
	return min(int64(reserveMargin*float64(arriving)), int64(maxReservedShare*float64(capacity)))
}

// heldBack reports whether a job must leave capacity to more urgent work that arrives: the runs of
// less urgent jobs, with this one, would hold more than the capacity less what that work needs.
func (p *Planner) heldBack(now time.Duration, j *job) bool {
	s := j.service
	d := s.shared
	if !d.short || !d.heldKnown || !d.scarce(now) || j.started || j.terms.Priority <= 0 {
		return false
	}
	capacity := int64(d.capacity)
	need := int64(0)
	for _, t := range j.tasks {
		if t.startable() {
			need += j.work.Steps[t.step].Need.CPUMilli
		}
	}
	checked := -1
	for _, row := range d.rows {
		if row.Priority >= j.terms.Priority || row.Priority == checked {
			continue
		}
		checked = row.Priority
		reserved := j.reservedFor(row.Priority, d.rows, capacity)
		if reserved == 0 {
			continue
		}
		held := 0.0
		for c := work.PriorityClass(row.Priority) + 1; c < work.PriorityClasses; c++ {
			held += float64(d.held[c])
		}
		// A job that needs more than is left open starts once no less urgent run holds any of it.
		open := capacity - reserved
		if int64(held/d.visible)+min(need, open) > open {
			d.reserved, d.reservedAt = reserved, now
			return true
		}
	}
	return false
}

// SharedDemand is what an entry knows of the demand at others, for metrics.
type SharedDemand struct {
	// WaitingMilli is the CPU that tasks at other entries wait for, ReservedMilli the CPU reserved for
	// urgent work, in thousandths of a core.
	WaitingMilli, ReservedMilli int64
}

// SharedDemand returns the sums over all services.
func (p *Planner) SharedDemand(now time.Duration) SharedDemand {
	var sum SharedDemand
	for _, s := range p.services {
		if now-s.shared.combinedAt >= maxReportAge {
			continue
		}
		for _, o := range s.shared.others {
			sum.WaitingMilli += o.WaitingMilli
		}
		if s.shared.reservedAt > 0 && now-s.shared.reservedAt < maxReportAge {
			sum.ReservedMilli += s.shared.reserved
		}
	}
	return sum
}
