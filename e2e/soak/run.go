package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/telemetry/uptime"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/e2e/harness"
)

// Sizes of a run.
const (
	entries = 3
	guards  = 4
	// every is the pause between two jobs of 4.5 tasks of 358 ms: 27 tasks at a time
	// where the runners carry 40.
	every = 60 * time.Millisecond
	// recoverIn is the time after the last fault in which every entry must serve.
	recoverIn = 10 * time.Second
	readyIn   = 20 * time.Second
	// settleFor lets late orders come and runs end before the judge is asked.
	settleFor = 3 * time.Second
	// servedInARow shows that an entry serves: a single one may be luck.
	servedInARow = 3
	tailLines    = 1500
)

// ErrBroken means that a promise was broken; the report tells which.
var ErrBroken = errors.New("soak: a promise was broken")

// Options of a run.
type Options struct {
	Binaries harness.Binaries
	Dir      string
	Seed     uint64
	Length   time.Duration
}

// Report of a run.
type Report struct {
	Seed     uint64
	Faults   []Fault
	Broken   []string
	Answers  map[int]int
	Starts   int
	logs     map[string]string
	duration time.Duration
}

// Text tells the run; with the logs if a promise was broken.
func (r Report) Text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "seed %d: %d faults, %d runs, answers %v, %d broken, %.1f s\n", r.Seed, len(r.Faults), r.Starts, r.Answers, len(r.Broken), r.duration.Seconds())
	if len(r.Broken) == 0 {
		return b.String()
	}
	for _, f := range r.Faults {
		_, _ = fmt.Fprintln(&b, "  fault", f)
	}
	for _, x := range r.Broken {
		_, _ = fmt.Fprintln(&b, "  broken", x)
	}
	for id, log := range r.logs {
		_, _ = fmt.Fprintf(&b, "== %s\n%s\n", id, log)
	}
	return b.String()
}

// run is one seed's run.
type run struct {
	opt    Options
	fleet  *fleet.Fleet
	began  time.Time
	burst  atomic.Bool
	undo   sync.WaitGroup
	mu     sync.Mutex
	routes int
	counts map[int]int
}

// Run plays a seed.
func Run(ctx context.Context, o Options) (Report, error) {
	f, err := fleet.New(ctx, fleet.Options{Binaries: o.Binaries, Dir: o.Dir, Entries: entries, Guards: guards})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	r := &run{opt: o, fleet: f, counts: map[int]int{}}
	if err := r.ready(ctx, readyIn, servedInARow); err != nil {
		return Report{}, err
	}
	r.began = time.Now()
	report := Report{Seed: o.Seed, Faults: Schedule(o.Seed, o.Length)}
	stop := r.load(ctx)
	r.play(ctx, report.Faults)
	r.undo.Wait()
	if err := r.ready(ctx, recoverIn, 1); err != nil {
		f.Judge.ReportViolation("no recovery under load: %v", err)
	}
	stop()
	if err := r.ready(ctx, recoverIn, servedInARow); err != nil {
		f.Judge.ReportViolation("no recovery: %v", err)
	}
	time.Sleep(settleFor)
	if n := f.Judge.Running(); n > 0 {
		f.Judge.ReportViolation("%d tasks run on with no job open", n)
	}
	report.Broken = f.Judge.Violations()
	report.Answers = r.counts
	report.Starts = f.Judge.Starts()
	report.duration = time.Since(r.began)
	report.logs = map[string]string{}
	for _, n := range append(append([]*fleet.Node{}, f.Entries...), f.Guards...) {
		if len(report.Broken) > 0 {
			n.Process().Dump()
		}
		report.logs[n.ID] = tail(n.Process().Log())
	}
	if len(report.Broken) > 0 {
		return report, ErrBroken
	}
	return report, nil
}

// tail returns a log's last lines, and before them the last of those that don't
// come with every task.
func tail(text string) string {
	lines := strings.Split(text, "\n")
	var rare []string
	for _, l := range lines {
		if !strings.Contains(l, "guard.run_") && !strings.Contains(l, `"msg":"job.`) {
			rare = append(rare, l)
		}
	}
	rare = rare[max(len(rare)-tailLines, 0):]
	return strings.Join(rare, "\n") + "\n...\n" + strings.Join(lines[max(len(lines)-tailLines, 0):], "\n")
}

