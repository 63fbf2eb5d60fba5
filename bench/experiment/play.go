package experiment

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"almondstand.dev/bench/result"
	"almondstand.dev/bench/workload"
	"almondstand.dev/e2e/harness"
	"almondstand.dev/standin/runner"
)

// caller simulates the caller of one job.
type caller struct {
	*run
	job    workload.Job
	client *harness.Client
	// id is the submission id; it is set only for a job that will be cancelled.
	id string
	// oversleep is how much longer the caller's sleeps took than requested. It is
	// subtracted from the response time, because the timer errors of the benchmark are
	// not part of it.
	oversleep time.Duration
	// waited is the time spent waiting for a Retry-After to pass.
	waited time.Duration
	tries  int
}

// play submits one job and retries it after each Retry-After, up to the limit.
func (r *run) play(ctx context.Context, j workload.Job, startedAt time.Time) {
	ctx, stop := context.WithTimeout(ctx, callLimit)
	defer stop()
	c := &caller{run: r, job: j, client: r.clients[j.Client]}
	cancelled := r.isCancelled(j) && c.cancelIn(ctx, time.Until(startedAt.Add(r.cancelAt(j))))
	submittedAt := time.Now()
	reply := c.submit(ctx)
	for c.tries <= r.e.MaxRetries && c.waitForRetry(ctx, reply) {
		reply = c.submit(ctx)
	}
	if j.At < r.e.Warmup.Std() || cancelled {
		return
	}
	r.result.Add(c.observe(reply, time.Since(submittedAt)-c.oversleep))
}

// delay sleeps for the duration of a message to or from the caller.
func (c *caller) delay() {
	began := time.Now()
	time.Sleep(c.e.CallerDelay.Std())
	c.oversleep += time.Since(began) - c.e.CallerDelay.Std()
}

// submit sends the job once.
func (c *caller) submit(ctx context.Context) harness.Reply {
	job := jobOf(c.job)
	c.tries++
	c.delay()
	answer, err := c.call(ctx, job)
	c.delay()
	reply := harness.Reply{Answer: answer, Err: err, Job: job}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies = append(c.replies, reply)
	return reply
}

func (c *caller) call(ctx context.Context, job harness.Job) (*harness.Answer, error) {
	address := c.entryFor(c.job.Entry).Callers
	if c.id != "" {
		return c.client.Put(ctx, address, c.id, job)
	}
	return c.client.Run(ctx, address, job)
}

// waitForRetry waits for the Retry-After of a rejection; it returns false when the job
// has its final answer.
func (c *caller) waitForRetry(ctx context.Context, reply harness.Reply) bool {
	if reply.Err != nil || reply.Answer.RetryAfter == "" || reply.Answer.Ran() != "no" {
		return false
	}
	seconds, err := strconv.Atoi(reply.Answer.RetryAfter)
	if err != nil {
		return false
	}
	wait := time.Duration(seconds) * time.Second
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		c.waited += wait
		return true
	}
}

// cancelAt returns the time at which a job is cancelled, within a second from CancelAt
// on.
func (r *run) cancelAt(j workload.Job) time.Duration {
	return r.e.Warmup.Std() + r.e.CancelAt.Std() + j.At%time.Second
}

// isCancelled selects the jobs to cancel: a random fraction of those that arrived
// shortly before CancelAt.
func (r *run) isCancelled(j workload.Job) bool {
	wave := r.e.Warmup.Std() + r.e.CancelAt.Std()
	if r.e.CancelShare == 0 || j.At < wave-cancelWindow || j.At > wave {
		return false
	}
	return rand.New(rand.NewPCG(r.e.Seed, uint64(j.At))).Float64() < r.e.CancelShare
}

// cancelWindow is the maximum age of the jobs that are cancelled.
const cancelWindow = 2 * time.Second

// cancelIn requests an id for the job and schedules its cancellation; it returns false
// when it got no id.
func (c *caller) cancelIn(ctx context.Context, wait time.Duration) bool {
	ids, err := c.client.Mint(ctx, c.entryFor(c.job.Entry).Callers, 1)
	if err != nil || len(ids) == 0 {
		return false
	}
	c.id = ids[0]
	address := c.entryFor(c.job.Entry).Callers
	time.AfterFunc(wait, func() {
		began := time.Now()
		_, err := c.client.Cancel(context.WithoutCancel(ctx), address, ids[0])
		c.result.AddCancellation(time.Since(began), err == nil)
	})
	return true
}

func (c *caller) observe(reply harness.Reply, took time.Duration) result.Observation {
	o := result.Observation{
		At:          c.job.At - c.e.Warmup.Std(),
		Client:      c.job.Client,
		Tasks:       len(c.job.Runs),
		Took:        took,
		RetryWait:   c.waited,
		Ideal:       Ideal(c.e, c.job),
		Submissions: c.tries,
		Work:        c.job.Work(),
	}
	if reply.Answer == nil {
		o.Outcome = result.Unanswered
		return o
	}
	o.Outcome = endOf(reply.Answer)
	o.Code = code(reply.Answer)
	o.LastSubmissionTook = reply.Answer.Took
	return o
}

func endOf(a *harness.Answer) result.Outcome {
	switch {
	case a.Status == http.StatusOK:
		return result.Complete
	case a.Ran() != "no":
		return result.Failed
	case a.RetryAfter != "":
		return result.Refused
	case a.Status < http.StatusInternalServerError:
		return result.Rejected
	}
	// The answer time passed before any task had started.
	return result.Failed
}

func code(a *harness.Answer) string {
	if a.Error == nil {
		return ""
	}
	return a.Error.Code
}

// missingService is a service that no endpoint serves.
const missingService = "missing"

func jobOf(j workload.Job) harness.Job {
	out := harness.Job{Service: harness.Service}
	if j.Impossible {
		out.Service = missingService
	}
	for i, run := range j.Runs {
		t := harness.Task{Kind: j.Kinds[i], Payload: payload(run)}
		if j.Declared[i] > 0 {
			t.RunTime = j.Declared[i].String()
		}
		out.Tasks = append(out.Tasks, t)
	}
	return out
}

func payload(run time.Duration) []byte {
	text, _ := json.Marshal(runner.Payload{Run: run.String(), Echo: json.RawMessage("1")})
	return text
}
