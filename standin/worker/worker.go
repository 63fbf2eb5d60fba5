// Package worker is a stand-in for a runner with asynchronous runs: a start request
// is acknowledged at once and the run ends later. It grants leases, rejects outdated
// runs, fences off older guards and reports its state. Faults can be injected, such as
// requests that get no response and take effect late.
package worker

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"almondstand.dev/standin/freeport"
)

// Outcomes of runs.
const (
	Done         = "done"
	Failed       = "failed"
	Stopped      = "stopped"
	LeaseExpired = "lapsed"
)

const (
	maxLease       = time.Second
	stopDuration   = 30 * time.Millisecond
	tickInterval   = 5 * time.Millisecond
	reportInterval = 300 * time.Millisecond
)

// Spec is a task's specification, as JSON: how long it runs and which resources it needs.
type Spec struct {
	Ms  int   `json:"ms"`
	CPU int64 `json:"cpu"`
	// Fails makes each run fail.
	Fails bool `json:"fails"`
	// Label is the label that the runner must have; empty for none.
	Label string `json:"label"`
	// CrashMs makes the runner's process crash this many milliseconds after the start; zero
	// for a task that doesn't crash it. The process restarts after CrashRestartDelay, under a new
	// instance id unless the runner has KeepsID.
	CrashMs int `json:"crash_ms"`
}

// DefaultKind is the label that runners report beside their rack.
const DefaultKind = "a"

// CrashRestartDelay is the time until a runner that a task crashed is restarted.
const CrashRestartDelay = 1500 * time.Millisecond

// Fault describes the faults that are injected into a runner.
type Fault struct {
	// LateShare is the fraction of requests that get no response and take effect after
	// LateBy.
	LateShare float64
	LateBy    time.Duration
	// LateStarts restricts LateShare to start requests.
	LateStarts bool
	// Slow is a factor for the run times, 0 means 1. Hang keeps runs from ending; their progress
	// stops at HangPercent, at the pace of the run time that they would have had. FailShare
	// is the fraction of runs that fail.
	Slow        float64
	Hang        bool
	HangPercent int
	FailShare   float64
	// NoProgress omits the progress of all runs from run listings.
	NoProgress bool
	// Unresponsive leaves all requests without a response and without effect.
	Unresponsive bool
	// Suspended suspends the process: no run and no lease ends, and no report is sent. Requests
	// wait; those that have arrived take effect before anything else once the fault is removed,
	// also if their callers have given up.
	Suspended bool
	// NoReports keeps the runner from sending reports.
	NoReports bool
	// Hold selects requests that get no response and are held until ExecuteHeld or
	// RestartExecutingHeld executes them; nil selects none. It must not call the runner.
	Hold func(Call) bool
}

type run struct {
	number int
	cpu    int64
	timer  *time.Timer
	// startedAt is the time of the start, duration the time after which the work is done, and
	// maxPercent the progress at which it stops.
	startedAt  time.Time
	duration   time.Duration
	maxPercent int
	// stopping is true between a stop request and the end of the run.
	stopping bool
	// expired is true once the lease has expired while the process was suspended: the run makes
	// no progress, and ends when the process resumes unless a request extends the lease first.
	expired bool
}

type endedRun struct {
	seq     int64
	task    string
	number  int
	outcome string
}

// Runner is one stand-in runner; RestartWithNewID and Restart give it a new process.
type Runner struct {
	Service    string
	DataCentre string
	CPU        int64
	Checker    *Checker
	// ControlAddress is the address that reports are sent to.
	ControlAddress string
	// Advertise is the address given in reports; empty for the runner's own.
	Advertise string
	// OmitStartTime omits the start time of the process from reports and run listings.
	OmitStartTime bool
	// KeepsID makes the runner restart with the same instance id after a task crashed it.
	KeepsID bool

	mu sync.Mutex
	// foreignRuns and foreignEnds are rows, as JSON, that another program has added to the run listing.
	foreignRuns, foreignEnds string
	// kind is the label of the current process beside its rack.
	kind string
	// cpu is the capacity that the runner reports, pastCapacities are the values before.
	cpu            int64
	pastCapacities []pastCapacity
	address        string
	server         *http.Server
	listener       net.Listener
	// listening is false while no process runs.
	listening    bool
	processStart time.Time
	incarnation  int
	instance     string
	fault        Fault
	token        int64
	lease        time.Duration
	// longestLease is the longest lease requested.
	longestLease time.Duration
	runs         map[string]*run
	rejectedUpTo map[string]int
	endedRuns    []endedRun
	lastEndedSeq int64
	runEndedCh   chan struct{}
	// resumedCh is closed when the process resumes, and waiting counts the requests that have
	// arrived while it was suspended and have not taken effect.
	resumedCh chan struct{}
	waiting   int
	draining  bool
	// drainAckedAt is when the first report with the state draining was acknowledged.
	drainAckedAt time.Time
	seq          int64
	dead         bool
	crashes      int
	closed       bool
	// startRequests counts the start requests received, including those for a run that
	// exists already; polls counts the requests for the run listing.
	startRequests, polls int
	// copies counts the copies of each start and stop received while Fault.Hold was set.
	copies map[Call]int
	// held are the requests that Fault.Hold selected, in the order of their arrival.
	held []heldRequest
}

