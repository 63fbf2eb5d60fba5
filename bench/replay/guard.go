package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/advertise"
	"almondstand.dev/guard/demand"
	"almondstand.dev/guard/load"
	"almondstand.dev/guard/runs"
)

// service is the service of every contract.
const service = "service"

// startReportDelay is how long a guard delays the report that a run has started, to
// send it with others.
const startReportDelay = 80 * time.Millisecond

// pollWait is how long a poll waits at the runner for a run to end.
const pollWait = 60 * time.Millisecond

// runnerRun is a run in progress at a runner: it makes progress evenly for its duration, zero if it
// hangs.
type runnerRun struct {
	startedAt, duration time.Duration
}

// percent returns the progress of the run.
func (r runnerRun) percent(now time.Duration) int {
	if r.duration <= 0 {
		return 0
	}
	return int(min((now-r.startedAt)*100/r.duration, 100))
}

// guard simulates a guard's run table and its runner.
type guard struct {
	sim        *sim
	id         string
	dataCentre string
	generation int
	table      *runs.Table
	sessions   []*session
	// running holds the runs in progress at the runner.
	running map[work.RunnerRunID]runnerRun
	endSeq  int64
	// listedAt is the time of the last run listing, and polling is true while one is scheduled.
	// listing is reused, because a listing is made at the end of each run.
	listedAt time.Duration
	polling  bool
	listing  work.Listing
	fault    FaultKind
	slowdown float64
	// cpu is the capacity of its runner, in thousandths of a core.
	cpu int64
	// runTimeFactor is the lasting factor of the run times at its runner.
	runTimeFactor float64
	// demand is what entries have reported, offers the state of the offers of capacity.
	demand demand.Table
	loads  load.Table
	offers advertise.Offers
}

func newGuard(s *sim, n int, dataCentre string) *guard {
	g := &guard{sim: s, id: fmt.Sprintf("guard-%d", n), dataCentre: dataCentre, table: runs.New(runs.Options{DisableRunProgress: s.load.Disabled.RunProgress, DisableSharedDemand: s.load.Disabled.SharedDemand}), running: map[work.RunnerRunID]runnerRun{}, slowdown: 1, cpu: s.load.runnerCPU(n), runTimeFactor: s.load.runTimeFactor(n)}
	g.startRunner()
	s.after(sweepInterval, g.sweep)
	return g
}

// startRunner starts a new runner process without runs.
func (g *guard) startRunner() {
	g.generation++
	g.endSeq = 0
	g.running = map[work.RunnerRunID]runnerRun{}
	g.deliver(g.table.Adopt(g.sim.now, runs.Process{Incarnation: g.incarnation(), Service: service}))
	g.table.SetCapacity(work.Amounts{CPUMilli: g.cpu}, nil, false)
	g.table.RunnerUp()
	g.applyListing(nil)
}

// incarnation returns the identity of the runner process. Every other process keeps the
// id of its predecessor, so that the times of birth alone tell these two apart.
func (g *guard) incarnation() work.Incarnation {
	return work.Incarnation{ID: fmt.Sprint(g.id, "-", g.generation/2), StartedMilli: 1 + int64(g.generation)}
}

func (g *guard) injectFault(t RunnerFault) {
	if t.Kind == Flapping {
		g.flap(g.sim.now + t.For)
		return
	}
	g.fault, g.slowdown = t.Kind, max(t.Times, 1)
	if t.Kind == Gone {
		g.deliver(sortByTask(g.table.RemoveProcess(g.sim.now)))
	}
}

func (g *guard) clearFault(t RunnerFault) {
	if t.Kind == Flapping {
		return
	}
	g.fault, g.slowdown = 0, 1
	if t.Kind == Gone {
		g.startRunner()
	}
}

