package main

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"almondstand.dev/e2e/fleet"
)

// drainBound is the drain_ms of the site file.
const drainBound = 3 * time.Second

// foreignHeartbeat: another writer sends one heartbeat under a runner's id that lacks fields. Later the runner
// drains.
func foreignHeartbeat(ctx context.Context, r *record, trouble bool, dir string) ([]string, error) {
	f, err := startFleet(ctx, dir, fleet.Options{Entries: 2, Guards: 2, NoRelays: true})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// Clients submit short jobs all the time.
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 8 {
		clients.Go(func() {
			for n := 0; loadCtx.Err() == nil; n++ {
				j := fleet.NewJob(2, 60)
				a := f.SubmitOnce(ctx, f.Entries[(i+n)%2], fleet.Prefix, j)
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
				sleep(loadCtx, 40*time.Millisecond)
			}
		})
	}
	sleep(ctx, 4*time.Second)
	target := f.Runners[0]
	if trouble {
		body, err := foreignBody(target.Address(), f)
		if err != nil {
			return nil, err
		}
		ok := target.Send(ctx, target.Instance(), body)
		r.add("another writer: PUT /instances/%s %s: acknowledged %t", target.Instance(), body, ok)
	}
	sleep(ctx, 2*time.Second)
	target.Drain()
	r.add("runner %s drains from its next heartbeat", target.Instance())
	sleep(ctx, 6*time.Second)
	stopLoad()
	clients.Wait()
	mu.Lock()
	r.add("answers by status: %v", statuses)
	mu.Unlock()
	var violations []string
	for _, v := range f.Checker.Violations() {
		// TIME s: runner ID starts TASK, DURATION after its guard acknowledged that the runner drains
		before, found := strings.CutSuffix(v, " after its guard acknowledged that the runner drains")
		late, err := time.ParseDuration(before[strings.LastIndexByte(before, ' ')+1:])
		if found && err == nil && late > drainBound {
			violations = append(violations, "DRAIN: "+strings.TrimSpace(v))
		}
	}
	writeTrace(r, f)
	return violations, nil
}

// foreignBody returns a heartbeat that lacks zone, version, slots, cold_left_ms and labels.
func foreignBody(address string, f *fleet.Fleet) ([]byte, error) {
	born, err := bornOf(address, f)
	if err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{
		"service": fleet.Service, "address": address, "state": "ready",
		"capacity": map[string]int64{"cpu": 32000, "mem_mb": 1 << 20},
		"clock_ms": 1, "seq": 1_000_000, "born": born,
	})
}

var errNoBorn = errors.New("the runner did not name its start time")

// bornOf returns the start time that the runner at the address names, in Unix milliseconds.
func bornOf(address string, f *fleet.Fleet) (int64, error) {
	born := int64(0)
	for _, e := range f.Checker.Trace() {
		// runner ADDRESS: process 15:04:05.000000 of ID: started
		rest, found := strings.CutPrefix(e.Text, "runner "+address+": process ")
		if !found || !strings.HasSuffix(e.Text, ": started") {
			continue
		}
		clock, _, _ := strings.Cut(rest, " ")
		at, err := time.ParseInLocation("2006-01-02 15:04:05.000000", e.At.Format("2006-01-02 ")+clock, e.At.Location())
		if err != nil {
			return 0, err
		}
		born = at.UnixMilli()
	}
	if born == 0 {
		return 0, errNoBorn
	}
	return born, nil
}
