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

// When entries with pending tasks confirm capacity; see entry/sessions.
const (
	confirmDelay = 10 * time.Millisecond
	confirmAge   = 10 * time.Millisecond
)

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
	g.deliver(g.table.Adopt(g.sim.now, runs.Life{
		Instance: fmt.Sprint(g.id, "-", g.life),
		Service:  service,
		Total:    work.Amounts{CPUMilli: g.cpu},
	}))
	g.read(nil)
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
func (g *guard) receive(e *entry, sent, read time.Duration, waits bool, wants int64, o orders) {
	l := g.link(e)
	defer l.confirm(read)
	owner := l.owner
	g.table.Alive(owner, sent)
	l.setWaits(waits, wants)
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

// deliver sends reports to their owners and spreads the news of the room.
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

// link is a guard's session with one entry; see guard/uplink.
type link struct {
	guard *guard
	entry *entry
	owner runs.Owner
	waits bool
	wants int64

	reports []runs.Report
	// due is when room is to be told, tell when reports are; never for neither.
	due, tell    time.Duration
	told         time.Duration
	sentCapacity runs.Capacity
	along        bool
	// read is the clock of the newest message that the entry has confirmed; owed is true
	// while capacity waits for that.
	read time.Duration
	owed bool
	// flush is the newest flush that is planned: older ones are void.
	flush int
}

// never is later than any event.
const never = time.Duration(1<<63 - 1)

func (g *guard) attach(e *entry) {
	l := &link{guard: g, entry: e, owner: runs.Owner{Entry: fmt.Sprint("entry-", e.number), Incarnation: 1}, due: g.sim.now, tell: never}
	g.links = append(g.links, l)
	l.plan()
	g.sim.after(pingEvery, l.ping)
}

func (g *guard) link(e *entry) *link {
	i := slices.IndexFunc(g.links, func(l *link) bool { return l.entry == e })
	return g.links[i]
}

// ping keeps the guard's word of the entry fresh.
func (l *link) ping() {
	l.entry.cpu.run(0, func() { l.entry.send(l.guard, orders{}) })
	l.guard.sim.after(pingEvery, l.ping)
}

func (l *link) setWaits(w bool, wants int64) {
	changed := w && !l.waits
	l.waits, l.wants = w, wants
	if changed {
		l.guard.deliver(nil)
	}
}

// PendingDemand implements advertise.Session.
func (l *link) PendingDemand() int64 { return l.wants }

// HasPending implements advertise.Session.
func (l *link) HasPending() bool { return l.waits }

// LastSent implements advertise.Session.
func (l *link) LastSent() time.Time { return wall(l.told) }

// Changed implements advertise.Session.
func (l *link) Changed(r runs.Capacity) bool {
	t := l.sentCapacity
	return t.Open != r.Open || t.Cleared != r.Cleared || t.Instance != r.Instance || t.Total != r.Total
}

// SendAt implements advertise.Session.
func (l *link) SendAt(at time.Time) {
	l.due = time.Duration(at.UnixNano())
	l.plan()
}

// SendAfter implements advertise.Session.
func (l *link) SendAfter(pace time.Duration, contended bool) {
	l.due = min(l.due, l.told+pace)
	l.along = l.along || !contended
	l.plan()
}

// Withhold implements advertise.Session.
func (l *link) Withhold() { l.due = never }

// Unread implements advertise.Session.
func (l *link) Unread() bool { return l.read < l.told }

// SendOnceRead implements advertise.Session.
func (l *link) SendOnceRead() { l.due, l.owed = never, true }

// confirm takes note of what the entry has read.
func (l *link) confirm(read time.Duration) {
	l.read = max(l.read, read)
	if l.owed && !l.Unread() {
		l.owed = false
		l.guard.deliver(nil)
	}
}

func (l *link) push(r runs.Report) {
	at := l.guard.sim.now
	if r.State == runs.Running {
		at += startsDelay
	} else {
		l.reports = slices.DeleteFunc(l.reports, func(old runs.Report) bool { return old.Run == r.Run })
	}
	l.reports = append(l.reports, r)
	l.tell = min(l.tell, at)
	l.along = l.along || r.State == runs.NotStarted
	l.plan()
}

// plan has the next message sent when it is due.
func (l *link) plan() {
	l.flush++
	mine := l.flush
	next := min(l.due, l.tell)
	if next == never {
		return
	}
	l.guard.sim.at(next, func() {
		if l.flush == mine {
			l.message()
		}
	})
}

// message sends the reports, and the room if it is due or goes along.
func (l *link) message() {
	now := l.guard.sim.now
	room := l.due <= now || l.along && l.tell <= now
	reports := l.reports
	l.reports, l.tell = nil, never
	var told *planner.Room
	if room {
		r := l.guard.table.Capacity()
		l.sentCapacity, l.told, l.due, l.along = r, now, never, false
		told = &planner.Room{Service: service, Runner: r.Instance, Open: r.Open, Total: r.Total, Used: r.Used, Cleared: r.Cleared}
	}
	l.guard.sim.result.Messages++
	e := l.entry
	l.guard.sim.after(messageTime, func() {
		e.cpu.run(readCost, func() { e.hear(l.guard.id, now, reports, told) })
	})
	l.plan()
}

// hear takes a guard's message.
func (e *entry) hear(guard string, sent time.Duration, reports []runs.Report, room *planner.Room) {
	e.clocks[guard] = reading{sent, e.sim.now}
	for _, r := range reports {
		if r.State == runs.Crashed {
			e.plan.Crash(e.sim.now, guard, r.Run, r.Ran(sent), planner.Crash{Others: r.Crash.Others, Newest: r.Crash.Newest})
			continue
		}
		e.plan.Report(e.sim.now, guard, r.Run, changeOf(r), r.Ran(sent))
	}
	if room != nil {
		e.plan.Describe(e.sim.now, guard, *room)
	}
	e.act()
	if room != nil {
		e.confirm(guard, sent)
	}
}

// confirm tells a guard a moment later that its capacity has been read, unless a message
// to it does by then; see entry/sessions.
func (e *entry) confirm(guard string, sent time.Duration) {
	waits, _ := e.plan.Waiting(e.sim.now, guard)
	if !waits || e.sim.now-sent-messageTime > confirmAge {
		return
	}
	e.sim.after(confirmDelay, func() {
		if e.confirmed[guard] < sent {
			e.cpu.run(0, func() { e.send(e.sim.guard(guard), orders{}) })
		}
	})
}

func changeOf(r runs.Report) planner.Change {
	switch r.State {
	case runs.Running:
		return planner.Running
	case runs.Done:
		return planner.Done
	case runs.Failed:
		return planner.TaskFailed
	case runs.Stopped:
		return planner.Stopped
	}
	switch r.Refusal {
	case runs.Full:
		return planner.NoRoom
	case runs.Unwell:
		return planner.NotStarted
	default:
		return planner.NotTaken
	}
}
