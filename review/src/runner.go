package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the small deployments (the pages' Bounds).
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 1000 * time.Millisecond
	stopTakes   = 20 * time.Millisecond // stop_grace_ms is 50
	leaseTick   = 5 * time.Millisecond
	ackTimeout  = time.Second
	maxWaitHold = 2 * time.Second
)

// runner is a machine with one runner at a time, which follows "Running tasks" and "Service discovery" of
// PROTOCOL.md. It starts whatever it is told to start (rejects_overload false).
type runner struct {
	rec     *record
	name    string // the machine, for the record
	service string
	zone    string
	control string // where its guard takes its reports
	address string
	cpu     int64

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	life     int
	id       string
	labels   []string
	state    string
	born     time.Time
	token    int64
	until    time.Duration // the lease, on the runner's clock
	runs     map[string]*taskRun
	barred   map[string]int // the highest run stopped or ended, by task
	ends     []taskEnd
	lastEnd  int
	changed  chan struct{} // closed when a run ends
	seq      int
	stopBeat context.CancelFunc
}

type taskRun struct {
	number int
	spec   string
	timer  *time.Timer
}

type taskEnd struct {
	n       int
	task    string
	number  int
	outcome string
}

// spec is what the clients of these cases write into task_spec.
type spec struct {
	Ms int `json:"ms"`
}

// begin starts the next life of the runner at its address.
func (r *runner) begin(labels ...string) {
	l, err := net.Listen("tcp", r.address)
	must(err)
	r.mu.Lock()
	r.life++
	r.id = fmt.Sprintf("i-%s-%d", r.name, r.life)
	r.labels, r.state, r.born = labels, "ready", time.Now()
	r.token, r.until, r.lastEnd, r.seq = 0, 0, 0, 0
	r.runs, r.barred, r.ends = map[string]*taskRun{}, map[string]int{}, nil
	r.changed = make(chan struct{})
	mux := http.NewServeMux()
	for path, do := range map[string]func(order) (int, string){"/run-start": r.start, "/run-stop": r.stop, "/hold": r.hold} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, path, do) })
	}
	r.server, r.listener = &http.Server{Handler: mux}, l
	server := r.server
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeat = cancel
	id := r.id
	r.mu.Unlock()
	r.rec.add("runner %s begins as %s, labels %v, service %s", r.name, id, labels, r.service)
	go func() { _ = server.Serve(l) }()
	go r.beat(ctx, id)
	go r.lapse(ctx)
}

