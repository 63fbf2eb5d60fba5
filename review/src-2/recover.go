package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the small deployments, and the length of the store's outage and of the final fault.
const (
	recoverWithin = 12 * time.Second
	stable        = 3 * time.Second
	storeDownFor  = 4500 * time.Millisecond
	processesDown = time.Second
	observeFor    = 5 * time.Second
)

// playRecover kills all processes, as the final fault of a day, while the platform's store is down. The seeds in the
// settings are stale: they are addresses of machines that were replaced.
func playRecover(rec *Record) {
	f := newFleet(3, 4, rec, freeIP()+":8166", freeIP()+":8166", freeIP()+":8166")
	f.awaitReady()
	sent, served := f.traffic(observeFor)
	rec.add("before the final fault: %d of %d requests are served", served, sent)
	if served*4 < sent {
		cannotRun("less than a quarter is served before the fault")
	}
	if trouble {
		rec.add("the store is down for %v", storeDownFor)
		f.store.setDown(true, storeDownFor)
		time.AfterFunc(storeDownFor, func() {
			f.store.setDown(false, 0)
			rec.add("the store is back")
		})
	}
	begin := time.Now()
	time.Sleep(500 * time.Millisecond)
	nodes := append(append([]*Node{}, f.Entries...), f.Guards...)
	for _, n := range nodes {
		f.kill(n)
	}
	time.Sleep(processesDown)
	for _, n := range nodes {
		f.start(n)
	}
	// The bound counts from the return of the machines; here it counts from the end of the outage and of the span after
	// it in which the core doesn't count as stable, which is later.
	back := begin.Add(storeDownFor + stable)
	rec.add("the machines are back")
	time.Sleep(time.Until(back.Add(recoverWithin)))
	sent, served = f.traffic(observeFor)
	rec.add("later than recovery_s after the machines are back: %d of %d requests are served", served, sent)
	if served*4 < sent {
		rec.breaks("RECOVER: %d of %d requests are served, over %v after the machines and the store are back", served, sent, recoverWithin)
	}
}

// traffic sends jobs to all entries in turn and returns how many were sent and how many were served.
func (f *Fleet) traffic(span time.Duration) (sent, served int64) {
	var answers sync.WaitGroup
	var good atomic.Int64
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := f.Entries[int(sent)%len(f.Entries)]
		sent++
		answers.Go(func() {
			b := body([]map[string]any{{"count": 2, "cpu": 1600, "mem_mb": 64, "est_runtime_ms": 200}}, spec{200, 1600})
			if a := f.send(context.Background(), n, "POST", newID(), b, 1500*time.Millisecond); a.Status == 200 {
				good.Add(1)
			}
		})
	}
	answers.Wait()
	return sent, good.Load()
}

// playReplaced is no case, since no rule names what it shows: all entries are removed at once, and others come at new
// addresses 2 s later. The store stays up; the settings of the guards change without a signal.
func playReplaced(rec *Record) {
	f := newFleet(3, 4, rec)
	f.awaitReady()
	sent, served := f.traffic(observeFor)
	rec.add("before the replacement: %d of %d requests are served", served, sent)
	if !trouble {
		return
	}
	for _, n := range f.Entries {
		f.kill(n)
	}
	time.Sleep(2 * time.Second)
	f.moveEntries()
	time.Sleep(recoverWithin + stable)
	for span := range 2 {
		sent, served = f.traffic(observeFor)
		rec.add("after the replacement, %d: %d of %d requests are served", span, served, sent)
		time.Sleep(20 * time.Second)
	}
	if served*4 < sent {
		rec.breaks("%d of %d requests are served after the entries were replaced", served, sent)
	}
}