// receive handles a message of an entry.
func (g *guard) receive(e *entry, m entryMessage) {
	l, o, sent := g.session(e), m.orders, m.sent
	defer l.confirmRead(m.read)
	owner := l.owner
	g.table.EntryAlive(owner, sent)
	l.recordDemand(m.rows)
	l.recordLoad(m)
	l.setPending(m.pending, m.demand)
	var reports []runs.Report
	for _, id := range o.stops {
		if r, ended := g.table.Cancel(g.sim.now, owner, id); ended {
			reports = append(reports, r)
		}
	}
	g.sim.result.Orders += len(o.starts)
	for _, x := range o.starts {
		start, refused := g.table.Admit(g.sim.now, sent, owner, runs.Order{Run: x.Run, Need: x.Need, TimeLeft: x.TimeLeft, Expected: x.Expected, Priority: x.Priority})
		if refused != nil {
			g.sim.result.countRefusedOrder(refused.Refusal)
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

// start makes the runner start a run, and end it after its run time.
func (g *guard) start(e *entry, x planner.Start, name work.RunnerRunID) {
	job := e.jobs[x.Run.Task.Job]
	generation := g.generation
	g.sim.after(runnerDelay, func() {
		if g.generation != generation || g.fault == Gone {
			return
		}
		g.running[name] = runnerRun{startedAt: g.sim.now}
		g.poll(pollWait)
		job.startedRuns++
		if job.crashAfter > 0 && x.Run.Task.Index == 0 {
			g.sim.after(job.crashAfter, func() { g.crash(generation, job) })
		}
		if r, changed := g.table.Started(g.sim.now, name); changed {
			g.deliver([]runs.Report{r})
		}
		g.run(name, g.duration(job))
	})
}

// The run times of the tasks of one job are its size times a random factor from this
// range.
const minRunFactor, runFactorRange = 0.9, 0.2

// duration returns the run time of a task that starts now.
func (g *guard) duration(j *pendingJob) time.Duration {
	factor := minRunFactor + runFactorRange*g.sim.runs.Float64()
	return time.Duration(float64(g.sim.load.Kinds[j.kind].Run) * j.size * factor * g.slowdown * g.runTimeFactor)
}

// Delays after the crash of a runner.
const (
	// leaseExpiry is the time until its leases have expired, restartTime the time until
	// its next process announces itself.
	leaseExpiry = 700 * time.Millisecond
	restartTime = 3 * time.Second
)

// crash ends the runner process, unless it has ended already or the task that crashes
// it has ended.
func (g *guard) crash(generation int, by *pendingJob) {
	if g.generation != generation || g.fault == Gone {
		return
	}
	g.sim.result.countCrash(by)
	g.generation++
	g.fault = Gone
	g.table.RunnerDown()
	g.running = map[work.RunnerRunID]runnerRun{}
	g.sim.after(leaseExpiry, func() { g.deliver(sortByTask(g.table.LeaseExpired(g.sim.now, true))) })
	g.sim.after(restartTime, func() {
		g.fault = 0
		g.startRunner()
	})
}

// flapTime is how long a flapping runner is down, and then up.
const flapTime = 500 * time.Millisecond

// flap crashes and restarts the runner until the given time.
func (g *guard) flap(until time.Duration) {
	if g.sim.now >= until {
		return
	}
	g.sim.result.RunsLost += len(g.running)
	g.generation++
	g.fault = Gone
	g.table.RunnerDown()
	g.running = map[work.RunnerRunID]runnerRun{}
	g.sim.after(flapTime, func() {
		g.fault = 0
		g.startRunner()
		g.sim.after(flapTime, func() { g.flap(until) })
	})
}

func (g *guard) run(name work.RunnerRunID, d time.Duration) {
	switch g.fault {
	case Hanging:
		return
	case Failing:
		g.end(name, runnerDelay, work.Failed)
	default:
		g.running[name] = runnerRun{g.sim.now, d}
		g.end(name, d+runnerDelay, work.Done)
	}
}

// end ends a run after a delay, unless it has ended by then.
func (g *guard) end(name work.RunnerRunID, in time.Duration, state work.EndState) {
	generation := g.generation
	g.sim.after(in, func() {
		if _, runs := g.running[name]; g.generation != generation || !runs {
			return
		}
		delete(g.running, name)
		g.endSeq++
		g.applyListing([]work.End{{Seq: g.endSeq, Run: name, State: state}})
	})
}

// applyListing passes the runner's state and the ended runs to the run table.
func (g *guard) applyListing(ends []work.End) {
	g.deliver(sortByTask(g.list(ends)))
	g.reportStalled()
}

// list passes a run listing to the run table and returns the resulting reports.
func (g *guard) list(ends []work.End) []runs.Report {
	now := g.sim.now
	g.listedAt = now
	v := &g.listing
	if v.Progress == nil {
		v.Progress = map[work.RunnerRunID]work.Progress{}
	}
	clear(v.Progress)
	v.Clock, v.Running, v.Ends = now, v.Running[:0], ends
	for name, r := range g.running {
		v.Running = append(v.Running, name)
		v.Progress[name] = work.Progress{Percent: r.percent(now)}
	}
	return g.table.ApplyListing(now, now, *v)
}

// reportStalled makes the sessions send the reports on runs that have become stalled.
func (g *guard) reportStalled() {
	stalled := g.table.TakeStalled()
	slices.SortFunc(stalled, func(a, b runs.StalledRun) int { return byTask(a.Run.Task, b.Run.Task) })
	for _, r := range stalled {
		for _, l := range g.sessions {
			if l.owner == r.Owner {
				l.sendProgress()
			}
		}
	}
}

// poll schedules a run listing, unless one is, that is made if no run has ended by then.
func (g *guard) poll(in time.Duration) {
	if g.polling {
		return
	}
	g.polling = true
	g.sim.after(in, func() {
		g.polling = false
		if len(g.running) == 0 || g.fault == Gone {
			return
		}
		if left := g.listedAt + pollWait - g.sim.now; left > 0 {
			g.poll(left)
			return
		}
		if reports := g.list(nil); len(reports) > 0 {
			g.deliver(sortByTask(reports))
		}
		g.reportStalled()
		g.poll(pollWait)
	})
}

// stop sends the stop orders that are due to the runner.
func (g *guard) stop() {
	stops := g.table.Stops(g.sim.now)
	slices.SortFunc(stops, func(a, b runs.Stop) int { return byTask(a.Name.Task, b.Name.Task) })
	for _, x := range stops {
		g.table.StopAcknowledged(g.sim.now, x.Name)
		g.end(x.Name, stopGrace, work.Interrupted)
	}
}

// sortByTask sorts reports that were collected from a map, to make runs of the
// simulation reproducible.
func sortByTask(reports []runs.Report) []runs.Report {
	slices.SortFunc(reports, func(a, b runs.Report) int { return byTask(a.Run.Task, b.Run.Task) })
	return reports
}

func byTask(a, b work.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

func (g *guard) sweep() {
	g.stop()
	g.sim.after(sweepInterval, g.sweep)
}

// deliver sends reports to the entries that own the runs and advertises a changed
// capacity.
func (g *guard) deliver(reports []runs.Report) {
	advertise.Schedule(toTime(g.sim.now), g.table.Capacity(), g.table.HasCapacity(), g.sessions, &g.offers)
	for _, r := range reports {
		for _, l := range g.sessions {
			if l.owner == r.Owner {
				l.queueReport(r)
			}
		}
	}
}

// hasCapacity reports whether the runner can take a task with these needs.
func (g *guard) hasCapacity(need work.Amounts) bool {
	r := g.table.Capacity()
	return r.AcceptsStarts && need.Fits(r.Total.Sub(r.Used))
}

// toTime converts simulated time into the type that package advertise takes.
func toTime(d time.Duration) time.Time { return time.Unix(0, int64(d)) }
