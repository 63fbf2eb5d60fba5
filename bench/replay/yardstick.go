package replay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"almondstand.dev/dispatch/planner"
)

// The yardstick is what could be served at best: one queue for all callers, true run
// times, room known at once, and no message. It is clairvoyant of troubles: it uses
// no runner that goes wrong. What it leaves out, no way of deciding gives to callers.

// Order in which the yardstick serves; the best of a few stands for what is possible,
// as the best of all can't be worked out.
type Order struct {
	Name string
	less func(a, b *ideal) int
	// late serves those who can't be answered in the time wanted any more, behind
	// all others, while their callers wait.
	late bool
	// even has the kind go first of which the least share has been served, and
	// keeps room for its widest jobs.
	even bool
}

// Orders returns those that the yardstick tries.
func Orders() []Order {
	bySlack := func(a, b *ideal) int { return cmp.Compare(a.startBy, b.startBy) }
	byWork := func(a, b *ideal) int { return cmp.Compare(a.work, b.work) }
	newest := func(a, b *ideal) int { return cmp.Compare(b.at, a.at) }
	return []Order{
		{Name: "latest start first", less: bySlack},
		{Name: "least work first", less: byWork},
		{Name: "newest first", less: newest},
		{Name: "even, latest start first", less: bySlack, even: true},
		{Name: "even, newest first", less: newest, even: true},
		{Name: "latest start first, late ones too", less: bySlack, late: true},
		{Name: "least work first, late ones too", less: byWork, late: true},
		{Name: "even, latest start first, late ones too", less: bySlack, late: true, even: true},
	}
}

// Yardstick returns the results of all orders.
func Yardstick(l Load, seed uint64) []*Result {
	all := arrivals(l, seed)
	var results []*Result
	for _, o := range Orders() {
		y := newYardstick(l, o, seed)
		y.play(all)
		results = append(results, y.result)
	}
	return results
}

// ideal is one job with all that will become of it.
type ideal struct {
	arrival
	tasks []time.Duration
	need  int64
	// startBy is the latest start for an answer in time, lastly for one at all.
	startBy, lastly time.Duration
	work            float64
	left            int
}

// idealRunner has room, and times in which it is of no use.
type idealRunner struct {
	free int64
	away []Trouble
}

type yardstick struct {
	load    Load
	order   Order
	random  *rand.Rand
	runners []*idealRunner
	waiting []*ideal
	ends    events
	pushed  int
	result  *Result
}

func newYardstick(l Load, o Order, seed uint64) *yardstick {
	y := &yardstick{load: l, order: o, random: rand.New(rand.NewPCG(seed, runStream)), result: newResult(l, "yardstick: "+o.Name)}
	for _, z := range l.Zones {
		for n := range z.Runners {
			r := &idealRunner{free: l.runnerCPU(len(y.runners))}
			for _, t := range l.Troubles {
				if n < t.Runners {
					r.away = append(r.away, t)
				}
			}
			y.runners = append(y.runners, r)
		}
	}
	return y
}

// play takes the arrivals and the ends in their order.
func (y *yardstick) play(all []arrival) {
	for len(all) > 0 || len(y.ends) > 0 || len(y.waiting) > 0 {
		now := y.next(all)
		for len(y.ends) > 0 && y.ends[0].at <= now {
			y.ends.pop().do()
		}
		for len(all) > 0 && all[0].at <= now {
			y.waiting = append(y.waiting, y.foresee(all[0]))
			all = all[1:]
		}
		y.serve(now)
	}
}

// next is the time of the next event.
func (y *yardstick) next(all []arrival) time.Duration {
	next := never
	if len(all) > 0 {
		next = all[0].at
	}
	if len(y.ends) > 0 {
		next = min(next, y.ends[0].at)
	}
	for _, j := range y.waiting {
		next = min(next, j.lastly+1)
	}
	return next
}

func (y *yardstick) foresee(a arrival) *ideal {
	k := y.load.Kinds[a.kind]
	j := &ideal{arrival: a, need: k.CPUMilli, left: k.Tasks}
	var longest time.Duration
	for range k.Tasks {
		run := time.Duration(float64(k.Run) * a.size * (leastUneven + unevenSpread*y.random.Float64()))
		j.tasks = append(j.tasks, run)
		j.work += run.Seconds() * float64(k.CPUMilli)
		longest = max(longest, run)
	}
	j.startBy = a.at + min(k.aim(a.size), k.Deadline) - longest
	j.lastly = j.startBy
	if y.order.late {
		j.lastly = a.at + k.Deadline - longest
	}
	return j
}

// serve begins the jobs for which there is room, and drops those that can't be served.
func (y *yardstick) serve(now time.Duration) {
	slices.SortStableFunc(y.waiting, func(a, b *ideal) int {
		if late := compareBool(now > a.startBy, now > b.startBy); late != 0 {
			return late
		}
		if y.order.even && a.kind != b.kind {
			return cmp.Compare(y.share(a.kind), y.share(b.kind))
		}
		return y.order.less(a, b)
	})
	blocked := false
	y.waiting = slices.DeleteFunc(y.waiting, func(j *ideal) bool {
		if now > j.lastly {
			y.result.count(j.arrival, now, planner.Refused)
			return true
		}
		if blocked {
			return false
		}
		begun := y.begin(now, j)
		blocked = y.order.even && !begun
		return begun
	})
}

// share of a kind's jobs that were served.
func (y *yardstick) share(kind int) float64 {
	c := y.result.Kinds[y.load.Kinds[kind].Name]
	if c == nil {
		return 1
	}
	return c.Share()
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

// begin starts all tasks of a job, or none.
func (y *yardstick) begin(now time.Duration, j *ideal) bool {
	taken := make([]*idealRunner, 0, len(j.tasks))
	for _, run := range j.tasks {
		r := y.room(now, now+run, j.need)
		if r == nil {
			break
		}
		r.free -= j.need
		taken = append(taken, r)
	}
	if len(taken) < len(j.tasks) {
		for _, r := range taken {
			r.free += j.need
		}
		return false
	}
	for i, r := range taken {
		at := now + j.tasks[i]
		y.pushed++
		y.ends.push(event{at, y.pushed, func() { y.end(at, r, j) }})
	}
	return true
}

// room is a runner that has some and does well until the end.
func (y *yardstick) room(now, until time.Duration, need int64) *idealRunner {
	for _, r := range y.runners {
		if r.free >= need && !slices.ContainsFunc(r.away, func(t Trouble) bool { return until > begin+t.At && now < begin+t.At+t.For }) {
			return r
		}
	}
	return nil
}

// end has one task of a job end.
func (y *yardstick) end(at time.Duration, r *idealRunner, j *ideal) {
	r.free += j.need
	if j.left--; j.left == 0 {
		y.result.count(j.arrival, at, planner.Completed)
	}
}

// Best returns the most that any of the results gives, by a measure, of those that
// leave no kind much worse off than ours: to leave one out for the others is easy.
func Best(ours *Result, all []*Result, of func(*Result) float64) float64 {
	best := 0.0
	for _, r := range all {
		if r.worstKind() >= ours.worstKind()-worseOff {
			best = max(best, of(r))
		}
	}
	return best
}

// worseOff is by how much the worst kind's share may fall short of ours.
const worseOff = 0.05
