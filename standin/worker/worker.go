// Package worker is a stand-in for a runner that tasks are started on and end
// later: it grants leases, bars runs, fences older guards off, reports about
// itself, and can leave orders unanswered and carry them out late.
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
)

// How runs end.
const (
	Done    = "done"
	Failed  = "failed"
	Stopped = "stopped"
	Lapsed  = "lapsed"
)

const (
	maxHold  = time.Second
	stopTime = 30 * time.Millisecond
	tick     = 5 * time.Millisecond
	beat     = 300 * time.Millisecond
)

// Spec is what a task's text says, as JSON: how long it runs and what it takes.
type Spec struct {
	Ms  int   `json:"ms"`
	CPU int64 `json:"cpu"`
	// Fails has each run fail.
	Fails bool `json:"fails"`
	// CrashMs has the runner's process end so long after the start, milliseconds; zero for a
	// sound task. It is back in another life after CrashBack.
	CrashMs int `json:"crash_ms"`
}

// CrashBack is how long a runner is away that a task crashed.
const CrashBack = 1500 * time.Millisecond

// Fault of a runner.
type Fault struct {
	// LateShare of the orders get no answer and are carried out after LateBy.
	LateShare float64
	LateBy    time.Duration
	// LateStarts has only orders to start be late.
	LateStarts bool
	// Slow times the run times, 0 means 1; Hang lets nothing end; FailShare of the
	// runs fail.
	Slow      float64
	Hang      bool
	FailShare float64
	// Mute answers no order and carries out none.
	Mute bool
}

type run struct {
	number int
	cpu    int64
	timer  *time.Timer
	// stopping is true while a stop takes its time.
	stopping bool
}

type end struct {
	seq    int64
	task   string
	number int
	how    string
}

// Runner is one stand-in; Reborn and Restart give it a new process.
type Runner struct {
	Service string
	Zone    string
	CPU     int64
	Judge   *Judge
	// Control is where reports go.
	Control string
	// Advertise is the address that reports name; empty for the runner's own.
	Advertise string
	// Unborn leaves out when the process was started.
	Unborn bool
	// KeepsID has the runner come back under its id after a task crashed it.
	KeepsID bool

	mu sync.Mutex
	// cpu is what the runner says that it has, and past what it had before.
	cpu     int64
	past    []said
	address string
	server  *http.Server
	// listening is false while no process is there.
	listening bool
	began     time.Time
	life      int
	instance  string
	fault     Fault
	token     int64
	lease     time.Duration
	// longest is the longest lease asked for.
	longest  time.Duration
	runs     map[string]*run
	barred   map[string]int
	ends     []end
	lastEnd  int64
	news     chan struct{}
	draining bool
	// leavingAt is when the first report that the runner leaves was acknowledged.
	leavingAt time.Time
	seq       int64
	dead      bool
	crashes   int
	closed    bool
	// orders counts the start orders that have come, also those for a run that is there,
	// polls the reads of what runs.
	orders, polls int
}

// Listen opens the runner's address on the host.
func (r *Runner) Listen(host string) error {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return fmt.Errorf("worker stand-in: %w", err)
	}
	r.address = l.Addr().String()
	r.cpu = r.CPU
	r.life = 1
	r.reset()
	r.serve(l)
	return nil
}

// shrunkIn is the time after which a smaller capacity binds whoever starts tasks: two
// reports, one of which may be lost, and the way.
const shrunkIn = 3 * beat

// said is a capacity that the runner had until a moment.
type said struct {
	cpu   int64
	until time.Time
}

// SetCapacity has the runner say that it has parts of its whole capacity; its next report
// tells.
func (r *Runner) SetCapacity(parts, whole int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.past = append(r.past, said{r.cpu, time.Now()})
	r.cpu = r.CPU * int64(parts) / int64(whole)
}

// binding is what starts are held to: the most that the runner has had of late.
func (r *Runner) binding() int64 {
	r.past = slices.DeleteFunc(r.past, func(s said) bool { return time.Since(s.until) > shrunkIn })
	most := r.cpu
	for _, s := range r.past {
		most = max(most, s.cpu)
	}
	return most
}

// serve takes orders. The lock is held, or nobody else is there yet.
func (r *Runner) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+startPath, r.order(r.start))
	mux.HandleFunc("POST /run-stop", r.order(r.stop))
	mux.HandleFunc("POST /hold", r.order(r.hold))
	server := &http.Server{Handler: mux}
	r.server, r.listening = server, true
	go func() { _ = server.Serve(l) }()
}

// Address takes orders.
func (r *Runner) Address() string { return r.address }