// crash ends the current life: nothing is said, and nothing listens at the address.
func (r *runner) crash() {
	r.mu.Lock()
	id := r.id
	r.stopBeat()
	_ = r.server.Close()
	_ = r.listener.Close()
	for task, x := range r.runs {
		x.timer.Stop()
		r.rec.runEnded(r, task, x.number, "lost with its runner")
	}
	r.runs = map[string]*taskRun{}
	r.id = ""
	r.mu.Unlock()
	r.rec.add("runner %s crashes as %s", r.name, id)
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

// beat sends heartbeats, the first one at once.
func (r *runner) beat(ctx context.Context, id string) {
	client := &http.Client{Timeout: ackTimeout}
	for ctx.Err() == nil {
		r.mu.Lock()
		r.seq++
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": r.state,
			"cold_left_ms": 0, "capacity": map[string]int64{"cpu": r.cpu, "mem_mb": 131072, "gpu": 0}, "labels": r.labels,
			"clock_ms": r.clock().Milliseconds(), "seq": r.seq,
		})
		r.mu.Unlock()
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.control+"/instances/"+id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		pause := heartbeat
		res, err := client.Do(req)
		if err == nil {
			_ = res.Body.Close()
		}
		if err != nil || res.StatusCode/100 != 2 {
			pause = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// lapse ends what runs when the lease has run out.
func (r *runner) lapse(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(leaseTick)
		r.mu.Lock()
		if ctx.Err() == nil && r.clock() >= r.until {
			for task, x := range r.runs {
				r.finish(task, x, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run_id"`
	Spec  string `json:"task_spec"`
	Until *int64 `json:"until_ms"`
	Token int64  `json:"fencing_token"`
	Seen  int    `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request, path string, do func(order) (int, string)) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	id, born := r.id, r.born
	if want := req.Header.Get("X-Almondstand-Expected-Instance"); want != "" && want != id {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, reason := do(o)
	if path == "/hold" && status == http.StatusOK && o.Wait > 0 {
		r.awaitEnd(req.Context(), o)
	}
	if r.id != id || r.born != born {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := map[string]any{"clock_ms": r.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	if path == "/hold" && status == http.StatusOK {
		running, ends := [][]any{}, [][]any{}
		for task, x := range r.runs {
			running = append(running, []any{task, x.number, "", 0, 0})
		}
		for _, e := range r.ends {
			ends = append(ends, []any{e.n, e.task, e.number, e.outcome, ""})
		}
		body["running"], body["ended_runs"] = running, ends
	}
	r.mu.Unlock()
	answer(w, status, body)
}

// awaitEnd waits for an end that the caller has not seen. r.mu is held, and released meanwhile.
func (r *runner) awaitEnd(ctx context.Context, o order) {
	over := time.After(min(time.Duration(o.Wait)*time.Millisecond, maxWaitHold))
	for r.lastEnd <= o.Seen {
		changed := r.changed
		r.mu.Unlock()
		stop := false
		select {
		case <-changed:
		case <-over:
			stop = true
		case <-ctx.Done():
			stop = true
		}
		r.mu.Lock()
		if stop {
			return
		}
	}
}

// fenced reports whether an order is to be left undone for its token. r.mu is held.
func (r *runner) fenced(o order) bool {
	if o.Token < r.token {
		return true
	}
	r.token = o.Token
	return false
}

func (r *runner) extend(o order) bool {
	if o.Until == nil {
		return true
	}
	until := time.Duration(*o.Until) * time.Millisecond
	if until <= r.clock() {
		return false
	}
	r.until = max(r.until, min(until, r.clock()+maxHold))
	return true
}

func (r *runner) start(o order) (int, string) {
	if r.fenced(o) {
		return http.StatusConflict, "fence"
	}
	if x := r.runs[o.Task]; x != nil && x.number == o.Run {
		r.extend(o)
		return http.StatusOK, ""
	}
	if !r.extend(o) {
		return http.StatusConflict, "late"
	}
	if o.Run <= r.barred[o.Task] || r.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	var s spec
	if json.Unmarshal([]byte(o.Spec), &s) != nil {
		return http.StatusBadRequest, ""
	}
	x := &taskRun{number: o.Run, spec: o.Spec}
	r.runs[o.Task] = x
	r.rec.runStarted(r, o.Task, o.Run, o.Spec)
	x.timer = time.AfterFunc(time.Duration(s.Ms)*time.Millisecond, func() { r.finishLater(o.Task, x, "done") })
	return http.StatusOK, ""
}

func (r *runner) stop(o order) (int, string) {
	if r.fenced(o) {
		return http.StatusConflict, "fence"
	}
	r.barred[o.Task] = max(r.barred[o.Task], o.Run)
	if x := r.runs[o.Task]; x != nil && x.number <= o.Run {
		time.AfterFunc(stopTakes, func() { r.finishLater(o.Task, x, "stopped") })
	}
	return http.StatusOK, ""
}

func (r *runner) hold(o order) (int, string) {
	if r.fenced(o) {
		return http.StatusConflict, "fence"
	}
	r.extend(o)
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.n > o.Seen {
			kept = append(kept, e)
		}
	}
	r.ends = kept
	return http.StatusOK, ""
}

func (r *runner) finishLater(task string, x *taskRun, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finish(task, x, outcome)
}

// finish ends a run that is there. r.mu is held.
func (r *runner) finish(task string, x *taskRun, outcome string) {
	if r.runs[task] != x {
		return
	}
	x.timer.Stop()
	delete(r.runs, task)
	r.barred[task] = max(r.barred[task], x.number)
	r.lastEnd++
	r.ends = append(r.ends, taskEnd{r.lastEnd, task, x.number, outcome})
	r.rec.runEnded(r, task, x.number, outcome)
	close(r.changed)
	r.changed = make(chan struct{})
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }
