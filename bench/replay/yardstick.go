package replay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"almondstand.dev/dispatch/planner"
)

// The oracle approximates the best possible service: one queue for all callers, known
// run times, capacity known at once and no messages. It knows faults in advance and
// uses no runner that is going to be faulty. A job that even the oracle can't serve
// can't be expected of any real policy.

// Order is an order in which the oracle serves jobs. The optimum can't be computed, so
// the best result of a few orders stands for it.
type Order struct {
	Name string
	less func(a, b *oracleJob) int
	// allowLate also serves jobs that can't meet their target response time any more,
	// after all others, as long as their callers wait.
	allowLate bool
	// fair serves the kind first of whose jobs the smallest share has been served, and
	// reserves capacity for its widest jobs.
	fair bool
}

// Orders returns the orders that the oracle tries.
func Orders() []Order {
	bySlack := func(a, b *oracleJob) int { return cmp.Compare(a.onTimeStart, b.onTimeStart) }
	byWork := func(a, b *oracleJob) int { return cmp.Compare(a.work, b.work) }
	newest := func(a, b *oracleJob) int { return cmp.Compare(b.at, a.at) }
	return []Order{
		{Name: "latest start first", less: bySlack},
		{Name: "least work first", less: byWork},
		{Name: "newest first", less: newest},
		{Name: "even, latest start first", less: bySlack, fair: true},
		{Name: "even, newest first", less: newest, fair: true},
		{Name: "latest start first, late ones too", less: bySlack, allowLate: true},
		{Name: "least work first, late ones too", less: byWork, allowLate: true},
		{Name: "even, latest start first, late ones too", less: bySlack, allowLate: true, fair: true},
	}
}

// Oracle returns the oracle's results with each order.
func Oracle(l Load, seed uint64) []*Result {
	all := arrivals(l, seed)
	var results []*Result
	for _, o := range Orders() {
		y := newOracle(l, o, seed)
		y.run(all)
		results = append(results, y.result)
	}
	return results
}

// oracleJob is a job with its future run times.
type oracleJob struct {
	arrival
	tasks []time.Duration
	need  int64
	// onTimeStart is the latest start at which the job meets its target response time,
	// latestStart the latest at which it is served at all.
	onTimeStart, latestStart time.Duration
	work                     float64
	left                     int
}

// oracleRunner is a runner with its free capacity and its faults.
type oracleRunner struct {
	free   int64
	faults []RunnerFault
}

type oracle struct {
	load     Load
	order    Order
	random   *rand.Rand
	runners  []*oracleRunner
	waiting  []*oracleJob
	ends     events
	eventSeq int
	result   *Result
}

func newOracle(l Load, o Order, seed uint64) *oracle {
	y := &oracle{load: l, order: o, random: rand.New(rand.NewPCG(seed, runStream)), result: newResult(l, "oracle: "+o.Name)}
	for _, z := range l.DataCentres {
		for n := range z.Runners {
			r := &oracleRunner{free: l.runnerCPU(len(y.runners))}
			for _, t := range l.RunnerFaults {
				if n < t.Runners {
					r.faults = append(r.faults, t)
				}
			}
			y.runners = append(y.runners, r)
		}
	}
	return y
}

// run processes the arrivals and the ends of tasks in order of time.
func (y *oracle) run(all []arrival) {
	for len(all) > 0 || len(y.ends) > 0 || len(y.waiting) > 0 {
		now := y.next(all)
		for len(y.ends) > 0 && y.ends[0].at <= now {
			y.ends.pop().do()
		}
		for len(all) > 0 && all[0].at <= now {
			y.waiting = append(y.waiting, y.newJob(all[0]))
			all = all[1:]
		}
		y.serve(now)
	}
}

// next returns the time of the next event.
func (y *oracle) next(all []arrival) time.Duration {
	next := never
	if len(all) > 0 {
		next = all[0].at
	}
	if len(y.ends) > 0 {
		next = min(next, y.ends[0].at)
	}
	for _, j := range y.waiting {
		next = min(next, j.latestStart+1)
	}
	return next
}

