package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/worker"
)

// Times of the case lateStartOfLostHost.
const (
	// uptimeBefore is how long the runners have been up before the request.
	uptimeBefore = 5 * time.Second
	// resend is the resend_ms of the site file.
	resend = 1300 * time.Millisecond
	// darkAfterResend is the time from the resent request to the return of the host.
	darkAfterResend = 300 * time.Millisecond
)

// lateStartOfLostHost: a runner leaves the first copy of a start unanswered, and its host loses power at once.
// The client gets no success in its time and sends its job again, to another entry. The host returns; its
// runner starts again under its id and carries the unanswered start out late.
func lateStartOfLostHost(ctx context.Context, r *record, trouble bool, dir string) ([]string, error) {
	f, err := startFleet(ctx, dir, fleet.Options{Entries: 3, Guards: 8, NoRelays: true})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	sleep(ctx, uptimeBefore)
	stopLoad := load(ctx, f)
	defer func() { _ = stopLoad() }()
	sleep(ctx, 2*time.Second)
	j := fleet.NewJob(1, 900)
	if trouble {
		for _, x := range f.Runners {
			// One order of several hundred gets no answer.
			x.SetFault(worker.Fault{Hold: func(c worker.Call) bool {
				return c.Path == worker.StartPath && c.Copy == 1 && strings.HasPrefix(c.Task, j.ID)
			}})
		}
	}
	first := make(chan fleet.Answer, 1)
	r.add("POST %s to %s: one task of 900 ms, deadline %s", j.ID, f.Entries[0].ID, j.Deadline)
	go func() { first <- f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, j) }()
	lost := -1
	for end := time.Now().Add(time.Second); trouble && lost < 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		for i, x := range f.Runners {
			if x.Held(worker.StartPath) > 0 {
				lost = i
			}
		}
	}
	if trouble && lost < 0 {
		return nil, fmt.Errorf("no start was left unanswered")
	}
	if trouble {
		// The copies sent again are answered: the task runs.
		sleep(ctx, 40*time.Millisecond)
		f.Guards[lost].Process().Kill()
		f.Runners[lost].Kill()
		r.add("the host of %s and its runner %s loses power; a copy of a start is unanswered", f.Guards[lost].ID, f.Runners[lost].Address())
		for _, x := range f.Runners {
			x.SetFault(worker.Fault{})
		}
	}
	a := <-first
	r.add("POST %s answered by %s: %d %s after %s", j.ID, f.Entries[0].ID, a.Status, strings.TrimSpace(a.Text), a.Took.Round(time.Millisecond))
	if a.Status == 200 || a.Status == 503 || a.Status == 429 {
		if trouble {
			return nil, fmt.Errorf("the first request was answered with %d", a.Status)
		}
		sleep(ctx, time.Second)
		r.add("answers to the other jobs by status: %v", stopLoad())
		writeTrace(r, f)
		return twice(f), nil
	}
	sleep(ctx, resend)
	r.add("POST %s again, to %s", j.ID, f.Entries[1].ID)
	second := make(chan fleet.Answer, 1)
	go func() { second <- f.SubmitOnce(ctx, f.Entries[1], fleet.Prefix, j) }()
	sleep(ctx, darkAfterResend)
	if err := f.Guards[lost].Start(); err != nil {
		return nil, err
	}
	f.Runners[lost].RestartExecutingHeld()
	r.add("the host is back; the runner starts again under its id and carries the start out late")
	b := <-second
	r.add("POST %s answered by %s: %d %s after %s", j.ID, f.Entries[1].ID, b.Status, strings.TrimSpace(b.Text), b.Took.Round(time.Millisecond))
	sleep(ctx, 2*time.Second)
	r.add("answers to the other jobs by status: %v", stopLoad())
	writeTrace(r, f)
	return twice(f), nil
}

// twice returns the tasks that were started while a run of them was in progress.
func twice(f *fleet.Fleet) []string {
	var violations []string
	for _, v := range f.Checker.Violations() {
		if strings.Contains(v, "is running at") {
			violations = append(violations, "TWICE: "+strings.TrimSpace(v))
		}
	}
	return violations
}

// load submits short jobs to all entries until the function returned is called, which returns the number of
// answers by status.
func load(ctx context.Context, f *fleet.Fleet) (stop func() map[int]int) {
	ctx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 6 {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := f.Submit(ctx, i+n, fleet.NewJob(2, 60), 3)
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
				sleep(ctx, 30*time.Millisecond)
			}
		})
	}
	return sync.OnceValue(func() map[int]int {
		cancel()
		clients.Wait()
		return statuses
	})
}
