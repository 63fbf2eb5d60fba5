package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/metastore"
)

// configure puts a configuration whose route has the given timeout, and waits until it is in force.
func configure(ctx context.Context, f *fleet.Fleet, timeout time.Duration) {
	text, _ := json.Marshal(map[string]any{
		"version": 90, "services": []any{}, "limits": map[string]int{"max_body_bytes": 262144},
		"routes": []map[string]any{{
			"name": "r0", "host": fleet.Host, "prefix": fleet.Prefix, "type": "non_idempotent", "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 60, "priority": 0, "service": fleet.Service, "max_attempts": 2, "stretch": 1.6,
		}},
	})
	f.Store.Put(metastore.ConfigKey, text)
	sleep(ctx, 4*time.Second)
}

// lossSlack is the loss_slack_ms of the site file.
const lossSlack = 200 * time.Millisecond

// drainQueued: an entry gets SIGTERM while requests wait there for a runner.
func drainQueued(ctx context.Context, r *record, trouble bool, dir string) ([]string, error) {
	const deadline = 14 * time.Second
	f, err := startFleet(ctx, dir, fleet.Options{Entries: 2, Guards: 2})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	configure(ctx, f, deadline)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var violations []string
	// All runners are at work on requests of the other entry.
	for range 4 {
		clients.Go(func() {
			j := fleet.NewJob(5, 8_000)
			j.Deadline = deadline
			a := f.SubmitOnce(ctx, f.Entries[1], fleet.Prefix, j)
			r.add("POST %s answered by %s: %d %s after %s", j.ID, f.Entries[1].ID, a.Status, strings.TrimSpace(a.Text), a.Took.Round(time.Millisecond))
		})
	}
	sleep(ctx, time.Second)
	for range 3 {
		clients.Go(func() {
			j := fleet.NewJob(1, 2_500)
			j.Deadline = deadline
			r.add("POST %s to %s: one task of 2500 ms", j.ID, f.Entries[0].ID)
			a := f.SubmitOnce(ctx, f.Entries[0], fleet.Prefix, j)
			r.add("POST %s answered by %s: %d %s after %s", j.ID, f.Entries[0].ID, a.Status, strings.TrimSpace(a.Text), a.Took.Round(time.Millisecond))
			if a.Status != 0 || a.Took >= deadline || a.Took <= lossSlack || runs(f, j.ID) {
				return
			}
			mu.Lock()
			violations = append(violations, fmt.Sprintf("LOST: the connection of request %s ended without an answer, %s after it was sent; no runner was at work on it: %s", j.ID, a.Took.Round(time.Millisecond), a.Text))
			mu.Unlock()
		})
	}
	sleep(ctx, 300*time.Millisecond)
	if trouble {
		r.add("SIGTERM to %s", f.Entries[0].ID)
		f.Entries[0].Process().Terminate()
		go func() {
			<-f.Entries[0].Process().Done()
			r.add("%s has exited", f.Entries[0].ID)
		}()
	}
	clients.Wait()
	writeTrace(r, f)
	return violations, nil
}
