package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"almondstand.dev/standin/caller"
	"almondstand.dev/telemetry/uptime"
)

// ResubmitDelay is the delay before a caller submits a job again after it got no answer. It
// equals the platform's bound of the same name.
const ResubmitDelay = 1300 * time.Millisecond

// Job is a job with its submission id and deadline.
type Job struct {
	caller.Job
	ID       string
	Deadline time.Duration
}

// NewJob returns a job with a random id.
func NewJob(tasks, ms int) Job {
	return Job{
		Job:      caller.Job{Tasks: tasks, Ms: ms, CPU: 3100},
		ID:       fmt.Sprintf("%016x", rand.Uint64()),
		Deadline: 1500 * time.Millisecond,
	}
}

// Answer is the outcome of one request. Status is 0 if no complete response arrived; Text
// is then the error.
type Answer struct {
	Status     int
	State      string
	RetryAfter string
	Text       string
	Took       time.Duration
}

// SubmitOnce submits a job to an entry once, without retries.
func (f *Fleet) SubmitOnce(ctx context.Context, n *Node, path string, j Job) Answer {
	return f.Post(ctx, n, path+j.ID, j.Body(), strconv.FormatInt(j.Deadline.Milliseconds(), 10))
}

// Post sends a POST request with an arbitrary body and deadline to an entry. It times out
// after the deadline, but not before 500 ms.
func (f *Fleet) Post(ctx context.Context, n *Node, path string, body []byte, deadlineMs string) Answer {
	start := time.Now()
	timeoutMs, _ := strconv.Atoi(deadlineMs)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(timeoutMs, 500))*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.CallersAddress+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Text: err.Error()}
	}
	req.Host = Host
	req.Header.Set("Content-Type", "application/json")
	if deadlineMs != "" {
		req.Header.Set(caller.DeadlineHeader, deadlineMs)
	}
	return f.send(req, start)
}

// Get sends a GET request to an entry.
func (f *Fleet) Get(ctx context.Context, n *Node, path string) Answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.CallersAddress+path, nil)
	if err != nil {
		return Answer{Text: err.Error()}
	}
	req.Host = Host
	return f.send(req, time.Now())
}

func (f *Fleet) send(req *http.Request, start time.Time) Answer {
	res, err := f.client.Do(req)
	if err != nil {
		return Answer{Text: err.Error(), Took: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Answer{Text: err.Error(), Took: time.Since(start)}
	}
	var state struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &state)
	return Answer{Status: res.StatusCode, State: state.State, RetryAfter: res.Header.Get("Retry-After"), Text: string(text), Took: time.Since(start)}
}

// Submit submits a job as a caller does: after no answer, 502 or 504 it submits the job to
// the next entry after ResubmitDelay, with at most the given number of tries. It reports
// the outcome to the fleet's Checker.
func (f *Fleet) Submit(ctx context.Context, first int, j Job, tries int) Answer {
	return f.submit(ctx, first, j, tries, true)
}

// Resubmit is Submit for a job whose caller did not wait for the answer to an earlier
// attempt. A rejection is not reported to the fleet's Checker, since the
// earlier attempt may have started the job.
func (f *Fleet) Resubmit(ctx context.Context, first int, j Job, tries int) Answer {
	return f.submit(ctx, first, j, tries, false)
}

// Continue is Submit for a job whose first attempt had the given answer; next is the entry of
// the second attempt.
func (f *Fleet) Continue(ctx context.Context, a Answer, next int, j Job, tries int) Answer {
	if f.isFinal(a, j, true) || !uptime.Sleep(ctx, ResubmitDelay) {
		return a
	}
	return f.Resubmit(ctx, next, j, tries)
}

// isFinal reports whether a caller doesn't submit a job again after an answer, and reports the
// outcome to the fleet's Checker. With allRejected, a rejection means that the job did not run.
func (f *Fleet) isFinal(a Answer, j Job, allRejected bool) bool {
	switch a.Status {
	case http.StatusOK:
		if a.State == "completed" {
			f.Checker.JobCompleted(j.ID, j.Tasks)
		}
		return true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		if allRejected {
			f.Checker.JobRejected(j.ID)
		}
		return true
	}
	return false
}

// submit implements Submit and Resubmit. allRejected is true as long as every earlier
// attempt was rejected; only then does a rejection mean that the job did not run.
func (f *Fleet) submit(ctx context.Context, first int, j Job, tries int, allRejected bool) Answer {
	var a Answer
	for attempt := range tries {
		a = f.SubmitOnce(ctx, f.Entries[(first+attempt)%len(f.Entries)], Prefix, j)
		if f.isFinal(a, j, allRejected) {
			return a
		}
		allRejected = false
		select {
		case <-ctx.Done():
			return a
		case <-time.After(ResubmitDelay):
		}
	}
	return a
}
