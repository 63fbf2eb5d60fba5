package replay

import (
	"math/rand/v2"
	"time"

	"almondstand.dev/dispatch/planner"
)

// Loads in which the least urgent kind exceeds the capacity for seconds: it arrives 2.5 times as often
// for 7 s, and the most urgent kind 1.9 times as often in the middle of that. A quarter of the callers
// leave early.

// Rates of the parts desk, which use about 62 % of 74 runners of 16 and 24 cores, and the factor by
// which they are scaled: the burst then asks for 1.3 times the capacity, and 1.5 times in its middle.
const (
	partsLookupRate = 206
	partsQuoteRate  = 37.5
	partsCardRate   = 600
	backlogScale    = 1.3
)

func backlogLoad(name string) Load {
	const wait = 1500 * time.Millisecond
	l := Load{
		Name:      name,
		For:       15 * time.Second,
		RunnerCPU: 16_000,
		Sizes:     []float64{1, 1, 1.5},
		Kinds: []Kind{
			{Name: "lookup", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: 1700, PerSecond: partsLookupRate, Deadline: wait, Priority: 0},
			{Name: "quote", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: 1700, PerSecond: partsQuoteRate, Deadline: 3 * wait, Priority: 2},
			{Name: "card", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: 1700, PerSecond: partsCardRate, Deadline: wait, Priority: 1},
		},
		DataCentres: []DataCentre{
			{Name: "a", Entries: 4, Runners: 20, Callers: 0.27, Addresses: 16},
			{Name: "b", Entries: 4, Runners: 20, Callers: 0.27, Addresses: 18},
			{Name: "c", Entries: 3, Runners: 17, Callers: 0.23, Addresses: 12},
			{Name: "d", Entries: 3, Runners: 17, Callers: 0.23, Addresses: 13},
		},
		LeaveShare: 0.25,
	}.scaled(backlogScale)
	l.Bursts = []Burst{
		{At: 2 * time.Second, For: 7 * time.Second, Times: 2.5, Kind: "quote"},
		{At: 4 * time.Second, For: 3 * time.Second, Times: 1.9, Kind: "lookup"},
	}
	return l
}

func backlogLoads() []Load {
	retries := backlogLoad("backlog-retries")
	retries.Retries = true
	return []Load{backlogLoad("backlog"), retries}
}

// leaveTime draws the time after which a caller leaves; zero for one that stays. Callers leave between
// a third of their response-time target and all of it.
func (l Load) leaveTime(random *rand.Rand, a arrival) time.Duration {
	if l.LeaveShare == 0 || random.Float64() >= l.LeaveShare {
		return 0
	}
	target := l.Kinds[a.kind].target(a.size)
	return target/3 + time.Duration(random.Float64()*float64(target*2/3))
}

// scheduleLeave has the caller of a job cancel it when it leaves.
func (e *entry) scheduleLeave(id string, a arrival) {
	if a.leaveAfter == 0 {
		return
	}
	e.sim.at(a.at+a.leaveAfter, func() {
		e.cpu.run(0, func() {
			e.plan.Cancel(e.sim.now, id)
			e.runPlanner()
		})
	})
}

// scheduleRetry has the caller of a rejected job submit it once more after its Retry-After, which
// callers get in whole seconds, rounded up (platform/ingress).
func (e *entry) scheduleRetry(j *pendingJob, d planner.Ended) {
	if !e.sim.load.Retries || d.Outcome != planner.Refused || j.returning {
		return
	}
	after := (d.RetryAfter + time.Second - 1) / time.Second * time.Second
	a := j.arrival
	a.at, a.leaveAfter = e.sim.now+after, 0
	e.sim.at(a.at, func() {
		e.sim.result.ReturnedAt = append(e.sim.result.ReturnedAt, e.sim.now)
		e.cpu.run(jobCost, func() { e.submitAs(d.Job, a, true, nil) })
	})
}

// MaxReturnsTimes returns the largest number of jobs that returned within 100 ms, relative to the mean
// over the time in which jobs returned.
func (r *Result) MaxReturnsTimes() float64 {
	const length = 100 * time.Millisecond
	count := map[time.Duration]int{}
	most := 0
	for _, at := range r.ReturnedAt {
		count[at/length]++
		most = max(most, count[at/length])
	}
	if most == 0 {
		return 0
	}
	first, last := r.ReturnedAt[0]/length, r.ReturnedAt[len(r.ReturnedAt)-1]/length
	return float64(most) * float64(last-first+1) / float64(len(r.ReturnedAt))
}