func (y *oracle) newJob(a arrival) *oracleJob {
	k := y.load.Kinds[a.kind]
	j := &oracleJob{arrival: a, need: k.CPUMilli, left: k.Tasks}
	var longest time.Duration
	for range k.Tasks {
		run := time.Duration(float64(k.Run) * a.size * (minRunFactor + runFactorRange*y.random.Float64()))
		j.tasks = append(j.tasks, run)
		j.work += run.Seconds() * float64(k.CPUMilli)
		longest = max(longest, run)
	}
	j.onTimeStart = a.at + min(k.target(a.size), a.deadline) - longest
	j.latestStart = j.onTimeStart
	if y.order.allowLate {
		j.latestStart = a.at + k.Deadline - longest
	}
	return j
}

// serve starts the jobs for which there is capacity, and rejects those that can't be
// served any more.
func (y *oracle) serve(now time.Duration) {
	slices.SortStableFunc(y.waiting, func(a, b *oracleJob) int {
		if missed := compareBool(now > a.onTimeStart, now > b.onTimeStart); missed != 0 {
			return missed
		}
		if y.order.fair && a.kind != b.kind {
			return cmp.Compare(y.share(a.kind), y.share(b.kind))
		}
		return y.order.less(a, b)
	})
	blocked := false
	y.waiting = slices.DeleteFunc(y.waiting, func(j *oracleJob) bool {
		if now > j.latestStart {
			y.result.count(j.arrival, now, planner.Refused)
			return true
		}
		if blocked {
			return false
		}
		started := y.start(now, j)
		blocked = y.order.fair && !started
		return started
	})
}

// share returns the share of a kind's jobs that were answered on time.
func (y *oracle) share(kind int) float64 {
	c := y.result.Kinds[y.load.Kinds[kind].Name]
	if c == nil {
		return 1
	}
	return c.OnTimeShare()
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// start starts all tasks of a job, or none.
func (y *oracle) start(now time.Duration, j *oracleJob) bool {
	claimed := make([]*oracleRunner, 0, len(j.tasks))
	for _, run := range j.tasks {
		r := y.findRunner(now, now+run, j.need)
		if r == nil {
			break
		}
		r.free -= j.need
		claimed = append(claimed, r)
	}
	if len(claimed) < len(j.tasks) {
		for _, r := range claimed {
			r.free += j.need
		}
		return false
	}
	for i, r := range claimed {
		at := now + j.tasks[i]
		y.eventSeq++
		y.ends.push(event{at, y.eventSeq, func() { y.end(at, r, j) }})
	}
	return true
}

// findRunner returns a runner that has free capacity and no fault until the task ends.
func (y *oracle) findRunner(now, until time.Duration, need int64) *oracleRunner {
	for _, r := range y.runners {
		if r.free >= need && !slices.ContainsFunc(r.faults, func(t RunnerFault) bool { return until > simStart+t.At && now < simStart+t.At+t.For }) {
			return r
		}
	}
	return nil
}

// end ends one task of a job.
func (y *oracle) end(at time.Duration, r *oracleRunner, j *oracleJob) {
	r.free += j.need
	if j.left--; j.left == 0 {
		y.result.count(j.arrival, at, planner.Completed)
	}
}

// Best returns the highest value of a measure among those results in which no kind is
// much worse off than in ours: it would be easy to score higher by neglecting one kind
// in favour of the others.
func Best(ours *Result, all []*Result, of func(*Result) float64) float64 {
	best := 0.0
	for _, r := range all {
		if r.worstKind() >= ours.worstKind()-maxWorstKindGap {
			best = max(best, of(r))
		}
	}
	return best
}

// maxWorstKindGap is how far the worst kind's share in a result may be below that in
// ours.
const maxWorstKindGap = 0.05
