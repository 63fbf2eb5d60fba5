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

// Sizes and timeouts of a run.
const (
	entries = 3
	guards  = 4
	// jobInterval is the time between two jobs. With 4.5 tasks of 358 ms per job on average,
	// 27 tasks run concurrently; the runners have capacity for 40.
	jobInterval = 60 * time.Millisecond
	// recoveryTimeout is the time after the last fault within which every entry must
	// complete jobs again.
	recoveryTimeout = 10 * time.Second
	startupTimeout  = 20 * time.Second
	// settleTime is the time between the load's end and the final check, so that delayed
	// requests arrive and runs end before it.
	settleTime = 3 * time.Second
	// requiredSuccesses is the number of consecutive jobs that an entry must complete to
	// count as serving: a single one may succeed by chance.
	requiredSuccesses = 3
	maxLogLines       = 1500
)

// dataCentres are the data centres of the guards.
var dataCentres = []string{"a", "b"}

// ErrViolation is returned when an invariant was violated; the report lists the violations.
var ErrViolation = errors.New("soak: a promise was broken")

// Options configures a run.
type Options struct {
	Binaries harness.Binaries
	Dir      string
	Seed     uint64
	Length   time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     []Fault
	Violations []string
	Answers    map[int]int
	Starts     int
	Handovers  Handovers
	// trace are the lines about the jobs of violations and about the runners' processes.
	trace    string
	logs     map[string]string
	duration time.Duration
}

// Text formats the report. If an invariant was violated it includes the faults, the
// violations and the logs.
func (r Report) Text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "seed %d: %d faults, %d runs, answers %v, handovers %v, %d broken, %.1f s\n", r.Seed, len(r.Faults), r.Starts, r.Answers, r.Handovers, len(r.Violations), r.duration.Seconds())
	if len(r.Violations) == 0 {
		return b.String()
	}
	for _, f := range r.Faults {
		_, _ = fmt.Fprintln(&b, "  fault", f)
	}
	for _, violation := range r.Violations {
		_, _ = fmt.Fprintln(&b, "  broken", violation)
	}
	_, _ = fmt.Fprintf(&b, "== trace\n%s", r.trace)
	for id, log := range r.logs {
		_, _ = fmt.Fprintf(&b, "== %s\n%s\n", id, log)
	}
	return b.String()
}

// run is the state of one seed's run.
type run struct {
	options      Options
	fleet        *fleet.Fleet
	startTime    time.Time
	burst        atomic.Bool
	injections   sync.WaitGroup
	callers      sync.WaitGroup // callers of faults
	mu           sync.Mutex
	addedRoutes  int
	statusCounts map[int]int
	// cordoning is locked while a data centre is cordoned.
	cordoning sync.Mutex
}

// Run runs a fleet under load with the faults of a seed's schedule, and returns ErrViolation
// if an invariant was violated.
func Run(ctx context.Context, o Options) (Report, error) {
	f, err := fleet.New(ctx, fleet.Options{Binaries: o.Binaries, Dir: o.Dir, Entries: entries, Guards: guards, DataCentres: dataCentres, Cores: entryCores})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	r := &run{options: o, fleet: f, statusCounts: map[int]int{}}
	if err := r.waitAllServing(ctx, startupTimeout, requiredSuccesses); err != nil {
		return Report{}, err
	}
	r.startTime = time.Now()
	report := Report{Seed: o.Seed, Faults: Schedule(o.Seed, o.Length)}
	stop := r.startLoad(ctx)
	r.injectAll(ctx, report.Faults)
	r.injections.Wait()
	if err := r.waitAllServing(ctx, recoveryTimeout, 1); err != nil {
		f.Checker.ReportViolation("no recovery under load: %v", err)
	}
	stop()
	r.callers.Wait()
	if err := r.waitAllServing(ctx, recoveryTimeout, requiredSuccesses); err != nil {
		f.Checker.ReportViolation("no recovery: %v", err)
	}
	time.Sleep(settleTime)
	if n := f.Checker.Running(); n > 0 {
		f.Checker.ReportViolation("%d tasks are still running although no job is open", n)
	}
	report.Violations = f.Checker.Violations()
	report.Answers = r.statusCounts
	report.Starts = f.Checker.Starts()
	for _, n := range f.Entries {
		for _, p := range n.Processes() {
			report.Handovers.Add(countHandovers(p.FullLog()))
		}
	}
	report.duration = time.Since(r.startTime)
	report.logs = map[string]string{}
	if len(report.Violations) > 0 {
		report.trace = f.Trace(report.Violations)
	}
	for _, n := range append(append([]*fleet.Node{}, f.Entries...), f.Guards...) {
		if len(report.Violations) > 0 {
			n.Process().DumpGoroutines()
		}
		report.logs[n.ID] = logTail(n.Process().Log())
	}
	if len(report.Violations) > 0 {
		return report, ErrViolation
	}
	return report, nil
}