// Run reports about the runner and ends leases, until the context ends.
func (r *Runner) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	next := time.Now()
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
		r.lapse()
		if time.Now().After(next) {
			next = time.Now().Add(beat)
			go r.Report(ctx)
		}
	}
}

// reset begins a process that knows nothing of those before it. The lock is held, or nobody
// else is there yet.
func (r *Runner) reset() {
	r.began = time.Now()
	r.instance = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(r.address, ":", "-"), r.life)
	r.token, r.lease, r.lastEnd, r.seq = 0, 0, 0, 0
	r.runs, r.barred, r.ends = map[string]*run{}, map[string]int{}, nil
	r.news = make(chan struct{})
	r.draining, r.leavingAt, r.dead = false, time.Time{}, false
}

// SetFault changes how orders and runs are treated from now on.
func (r *Runner) SetFault(f Fault) {
	r.mu.Lock()
	r.fault = f
	r.mu.Unlock()
}

// Calls is how many start orders have come, also those for a run that was there, and how
// many reads of what runs.
func (r *Runner) Calls() (orders, polls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orders, r.polls
}

// LongestLease is the longest lease that any process of the runner was asked for.
func (r *Runner) LongestLease() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longest
}

// Crash ends this life: nothing answers until Reborn.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
}

func (r *Runner) crash() {
	r.dead = true
	for task, x := range r.runs {
		x.timer.Stop()
		r.Judge.ended(task, r.where(x), "lost")
	}
	r.runs = map[string]*run{}
}

// fall ends the runner's process: nothing listens until it is back in another life.
func (r *Runner) fall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return
	}
	r.crashes++
	r.kill()
	time.AfterFunc(CrashBack, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.KeepsID {
			r.life++
		}
		r.back()
	})
}

// kill ends the process: nothing listens. The lock is held.
func (r *Runner) kill() {
	r.crash()
	_ = r.server.Close()
	r.listening = false
}

// back begins a process at the same address. The lock is held.
func (r *Runner) back() {
	if r.closed || !r.dead {
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.Judge.Fault("runner %s can't listen again: %v", r.address, err)
		return
	}
	r.reset()
	r.serve(l)
}

// Kill ends the process: nothing listens until Restart.
func (r *Runner) Kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kill()
}

// Restart begins a process at the same address and under the same id.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kill()
	r.back()
}

// Leave has the runner say that it leaves, until its process ends; its next report tells.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Crashes counts the lives that tasks have ended.
func (r *Runner) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// Reborn begins a new life at the same address.
func (r *Runner) Reborn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash()
	r.life++
	if r.listening {
		r.reset()
		return
	}
	r.back()
}

// Instance names the current life.
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

// report is one of a process of the runner.
type report struct {
	instance string
	body     []byte
	began    time.Time
	leaving  bool
}

// reportBody is the runner's report of its process.
func (r *Runner) reportBody() report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return report{}
	}
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	text := map[string]any{
		"service": r.Service, "address": cmp.Or(r.Advertise, r.address), "zone": r.Zone, "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": 1 << 20, "gpu": 0},
		"labels":   []string{"a", "r1-1"}, "clock_ms": r.clock().Milliseconds(), "seq": r.seq,
	}
	r.nameBorn(text)
	body, _ := json.Marshal(text)
	return report{r.instance, body, r.began, r.draining}
}

// nameBorn adds when the process was started to what the runner says of itself. The lock is
// held.
func (r *Runner) nameBorn(text map[string]any) {
	if !r.Unborn {
		text["born"] = r.began.UnixMilli()
	}
}

// Report sends one report.
func (r *Runner) Report(ctx context.Context) {
	if x := r.reportBody(); x.body != nil {
		r.send(ctx, x)
	}
}

// Held returns a report that is sent only when it is called, also after its
// process has ended.
func (r *Runner) Held(ctx context.Context) func() {
	x := r.reportBody()
	return func() { r.send(ctx, x) }
}

// send sends a report, and takes note of when one that the runner leaves is acknowledged.
func (r *Runner) send(ctx context.Context, x report) {
	acknowledged := r.Send(ctx, x.instance, x.body)
	r.mu.Lock()
	defer r.mu.Unlock()
	if acknowledged && x.leaving && x.began.Equal(r.began) && r.leavingAt.IsZero() {
		r.leavingAt = time.Now()
	}
}

// Deregister says that the instance has ended as planned, whatever runs.
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
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.Control+"/instances/"+instance, bytes.NewReader(body))
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

// clock is the runner's own, of its process. The lock is held.
func (r *Runner) clock() time.Duration { return time.Since(r.began) + time.Hour }