// ready waits until every entry has served so many jobs in a row. Each entry has
// the whole time: under load one may be refused while others are served.
func (r *run) ready(ctx context.Context, limit time.Duration, inARow int) error {
	for i := range r.fleet.Entries {
		if err := r.serves(ctx, i, limit, inARow); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) serves(ctx context.Context, i int, limit time.Duration, inARow int) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for served := 0; served < inARow; {
		a := r.fleet.Submit(ctx, i, fleet.NewJob(4, 20), 1)
		if a.Status == http.StatusOK {
			served++
			continue
		}
		served = 0
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: entry %d answers %d %s", fleet.ErrNotReady, i+1, a.Status, a.Text)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// load submits jobs until stop is called. Callers keep their connections.
func (r *run) load(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var open sync.WaitGroup
	open.Go(func() {
		for turn := 0; ctx.Err() == nil; turn++ {
			pause := every
			if r.burst.Load() {
				pause = every / 4
			}
			time.Sleep(pause)
			open.Go(func() { r.submit(turn) })
		}
	})
	return func() {
		cancel()
		open.Wait()
	}
}

// submit is one caller.
func (r *run) submit(turn int) {
	job := newJob(turn)
	submit := r.fleet.Submit
	if job.Deadline == longDeadline {
		r.leave(job, turn)
		turn++
		submit = r.fleet.Resubmit
	}
	a := submit(context.Background(), turn%entries, job, 3)
	r.mu.Lock()
	r.counts[a.Status]++
	r.mu.Unlock()
	if Planned(r.opt.Seed) && a.Status == 0 && a.Took < job.Deadline-100*time.Millisecond && !strings.Contains(a.Text, "refused") {
		r.fleet.Judge.ReportViolation("planned work cut job %s after %v: %s", job.ID, a.Took, a.Text)
	}
}

// play carries the faults out at their times.
func (r *run) play(ctx context.Context, faults []Fault) {
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.began.Add(f.At))):
		}
		r.undo.Go(func() { r.inject(ctx, f) })
	}
}

// applyIn is the time after which a change of the configuration is in force.
const applyIn = 2 * time.Second

// configure adds a route and, in planned runs, checks when it is in force and
// that no entry goes back.
func (r *run) configure(ctx context.Context) {
	r.mu.Lock()
	r.routes++
	prefix := fmt.Sprintf("/added-%d/", r.routes)
	r.fleet.Configure(fleet.Prefix, prefix)
	r.mu.Unlock()
	if !Planned(r.opt.Seed) {
		return
	}
	uptime.Sleep(ctx, applyIn+time.Duration(rand.Int64N(int64(100*time.Millisecond))))
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := fmt.Sprintf("/added-%d/", r.routes)
	if newest != prefix {
		return
	}
	for _, n := range r.fleet.Entries {
		if !r.fleet.IsReady(n) {
			continue
		}
		if a := r.fleet.Get(ctx, n, prefix); a.Status == http.StatusNotFound {
			r.fleet.Judge.ReportViolation("%s does not know %s %v after the store took it", n.ID, prefix, applyIn)
		}
	}
}

// Every longTurn-th job has tasks that last longer than the pause after which a
// caller submits a job again: what an entry left behind must be over by then.
const (
	longTurn     = 12
	longTasks    = 2
	longMs       = 2600
	longDeadline = 6 * time.Second
)

// leaveAfter is when the caller of a long job breaks its connection, to submit the
// job again elsewhere.
const leaveAfter = time.Second

// leave submits a job and leaves before it can be done.
func (r *run) leave(job fleet.Job, turn int) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	r.fleet.Try(ctx, r.fleet.Entries[turn%entries], fleet.Prefix, job)
	time.Sleep(fleet.Resend)
}

func newJob(turn int) fleet.Job {
	if turn%longTurn == longTurn-1 {
		job := fleet.NewJob(longTasks, longMs)
		job.Deadline = longDeadline
		return job
	}
	return fleet.NewJob(1+turn%8, []int{40, 40, 150, 1200}[turn%4])
}