// logTail returns the last lines of a log, preceded by the last lines without the events
// that are logged for every task or job.
func logTail(text string) string {
	lines := strings.Split(text, "\n")
	var infrequent []string
	for _, l := range lines {
		if !strings.Contains(l, "guard.run_") && !strings.Contains(l, `"msg":"job.`) {
			infrequent = append(infrequent, l)
		}
	}
	infrequent = infrequent[max(len(infrequent)-maxLogLines, 0):]
	return strings.Join(infrequent, "\n") + "\n...\n" + strings.Join(lines[max(len(lines)-maxLogLines, 0):], "\n")
}

// waitAllServing waits until every entry has completed the given number of consecutive jobs.
// The timeout applies to each entry separately: under load, an entry may reject jobs while
// the others complete theirs.
func (r *run) waitAllServing(ctx context.Context, timeout time.Duration, successes int) error {
	for i := range r.fleet.Entries {
		if err := r.waitServing(ctx, i, timeout, successes); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) waitServing(ctx context.Context, i int, timeout time.Duration, successes int) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for completed := 0; completed < successes; {
		a := r.fleet.Submit(ctx, i, fleet.NewJob(4, 20), 1)
		if a.Status == http.StatusOK {
			completed++
			continue
		}
		completed = 0
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: entry %d answers %d %s", fleet.ErrNotReady, i+1, a.Status, a.Text)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// startLoad submits a job every jobInterval until stop is called, which waits for the
// pending jobs. Connections are kept alive between jobs.
func (r *run) startLoad(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var pending sync.WaitGroup
	pending.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			interval := jobInterval
			if r.burst.Load() {
				interval = jobInterval / 4
			}
			time.Sleep(interval)
			pending.Go(func() { r.submit(n) })
		}
	})
	return func() {
		cancel()
		pending.Wait()
	}
}

// submit submits the n-th job as one caller and counts the status of its answer.
func (r *run) submit(n int) {
	job := newJob(n)
	submit := r.fleet.Submit
	if job.Deadline == longDeadline {
		r.submitAndDisconnect(job, n)
		n++
		submit = r.fleet.Resubmit
	}
	a := submit(context.Background(), n%entries, job, 3)
	r.count(a)
	if Planned(r.options.Seed) && a.Status == 0 && a.Took < job.Deadline-100*time.Millisecond && !strings.Contains(a.Text, "refused") {
		r.fleet.Checker.ReportViolation("planned operation interrupted job %s after %v: %s", job.ID, a.Took, a.Text)
	}
}

func (r *run) count(a fleet.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statusCounts[a.Status]++
}

// injectAll injects the faults at their scheduled times.
func (r *run) injectAll(ctx context.Context, faults []Fault) {
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.startTime.Add(f.At))):
		}
		r.injections.Go(func() { r.inject(ctx, f) })
	}
}

// configTimeout is the time within which all entries must apply a new configuration.
const configTimeout = 2 * time.Second

// configure adds a route. In runs with planned operations only, it also checks that every
// ready entry applies the new configuration in time and does not revert to an older one.
func (r *run) configure(ctx context.Context) {
	r.mu.Lock()
	r.addedRoutes++
	prefix := fmt.Sprintf("/added-%d/", r.addedRoutes)
	r.fleet.Configure(fleet.Prefix, prefix)
	r.mu.Unlock()
	if !Planned(r.options.Seed) {
		return
	}
	uptime.Sleep(ctx, configTimeout+time.Duration(rand.Int64N(int64(100*time.Millisecond))))
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := fmt.Sprintf("/added-%d/", r.addedRoutes)
	if latest != prefix {
		return
	}
	for _, n := range r.fleet.Entries {
		if !r.fleet.IsReady(n) {
			continue
		}
		if a := r.fleet.Get(ctx, n, prefix); a.Status == http.StatusNotFound {
			r.fleet.Checker.ReportViolation("%s does not have route %s %v after it was stored", n.ID, prefix, configTimeout)
		}
	}
}

// Every longJobInterval-th job has tasks that run longer than the delay before a caller
// submits a job again. What an entry started for the first submission must have ended by
// the time of the second.
const (
	longJobInterval = 12
	longTasks       = 2
	longMs          = 2600
	longDeadline    = 6 * time.Second
)

// disconnectDelay is the time after which the caller of a long job closes its connection,
// to submit the job again to another entry.
const disconnectDelay = time.Second

// submitAndDisconnect submits a job and closes the connection before the job can complete.
func (r *run) submitAndDisconnect(job fleet.Job, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), disconnectDelay)
	defer cancel()
	r.fleet.SubmitOnce(ctx, r.fleet.Entries[n%entries], fleet.Prefix, job)
	time.Sleep(fleet.ResubmitDelay)
}

func newJob(n int) fleet.Job {
	if n%longJobInterval == longJobInterval-1 {
		job := fleet.NewJob(longTasks, longMs)
		job.Deadline = longDeadline
		return job
	}
	return fleet.NewJob(1+n%8, []int{40, 40, 150, 1200}[n%4])
}