// Listen makes the runner listen on a free port of the host.
func (r *Runner) Listen(host string) error {
	l, err := freeport.Listen(host)
	if err != nil {
		return fmt.Errorf("worker stand-in: %w", err)
	}
	r.address = l.Addr().String()
	r.cpu = r.CPU
	r.kind = DefaultKind
	r.incarnation = 1
	r.reset()
	r.serve(l)
	return nil
}

// capacityShrinkDelay is the time after which guards have to respect a reduced capacity:
// two report intervals, as one report may be lost, and one more for the transmission.
const capacityShrinkDelay = 3 * reportInterval

// pastCapacity is a capacity that the runner reported until the given time.
type pastCapacity struct {
	cpu   int64
	until time.Time
}

// SetCapacity changes the reported capacity to the fraction parts/whole of the full one,
// from the next report on.
func (r *Runner) SetCapacity(parts, whole int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pastCapacities = append(r.pastCapacities, pastCapacity{r.cpu, time.Now()})
	r.cpu = r.CPU * int64(parts) / int64(whole)
}

// capacityLimit is the capacity that starts must not exceed: the highest one reported
// within capacityShrinkDelay.
func (r *Runner) capacityLimit() int64 {
	r.pastCapacities = slices.DeleteFunc(r.pastCapacities, func(s pastCapacity) bool { return time.Since(s.until) > capacityShrinkDelay })
	limit := r.cpu
	for _, s := range r.pastCapacities {
		limit = max(limit, s.cpu)
	}
	return limit
}

// serve accepts requests. The caller holds the lock, or no other goroutine uses the
// runner yet.
func (r *Runner) serve(l net.Listener) {
	mux := http.NewServeMux()
	for _, path := range []string{StartPath, StopPath, PollPath} {
		mux.HandleFunc("POST "+path, r.handle(path))
	}
	server := &http.Server{Handler: mux}
	r.server, r.listener, r.listening = server, l, true
	go func() { _ = server.Serve(l) }()
}

// Address returns the address at which the runner accepts requests.
func (r *Runner) Address() string { return r.address }

// Run sends the runner's reports and ends runs whose lease expired, until the context
// ends.
func (r *Runner) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	nextReport := time.Now()
	for {
		select {
		case <-ctx.Done():
			r.mu.Lock()
			r.closed = true
			_ = r.server.Close()
			r.mu.Unlock()
			return
		case <-t.C:
		}
		r.expireLease()
		if time.Now().After(nextReport) {
			nextReport = time.Now().Add(reportInterval)
			go r.Report(ctx)
		}
	}
}

// reset begins a process without any state of those before it. The caller holds the lock,
// or no other goroutine uses the runner yet.
func (r *Runner) reset() {
	r.processStart = time.Now()
	r.instance = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(r.address, ":", "-"), r.incarnation)
	r.token, r.lease, r.lastEndedSeq, r.seq = 0, 0, 0, 0
	r.runs, r.rejectedUpTo, r.endedRuns = map[string]*run{}, map[string]int{}, nil
	r.runEndedCh = make(chan struct{})
	r.draining, r.drainAckedAt, r.dead = false, time.Time{}, false
	r.recordProcess("started")
}

// SetFault replaces the injected faults, for requests and runs from now on.
func (r *Runner) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Suspended && !r.fault.Suspended {
		r.resumedCh = make(chan struct{})
	}
	if r.fault.Suspended && !f.Suspended {
		close(r.resumedCh)
	}
	r.fault = f
}

// resuming reports whether the process is suspended or has requests that arrived while it was. The
// caller holds the lock.
func (r *Runner) resuming() bool { return r.fault.Suspended || r.waiting > 0 }

// LeaseLeft returns the time for which the current lease lasts on, negative if it has expired.
func (r *Runner) LeaseLeft() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease - r.clock()
}

// Calls returns the number of start requests received, including those for a run that
// existed already, and the number of requests for the run listing.
func (r *Runner) Calls() (startRequests, polls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startRequests, r.polls
}

// LongestLease returns the longest lease requested from any process of the runner.
func (r *Runner) LongestLease() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longestLease
}

// Crash ends the current incarnation: no request is answered until RestartWithNewID.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
}

func (r *Runner) crash() {
	if !r.dead {
		r.recordProcess(fmt.Sprintf("ended with %d runs", len(r.runs)))
	}
	r.dead = true
	for task, x := range r.runs {
		x.timer.Stop()
		r.Checker.runEnded(task, r.location(x), "lost")
	}
	r.runs = map[string]*run{}
}

