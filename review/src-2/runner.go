package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold   = time.Second
	stopTakes = 30 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// Runner is a stand-in of one runner. It follows PROTOCOL.md, "Running tasks" and "Service discovery".
type Runner struct {
	name, ip, control, service string
	cpu, mem                   int64
	labels                     []string
	rec                        *Record
	// onCall may answer a call in its own way; it returns true if it has. It is called without the lock.
	onCall func(path string, b call, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	id       string
	addr     string
	started  time.Time
	seq      int64
	draining bool
	token    int64
	lease    time.Duration
	runs     map[string]*run
	refused  map[string]int // highest run stopped or ended, by task
	ends     []end
	lastEnd  int64
	ended    chan struct{}
	down     bool
	server   *http.Server
	stopBeat chan struct{}
}

type run struct {
	number   int
	cpu      int64
	at       time.Time
	takes    time.Duration
	stopping bool
	timer    *time.Timer
}

type end struct {
	n      int64
	task   string
	number int
	how    string
}

type call struct {
	Task  string `json:"task"`
	Run   int    `json:"run_id"`
	Spec  string `json:"task_spec"`
	Until int64  `json:"until_ms"`
	Token int64  `json:"fencing_token"`
	Seen  int64  `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

// spec is what the clients of the cases put into task_spec.
type spec struct {
	Ms  int   `json:"ms"`
	CPU int64 `json:"cpu"`
}

// boot starts a new life of the runner: a new id, nothing running, no fencing token.
func (r *Runner) boot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := r.addr
	if address == "" {
		address = r.ip + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("runner: %v", err)
	}
	r.addr = l.Addr().String()
	r.id = fmt.Sprintf("i-%08x", rand.Uint32())
	r.started, r.seq, r.token, r.lease = time.Now(), 0, 0, 0
	r.runs, r.refused, r.ends, r.lastEnd = map[string]*run{}, map[string]int{}, nil, 0
	r.ended, r.down, r.draining = make(chan struct{}), false, false
	r.stopBeat = make(chan struct{})
	mux := http.NewServeMux()
	for _, p := range []string{"/run-start", "/run-stop", "/hold"} {
		mux.HandleFunc("POST "+p, func(w http.ResponseWriter, q *http.Request) { r.handle(p, w, q) })
	}
	r.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	go r.beat(r.stopBeat)
	go r.expire(r.stopBeat)
	r.rec.add("runner %s: life %s begins at %s, cpu %d, labels %v", r.name, r.id, r.addr, r.cpu, r.labels)
}

// crash ends the life of the runner without a word.
func (r *Runner) crash() {
	r.mu.Lock()
	r.down = true
	close(r.stopBeat)
	for task, x := range r.runs {
		x.timer.Stop()
		r.rec.runEnded(r.name, task, x.number, "lost with its runner")
	}
	r.runs = map[string]*run{}
	s := r.server
	r.rec.add("runner %s: life %s crashes", r.name, r.id)
	r.mu.Unlock()
	_ = s.Close()
}

func (r *Runner) clock() time.Duration { return time.Since(r.started) + time.Minute }

func (r *Runner) beat(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		r.mu.Lock()
		if r.down {
			r.mu.Unlock()
			return
		}
		r.seq++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		body := map[string]any{"service": r.service, "address": r.addr, "zone": "z", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "labels": r.labels, "clock_ms": r.clock().Milliseconds(), "seq": r.seq}
		url := "http://" + r.control + "/instances/" + r.id
		r.mu.Unlock()
		raw, _ := json.Marshal(body)
		q, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(raw))
		q.Header.Set("Content-Type", "application/json")
		wait := heartbeat
		if res, err := client.Do(q); err == nil {
			_ = res.Body.Close()
		} else {
			wait = 300 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

func (r *Runner) expire(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r.mu.Lock()
		if r.clock() >= r.lease {
			for task, x := range r.runs {
				r.finish(task, x, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// finish ends a run. The lock is held.
func (r *Runner) finish(task string, x *run, how string) {
	if r.runs[task] != x {
		return
	}
	x.timer.Stop()
	delete(r.runs, task)
	r.refused[task] = max(r.refused[task], x.number)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, task, x.number, how})
	r.rec.runEnded(r.name, task, x.number, how)
	close(r.ended)
	r.ended = make(chan struct{})
}

func (r *Runner) handle(path string, w http.ResponseWriter, q *http.Request) {
	var b call
	if json.NewDecoder(q.Body).Decode(&b) != nil {
		w.WriteHeader(400)
		return
	}
	r.mu.Lock()
	expected, id := q.Header.Get("X-Almondstand-Expected-Instance"), r.id
	r.mu.Unlock()
	if expected != "" && expected != id {
		r.reply(w, 421, "", false)
		return
	}
	if r.onCall != nil && r.onCall(path, b, w, q) {
		return
	}
	status, reason := r.do(path, b)
	if path == "/hold" && status == 200 && b.Wait > 0 {
		r.await(q, b)
	}
	r.reply(w, status, reason, path == "/hold" && status == 200)
}

func (r *Runner) await(q *http.Request, b call) {
	over := time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond)
	for {
		r.mu.Lock()
		last, ended := r.lastEnd, r.ended
		r.mu.Unlock()
		if last > b.Seen {
			return
		}
		select {
		case <-ended:
		case <-over:
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (r *Runner) reply(w http.ResponseWriter, status int, reason string, lists bool) {
	r.mu.Lock()
	m := map[string]any{"clock_ms": r.clock().Milliseconds()}
	if reason != "" {
		m["reason"] = reason
	}
	if lists {
		running, ends := [][]any{}, [][]any{}
		for task, x := range r.runs {
			done := min(int(100*time.Since(x.at)/x.takes), 100)
			running = append(running, []any{task, x.number, "", done, x.cpu})
		}
		for _, e := range r.ends[:min(len(r.ends), 500)] {
			ends = append(ends, []any{e.n, e.task, e.number, e.how, ""})
		}
		m["running"], m["ended_runs"] = running, ends
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m)
}

// do carries a call out.
func (r *Runner) do(path string, b call) (status int, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || b.Token < r.token {
		return 409, "fence"
	}
	r.token = b.Token
	until := min(time.Duration(b.Until)*time.Millisecond, r.clock()+maxHold)
	switch path {
	case "/hold":
		if b.Until > 0 {
			r.lease = max(r.lease, until)
		}
		kept := r.ends[:0]
		for _, e := range r.ends {
			if e.n > b.Seen {
				kept = append(kept, e)
			}
		}
		r.ends = kept
		return 200, ""
	case "/run-stop":
		r.refused[b.Task] = max(r.refused[b.Task], b.Run)
		if x := r.runs[b.Task]; x != nil && x.number <= b.Run && !x.stopping {
			x.stopping = true
			time.AfterFunc(stopTakes, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.finish(b.Task, x, "stopped")
			})
		}
		return 200, ""
	}
	if x := r.runs[b.Task]; x != nil && x.number == b.Run {
		r.lease = max(r.lease, until)
		return 200, ""
	}
	if until <= r.clock() {
		return 409, "late"
	}
	r.lease = max(r.lease, until)
	if b.Run <= r.refused[b.Task] || r.runs[b.Task] != nil {
		return 409, "old"
	}
	var s spec
	if json.Unmarshal([]byte(b.Spec), &s) != nil || s.Ms <= 0 {
		return 400, ""
	}
	x := &run{number: b.Run, cpu: s.CPU, at: time.Now(), takes: time.Duration(s.Ms) * time.Millisecond}
	r.runs[b.Task] = x
	x.timer = time.AfterFunc(x.takes, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.finish(b.Task, x, "done")
	})
	used := int64(0)
	for _, o := range r.runs {
		used += o.cpu
	}
	if used > r.cpu {
		r.rec.breaks("LIMIT: %s uses %d of %d", r.name, used, r.cpu)
	}
	r.rec.runStarted(r.name, r.id, b.Task, b.Run, used, r.cpu, r.labels)
	return 200, ""
}

// jobOf returns the id of the job of a task.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }
