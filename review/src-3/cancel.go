package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"almondstand.dev/e2e/fleet"
)

// Bounds of the site file for a task of a cancelled job.
const (
	cancelBound    = 3000 * time.Millisecond
	stopGraceBound = 50 * time.Millisecond
	// slack is for what is read from the stand-in's runs a moment later than it happened.
	slack = 200 * time.Millisecond
)

// cancelElsewhere: clients submit jobs with one long task and cancel them while the task runs. The request
// that cancels comes on another connection, which the platform forwards to another entry.
func cancelElsewhere(ctx context.Context, r *record, trouble bool, dir string) ([]string, error) {
	const entries, jobs, cancelEach = 3, 36, 4
	const taskMs, deadline = 9_000, 12 * time.Second
	f, err := startFleet(ctx, dir, fleet.Options{Entries: entries, Guards: 4})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	configure(ctx, f, deadline)

	var mu sync.Mutex
	var violations []string
	var clients sync.WaitGroup
	for i := range jobs {
		clients.Go(func() {
			j := fleet.NewJob(1, taskMs)
			j.Deadline = deadline
			holder, other := f.Entries[i%entries], f.Entries[(i+1)%entries]
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				r.add("POST %s to %s: one task of %d ms, deadline %s", j.ID, holder.ID, taskMs, deadline)
				a := f.SubmitOnce(ctx, holder, fleet.Prefix, j)
				r.add("POST %s answered by %s: %d %s after %s", j.ID, holder.ID, a.Status, strings.TrimSpace(a.Text), a.Took.Round(time.Millisecond))
			}()
			sleep(ctx, time.Second)
			if trouble && i%cancelEach == 0 {
				status := cancelJob(ctx, r, other, j.ID)
				acknowledged := time.Now()
				if status/100 == 2 || status == http.StatusGone {
					sleep(ctx, cancelBound+stopGraceBound+slack)
					if runs(f, j.ID) {
						v := fmt.Sprintf("UNASKED: the task of job %s still runs %s after its cancelling was acknowledged with %d (allowed: %s)",
							j.ID, time.Since(acknowledged).Round(time.Millisecond), status, cancelBound+stopGraceBound)
						mu.Lock()
						violations = append(violations, v)
						mu.Unlock()
					}
				}
			}
			<-answered
		})
	}
	clients.Wait()
	sleep(ctx, time.Second)
	writeTrace(r, f)
	return violations, nil
}

// cancelJob sends a DELETE to an entry and returns the status.
func cancelJob(ctx context.Context, r *record, n *fleet.Node, id string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+n.CallersAddress+fleet.Prefix+id, nil)
	if err != nil {
		return 0
	}
	req.Host = fleet.Host
	r.add("DELETE %s to %s", id, n.ID)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		r.add("DELETE %s: %v", id, err)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	r.add("DELETE %s answered by %s: %d %s", id, n.ID, res.StatusCode, strings.TrimSpace(string(body)))
	return res.StatusCode
}

// runs reports whether a runner has started a run of the job that has not ended.
func runs(f *fleet.Fleet, job string) bool {
	open := 0
	for _, e := range f.Checker.Trace() {
		switch {
		case e.Job != job:
		case strings.Contains(e.Text, "/run-start ") && strings.Contains(e.Text, "executed, status 200"):
			open = 1
		case strings.Contains(e.Text, " ended "):
			open = 0
		}
	}
	return open > 0
}

// writeTrace writes what the runners have received and run.
func writeTrace(r *record, f *fleet.Fleet) {
	for _, e := range f.Checker.Trace() {
		r.addAt(e.At, "%s", e.Text)
	}
}
