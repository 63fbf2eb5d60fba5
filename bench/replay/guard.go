package replay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/advertise"
	"almondstand.dev/guard/runs"
)

// service of every contract.
const service = "service"

// startsDelay is how long a guard keeps the news that a run has begun.
const startsDelay = 80 * time.Millisecond

// guard is one account with its runner.
type guard struct {
	sim   *sim
	id    string
	zone  string
	life  int
	table *runs.Table
	links []*link
	// running are the runs at the runner.
	running map[work.RunName]bool
	ends    int64
	wrong   Wrong
	times   float64
	// cpu of its runner, thousandths of a core.
	cpu int64
}

func newGuard(s *sim, n int, zone string) *guard {
	g := &guard{sim: s, id: fmt.Sprintf("guard-%d", n), zone: zone, table: runs.New(runs.Options{}), running: map[work.RunName]bool{}, times: 1, cpu: s.load.runnerCPU(n)}
	g.adopt()
	s.after(sweepEvery, g.sweep)
	return g
}

// adopt takes an empty life of the runner.
func (g *guard) adopt() {
	g.life++
	g.ends = 0
	g.running = map[work.RunName]bool{}
	g.deliver(g.table.Adopt(g.sim.now, runs.Process{Incarnation: g.incarnation(), Service: service}))
	g.table.Describe(work.Amounts{CPUMilli: g.cpu}, nil, false)
	g.read(nil)
}

// incarnation names the runner's process: every other one keeps the id of the one before.
func (g *guard) incarnation() work.Incarnation {
	return work.Incarnation{ID: fmt.Sprint(g.id, "-", g.life/2), Born: 1 + int64(g.life)}
}

func (g *guard) suffer(t Trouble) {
	g.wrong, g.times = t.Wrong, max(t.Times, 1)
	if t.Wrong == Gone {
		g.deliver(inOrder(g.table.Lose(g.sim.now)))
	}
}

func (g *guard) recover(t Trouble) {
	g.wrong, g.times = 0, 1
	if t.Wrong == Gone {
		g.adopt()
	}
}

// receive takes a message of an entry.
func (g *guard) receive(e *entry, sent, read time.Duration, pending bool, demand int64, o orders) {
	l := g.link(e)
	defer l.confirm(read)
	owner := l.owner
	g.table.Alive(owner, sent)
	l.setPending(pending, demand)
	var reports []runs.Report
	for _, id := range o.stops {
		if r, over := g.table.Cancel(g.sim.now, owner, id); over {
			reports = append(reports, r)
		}
	}
	g.sim.result.Orders += len(o.starts)
	for _, x := range o.starts {
		start, refused := g.table.Ask(g.sim.now, sent, owner, runs.Order{Run: x.Run, Need: x.Need, Life: x.Life})
		if refused != nil {
			g.sim.result.misplaced(refused.Refusal)
			reports = append(reports, *refused)
			continue
		}
		g.start(e, x, start.Name)
	}
	if len(o.stops) > 0 {
		g.stop()
	}
	g.deliver(reports)
}

// start has the runner begin a run, and end it when its time is over.
func (g *guard) start(e *entry, x planner.Start, name work.RunName) {
	job := e.jobs[x.Run.Task.Job]
	life := g.life
	g.sim.after(startTime, func() {
		if g.life != life || g.wrong == Gone {
			return
		}
		g.running[name] = true
		job.began++
		if job.crashAfter > 0 && x.Run.Task.Index == 0 {
			g.sim.after(job.crashAfter, func() { g.crash(life, job) })
		}
		if r, news := g.table.Started(g.sim.now, name); news {
			g.deliver([]runs.Report{r})
		}
		g.run(name, g.duration(job))
	})
}

// Run times of the tasks of one job against its size.
const leastUneven, unevenSpread = 0.9, 0.2

// duration of a run that begins now.
func (g *guard) duration(j *submitted) time.Duration {
	uneven := leastUneven + unevenSpread*g.sim.runs.Float64()
	return time.Duration(float64(g.sim.load.Kinds[j.kind].Run) * j.size * uneven * g.times)
}

// Times after a runner's crash.
const (
	// lapseTime until its leases have run out, backTime until its next life announces itself.
	lapseTime = 700 * time.Millisecond
	backTime  = 3 * time.Second
)

// crash ends a runner's life, unless it has ended or the task is over by then.
func (g *guard) crash(life int, by *submitted) {
	if g.life != life || g.wrong == Gone {
		return
	}
	g.sim.result.crashed(by)
	g.life++
	g.wrong = Gone
	g.running = map[work.RunName]bool{}
	g.sim.after(lapseTime, func() { g.deliver(inOrder(g.table.Lapse(g.sim.now, true))) })
	g.sim.after(backTime, func() {
		g.wrong = 0
		g.adopt()
	})
}

func (g *guard) run(name work.RunName, d time.Duration) {
	switch g.wrong {
	case Hanging:
		return
	case Failing:
		g.end(name, startTime, work.Failed)
	default:
		g.end(name, d+startTime, work.Done)
	}
}

// end has a run end, unless it has by then.
func (g *guard) end(name work.RunName, in time.Duration, how work.How) {
	life := g.life
	g.sim.after(in, func() {
		if g.life != life || !g.running[name] {
			return
		}
		delete(g.running, name)
		g.ends++
		g.read([]work.End{{Seq: g.ends, Run: name, How: how}})
	})
}

// read gives the account what the runner says.
func (g *guard) read(ends []work.End) {
	reports := g.table.Read(g.sim.now, g.sim.now, work.Account{Running: slices.Collect(maps.Keys(g.running)), Ends: ends})
	g.deliver(inOrder(reports))
}

// stop sends the stops that are due.
func (g *guard) stop() {
	stops := g.table.Stops(g.sim.now)
	slices.SortFunc(stops, func(a, b runs.Stop) int { return byTask(a.Name.Task, b.Name.Task) })
	for _, x := range stops {
		g.table.Barred(g.sim.now, x.Name)
		g.end(x.Name, stopGrace, work.Broken)
	}
}

// inOrder sorts reports that were collected from a map.
func inOrder(reports []runs.Report) []runs.Report {
	slices.SortFunc(reports, func(a, b runs.Report) int { return byTask(a.Run.Task, b.Run.Task) })
	return reports
}

func byTask(a, b work.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

func (g *guard) sweep() {
	g.stop()
	g.sim.after(sweepEvery, g.sweep)
}

// deliver sends reports to their owners and spreads the change of capacity.
func (g *guard) deliver(reports []runs.Report) {
	advertise.Capacity(wall(g.sim.now), g.table.Capacity(), g.table.HasFree(), g.links)
	for _, r := range reports {
		for _, l := range g.links {
			if l.owner == r.Owner {
				l.push(r)
			}
		}
	}
}

// free reports whether the runner has room for a task.
func (g *guard) free(need work.Amounts) bool {
	r := g.table.Capacity()
	return r.Open && need.Fits(r.Total.Sub(r.Used))
}

// wall turns simulated time into the type that package advertise takes.
func wall(d time.Duration) time.Time { return time.Unix(0, int64(d)) }
