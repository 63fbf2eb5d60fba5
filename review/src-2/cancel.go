package main

import (
	"context"
	"sync"
	"time"
)

// Bounds of UNASKED in the small deployments.
const (
	cancelWithin = 3000 * time.Millisecond
	stopGrace    = 50 * time.Millisecond
	// tolerance is for this program's own timers.
	tolerance = 100 * time.Millisecond
)

// playCancel has clients cancel jobs that are at work. Each client reaches the entry of its own zone: the one who
// cancels is in another zone than the one who handed the job in, for half of the jobs.
func playCancel(rec *Record) {
	const jobs = 6
	f := newFleet(2, 3, rec)
	f.awaitReady()
	type cancelled struct {
		id    string
		acked time.Time
	}
	var mu sync.Mutex
	var cancels []cancelled
	var all sync.WaitGroup
	for i := range jobs {
		id := newID()
		steps := []map[string]any{
			{"count": 2, "cpu": 1600, "mem_mb": 64, "est_runtime_ms": 2000},
			{"count": 2, "cpu": 1600, "mem_mb": 64, "est_runtime_ms": 2000, "after": []int{0}},
			{"count": 2, "cpu": 1600, "mem_mb": 64, "est_runtime_ms": 2000, "after": []int{1}},
		}
		all.Go(func() {
			f.send(context.Background(), f.Entries[0], "POST", id, body(steps, spec{2000, 1600}), 9*time.Second)
		})
		if !trouble {
			continue
		}
		all.Go(func() {
			time.Sleep(500 * time.Millisecond)
			to := f.Entries[i%2]
			for range 5 {
				if a := f.send(context.Background(), to, "DELETE", id, nil, 0); a.Status/100 == 2 || a.Status == 410 {
					mu.Lock()
					cancels = append(cancels, cancelled{id, time.Now()})
					mu.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	all.Wait()
	time.Sleep(300 * time.Millisecond)
	for _, c := range cancels {
		checkCancelled(rec, c.id, c.acked)
	}
}