// crashAndRestart ends the runner's process and starts the next incarnation after
// CrashRestartDelay. Nothing listens in between.
func (r *Runner) crashAndRestart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return
	}
	r.crashes++
	r.kill()
	time.AfterFunc(CrashRestartDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.KeepsID {
			r.incarnation++
		}
		r.restart(false)
	})
}

// kill ends the process: nothing listens. The caller holds the lock.
func (r *Runner) kill() {
	r.crash()
	_ = r.server.Close()
	// The server closes only a listener that it already serves.
	_ = r.listener.Close()
	r.listening = false
}

// restart begins a process at the same address, unless one is running or the stand-in is
// closed. With executeHeld, it executes the held requests before it serves any. The caller holds
// the lock.
func (r *Runner) restart(executeHeld bool) {
	if r.closed || !r.dead {
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.Checker.ReportViolation("runner %s can't listen on its address again: %v", r.address, err)
		return
	}
	r.reset()
	if executeHeld {
		r.executeHeld("")
	}
	r.serve(l)
}

// Kill ends the process: nothing listens until Restart.
func (r *Runner) Kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kill()
}

// Restart kills the process and begins one at the same address with the same instance id.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kill()
	r.restart(false)
}

// Drain makes the runner report the state draining, from its next report until its
// process ends.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Crashes returns the number of incarnations that were crashed by tasks.
func (r *Runner) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// RestartWithNewID begins a new incarnation at the same address, with a new instance id.
func (r *Runner) RestartWithNewID() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
	r.incarnation++
	if r.listening {
		r.reset()
		return
	}
	r.restart(false)
}

// RestartAs begins a new incarnation at the same address, with a new instance id and another kind.
func (r *Runner) RestartAs(kind string) {
	r.mu.Lock()
	r.kind = kind
	r.mu.Unlock()
	r.RestartWithNewID()
}

// AddForeignRows adds rows, as JSON, of running and of ended runs to every run listing; they are removed by
// empty ones.
func (r *Runner) AddForeignRows(running, ended string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.foreignRuns, r.foreignEnds = running, ended
}

// Instance returns the instance id of the current incarnation.
func (r *Runner) Instance() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instance
}

func (r *Runner) used() int64 {
	var sum int64
	for _, x := range r.runs {
		sum += x.cpu
	}
	return sum
}

// report is a report of one process of the runner, ready to be sent.
type report struct {
	instance     string
	body         []byte
	processStart time.Time
	draining     bool
}

// reportBody returns the next report of the current process; its body is nil while no
// process runs.
func (r *Runner) reportBody() report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead || r.fault.Suspended || r.fault.NoReports {
		return report{}
	}
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	fields := map[string]any{
		"service": r.Service, "address": cmp.Or(r.Advertise, r.address), "zone": r.DataCentre, "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": 1 << 20, "gpu": 0},
		"labels":   []string{r.kind, "r1-1"}, "clock_ms": r.clock().Milliseconds(), "seq": r.seq,
	}
	r.addStartTime(fields)
	body, _ := json.Marshal(fields)
	return report{r.instance, body, r.processStart, r.draining}
}

// addStartTime adds the start time of the process to a report or a run listing, unless
// OmitStartTime is set. The caller holds the lock.
func (r *Runner) addStartTime(fields map[string]any) {
	if !r.OmitStartTime {
		fields["born"] = r.processStart.UnixMilli()
	}
}

// Report sends one report.
func (r *Runner) Report(ctx context.Context) {
	if x := r.reportBody(); x.body != nil {
		r.send(ctx, x)
	}
}

// DelayedReport returns a function that sends the report made now; it can be called later, also
// after the process has ended.
func (r *Runner) DelayedReport(ctx context.Context) func() {
	x := r.reportBody()
	return func() { r.send(ctx, x) }
}

// send sends a report and records when the first one with the state draining is
// acknowledged.
func (r *Runner) send(ctx context.Context, x report) {
	acknowledged := r.Send(ctx, x.instance, x.body)
	r.mu.Lock()
	defer r.mu.Unlock()
	if acknowledged && x.draining && x.processStart.Equal(r.processStart) && r.drainAckedAt.IsZero() {
		r.drainAckedAt = time.Now()
	}
}

// Deregister announces that the instance has ended as planned, even if it has runs.
func (r *Runner) Deregister(ctx context.Context, instance string) {
	r.call(ctx, http.MethodDelete, instance, nil)
}

// Send sends a report and returns whether it was acknowledged.
func (r *Runner) Send(ctx context.Context, instance string, body []byte) bool {
	return r.call(ctx, http.MethodPut, instance, body)
}

func (r *Runner) call(ctx context.Context, method, instance string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.ControlAddress+"/instances/"+instance, bytes.NewReader(body))
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// clock returns the time of the process's own monotonic clock. The caller holds the lock.
func (r *Runner) clock() time.Duration { return time.Since(r.processStart) + time.Hour }
