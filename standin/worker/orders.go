package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

type requestBody struct {
	Task  string `json:"task"`
	Run   int    `json:"run_id"`
	Spec  string `json:"task_spec"`
	Until int64  `json:"until_ms"`
	Token int64  `json:"fencing_token"`
	Seen  int64  `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`

	path      string
	arrivedAt time.Time
	// receiver is the start time of the process at which the request arrived.
	receiver time.Time
}

type response struct {
	status   int
	reason   string
	listRuns bool
	maxWait  time.Duration
}

// Paths of the requests.
const (
	StartPath = "/run-start"
	StopPath  = "/run-stop"
	PollPath  = "/hold"
)

// handle wraps a request handler with the check of the expected instance and the
// injected faults.
func (r *Runner) handle(path string) http.HandlerFunc {
	do := func(b requestBody) response { return r.do(path, b) }
	return func(w http.ResponseWriter, req *http.Request) {
		var body requestBody
		if json.NewDecoder(req.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		f, dead := r.fault, r.dead
		expected := req.Header.Get("X-Almondstand-Expected-Instance")
		otherInstance := expected != "" && expected != r.instance
		resumed, processStart := r.resumedCh, r.processStart
		body.path, body.arrivedAt, body.receiver = req.URL.Path, time.Now(), processStart
		held := f.Suspended && !dead && !otherInstance
		if held {
			r.waiting++
		}
		kept := !dead && !otherInstance && !f.Unresponsive && !f.Suspended && r.hold(path, body)
		r.mu.Unlock()
		switch {
		case kept:
			<-req.Context().Done()
			return
		case held:
			<-resumed
			answer, executed := r.executeWaiting(do, body, processStart)
			if !executed {
				r.recordUnexecuted(body, "not executed, its process has ended")
				panic(http.ErrAbortHandler)
			}
			r.writeResponse(w, req, body, answer, processStart)
			return
		case dead:
			r.recordUnexecuted(body, "not executed, no process")
			panic(http.ErrAbortHandler)
		case f.Unresponsive, f.Suspended:
			r.recordUnexecuted(body, "not executed, unresponsive")
			<-req.Context().Done()
			return
		case otherInstance:
			r.recordUnexecuted(body, "not executed, meant for "+expected)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		case rand.Float64() < f.LateShare && (!f.LateStarts || path == StartPath):
			instance := r.Instance()
			r.recordUnexecuted(body, "left unanswered, takes effect late")
			time.AfterFunc(f.LateBy, func() {
				if r.Instance() == instance {
					do(body)
					return
				}
				r.recordUnexecuted(body, "not executed, its instance has ended")
			})
			<-req.Context().Done()
			return
		}
		r.writeResponse(w, req, body, do(body), processStart)
	}
}

// do executes a request.
func (r *Runner) do(path string, b requestBody) response {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.execute(path, b)
}

// execute executes a request. The caller holds the lock.
func (r *Runner) execute(path string, b requestBody) response {
	switch path {
	case StartPath:
		return r.start(b)
	case StopPath:
		return r.stop(b)
	default:
		return r.poll(b)
	}
}

// executeWaiting executes a request that arrived while its process was suspended, unless the process
// has ended since.
func (r *Runner) executeWaiting(do func(requestBody) response, body requestBody, processStart time.Time) (answer response, executed bool) {
	r.mu.Lock()
	executed = !r.dead && r.processStart.Equal(processStart)
	r.mu.Unlock()
	if executed {
		answer = do(body)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
	return answer, executed
}

// writeResponse answers a request that the given process received, unless that process has ended
// since.
func (r *Runner) writeResponse(w http.ResponseWriter, req *http.Request, body requestBody, a response, processStart time.Time) {
	if a.maxWait > 0 {
		r.waitForEndedRun(req.Context(), body.Seen, a.maxWait)
	}
	r.mu.Lock()
	if r.dead || !r.processStart.Equal(processStart) {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	reply := map[string]any{"clock_ms": r.clock().Milliseconds()}
	if a.reason != "" {
		reply["reason"] = a.reason
	}
	if a.listRuns {
		r.addStartTime(reply)
		running, endedRuns := [][]any{}, [][]any{}
		for task, x := range r.runs {
			running = append(running, r.runningRow(task, x))
		}
		for _, e := range r.endedRuns {
			endedRuns = append(endedRuns, []any{e.seq, e.task, e.number, e.outcome, ""})
		}
		reply["running"], reply["ended_runs"] = running, endedRuns
	}
	foreign := strings.NewReplacer(`"running":[`, addRow(r.foreignRuns, `"running":[`), `"ended_runs":[`, addRow(r.foreignEnds, `"ended_runs":[`))
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	text, _ := json.Marshal(reply)
	_, _ = strings.NewReplacer(",]", "]").WriteString(w, foreign.Replace(string(text)))
}

// addRow returns the beginning of a list with a row added to it.
func addRow(row, list string) string {
	if row == "" {
		return list
	}
	return list + row + ","
}

// usageDelay is how long a run is listed without CPU usage after its start.
const usageDelay = 500 * time.Millisecond

// runningRow returns the row of a run in the run listing. The caller holds the lock.
func (r *Runner) runningRow(task string, x *run) []any {
	if r.fault.NoProgress {
		return []any{task, x.number, ""}
	}
	worked, usage := time.Since(x.startedAt), int64(0)
	if worked >= usageDelay {
		usage = x.cpu
	}
	percent := x.maxPercent
	if worked < x.duration {
		percent = min(percent, int(worked*100/x.duration))
	}
	return []any{task, x.number, "", percent, usage}
}

// waitForEndedRun waits until a run has ended that is newer than the last one that the
// caller has seen, at most for the limit.
func (r *Runner) waitForEndedRun(ctx context.Context, seen int64, limit time.Duration) {
	over := time.After(limit)
	for {
		r.mu.Lock()
		runEndedCh, last := r.runEndedCh, r.lastEndedSeq
		r.mu.Unlock()
		if last > seen {
			return
		}
		select {
		case <-runEndedCh:
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

// checkFencingToken reports whether a request's fencing token is current, and records a
// higher one. The caller holds the lock.
func (r *Runner) checkFencingToken(b requestBody) bool {
	if b.Token < r.token {
		return false
	}
	if b.Token > r.token {
		r.recordProcess(fmt.Sprintf("token raised from %d to %d by %s, arrived %s at %s", r.token, b.Token, b.path, clockTime(b.arrivedAt), r.receiverOf(b)))
	}
	r.token = b.Token
	return true
}

func (r *Runner) extendLease(until int64) bool {
	r.longestLease = max(r.longestLease, time.Duration(until)*time.Millisecond-r.clock())
	u := min(time.Duration(until)*time.Millisecond, r.clock()+maxLease)
	if u <= r.clock() {
		return false
	}
	r.lease = max(r.lease, u)
	for task, x := range r.runs {
		if x.expired {
			x.expired = false
			r.Checker.runContinued(task, r.location(x))
		}
	}
	return true
}

// maxStartAfterDrainAck is how long tasks may still be started on the runner after its
// report that it drains was acknowledged: the platform's drain_ms.
const maxStartAfterDrainAck = 2 * time.Second

// start executes a start request. The caller holds the lock.
func (r *Runner) start(b requestBody) (answer response) {
	defer r.recordExecuted(b, &answer)
	r.startRequests++
	if r.dead || !r.checkFencingToken(b) {
		return response{status: http.StatusConflict, reason: "fence"}
	}
	if !r.extendLease(b.Until) {
		return response{status: http.StatusConflict, reason: "late"}
	}
	if x := r.runs[b.Task]; x != nil && x.number == b.Run {
		return response{status: http.StatusOK}
	}
	if !r.drainAckedAt.IsZero() && time.Since(r.drainAckedAt) > maxStartAfterDrainAck {
		r.Checker.ReportViolation("runner %s starts %s, %v after its guard acknowledged that the runner drains", r.instance, b.Task, time.Since(r.drainAckedAt))
	}
	if b.Run <= r.rejectedUpTo[b.Task] || r.runs[b.Task] != nil {
		return response{status: http.StatusConflict, reason: "old"}
	}
	var spec Spec
	if json.Unmarshal([]byte(b.Spec), &spec) != nil {
		return response{status: http.StatusBadRequest}
	}
	r.Checker.checkCordon(r.DataCentre, b.Task, b.arrivedAt)
	if spec.Label != "" && spec.Label != r.kind {
		r.Checker.ReportViolation("runner %s of kind %s starts %s, which requires the label %s", r.instance, r.kind, b.Task, spec.Label)
	}
	x := &run{number: b.Run, cpu: spec.CPU}
	r.runs[b.Task] = x
	r.Checker.runStarted(b.Task, r.location(x))
	if used, limit := r.used(), r.capacityLimit(); used > limit {
		r.Checker.ReportViolation("runner %s uses %d of %d millicores", r.instance, used, limit)
	}
	duration := time.Duration(spec.Ms) * time.Millisecond
	if r.fault.Slow > 0 {
		duration = time.Duration(float64(duration) * r.fault.Slow)
	}
	x.startedAt, x.duration, x.maxPercent = time.Now(), duration, 100
	if r.fault.Hang {
		duration, x.maxPercent = time.Hour, r.fault.HangPercent
	}
	outcome := Done
	if spec.Fails || rand.Float64() < r.fault.FailShare {
		outcome = Failed
	}
	x.timer = time.AfterFunc(duration, func() { r.finish(b.Task, x, outcome) })
	if spec.CrashMs > 0 {
		x.timer.Stop()
		x.timer = time.AfterFunc(time.Duration(spec.CrashMs)*time.Millisecond, r.crashAndRestart)
	}
	return response{status: http.StatusOK}
}

func (r *Runner) location(x *run) RunLocation {
	return RunLocation{r.address, r.instance, r.processStart, x.number}
}

// finish ends a run, unless it has ended already or the process that ran it is gone.
func (r *Runner) finish(task string, x *run, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.runs[task] != x:
	case r.resuming():
		x.timer = time.AfterFunc(tickInterval, func() { r.finish(task, x, outcome) })
	case x.expired:
		r.end(task, x, LeaseExpired)
	default:
		r.end(task, x, outcome)
	}
}

// end ends a run that is there. The caller holds the lock.
func (r *Runner) end(task string, x *run, outcome string) {
	x.timer.Stop()
	delete(r.runs, task)
	r.rejectedUpTo[task] = max(r.rejectedUpTo[task], x.number)
	r.lastEndedSeq++
	r.endedRuns = append(r.endedRuns, endedRun{r.lastEndedSeq, task, x.number, outcome})
	r.Checker.runEnded(task, r.location(x), outcome)
	r.Checker.record(jobOf(task), "runner %s: process %s of %s: %s run %d ended %s", r.address, clockTime(r.processStart), r.instance, task, x.number, outcome)
	close(r.runEndedCh)
	r.runEndedCh = make(chan struct{})
}

// stop executes a stop request. The caller holds the lock.
func (r *Runner) stop(b requestBody) (answer response) {
	defer r.recordExecuted(b, &answer)
	if r.dead || !r.checkFencingToken(b) {
		return response{status: http.StatusConflict, reason: "fence"}
	}
	r.rejectedUpTo[b.Task] = max(r.rejectedUpTo[b.Task], b.Run)
	if x := r.runs[b.Task]; x != nil && x.number <= b.Run && !x.stopping {
		x.stopping = true
		time.AfterFunc(stopDuration, func() { r.finish(b.Task, x, Stopped) })
	}
	return response{status: http.StatusOK}
}

// poll executes a request for the run listing. The caller holds the lock.
func (r *Runner) poll(b requestBody) response {
	r.polls++
	if r.dead || !r.checkFencingToken(b) {
		return response{status: http.StatusConflict, reason: "fence"}
	}
	if b.Until > 0 {
		r.extendLease(b.Until)
	}
	unseen := r.endedRuns[:0]
	for _, e := range r.endedRuns {
		if e.seq > b.Seen {
			unseen = append(unseen, e)
		}
	}
	r.endedRuns = unseen
	if r.foreignEnds != "" {
		// The row is not acknowledged, so there is always an ended run to list.
		return response{status: http.StatusOK, listRuns: true}
	}
	return response{status: http.StatusOK, listRuns: true, maxWait: time.Duration(b.Wait) * time.Millisecond}
}

// expireLease ends all runs when the lease has expired.
func (r *Runner) expireLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock() < r.lease {
		return
	}
	for task, x := range r.runs {
		switch {
		case !r.resuming():
			r.end(task, x, LeaseExpired)
		case !x.expired:
			x.expired = true
			r.Checker.runEnded(task, r.location(x), LeaseExpired)
		}
	}
}
