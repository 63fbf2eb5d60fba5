package main

import (
	"context"
	"sync"
	"time"
)

const resendAfter = 1300 * time.Millisecond

// playRevive has clients cancel jobs that are at work, at the entry that holds them. The clients that handed the jobs
// in do what PROTOCOL.md says of a job that needn't be kept: after no response, a broken connection, 502 or 504 they
// send it again resend_ms later, to any node.
func playRevive(rec *Record) {
	const jobs = 4
	f := newFleet(2, 3, rec)
	f.awaitReady()
	var mu sync.Mutex
	acked := map[string]time.Time{}
	var all sync.WaitGroup
	for range jobs {
		id := newID()
		all.Go(func() {
			b := body([]map[string]any{
				{"count": 2, "cpu": 1600, "mem_mb": 64, "est_runtime_ms": 2000},
				{"count": 2, "cpu": 1600, "mem_mb": 64, "est_runtime_ms": 2000, "after": []int{0}},
				{"count": 2, "cpu": 1600, "mem_mb": 64, "est_runtime_ms": 2000, "after": []int{1}},
			}, spec{2000, 1600})
			for try := range 2 {
				a := f.send(context.Background(), f.Entries[try], "POST", id, b, 9*time.Second)
				if a.Status != 0 && a.Status != 502 && a.Status != 504 {
					return
				}
				time.Sleep(resendAfter)
			}
		})
		if !trouble {
			continue
		}
		all.Go(func() {
			time.Sleep(500 * time.Millisecond)
			if a := f.send(context.Background(), f.Entries[0], "DELETE", id, nil, 0); a.Status/100 == 2 || a.Status == 410 {
				mu.Lock()
				defer mu.Unlock()
				acked[id] = time.Now()
			}
		})
	}
	all.Wait()
	time.Sleep(300 * time.Millisecond)
	for id, at := range acked {
		checkCancelled(rec, id, at)
	}
}

// checkCancelled checks UNASKED for a job whose cancel was acknowledged.
func checkCancelled(rec *Record, id string, acked time.Time) {
	for _, x := range rec.runsOf(id) {
		if late := x.Start.Sub(acked); late > cancelWithin+tolerance {
			rec.breaks("UNASKED: %s starts %v after the cancel was acknowledged", x.Task, late)
		}
		if late := x.End.Sub(acked); late > cancelWithin+stopGrace+tolerance {
			rec.breaks("UNASKED: %s is at work until %v after the cancel was acknowledged", x.Task, late)
		}
	}
}
