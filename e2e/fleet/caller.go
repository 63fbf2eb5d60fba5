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
)

// Resend is the pause after which a caller submits a job again that got no
// answer; the platform's bound of the same name.
const Resend = 1300 * time.Millisecond

// Job is what a caller submits.
type Job struct {
	caller.Job
	ID       string
	Deadline time.Duration
}

// NewJob returns a job with an id of its own.
func NewJob(tasks, ms int) Job {
	return Job{
		Job:      caller.Job{Tasks: tasks, Ms: ms, CPU: 3100},
		ID:       fmt.Sprintf("%016x", rand.Uint64()),
		Deadline: 1500 * time.Millisecond,
	}
}

// Answer of one attempt. Status is 0 when there was no whole answer.
type Answer struct {
	Status     int
	State      string
	RetryAfter string
	Text       string
	Took       time.Duration
}

// Try submits a job to an entry once.
func (f *Fleet) Try(ctx context.Context, n *Node, path string, j Job) Answer {
	return f.Post(ctx, n, path+j.ID, j.Body(), strconv.FormatInt(j.Deadline.Milliseconds(), 10))
}

// Post sends any body.
func (f *Fleet) Post(ctx context.Context, n *Node, path string, body []byte, deadlineMs string) Answer {
	began := time.Now()
	wait, _ := strconv.Atoi(deadlineMs)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(wait, 500))*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Front+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Text: err.Error()}
	}
	req.Host = Host
	req.Header.Set("Content-Type", "application/json")
	if deadlineMs != "" {
		req.Header.Set(caller.DeadlineHeader, deadlineMs)
	}
	return f.do(req, began)
}

// Get asks an entry.
func (f *Fleet) Get(ctx context.Context, n *Node, path string) Answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Front+path, nil)
	if err != nil {
		return Answer{Text: err.Error()}
	}
	req.Host = Host
	return f.do(req, time.Now())
}

func (f *Fleet) do(req *http.Request, began time.Time) Answer {
	res, err := f.client.Do(req)
	if err != nil {
		return Answer{Text: err.Error(), Took: time.Since(began)}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Answer{Text: err.Error(), Took: time.Since(began)}
	}
	var state struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &state)
	return Answer{Status: res.StatusCode, State: state.State, RetryAfter: res.Header.Get("Retry-After"), Text: string(text), Took: time.Since(began)}
}

// Submit submits a job as a caller does: what got no answer, 502 or 504 is sent
// again after the resend time, to another entry. The judge is told the outcome.
func (f *Fleet) Submit(ctx context.Context, first int, j Job, tries int) Answer {
	return f.submit(ctx, first, j, tries, true)
}

// Resubmit submits a job again of which the answer to an earlier attempt was not
// waited for: a refusal of this one says nothing of that.
func (f *Fleet) Resubmit(ctx context.Context, first int, j Job, tries int) Answer {
	return f.submit(ctx, first, j, tries, false)
}

// submit takes refused as true while every attempt so far was refused.
func (f *Fleet) submit(ctx context.Context, first int, j Job, tries int, refused bool) Answer {
	var a Answer
	for i := range tries {
		a = f.Try(ctx, f.Entries[(first+i)%len(f.Entries)], Prefix, j)
		switch a.Status {
		case http.StatusOK:
			if a.State == "completed" {
				f.Judge.JobCompleted(j.ID, j.Tasks)
			}
			return a
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
			if refused {
				f.Judge.JobRejected(j.ID)
			}
			return a
		}
		refused = false
		select {
		case <-ctx.Done():
			return a
		case <-time.After(Resend):
		}
	}
	return a
}
