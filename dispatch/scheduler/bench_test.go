package scheduler_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"almondstand.dev/dispatch/admission"
	"almondstand.dev/dispatch/scheduler"
)

// benchClients is the number of clients with queued tasks: the number of teams with
// quotas in the largest planned installation.
const benchClients = 310

// BenchmarkStartAndEnd measures one scheduling cycle with thousands of queued tasks:
// Next, a report, Done and the admission of the task that replaces the started one.
func BenchmarkStartAndEnd(b *testing.B) {
	for _, endpoints := range []int{11, 100, 400} {
		for _, clients := range []int{8, benchClients} {
			b.Run(fmt.Sprintf("endpoints=%d/customers=%d", endpoints, clients), func(b *testing.B) {
				benchmarkStartAndEnd(b, endpoints, clients)
			})
		}
	}
}

func benchmarkStartAndEnd(b *testing.B, endpoints, clients int) {
	const waiting, perJob = 20_000, 10
	s := newScheduler(scheduler.Options{IgnoreLateness: true, Admission: admission.Options{MaxTasks: 2 * waiting}})
	for i := range endpoints {
		s.SetEndpoint(start, scheduler.Endpoint{ID: scheduler.EndpointID(strconv.Itoa(i)), Slots: 8})
	}
	now, jobs := start, 0
	admit := func() {
		jobs++
		job := newJob(strconv.Itoa(jobs), perJob)
		job.Client = strconv.Itoa(jobs % clients)
		job.Accepted, job.Deadline = now, now.Add(time.Hour)
		if err := s.Admit(now, job); err != nil {
			b.Fatal(err)
		}
	}
	for range waiting / perJob {
		admit()
	}
	open := drain(s, now)
	version := uint64(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		a := open[i%len(open)]
		version++
		s.ApplyReport(now, a.Endpoint, scheduler.Report{Version: version, Slots: 8})
		s.Done(now, a, scheduler.Result{Outcome: scheduler.Completed, RunTime: 200 * time.Millisecond})
		next, ok := s.Next(now)
		if !ok {
			b.Fatal("no task to start")
		}
		open[i%len(open)] = next
		if i%perJob == 0 {
			admit()
		}
	}
}
