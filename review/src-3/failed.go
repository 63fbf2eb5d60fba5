package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/worker"
)

// failedUnrun: one runner of several has the label that jobs require. Its guard is stopped and started, as the
// guards of all hosts are in turn; the runner stays up.
func failedUnrun(ctx context.Context, r *record, trouble bool, dir string) ([]string, error) {
	f, err := startFleet(ctx, dir, fleet.Options{Entries: 3, Guards: 6, NoRelays: true})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for _, x := range f.Runners[1:] {
		x.RestartAs("b")
	}
	for _, x := range f.Runners {
		go beatSlowly(ctx, x)
	}
	r.add("runner %s has the label %s, the others have b", f.Runners[0].Address(), worker.DefaultKind)
	sleep(ctx, 8*time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var violations []string
	outcomes := map[string]int{}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for i := range 3 {
		clients.Go(func() {
			for loadCtx.Err() == nil {
				j := fleet.NewJob(2, 60)
				j.Label = worker.DefaultKind
				a := f.SubmitOnce(ctx, f.Entries[i], fleet.Prefix, j)
				mu.Lock()
				outcomes[strings.TrimSpace(fmt.Sprintf("%d %s", a.Status, a.State))]++
				if a.Status == http.StatusOK && a.State == "failed" && !endedFailed(f, j.ID) {
					r.add("POST %s answered by %s: %d %s after %s", j.ID, f.Entries[i].ID, a.Status, strings.TrimSpace(a.Text), a.Took.Round(time.Millisecond))
					violations = append(violations, fmt.Sprintf("LOST: job %s is shown as failed by %s, and none of its tasks has failed", j.ID, f.Entries[i].ID))
				}
				mu.Unlock()
				sleep(loadCtx, 40*time.Millisecond)
			}
		})
	}
	sleep(ctx, time.Second)
	for round := range 4 {
		if trouble {
			g := f.Guards[round%2*3]
			r.add("SIGTERM to %s", g.ID)
			g.Process().Terminate()
			<-g.Process().Done()
			if err := g.Start(); err != nil {
				return nil, err
			}
			r.add("%s has exited and is started again", g.ID)
		}
		sleep(ctx, 4*time.Second)
	}
	stopLoad()
	clients.Wait()
	r.add("jobs that require the label, by answer: %v", outcomes)
	writeTrace(r, f)
	return violations, nil
}

// Times of beatSlowly: the stand-in sends a heartbeat each 300 ms, the platform's runners one each 1,500 ms.
const (
	beatOn  = 300 * time.Millisecond
	beatOff = 1200 * time.Millisecond
)

// beatSlowly makes a runner send one heartbeat each 1.5 s, as the pages say.
func beatSlowly(ctx context.Context, x *worker.Runner) {
	for ctx.Err() == nil {
		x.SetFault(worker.Fault{})
		sleep(ctx, beatOn)
		x.SetFault(worker.Fault{NoReports: true})
		sleep(ctx, beatOff)
	}
}

// endedFailed reports whether a run of the job has ended as failed.
func endedFailed(f *fleet.Fleet, job string) bool {
	for _, e := range f.Checker.Trace() {
		if e.Job == job && strings.HasSuffix(e.Text, " ended "+worker.Failed) {
			return true
		}
	}
	return false
}
